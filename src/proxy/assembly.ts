/** Puts a host together for a platform that has database groups with terms. */
import "reflect-metadata";
import * as inversify from "inversify";
import * as grpc from "../adapters/grpc.js";
import * as allowances from "../core/allowance.js";
import * as directories from "../core/directory.js";
import * as tenure from "../core/tenure.js";
import * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import * as entrances from "./entrance.js";
import * as eventsPart from "./events.js";
import * as followers from "./follower.js";
import type * as groupsPart from "./group.js";
import * as handlers from "./handlers.js";
import * as intervals from "./interval.js";
import * as knowledges from "./knowledge.js";
import * as messages from "./messages.js";
import * as metricsPart from "./metrics.js";
import * as peersPart from "./peers.js";
import * as probesPart from "./probes.js";
import * as promoters from "./promoter.js";
import * as replacement from "./replacement.js";
import * as runners from "./runner.js";
import type * as settingsFile from "./settings.js";
import * as transactions from "./transactions.js";

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
/** Time after which a host that knows of no other takes itself as the only one, in milliseconds. */
const aloneMs = 2_000;
const flushMs = 5_000;
const catalogueMs = 1_000;
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
    knowledge: Symbol.for("knowledge"),
    duty: Symbol.for("duty"),
    probes: Symbol.for("probes"),
    replacements: Symbol.for("replacements"),
    promoter: Symbol.for("promoter"),
    metrics: Symbol.for("metrics"),
    entrance: Symbol.for("entrance"),
} as const;

/** Assembles a host; nothing runs until it is started. */
export function createHost(surroundings: Surroundings): Host {
    const { settings, clock, log } = surroundings;
    const container = new inversify.Container();
    const lifecycle = lifecycles.createLifecycle(log);
    let self: messages.Member = {
        id: settings.id,
        address: `${settings.peers.host}:${settings.peers.port}`,
        failureDomain: settings.failureDomain,
        incarnation: surroundings.incarnation,
        leaving: false,
    };
    let callers: Callers | undefined;
    let stopping = false;
    let refusing = false;
    let wasReady = false;
    let stopTimers: readonly (() => void)[] = [];
    let peerServer: grpc.Server | undefined;
    let readiness: { close(): void } | undefined;
    let metricsServer: { close(): void } | undefined;

    const interval = intervals.createInterval(
        clock.now(),
        database => follower().policy().routes.get(database)?.consistency.kind === "primary",
    );

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
            self: () => self,
            seeds: settings.seeds,
            network: container.get(id.network),
            clock,
            events: events(),
            random: surroundings.random,
            digest: () => knowledge().digest(),
            heard: (told, askedMs) => knowledge().heard(told, askedMs),
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
            proofAgeMs: () => tenures().ageMs(clock.now()),
            listing: () => knowledge().listing(),
            turn: () => knowledge().turn(),
            watching: () => knowledge().watching(),
            missing: () => peers().fleet().unheard > 0,
            dutiful: () => container.get<promoters.DutyHolder>(id.duty).token() !== undefined,
            contents: (contents, askedMs) => knowledge().read(contents, askedMs),
            changed: () => knowledge().changed(),
        })
    ).inSingletonScope();
    container.bind(id.knowledge).toDynamicValue(() =>
        knowledges.createKnowledge({
            ...settings,
            clock,
            handoverMs,
            events: events(),
            tenures: tenures(),
            directory: directory(),
            allowance: allowance(),
            dialer: platform().dialer,
            self: () => self,
            peers,
            follower,
            promoter,
            updated: noteReadiness,
        })
    ).inSingletonScope();
    container.bind(id.duty).toConstantValue(promoters.createDutyHolder(() => follower()));
    container.bind(id.probes).toDynamicValue(() =>
        probesPart.createProbes({
            clock,
            dialer: platform().dialer,
            account: () => [...follower().policy().organisations.keys()][0],
        })
    ).inSingletonScope();
    container.bind(id.replacements).toDynamicValue(() =>
        replacement.createReplacements({
            ...duties(),
            id: settings.id,
            promotions: platform().promotions,
            tenures: tenures(),
            proofMs,
            token: () => container.get<promoters.DutyHolder>(id.duty).token(),
            learn: record => knowledge().learn(record),
            handOver: record => knowledge().handOver(record),
        })
    ).inSingletonScope();
    container.bind(id.promoter).toDynamicValue(() =>
        promoters.createPromoter({
            ...duties(),
            self,
            duty: container.get<promoters.DutyHolder>(id.duty),
            replacements: container.get<replacement.Replacements>(id.replacements),
            groups: () => knowledge().groups(),
        })
    ).inSingletonScope();
    container.bind(id.entrance).toDynamicValue(() =>
        entrances.createEntrance({
            clock,
            events: events(),
            measures: intervals.join(metrics(), interval),
            runner: runners.createRunner({ clock, events: events() }),
            transactions: transactions.createTransactions({ clock, events: events() }),
            allowance: allowance(),
            policy: () => follower().policy(),
            group: name => knowledge().group(name),
            look: () => knowledge().look(),
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
    const knowledge = (): knowledges.Knowledge => container.get(id.knowledge);
    const served = () =>
        handlers.createHandlers({
            clock,
            peers: peers(),
            knowledge: knowledge(),
            follower: follower(),
            directory: directory(),
        });
    /** What all parts of the duty to replace primaries need. */
    const duties = () => ({
        clock,
        events: events(),
        store: platform().store,
        follower: follower(),
        peers: peers(),
        probes: container.get<probesPart.Probes>(id.probes),
        endpoints: (group: string) => directory().ofGroup(group),
    });

    function levels(): metricsPart.Levels {
        const merge = (read: (entry: groupsPart.Group) => Readonly<Record<string, number>>): Record<string, number> =>
            Object.assign({}, ...knowledge().groups().map(read)) as Record<string, number>;
        return {
            load: merge(entry => entry.load()),
            connections: merge(entry => entry.connections()),
            callers: callers?.count() ?? 0,
            version: follower().policy().version,
            proofAgeMs: tenures().ageMs(clock.now()),
            duty: container.get<promoters.DutyHolder>(id.duty).token() !== undefined,
        };
    }

    function shareLimits(startMs: number): void {
        if (peers().all().length > 0 || clock.now() - startMs > aloneMs) {
            allowance().share(peers().fleet(), clock.now());
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
            peerServer = await grpc.serve(settings.peers.host, settings.peers.port, served());
            peers().start();
        },
        async close() {
            peers().close();
            container.get<network.Network>(id.network).close();
            await peerServer?.close();
        },
    });
    lifecycle.add({
        name: "store",
        start: () => follower().start(),
        drain: () => follower().leave(),
        close: () => follower().close(),
    });
    lifecycle.add({ name: "promoter", start: () => promoter().start(), close: () => promoter().close() });
    lifecycle.add({
        name: "upkeep",
        start() {
            const startMs = clock.now();
            stopTimers = [
                clock.every(tickMs, () => {
                    knowledge().look();
                    knowledge().judgeProof();
                    noteReadiness();
                }),
                clock.every(shareMs, () => shareLimits(startMs)),
                clock.every(catalogueMs, () => knowledge().refresh()),
                clock.every(flushMs, () => {
                    events().flush();
                    const report = interval.take(follower().policy(), clock.now());
                    if (report !== undefined) {
                        events().emit("measured", { ...report });
                    }
                }),
            ];
        },
        close: () => stopTimers.forEach(stop => stop()),
    });
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
            knowledge().groups().forEach(entry => entry.close());
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
