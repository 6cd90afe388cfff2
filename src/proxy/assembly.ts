/** Composition root of a host, for a platform whose database groups have terms (leadership epochs). */
import "reflect-metadata";
import * as inversify from "inversify";
import * as grpc from "../adapters/grpc.js";
import * as directories from "../core/directory.js";
import * as leaderships from "../core/leadership.js";
import * as limiters from "../core/limiter.js";
import * as policies from "../core/policy.js";
import * as storeEras from "../core/storeera.js";
import * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as network from "../ports/network.js";
import * as activities from "./activity.js";
import * as callerDrain from "./callerdrain.js";
import * as callerServices from "./callerservice.js";
import * as clusterViews from "./clusterview.js";
import * as coldGates from "./coldgate.js";
import * as connectionSharing from "./connectionsharing.js";
import * as coordinators from "./coordinator.js";
import type * as evacuationViews from "./evacuations.js";
import * as eventLogs from "./events.js";
import * as executors from "./executor.js";
import * as failoverLocks from "./failoverlock.js";
import * as gaugeReader from "./gauges.js";
import type * as hosts from "./host.js";
import * as hostRooms from "./hostroom.js";
import * as id from "./identifiers.js";
import * as logins from "./login.js";
import * as metricsRegistry from "./metrics.js";
import * as peerHandlers from "./peerhandlers.js";
import * as gossip from "./peers.js";
import * as peerServices from "./peerservice.js";
import * as periodicTasks from "./periodictasks.js";
import * as placeViews from "./places.js";
import type * as platforms from "./platform.js";
import * as probers from "./prober.js";
import * as readinessStates from "./readinessstate.js";
import * as readingSchedules from "./readingschedule.js";
import * as replacers from "./replacement.js";
import * as restorers from "./restoration.js";
import * as settingsFile from "./settings.js";
import * as stoppingSessions from "./stoppingsession.js";
import * as storeSyncs from "./storesync.js";
import * as timings from "./timings.js";
import * as transactions from "./transactions.js";

/** Assembles a host. Nothing runs until `start` is called. */
export function createHost(environment: hosts.Environment): hosts.Host {
    const { settings, clock, log } = environment;
    const container = new inversify.Container();
    const lifecycle = lifecycles.createLifecycle(log);
    let self = settingsFile.memberOf(settings, environment.incarnation);
    let callers: callerDrain.CallerListener | undefined;
    let stopTasks: (() => void) | undefined;
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
    container.bind(id.network).toDynamicValue(() => environment.meter.network(grpc.createNetwork())).inSingletonScope();
    container.bind(id.leadership).toConstantValue(
        leaderships.createLeadership({ maxProofAgeMs: timings.maxProofAgeMs, graceMs: timings.handoverGraceMs }),
    );
    container.bind(id.directory).toConstantValue(directories.createDirectory(timings));
    container.bind(id.limiter).toConstantValue(
        limiters.createLimiter({
            tolerance: settingsFile.toleranceOf(settings),
            hearsAllDirectly: () => peers().cellCount() === 1,
        }),
    );
    container.bind(id.peers).toDynamicValue(() =>
        gossip.createPeers({
            self: () => self,
            seeds: settings.seeds,
            network: container.get(id.network),
            clock,
            events: events(),
            random: environment.random,
            localDigest: environment.meter.measured("exchange", () => clusterView().localDigest()),
            room: () => hostRoom.report(),
            isUrgent: () => clusterView().lacksProof(),
            onDigest: (digest, sentMs) => clusterView().mergeDigest(digest, sentMs),
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
            failureDomains: settings.failureDomains,
        })
    ).inSingletonScope();
    container.bind(id.clusterView).toDynamicValue(() =>
        clusterViews.createClusterView({
            ...settings,
            regionByFailureDomain: settings.failureDomains,
            clock,
            era,
            handoverGraceMs: timings.handoverGraceMs,
            events: events(),
            leadership: leadership(),
            directory: directory(),
            limiter: limiter(),
            evacuations: evacuations(),
            dialer: platform().dialer,
            queryStatus: async endpoint =>
                (await container.get<probers.Prober>(id.prober).statuses([endpoint])).get(endpoint.id),
            coldGate: coldGate(),
            metrics: metrics(),
            sharing: sharing(),
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
    container.bind(id.sharing).toDynamicValue(() =>
        connectionSharing.createConnectionSharing({
            ...common(),
            ...settings.connectionHolders,
            directory: directory(),
            evacuations: evacuations(),
            random: environment.random,
            regionOf: places().regionOf,
            self: () => self,
            peers,
            group: name => clusterView().group(name),
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
            maxProofAgeMs: timings.maxProofAgeMs,
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
            shouldHandOver: () => hostRoom.shouldHandOver(),
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
            stoppingSessions: stopping,
        })
    ).inSingletonScope();

    const stopping = stoppingSessions.createStoppingSessions({
        clock,
        graceMs: settings.graceMs,
        events: () => events(),
        policy: () => storeSync().policy(),
    });

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
    const sharing = (): connectionSharing.ConnectionSharing => container.get(id.sharing);
    const limiter = (): limiters.Limiter => container.get(id.limiter);
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
        meter: environment.meter,
        era,
        events: events(),
        clusterView: clusterView(),
        coldGate: coldGate(),
        sharing: sharing(),
        storeSync: storeSync(),
        storeNews: reading().news,
        peers: peers(),
        directory: directory(),
        leadership: leadership(),
        limiter: limiter(),
        failoverLock: failoverLock(),
        evacuations: evacuations(),
        hostRoom,
    });
    const gauges = () => gaugeReader.read({ ...components(), callers: callers?.count() ?? 0 });

    const readinessState = readinessStates.createReadiness({
        events,
        stopping: () => stopping.limits() !== undefined,
        conditions: () => ({
            configuration: storeSync().policy().version > 0,
            endpoints: directory().all().length > 0,
            primaries: leadership().all().length > 0,
            evacuations: evacuations().known(),
        }),
        hasRoom: () => hostRoom.inRotation(),
    });
    const hostRoom = hostRooms.createHostRoom({
        ...environment,
        events,
        peers,
        otherwiseReady: readinessState.otherwiseReady,
        callers: () => callers,
    });

    lifecycle.add(peerServices.createPeerService({
        settings,
        handlers: () => environment.meter.handlers(peerHandlers.createHandlers(components())),
        network: () => container.get<network.Network>(id.network),
        peers,
        news: () => reading().news,
    }));
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
        // Transactions of other hosts get the same part of the grace to end as those of callers.
        drain: () => sharing().drain(stopping.limits()?.transactionsUntilMs ?? clock.now()),
        close: () => stopTasks?.(),
    });
    lifecycle.add(callerServices.createCallerService({
        settings,
        clock,
        platform,
        metrics,
        login: () => container.get<caller.Login>(id.login),
        ready: readinessState.ready,
        stopping,
        onDrain() {
            self = { ...self, leaving: true };
            readinessState.report();
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
