/** Composition root of a host, for a platform whose database groups have terms (leadership epochs). */
import "reflect-metadata";
import * as inversify from "inversify";
import * as grpc from "../adapters/grpc.js";
import * as directories from "../core/directory.js";
import * as leaderships from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import * as policies from "../core/policy.js";
import * as storeEras from "../core/storeera.js";
import * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as network from "../ports/network.js";
import * as activities from "./activity.js";
import type * as callerDrain from "./callerdrain.js";
import * as callerServices from "./callerservice.js";
import * as clusterViews from "./clusterview.js";
import * as coldGates from "./coldgate.js";
import * as coordinators from "./coordinator.js";
import type * as evacuationViews from "./evacuations.js";
import * as eventLogs from "./events.js";
import * as executors from "./executor.js";
import * as failoverLocks from "./failoverlock.js";
import * as gaugeReader from "./gauges.js";
import type * as hosts from "./host.js";
import * as id from "./identifiers.js";
import * as logins from "./login.js";
import * as messages from "./messages.js";
import * as metricsRegistry from "./metrics.js";
import * as peerHandlers from "./peerhandlers.js";
import * as gossip from "./peers.js";
import * as periodicTasks from "./periodictasks.js";
import * as placeViews from "./places.js";
import type * as platforms from "./platform.js";
import * as probers from "./prober.js";
import * as readinessStates from "./readinessstate.js";
import * as readingSchedules from "./readingschedule.js";
import * as replacers from "./replacement.js";
import * as restorers from "./restoration.js";
import * as settingsFile from "./settings.js";
import * as storeSyncs from "./storesync.js";
import * as transactions from "./transactions.js";
import * as usageExchanges from "./usageexchange.js";

/**
 * Age up to which a proof of the records is valid: three polls of the store, of which one may be lost. A replacement of
 * a primary waits at most this long for hosts that can't be reached.
 */
const maxProofAgeMs = 1_500;
/** Time that statements in flight at a primary being replaced get to finish; covers several statements. */
const handoverGraceMs = 150;
/** Time for which a missing endpoint is kept; after an outage, entries return within two seconds. */
const missingGraceMs = 2_500;
/** Gap between endpoint listings that counts as an outage: two listings lost. */
const outageGapMs = 2_500;

/** Assembles a host. Nothing runs until `start` is called. */
export function createHost(environment: hosts.Environment): hosts.Host {
    const { settings, clock, log } = environment;
    const container = new inversify.Container();
    const lifecycle = lifecycles.createLifecycle(log);
    let self: messages.Member = {
        id: settings.id,
        address: `${settings.peers.host}:${settings.peers.port}`,
        failureDomain: settings.failureDomain,
        incarnation: environment.incarnation,
        leaving: false,
        capacity: settings.processor.share * settings.processor.cores,
    };
    let callers: callerDrain.CallerListener | undefined;
    let stopping = false;
    let refusesLogins = false;
    let stopTasks: (() => void) | undefined;
    let peerServer: grpc.Server | undefined;
    const era = storeEras.createStoreEra({
        now: clock.now,
        onRestored(next, previous) {
            events().emit("storeRestored", { era: next, previous });
            metrics().countStoreRestoration();
            clusterView().storeRestored();
        },
    });

    const activity = activities.createActivityCounter(
        clock.now(),
        database => storeSync().policy().routes.get(database)?.consistency.kind === "primary",
    );

    container.bind(id.events).toConstantValue(eventLogs.createEventLog(log, clock));
    container.bind(id.metrics).toDynamicValue(() => metricsRegistry.createMetrics(gauges)).inSingletonScope();
    container.bind(id.platform).toDynamicValue(() =>
        environment.platform((kind, result) => metrics().countPlatformCall(kind, result), era)
    ).inSingletonScope();
    container.bind(id.network).toDynamicValue(() => grpc.createNetwork()).inSingletonScope();
    container.bind(id.leadership).toConstantValue(
        leaderships.createLeadership({ maxProofAgeMs, graceMs: handoverGraceMs }),
    );
    container.bind(id.directory).toConstantValue(directories.createDirectory({ missingGraceMs, outageGapMs }));
    container.bind(id.peers).toDynamicValue(() =>
        gossip.createPeers({
            self: () => self,
            seeds: settings.seeds,
            network: container.get(id.network),
            clock,
            events: events(),
            random: environment.random,
            localDigest: () => clusterView().localDigest(),
            isUrgent: () => clusterView().lacksProof(),
            onDigest: (digest, sentMs) => clusterView().mergeDigest(digest, sentMs),
        })
    ).inSingletonScope();
    container.bind(id.usageExchange).toDynamicValue(() =>
        usageExchanges.createUsageExchange({
            clock,
            self: () => self,
            peers,
            tolerance: settingsFile.toleranceOf(settings),
            count: result => metrics().countUsageReport(result),
        })
    ).inSingletonScope();
    container.bind(id.storeSync).toDynamicValue(() =>
        storeSyncs.createStoreSync({
            self: () => self,
            store: platform().store,
            era,
            layout: platform().storeLayout,
            directory: coldGate().watch(directory()),
            evacuations: evacuations(),
            clock,
            events: events(),
            random: environment.random,
            schedule: reading().schedule,
            newestPeerListing: () => clusterView().newestPeerListing(),
            carriesLock: lease => failoverLock().isCarriedBy(lease),
            onSnapshot: (snapshot, sentMs) => reading().news.applySnapshot(snapshot, sentMs),
            onChange() {
                clusterView().configurationChanged();
                reading().news.publish();
            },
        })
    ).inSingletonScope();
    container.bind(id.reading).toDynamicValue(() =>
        readingSchedules.createReading({
            clock,
            era,
            events: events(),
            leadership: leadership(),
            random: environment.random,
            self: () => self,
            peers,
            storeSync,
            clusterView,
            coordinator,
            holdsFailoverLock: () => failoverLock().fencingToken() !== undefined,
            count: result => metrics().countNews(result),
        })
    ).inSingletonScope();
    container.bind(id.places).toDynamicValue(() =>
        placeViews.createPlaces({
            evacuateMs: settings.evacuateMs,
            clock,
            era,
            events: events(),
            random: environment.random,
            spread: () => peers().pollNow(),
            onChange() {
                clusterView().reconcileEndpoints();
                container.get<probers.Prober>(id.prober).evict();
            },
            policy: () => storeSync().policy(),
            endpoints: group => directory().inGroup(group),
            regionOf: domain => settings.failureDomains[domain],
        })
    ).inSingletonScope();
    container.bind(id.clusterView).toDynamicValue(() =>
        clusterViews.createClusterView({
            ...settings,
            regionByFailureDomain: settings.failureDomains,
            clock,
            era,
            handoverGraceMs,
            events: events(),
            leadership: leadership(),
            directory: directory(),
            limiter: limiter(),
            evacuations: evacuations(),
            dialer: platform().dialer,
            queryStatus: async endpoint =>
                (await container.get<probers.Prober>(id.prober).statuses([endpoint])).get(endpoint.id),
            coldGate: coldGate(),
            random: environment.random,
            self: () => self,
            peers,
            storeSync,
            coordinator,
            onChange: () => readinessState.report(),
        })
    ).inSingletonScope();
    container.bind(id.coldGate).toDynamicValue(() =>
        coldGates.createColdGate({
            ...common(),
            self: settings.id,
            tolerance: settingsFile.coldToleranceOf(settings),
            directory: directory(),
            peers,
            fencingToken: () => failoverLock().fencingToken(),
            noClockJumpSince: sinceMs => clusterView().noClockJumpSince(sinceMs),
        })
    ).inSingletonScope();
    container.bind(id.failoverLock).toConstantValue(
        failoverLocks.createHeldLock({ clock, store: () => platform().store, storeSync: () => storeSync() }),
    );
    container.bind(id.prober).toDynamicValue(() =>
        probers.createProber({
            clock,
            dialer: platform().dialer,
            organisation: places().hostIdentity,
            mayContact: places().relocation.mayContact,
        })
    ).inSingletonScope();
    container.bind(id.replacer).toDynamicValue(() =>
        replacers.createReplacer({
            ...failoverOptions(),
            hostId: settings.id,
            promotions: platform().promotions,
            leadership: leadership(),
            maxProofAgeMs,
            applyRecord: record => clusterView().applyRecord(record),
            applyAndFence: record => clusterView().applyAndFence(record),
        })
    ).inSingletonScope();
    container.bind(id.coordinator).toDynamicValue(() =>
        coordinators.createFailoverCoordinator({
            ...failoverOptions(),
            self,
            lock: failoverLock(),
            replacer: container.get<replacers.Replacer>(id.replacer),
            restorer: restorers.createRestorer({
                ...failoverOptions(),
                leadership: leadership(),
            }),
            schedule: reading().schedule,
            groups: () => clusterView().groups(),
        })
    ).inSingletonScope();
    container.bind(id.login).toDynamicValue(() =>
        logins.createLogin({
            ...common(),
            metrics: activities.combine(metrics(), activity),
            executor: executors.createExecutor(common()),
            transactions: transactions.createTransactions(common()),
            limiter: limiter(),
            // A host that doesn't know the evacuations yet answers like one without configuration.
            policy: () => (evacuations().known() ? storeSync().policy() : policies.empty),
            group: name => clusterView().group(name),
            refusesLogins: () => refusesLogins,
        })
    ).inSingletonScope();

    /** Options that the parts which serve callers have in common. */
    const common = () => ({
        clock,
        events: events(),
        metrics: metrics(),
        policy: () => storeSync().policy(),
        checkSuspension: () => clusterView().checkSuspension(),
    });
    const events = (): eventLogs.EventLog => container.get(id.events);
    const metrics = (): metricsRegistry.Metrics => container.get(id.metrics);
    const platform = (): platforms.Platform => container.get(id.platform);
    const leadership = (): leaderships.Leadership => container.get(id.leadership);
    const directory = (): directories.Directory => container.get(id.directory);
    const coldGate = (): coldGates.ColdGate => container.get(id.coldGate);
    const limiter = (): limiters.Limiter => usageExchange().limiter;
    const usageExchange = (): usageExchanges.UsageExchange => container.get(id.usageExchange);
    const peers = (): gossip.Peers => container.get(id.peers);
    const failoverLock = (): failoverLocks.HeldLock => container.get(id.failoverLock);
    const storeSync = (): storeSyncs.StoreSync => container.get(id.storeSync);
    const reading = (): readingSchedules.Reading => container.get(id.reading);
    const places = (): placeViews.Places => container.get(id.places);
    const evacuations = (): evacuationViews.Evacuations => places().evacuations;
    const coordinator = (): coordinators.FailoverCoordinator => container.get(id.coordinator);
    const clusterView = (): clusterViews.ClusterView => container.get(id.clusterView);
    /** Options that the failover coordinator and the replacer have in common. */
    const failoverOptions = () => ({
        clock,
        era,
        events: events(),
        store: platform().store,
        storeSync: storeSync(),
        peers: peers(),
        prober: container.get<probers.Prober>(id.prober),
        relocation: places().relocation,
        fencingToken: () => failoverLock().fencingToken(),
        endpoints: (group: string) => directory().inGroup(group),
    });

    const components = () => ({
        clock,
        era,
        events: events(),
        clusterView: clusterView(),
        coldGate: coldGate(),
        storeSync: storeSync(),
        storeNews: reading().news,
        peers: peers(),
        directory: directory(),
        leadership: leadership(),
        limiter: limiter(),
        usageExchange: usageExchange(),
        failoverLock: failoverLock(),
        evacuations: evacuations(),
    });
    const gauges = () => gaugeReader.read({ ...components(), callers: callers?.count() ?? 0 });

    const readinessState = readinessStates.createReadiness({
        events,
        stopping: () => stopping,
        conditions: () => ({
            configuration: storeSync().policy().version > 0,
            endpoints: directory().all().length > 0,
            primaries: leadership().all().length > 0,
            evacuations: evacuations().known(),
        }),
    });

    lifecycle.add({
        name: "peers",
        async start() {
            const handlers = peerHandlers.createHandlers(components());
            peerServer = await grpc.serve(settings.peers.host, settings.peers.port, handlers);
            peers().start();
            usageExchange().start();
        },
        async close() {
            reading().news.close();
            usageExchange().close();
            peers().close();
            container.get<network.Network>(id.network).close();
            await peerServer?.close();
        },
    });
    lifecycle.add({
        name: "store",
        start: () => storeSync().start(),
        drain: () => storeSync().deregister(),
        close: () => storeSync().close(),
    });
    lifecycle.add({
        name: "failover",
        start: () => coordinator().start(),
        drain: () => coordinator().release(),
        close: () => coordinator().close(),
    });
    lifecycle.add({
        name: "periodic tasks",
        start() {
            stopTasks = periodicTasks.start({ ...components(), activity, readiness: readinessState });
        },
        close: () => stopTasks?.(),
    });
    lifecycle.add(callerServices.createCallerService({
        settings,
        clock,
        platform,
        metrics,
        login: () => container.get<caller.Login>(id.login),
        ready: readinessState.ready,
        onDrain() {
            stopping = true;
            self = { ...self, leaving: true };
            readinessState.report();
        },
        refuseLogins() {
            refusesLogins = true;
        },
        onClose: () => clusterView().groups().forEach(group => group.close()),
        onListening(listener) {
            callers = listener;
        },
    }));

    return {
        ready: readinessState.ready,
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
