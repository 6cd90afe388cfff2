/** Hosts of the product without their callers, over a simulated store, network and endpoints. */
import * as neverthrow from "neverthrow";
import * as directories from "../src/core/directory.js";
import * as duties from "../src/core/duties.js";
import * as leaderships from "../src/core/leadership.js";
import * as limiters from "../src/core/limiter.js";
import type * as rooms from "../src/core/room.js";
import * as storeEra from "../src/core/storeera.js";
import type * as connections from "../src/ports/connection.js";
import * as clusterViews from "../src/proxy/clusterview.js";
import * as coldGates from "../src/proxy/coldgate.js";
import * as configurationTransfer from "../src/proxy/configurationtransfer.js";
import * as coordinators from "../src/proxy/coordinator.js";
import * as evacuationViews from "../src/proxy/evacuations.js";
import type * as eventLogs from "../src/proxy/events.js";
import * as failoverLocks from "../src/proxy/failoverlock.js";
import * as messages from "../src/proxy/messages.js";
import * as gossip from "../src/proxy/peers.js";
import * as readingSchedules from "../src/proxy/readingschedule.js";
import * as relocations from "../src/proxy/relocation.js";
import * as replacers from "../src/proxy/replacement.js";
import * as restorers from "../src/proxy/restoration.js";
import type * as storeNewsExchange from "../src/proxy/storenews.js";
import * as storeSyncs from "../src/proxy/storesync.js";
import * as simulatedEndpoints from "./simulatedendpoints.js";
import * as simulatedNetworks from "./simulatednetwork.js";
import * as simulation from "./simulation.js";

/** Age at which a proof expires, in milliseconds. */
export const maxProofAgeMs = 1_500;
const graceMs = 150;

/** One host, as far as tests look into it. */
export interface Host {
    readonly leadership: leaderships.Leadership;
    readonly storeSync: storeSyncs.StoreSync;
    readonly storeNews: storeNewsExchange.StoreNews;
    readonly peers: gossip.Peers;
    readonly evacuations: evacuationViews.Evacuations;
    readonly era: storeEra.StoreEra;
    /** Fencing token of the failover lock; undefined unless the host believes that it holds the lock. */
    fencingToken(): number | undefined;
    close(): void;
}

/** The hosts and what surrounds them. */
export interface Fleet extends simulatedNetworks.Faults {
    readonly clock: simulation.Clock;
    readonly store: simulation.Store;
    readonly endpoints: readonly simulatedEndpoints.Endpoint[];
    readonly hosts: Host[];
    /** What hosts say of their room, if it isn't the usual; undefined for a host of an older version. */
    readonly rooms: Map<number, rooms.Report | undefined>;
    readonly promotions: readonly simulatedEndpoints.Promotion[];
    /** Events of all hosts, in order. */
    readonly events: readonly (readonly [host: number, name: eventLogs.EventName])[];
    start(host: number): void;
    kill(host: number): void;
    /** Writes a configuration, with another number of synchronous replicas if it is given. */
    configure(version: number, syncReplicas?: number): void;
    close(): void;
}

/** Where the hosts stand, and what the platform asks for. */
export interface Topology extends simulatedNetworks.Topology {
    /** Bound of evacuations, if the platform has them. */
    readonly evacuateMs?: number;
    /** Replicas that must receive a commit before it is acknowledged; none unless given. */
    readonly syncReplicas?: number;
}

/** The parts of a host that other hosts call. */
interface Running {
    readonly peers: gossip.Peers;
    readonly clusterView: clusterViews.ClusterView;
    readonly storeSync: storeSyncs.StoreSync;
    readonly storeNews: storeNewsExchange.StoreNews;
    readonly source: configurationTransfer.Source;
}

const usualRoom: rooms.Report = { spare: 0.7, strained: false, inRotation: true, claim: undefined };
const silent = { kind: "unreachable" as const };

/** A sequence of numbers in [0, 1) that is the same each time. */
export function createNumbers(): () => number {
    let seed = 0;
    return () => {
        seed = (seed * 7 + 3) % 101;
        return seed / 101;
    };
}

/** Creates a fleet; nothing runs until its clock moves. */
export function createFleet(
    hostCount: number,
    random: () => number,
    topology: Topology = simulatedNetworks.singleDomain,
): Fleet {
    const clock = simulation.createClock();
    const simulatedStore = simulation.createStore(clock);
    const faults = simulatedNetworks.createFaults();
    const storeLayout = simulatedEndpoints.createStoreLayout(
        topology.evacuateMs !== undefined,
        topology.syncReplicas ?? 0,
    );
    const { all: endpoints, promotions, send, promote, list } = simulatedEndpoints.createEndpoints(
        clock,
        simulatedStore,
    );
    const events: (readonly [number, eventLogs.EventName])[] = [];
    const running: Running[] = [];
    const roomByHost = new Map<number, rooms.Report | undefined>();
    let starts = 0;

    const put = (version: number, syncReplicas?: number): void =>
        simulatedStore.put("op/config", syncReplicas === undefined ? String(version) : `${version} ${syncReplicas}`);
    put(1);
    list();

    /** Answers a call from another host. */
    async function handle(to: number, method: string, request: unknown): Promise<unknown> {
        const remote = running[to];
        if (remote === undefined) {
            return undefined;
        }
        switch (method) {
            case messages.peer.exchange.name:
                return remote.peers.handleExchange(request as messages.EncodedDigest);
            case messages.peer.record.name:
                await remote.clusterView.applyAndFence(request as leaderships.Record);
                return {};
            case messages.peer.configuration.name:
                return remote.source.part((request as { readonly offset: number }).offset);
            case messages.peer.catalogue.name: {
                const { endpointListing } = remote.storeSync;
                return { endpoints: endpointListing.endpoints(), ageMs: endpointListing.summary(clock.now())?.ageMs };
            }
            case messages.peer.news.name:
                return remote.storeNews.answer(request as messages.NewsQuestion);
            default:
                return undefined;
        }
    }

    function linkToStore(host: number): simulation.StoreLink {
        const isRemote = simulatedNetworks.regionOf(topology, host) > 0;
        if (faults.cutFromStore.has(host) || (isRemote && faults.regionsCut)) {
            return "cut";
        }
        return faults.refusedByStore.has(host) ? "refused" : "up";
    }

    function create(host: number): Host {
        starts += 1;
        const incarnation = String(starts);
        const failureDomain = `zone-${simulatedNetworks.domainOf(topology, host)}`;
        const self: messages.Member = {
            id: `host-${host}`,
            address: String(host),
            failureDomain,
            incarnation,
            leaving: false,
            capacity: 1,
        };
        let closed = false;
        const hostClock = simulation.createPausableClock(clock, () => faults.frozen.has(host));
        const eventLog: eventLogs.EventLog = {
            emit: name => void (closed || events.push([host, name])),
            reportOmitted: () => undefined,
        };
        const era = storeEra.createStoreEra({
            now: hostClock.now,
            onRestored() {
                if (!closed) {
                    eventLog.emit("storeRestored", {});
                    clusterView.storeRestored();
                }
            },
        });
        const client = simulatedStore.connect(
            era,
            () => (closed ? "cut" : linkToStore(host)),
            () => simulatedNetworks.untilThawed(clock, faults, host),
        );
        const leadership = leaderships.createLeadership({ maxProofAgeMs, graceMs });
        const directory = directories.createDirectory({ missingGraceMs: 2_500, outageGapMs: 2_500 });
        const limiter = limiters.createLimiter();
        const peers = gossip.createPeers({
            self: () => self,
            seeds: [],
            network: simulatedNetworks.createNetwork(host, { clock, topology, faults, handle }),
            clock: hostClock,
            events: eventLog,
            random,
            localDigest: () => clusterView.localDigest(),
            room: () => (roomByHost.has(host) ? roomByHost.get(host) : usualRoom),
            isUrgent: () => clusterView.lacksProof(),
            onDigest: (digest, requestedAtMs) => clusterView.mergeDigest(digest, requestedAtMs),
        });
        const { news: storeNews, schedule } = readingSchedules.createReading({
            clock: hostClock,
            era,
            events: eventLog,
            leadership,
            random,
            self: () => self,
            peers: () => peers,
            storeSync: () => storeSync,
            clusterView: () => clusterView,
            coordinator: () => coordinator,
            holdsFailoverLock: () => lock.fencingToken() !== undefined,
            count: () => undefined,
        });
        const evacuations: evacuationViews.Evacuations = evacuationViews.createEvacuations({
            evacuateMs: topology.evacuateMs,
            clock: hostClock,
            era,
            events: eventLog,
            random,
            spread: () => peers.pollNow(),
            onChange: () => clusterView.reconcileEndpoints(),
        });
        const relocation = relocations.createRelocation({
            evacuations,
            clock: hostClock,
            policy: () => storeSync.policy(),
            endpoints: name => directory.inGroup(name),
            regionOf: () => "region",
        });
        const storeSync: storeSyncs.StoreSync = storeSyncs.createStoreSync({
            self: () => self,
            store: client,
            era,
            layout: storeLayout,
            directory,
            evacuations,
            clock: hostClock,
            events: eventLog,
            random,
            schedule,
            newestPeerListing: () => clusterView.newestPeerListing(),
            carriesLock: lease => lock.isCarriedBy(lease),
            onSnapshot: (snapshot, requestedAtMs) => storeNews.applySnapshot(snapshot, requestedAtMs),
            onChange() {
                clusterView.configurationChanged();
                storeNews.publish();
            },
        });
        const lock = failoverLocks.createHeldLock({
            clock: hostClock,
            store: () => client,
            storeSync: () => storeSync,
        });
        const prober = simulatedEndpoints.createProber(
            async (endpoint, request, timeoutMs) =>
                relocation.mayContact(endpoint) ? send(host, endpoint.id, request, timeoutMs) : undefined,
        );
        const common = {
            clock: hostClock,
            era,
            events: eventLog,
            store: client,
            storeSync,
            peers,
            prober,
            leadership,
            endpoints: (name: string) => directory.inGroup(name),
            relocation,
            fencingToken: () => lock.fencingToken(),
        };
        const coordinator: coordinators.FailoverCoordinator = coordinators.createFailoverCoordinator({
            ...common,
            self,
            lock,
            restorer: restorers.createRestorer(common),
            replacer: replacers.createReplacer({
                ...common,
                hostId: self.id,
                maxProofAgeMs,
                promotions: { promote: (_, endpoint, holder, token) => promote(endpoint, holder, token) },
                applyRecord: record => clusterView.applyRecord(record),
                applyAndFence: record => clusterView.applyAndFence(record),
            }),
            schedule,
            groups: () => clusterView.groups(),
            shouldHandOver: () =>
                duties.shouldHandOver(
                    peers.rooms.isStrained(self.id),
                    peers.live().map(peer => peers.rooms.claimToDuties(peer.member.id)),
                ),
        });
        const coldGate = coldGates.createColdGate({
            self: self.id,
            clock,
            events: eventLog,
            metrics: { permitAsked: () => undefined },
            tolerance: undefined,
            directory,
            policy: () => storeSync.policy(),
            peers: () => peers,
            fencingToken: () => lock.fencingToken(),
            noClockJumpSince: sinceMs => clusterView.noClockJumpSince(sinceMs),
            checkSuspension: () => clusterView.checkSuspension(),
        });
        const clusterView: clusterViews.ClusterView = clusterViews.createClusterView({
            failureDomain,
            spillover: { targetFraction: 0.25, maxShare: 1 },
            regionByFailureDomain: {},
            evacuations,
            clock: hostClock,
            era,
            handoverGraceMs: graceMs,
            events: eventLog,
            leadership,
            directory,
            limiter,
            coldGate,
            metrics: { inverted: () => undefined, abandoned: () => undefined },
            dialer: { dial: async () => neverthrow.err(silent.kind) } as unknown as connections.Dialer,
            queryStatus: async endpoint => (await prober.statuses([endpoint])).get(endpoint.id),
            random,
            self: () => self,
            peers: () => peers,
            storeSync: () => storeSync,
            coordinator: () => coordinator,
            onChange: () => undefined,
        });
        const source = configurationTransfer.createSource(storeSync.configuration);
        running[host] = { peers, clusterView, storeSync, storeNews, source };
        peers.start();
        storeSync.start();
        coordinator.start();
        const stopEvaluation = hostClock.every(100, () => {
            clusterView.evaluateProof();
            storeNews.check();
            evacuations.check();
        });
        return {
            leadership,
            storeSync,
            storeNews,
            peers,
            evacuations,
            era,
            fencingToken: () => lock.fencingToken(),
            close() {
                closed = true;
                stopEvaluation();
                coordinator.close();
                storeNews.close();
                storeSync.close();
                peers.close();
            },
        };
    }

    const fleet: Fleet = Object.assign(faults, {
        clock,
        store: simulatedStore,
        endpoints,
        promotions,
        events,
        rooms: roomByHost,
        hosts: [] as Host[],
        start(host: number) {
            faults.down.delete(host);
            faults.frozen.delete(host);
            fleet.hosts[host] = create(host);
        },
        kill(host: number) {
            faults.down.add(host);
            fleet.hosts[host]?.close();
        },
        configure: put,
        close: () => fleet.hosts.forEach(host => host.close()),
    });
    for (let host = 0; host < hostCount; host += 1) {
        fleet.start(host);
    }
    clock.every(1_000, () => {
        // A replaced primary becomes a replica once it reaches its successor.
        const newestTerm = Math.max(
            ...endpoints.filter(entry => entry.primary && entry.alive).map(entry => entry.term),
        );
        endpoints.filter(entry => entry.alive && entry.cutFrom.size === 0 && entry.term < newestTerm).forEach(entry => {
            entry.primary = false;
        });
        list();
    });
    return fleet;
}
