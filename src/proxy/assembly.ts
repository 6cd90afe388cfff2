/** Puts a host together for a platform that has database groups with terms. */
import "reflect-metadata";
import * as inversify from "inversify";
import * as neverthrow from "neverthrow";
import * as grpc from "../adapters/grpc.js";
import * as allowances from "../core/allowance.js";
import * as directories from "../core/directory.js";
import * as suspensions from "../core/suspension.js";
import * as tenure from "../core/tenure.js";
import * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import * as eventsPart from "./events.js";
import * as followers from "./follower.js";
import * as groupsPart from "./group.js";
import * as messages from "./messages.js";
import * as metricsPart from "./metrics.js";
import * as peersPart from "./peers.js";
import * as promoters from "./promoter.js";
import type * as registry from "./registry.js";
import * as runners from "./runner.js";
import * as sessions from "./session.js";
import type * as settingsFile from "./settings.js";

/** The listener for callers. */
export interface Callers {
    count(): number;
    busy(): number;
    closeIdle(): void;
    close(): void;
}

/** What a platform fills. */
export interface Platform {
    readonly store: store.Store;
    readonly promotions: store.Promotions;
    readonly dialer: connections.Dialer;
    readonly documents: followers.Documents;
    listen(entrance: caller.Entrance): Promise<Callers>;
    listenReady(ready: () => boolean): Promise<{ close(): void }>;
}

/** What the process gives. */
export interface Surroundings {
    readonly settings: settingsFile.Settings;
    readonly clock: runtime.HostClock;
    readonly log: runtime.Log;
    /** Counts calls to the platform once the host is assembled. */
    platform(count: (kind: string, result: string) => void): Platform;
    random(): number;
    /** Differs between two processes of one host. */
    readonly incarnation: string;
}

/** A host, assembled. */
export interface Host {
    start(): Promise<void>;
    /** Finishes what is in hand, hands duties over, and closes. */
    stop(): Promise<void>;
    close(): Promise<void>;
    ready(): boolean;
    readonly events: eventsPart.Events;
}

/**
 * Age up to which a proof of the records counts, in milliseconds: three readings of the store, one of them lost.
 * The longest wait of a replacement for hosts that can't be asked.
 */
const proofMs = 1_500;
/** Time for which work under way at a primary being replaced may end, in milliseconds: several statements. */
const handoverMs = 150;
/** Time for which a missing endpoint is kept, in milliseconds: entries are back two seconds after an outage. */
const missingMs = 2_500;
/** Gap between listings that shows an outage, in milliseconds: two listings lost. */
const outageMs = 2_500;
const tickMs = 100;
const shareMs = 250;
const flushMs = 5_000;
const catalogueMs = 1_000;
const catalogueTimeoutMs = 1_000;
/** Connections of each endpoint kept free for probes and for hosts that are just starting. */
const reservedConnections = 2;
/** Time in which the platform takes a host that is not ready out of rotation, in milliseconds: two misses. */
const rotationMs = 2_300;
const drainPollMs = 50;
/** Kept back from the time to stop, in milliseconds, to write the last lines. */
const exitMarginMs = 700;

const id = {
    clock: Symbol.for("clock"),
    events: Symbol.for("events"),
    platform: Symbol.for("platform"),
    network: Symbol.for("network"),
    tenures: Symbol.for("tenures"),
    directory: Symbol.for("directory"),
    allowance: Symbol.for("allowance"),
    peers: Symbol.for("peers"),
    follower: Symbol.for("follower"),
    promoter: Symbol.for("promoter"),
    metrics: Symbol.for("metrics"),
    entrance: Symbol.for("entrance"),
} as const;

/** Assembles a host; nothing runs until it is started. */
export function createHost(surroundings: Surroundings): Host {
    const { settings, clock, log } = surroundings;
    const container = new inversify.Container();
    const lifecycle = lifecycles.createLifecycle(log);
    const suspension = suspensions.createSuspension();
    const groups = new Map<string, groupsPart.Group>();
    let self: messages.Member = {
        id: settings.id,
        address: `${settings.peers.host}:${settings.peers.port}`,
        failureDomain: settings.failureDomain,
        incarnation: surroundings.incarnation,
        leaving: false,
    };
    let steppedMs = -Infinity;
    let callers: Callers | undefined;
    let stopping = false;
    let refusing = false;
    let wasReady = false;
    let wasProven = false;

    container.bind(id.clock).toConstantValue(clock);
    container.bind(id.events).toConstantValue(eventsPart.createEvents(log, clock));
    container.bind(id.metrics).toDynamicValue(() => metricsPart.createMetrics(levels)).inSingletonScope();
    container.bind(id.platform).toDynamicValue(() =>
        surroundings.platform((kind, result) => metrics().call(kind, result))
    ).inSingletonScope();
    container.bind(id.network).toDynamicValue(() => grpc.createNetwork()).inSingletonScope();
    container.bind(id.tenures).toConstantValue(tenure.createTenures({ proofMs, graceMs: handoverMs }));
    container.bind(id.directory).toConstantValue(
        directories.createDirectory({ graceMs: missingMs, outageMs }),
    );
    container.bind(id.allowance).toConstantValue(allowances.createAllowance());
    container.bind(id.peers).toDynamicValue(() =>
        peersPart.createPeers({
            self,
            seeds: settings.seeds,
            network: container.get(id.network),
            clock,
            events: events(),
            random: surroundings.random,
            digest,
            heard,
        })
    ).inSingletonScope();
    container.bind(id.follower).toDynamicValue(() =>
        followers.createFollower({
            self: () => self,
            store: platform().store,
            documents: platform().documents,
            directory: directory(),
            clock,
            events: events(),
            random: surroundings.random,
            contents: read,
            changed,
        })
    ).inSingletonScope();
    container.bind(id.promoter).toDynamicValue(() =>
        promoters.createPromoter({
            self,
            clock,
            events: events(),
            store: platform().store,
            promotions: platform().promotions,
            dialer: platform().dialer,
            follower: follower(),
            peers: peers(),
            tenures: tenures(),
            proofMs,
            groups: () => [...groups.values()],
            endpoints: group => directory().ofGroup(group),
            account: () => [...follower().policy().organisations.keys()][0],
            learn,
        })
    ).inSingletonScope();
    container.bind(id.entrance).toDynamicValue(() =>
        sessions.createEntrance({
            clock,
            events: events(),
            measures: metrics(),
            runner: runners.createRunner({ clock, events: events() }),
            allowance: allowance(),
            policy: () => follower().policy(),
            group,
            look,
            refusing: () => refusing,
        })
    ).inSingletonScope();

    const events = (): eventsPart.Events => container.get(id.events);
    const metrics = (): metricsPart.Metrics => container.get(id.metrics);
    const platform = (): Platform => container.get(id.platform);
    const tenures = (): tenure.Tenures => container.get(id.tenures);
    const directory = (): directories.Directory => container.get(id.directory);
    const allowance = (): allowances.Allowance => container.get(id.allowance);
    const peers = (): peersPart.Peers => container.get(id.peers);
    const follower = (): followers.Follower => container.get(id.follower);
    const promoter = (): promoters.Promoter => container.get(id.promoter);

    function levels(): metricsPart.Levels {
        const merge = (read: (entry: groupsPart.Group) => Readonly<Record<string, number>>): Record<string, number> =>
            Object.assign({}, ...[...groups.values()].map(read)) as Record<string, number>;
        return {
            load: merge(entry => entry.load()),
            connections: merge(entry => entry.connections()),
            callers: callers?.count() ?? 0,
            version: follower().policy().version,
            proofAgeMs: tenures().ageMs(clock.now()),
            duty: promoter().holds(),
        };
    }

    /** Notices a suspension before anything that rests on ages is used. */
    function look(): void {
        const nowMs = clock.now();
        if (!suspension.stepped(nowMs, clock.day())) {
            return;
        }
        steppedMs = nowMs;
        tenures().doubt();
        follower().doubt();
        groups.forEach(entry => entry.doubt());
        events().emit("suspended", {});
    }

    const trusts = (sinceMs: number): boolean => sinceMs > steppedMs;

    function group(name: string): groupsPart.Group {
        const known = groups.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = groupsPart.createGroup({
            name,
            failureDomain: settings.failureDomain,
            clock,
            dialer: platform().dialer,
            events: events(),
            tenures: tenures(),
            trusts,
            regionOf: domain => settings.failureDomains[domain],
            share: () => share(name),
            otherLoad: endpoint => peers().load(endpoint),
            endpoints: () => directory().ofGroup(name),
        });
        groups.set(name, created);
        created.sweep();
        return created;
    }

    function share(name: string): number {
        const most = follower().policy().groups.get(name)?.maxConnections ?? 1;
        const { others, unheard } = peers().fleet();
        return Math.max(1, Math.floor((most - reservedConnections) / (1 + others.length + unheard)));
    }

    function changed(): void {
        const policy = follower().policy();
        allowance().limit(policy.organisations);
        policy.groups.forEach((_, name) => group(name));
        groups.forEach((entry, name) => {
            if (policy.groups.has(name) || directory().ofGroup(name).length > 0) {
                entry.sweep();
            }
        });
        noteReadiness();
    }

    function learn(record: tenure.Record): void {
        const before = tenures().find(record.group);
        if (tenures().learn(record, clock.now())) {
            events().emit("tenureChanged", { ...record, replaced: before });
            groups.get(record.group)?.wake();
        }
    }

    function read(contents: registry.Contents, askedMs: number): void {
        look();
        contents.records.forEach(stored => learn(stored.record));
        // Whoever replaces a primary asks the hosts that are registered.
        const registered = contents.hosts.some(host => host.id === self.id && host.incarnation === self.incarnation);
        if (registered && trusts(askedMs)) {
            tenures().prove(askedMs);
        }
        peers().register(contents.hosts);
        promoter().observe(contents);
        noteProof();
    }

    function noteProof(): void {
        const others = peers().all().map(peer => ({
            heardMs: clock.now() - Math.max(peer.digest === undefined ? -Infinity : peer.heardMs, peer.refusedMs),
            proofAgeMs: peer.digest?.proofAgeMs,
        }));
        tenures().witness(others, clock.now());
        const proven = tenures().proven(clock.now());
        if (proven !== wasProven) {
            wasProven = proven;
            events().emit(proven ? "proofRegained" : "proofLost", {
                ageMs: Math.round(Math.min(tenures().ageMs(clock.now()), Number.MAX_SAFE_INTEGER)),
                hosts: others.length,
            });
        }
        if (proven) {
            groups.forEach(entry => entry.wake());
        }
    }

    function digest(): messages.Digest {
        const nowMs = clock.now();
        const ageMs = tenures().ageMs(nowMs);
        return {
            self,
            version: follower().policy().version,
            tenures: tenures().all(),
            proofAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
            samples: [...groups.values()].flatMap(entry => {
                const newest = entry.newest();
                return newest === undefined
                    ? []
                    : [{ group: entry.name, position: newest.position, ageMs: nowMs - newest.askedMs }];
            }),
            contacts: tenures().all().flatMap(record => {
                const contact = groups.get(record.group)?.contact();
                return contact === undefined ? [] : [{ group: record.group, primary: record.primary, ...contact }];
            }),
            demand: allowance().demand(nowMs),
            load: Object.assign({}, ...[...groups.values()].map(entry => entry.load())) as Record<string, number>,
            known: peers().heard().map(peer => peer.member),
        };
    }

    function heard(told: messages.Digest, askedMs: number | undefined): void {
        look();
        told.tenures.forEach(learn);
        if (askedMs !== undefined && trusts(askedMs)) {
            told.samples.forEach(sample => groups.get(sample.group)?.learn(sample.position, askedMs - sample.ageMs));
            if (told.proofAgeMs !== undefined) {
                tenures().prove(askedMs - told.proofAgeMs);
            }
        }
        noteProof();
        if (told.version > follower().policy().version) {
            void catchUp();
        }
    }

    let catchingUp = false;

    /** Takes what this host lacks from another one that was heard lately. */
    async function catchUp(): Promise<void> {
        const sources = peers().heard();
        const best = sources.reduce<peersPart.Peer | undefined>(
            (found, next) => ((next.digest?.version ?? 0) > (found?.digest?.version ?? -1) ? next : found),
            undefined,
        );
        if (catchingUp || best === undefined) {
            return;
        }
        catchingUp = true;
        const askedMs = clock.now();
        const reply = await peers().call(best.member, messages.peer.catalogue, {}, catalogueTimeoutMs);
        catchingUp = false;
        if (reply.isErr()) {
            return;
        }
        if (reply.value.version > follower().policy().version) {
            follower().offer(reply.value.configuration);
        }
        if (reply.value.ageMs !== undefined) {
            follower().offerEndpoints(reply.value.endpoints, askedMs - reply.value.ageMs);
        }
    }

    /** Without the store for a while, the other hosts may know newer endpoints. */
    function refreshFromPeers(): void {
        const listedMs = follower().listedMs();
        if (listedMs === undefined || clock.now() - listedMs > outageMs) {
            void catchUp();
        }
    }

    function ready(): boolean {
        return !stopping && follower().policy().version > 0 && directory().all().length > 0
            && tenures().all().length > 0;
    }

    function noteReadiness(): void {
        const next = ready();
        if (next !== wasReady) {
            wasReady = next;
            events().emit("readinessChanged", { ready: next, stopping });
        }
    }

    function handlers(): readonly network.Handler[] {
        return [
            grpc.handle(messages.peer.exchange, async told => neverthrow.ok(peers().answer(told))),
            grpc.handle(messages.peer.record, async record => {
                learn(record);
                const entry = groups.get(record.group);
                if (record.changing && entry !== undefined) {
                    await entry.untilQuiet(record.primary, handoverMs);
                    tenures().confirm(record.group);
                }
                return neverthrow.ok({});
            }),
            grpc.handle(messages.peer.catalogue, async () => {
                const { version, text } = follower().configuration();
                const listedMs = follower().listedMs();
                return neverthrow.ok({
                    version,
                    configuration: text,
                    endpoints: directory().all(),
                    ageMs: listedMs === undefined ? undefined : clock.now() - listedMs,
                });
            }),
        ];
    }

    async function drainCallers(): Promise<void> {
        const startMs = clock.now();
        const endMs = startMs + settings.graceMs - exitMarginMs;
        stopping = true;
        self = { ...self, leaving: true };
        noteReadiness();
        await clock.sleep(Math.min(rotationMs, settings.graceMs / 3));
        refusing = true;
        while (clock.now() < endMs) {
            callers?.closeIdle();
            const halfMs = startMs + settings.graceMs / 2;
            if ((callers?.count() ?? 0) === 0 || (clock.now() >= halfMs && (callers?.busy() ?? 0) === 0)) {
                break;
            }
            await clock.sleep(drainPollMs);
        }
    }

    lifecycle.add({
        name: "peers",
        async start() {
            const server = await grpc.serve(settings.peers.host, settings.peers.port, handlers());
            lifecycleServer = server;
            peers().start();
        },
        async close() {
            peers().close();
            container.get<network.Network>(id.network).close();
            await lifecycleServer?.close();
        },
    });
    let lifecycleServer: grpc.Server | undefined;
    lifecycle.add({
        name: "store",
        start: () => follower().start(),
        drain: () => follower().leave(),
        close: () => follower().close(),
    });
    lifecycle.add({ name: "promoter", start: () => promoter().start(), close: () => promoter().close() });
    let stopTimers: readonly (() => void)[] = [];
    lifecycle.add({
        name: "upkeep",
        start() {
            stopTimers = [
                clock.every(tickMs, () => {
                    look();
                    noteProof();
                    noteReadiness();
                }),
                clock.every(shareMs, () => allowance().share(peers().fleet(), clock.now())),
                clock.every(catalogueMs, refreshFromPeers),
                clock.every(flushMs, () => events().flush()),
            ];
        },
        close: () => stopTimers.forEach(stop => stop()),
    });
    let readiness: { close(): void } | undefined;
    let metricsServer: { close(): void } | undefined;
    lifecycle.add({
        name: "callers",
        async start() {
            readiness = await platform().listenReady(ready);
            callers = await platform().listen(container.get<caller.Entrance>(id.entrance));
            metricsServer = await metricsPart.listen(settings.callers.host, settings.metricsPort, metrics());
        },
        drain: drainCallers,
        close() {
            callers?.close();
            groups.forEach(entry => entry.close());
            readiness?.close();
            metricsServer?.close();
        },
    });

    return {
        ready,
        get events() {
            return events();
        },
        async start() {
            await lifecycle.start();
            events().emit("started", { id: settings.id, incarnation: self.incarnation });
        },
        async stop() {
            events().emit("stopping", { graceMs: settings.graceMs });
            await lifecycle.stop();
            events().emit("stopped", {});
        },
        close: () => lifecycle.close(),
    };
}
