/** Puts a host together for a platform that has database groups with terms. */
import "reflect-metadata";
import * as inversify from "inversify";
import * as grpc from "../adapters/grpc.js";
import * as directories from "../core/directory.js";
import * as tenure from "../core/leadership.js";
import * as allowances from "../core/limiter.js";
import * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import * as intervals from "./activity.js";
import * as knowledges from "./clusterview.js";
import * as coordinators from "./coordinator.js";
import * as eventsPart from "./events.js";
import * as runners from "./executor.js";
import type * as groupsPart from "./group.js";
import * as entrances from "./login.js";
import * as messages from "./messages.js";
import * as metricsPart from "./metrics.js";
import * as handlers from "./peerhandlers.js";
import * as peersPart from "./peers.js";
import * as probers from "./prober.js";
import * as replacement from "./replacement.js";
import type * as settingsFile from "./settings.js";
import * as storeSyncs from "./storesync.js";
import * as transactions from "./transactions.js";

/** The listener for callers. */
export interface CallerListener {
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
    readonly storeLayout: storeSyncs.StoreLayout;
    listenCallers(entrance: caller.Login): Promise<CallerListener>;
    listenReadiness(ready: () => boolean): Promise<{ close(): void }>;
}

/** What the process gives. */
export interface Environment {
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
    readonly events: eventsPart.EventLog;
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
export function createHost(surroundings: Environment): Host {
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
    let callers: CallerListener | undefined;
    let stopping = false;
    let refusing = false;
    let wasReady = false;
    let stopTimers: readonly (() => void)[] = [];
    let peerServer: grpc.Server | undefined;
    let readiness: { close(): void } | undefined;
    let metricsServer: { close(): void } | undefined;

    const interval = intervals.createActivityCounter(
        clock.now(),
        database => follower().policy().routes.get(database)?.consistency.kind === "primary",
    );

    container.bind(id.clock).toConstantValue(clock);
    container.bind(id.events).toConstantValue(eventsPart.createEventLog(log, clock));
    container.bind(id.metrics).toDynamicValue(() => metricsPart.createMetrics(levels)).inSingletonScope();
    container.bind(id.platform).toDynamicValue(() =>
        surroundings.platform((kind, result) => metrics().countPlatformCall(kind, result))
    ).inSingletonScope();
    container.bind(id.network).toDynamicValue(() => grpc.createNetwork()).inSingletonScope();
    container.bind(id.tenures).toConstantValue(
        tenure.createLeadership({ maxProofAgeMs: proofMs, graceMs: handoverMs }),
    );
    container.bind(id.directory).toConstantValue(
        directories.createDirectory({ missingGraceMs: missingMs, outageGapMs: outageMs }),
    );
    container.bind(id.allowance).toConstantValue(allowances.createLimiter());
    container.bind(id.peers).toDynamicValue(() =>
        peersPart.createPeers({
            self: () => self,
            seeds: settings.seeds,
            network: container.get(id.network),
            clock,
            events: events(),
            random: surroundings.random,
            localDigest: () => knowledge().localDigest(),
            onDigest: (told, askedMs) => knowledge().mergeDigest(told, askedMs),
        })
    ).inSingletonScope();
    container.bind(id.follower).toDynamicValue(() =>
        storeSyncs.createStoreSync({
            self: () => self,
            store: platform().store,
            layout: platform().storeLayout,
            directory: directory(),
            clock,
            events: events(),
            random: surroundings.random,
            proofAgeMs: () => tenures().proofAgeMs(clock.now()),
            listing: () => knowledge().listing(),
            pollRank: () => knowledge().pollRank(),
            watching: () => knowledge().watching(),
            hasSuspectedHosts: () => peers().usageReports().suspectedHosts > 0,
            holdsFailoverLock: () => container.get<coordinators.HeldLock>(id.duty).fencingToken() !== undefined,
            onSnapshot: (contents, askedMs) => knowledge().applyStoreContents(contents, askedMs),
            onChange: () => knowledge().configurationChanged(),
        })
    ).inSingletonScope();
    container.bind(id.knowledge).toDynamicValue(() =>
        knowledges.createClusterView({
            ...settings,
            regionByFailureDomain: settings.failureDomains,
            clock,
            handoverGraceMs: handoverMs,
            events: events(),
            leadership: tenures(),
            directory: directory(),
            limiter: allowance(),
            dialer: platform().dialer,
            self: () => self,
            peers,
            storeSync: follower,
            coordinator: promoter,
            onChange: noteReadiness,
        })
    ).inSingletonScope();
    container.bind(id.duty).toConstantValue(coordinators.createHeldLock(() => follower()));
    container.bind(id.probes).toDynamicValue(() =>
        probers.createProber({
            clock,
            dialer: platform().dialer,
            organisation: () => [...follower().policy().organisations.keys()][0],
        })
    ).inSingletonScope();
    container.bind(id.replacements).toDynamicValue(() =>
        replacement.createReplacer({
            ...duties(),
            hostId: settings.id,
            promotions: platform().promotions,
            leadership: tenures(),
            proofMs,
            fencingToken: () => container.get<coordinators.HeldLock>(id.duty).fencingToken(),
            applyRecord: record => knowledge().applyRecord(record),
            applyAndFence: record => knowledge().applyAndFence(record),
        })
    ).inSingletonScope();
    container.bind(id.promoter).toDynamicValue(() =>
        coordinators.createFailoverCoordinator({
            ...duties(),
            self,
            lock: container.get<coordinators.HeldLock>(id.duty),
            replacer: container.get<replacement.Replacer>(id.replacements),
            groups: () => knowledge().groups(),
        })
    ).inSingletonScope();
    container.bind(id.entrance).toDynamicValue(() =>
        entrances.createLogin({
            clock,
            events: events(),
            metrics: intervals.combine(metrics(), interval),
            executor: runners.createExecutor({ clock, events: events() }),
            transactions: transactions.createTransactions({ clock, events: events() }),
            limiter: allowance(),
            policy: () => follower().policy(),
            group: name => knowledge().group(name),
            checkSuspension: () => knowledge().checkSuspension(),
            refusesLogins: () => refusing,
        })
    ).inSingletonScope();

    const events = (): eventsPart.EventLog => container.get(id.events);
    const metrics = (): metricsPart.Metrics => container.get(id.metrics);
    const platform = (): Platform => container.get(id.platform);
    const tenures = (): tenure.Leadership => container.get(id.tenures);
    const directory = (): directories.Directory => container.get(id.directory);
    const allowance = (): allowances.Limiter => container.get(id.allowance);
    const peers = (): peersPart.Peers => container.get(id.peers);
    const follower = (): storeSyncs.StoreSync => container.get(id.follower);
    const promoter = (): coordinators.FailoverCoordinator => container.get(id.promoter);
    const knowledge = (): knowledges.ClusterView => container.get(id.knowledge);
    const served = () =>
        handlers.createHandlers({
            clock,
            peers: peers(),
            knowledge: knowledge(),
            storeSync: follower(),
            directory: directory(),
        });
    /** What all parts of the duty to replace primaries need. */
    const duties = () => ({
        clock,
        events: events(),
        store: platform().store,
        storeSync: follower(),
        peers: peers(),
        prober: container.get<probers.Prober>(id.probes),
        endpoints: (group: string) => directory().inGroup(group),
    });

    function levels(): metricsPart.Gauges {
        const merge = (read: (entry: groupsPart.Group) => Readonly<Record<string, number>>): Record<string, number> =>
            Object.assign({}, ...knowledge().groups().map(read)) as Record<string, number>;
        return {
            loadByEndpoint: merge(entry => entry.loadByEndpoint()),
            connectionsByEndpoint: merge(entry => entry.connectionsByEndpoint()),
            callers: callers?.count() ?? 0,
            configurationVersion: follower().policy().version,
            proofAgeMs: tenures().proofAgeMs(clock.now()),
            holdsFailoverLock: container.get<coordinators.HeldLock>(id.duty).fencingToken() !== undefined,
        };
    }

    function shareLimits(startMs: number): void {
        if (peers().all().length > 0 || clock.now() - startMs > aloneMs) {
            allowance().applyReports(peers().usageReports(), clock.now());
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
        drain: () => follower().deregister(),
        close: () => follower().close(),
    });
    lifecycle.add({ name: "promoter", start: () => promoter().start(), close: () => promoter().close() });
    lifecycle.add({
        name: "upkeep",
        start() {
            const startMs = clock.now();
            stopTimers = [
                clock.every(tickMs, () => {
                    knowledge().checkSuspension();
                    knowledge().evaluateProof();
                    noteReadiness();
                }),
                clock.every(shareMs, () => shareLimits(startMs)),
                clock.every(catalogueMs, () => knowledge().refreshFromPeer()),
                clock.every(flushMs, () => {
                    events().reportOmitted();
                    const report = interval.flush(follower().policy(), clock.now());
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
            readiness = await platform().listenReadiness(ready);
            callers = await platform().listenCallers(container.get<caller.Login>(id.entrance));
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
