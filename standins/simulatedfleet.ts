/** Hosts of the product without their callers, over a simulated store, network and endpoints. */
import * as neverthrow from "neverthrow";
import * as directories from "../src/core/directory.js";
import * as failure from "../src/core/failure.js";
import * as leaderships from "../src/core/leadership.js";
import * as limiters from "../src/core/limiter.js";
import * as policies from "../src/core/policy.js";
import * as storeEra from "../src/core/storeera.js";
import type * as connections from "../src/ports/connection.js";
import type * as rpc from "../src/ports/messages.js";
import type * as network from "../src/ports/network.js";
import * as clusterViews from "../src/proxy/clusterview.js";
import * as coordinators from "../src/proxy/coordinator.js";
import * as evacuationViews from "../src/proxy/evacuations.js";
import type * as eventLogs from "../src/proxy/events.js";
import * as messages from "../src/proxy/messages.js";
import * as gossip from "../src/proxy/peers.js";
import * as relocations from "../src/proxy/relocation.js";
import * as replacers from "../src/proxy/replacement.js";
import * as restorers from "../src/proxy/restoration.js";
import * as storeSyncs from "../src/proxy/storesync.js";
import * as simulatedEndpoints from "./simulatedendpoints.js";
import * as simulation from "./simulation.js";

/** Name of the only group. */
export const group = "ledger";
/** Age at which a proof expires, in milliseconds. */
export const maxProofAgeMs = 1_500;
const graceMs = 150;

/** One host, as far as tests look into it. */
export interface Host {
    readonly leadership: leaderships.Leadership;
    readonly storeSync: storeSyncs.StoreSync;
    readonly evacuations: evacuationViews.Evacuations;
    readonly era: storeEra.StoreEra;
    /** Fencing token of the failover lock; undefined unless the host believes that it holds the lock. */
    fencingToken(): number | undefined;
    close(): void;
}

/** The hosts and what surrounds them. */
export interface Fleet {
    readonly clock: simulation.Clock;
    readonly store: simulation.Store;
    readonly endpoints: readonly simulatedEndpoints.Endpoint[];
    readonly hosts: Host[];
    readonly promotions: readonly simulatedEndpoints.Promotion[];
    /** Events of all hosts, in order. */
    readonly events: readonly (readonly [host: number, name: eventLogs.EventName])[];
    /** Hosts that can't reach the store. */
    readonly cutFromStore: Set<number>;
    /** Hosts that reach no other host. */
    readonly cutFromPeers: Set<number>;
    /** Hosts whose processes don't run. */
    readonly down: Set<number>;
    start(host: number): void;
    kill(host: number): void;
    configure(version: number): void;
    close(): void;
}

/** Region of each failure domain. Endpoint i-1 is in zone-1 and so on where a fleet has evacuations, else all in zone-0. */
const regions: Readonly<Record<string, string>> = {
    "zone-0": "region",
    "zone-1": "region",
    "zone-2": "region",
    "zone-3": "region",
};
const domainOf = (key: string): string => `zone-${key.slice(-1)}`;

const silent = { kind: "unreachable" as const };

/** Hosts that believe that they hold the failover lock, if there are several. */
export function rivalHolders(fleet: Fleet): readonly string[] {
    const holders = fleet.hosts.flatMap((host, index) =>
        fleet.down.has(index) || host.fencingToken() === undefined ? [] : [`host-${index}`]
    );
    return holders.length > 1 ? [`${holders.join(" and ")} hold the lock`] : [];
}

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
    fleetOptions: { readonly evacuateMs?: number } = {},
): Fleet {
    const clock = simulation.createClock();
    const simulatedStore = simulation.createStore(clock);
    const { all: endpoints, promotions, send, promote } = simulatedEndpoints.createEndpoints(clock, () => list());
    const events: (readonly [number, eventLogs.EventName])[] = [];
    const [cutFromStore, cutFromPeers, down] = [new Set<number>(), new Set<number>(), new Set<number>()];
    const running: { peers: gossip.Peers; clusterView: clusterViews.ClusterView }[] = [];
    let starts = 0;

    const put = (version: number): void => simulatedStore.put("op/config", String(version));
    const list = (): void =>
        endpoints.filter(endpoint => endpoint.alive).forEach(endpoint =>
            simulatedStore.put(`servers/${endpoint.id}`, JSON.stringify({ primary: endpoint.primary }))
        );
    put(1);
    list();

    const storeLayout: storeSyncs.StoreLayout = {
        configurationKey: "op/config",
        endpointsPrefix: "servers/",
        evacuationsPrefix: "op/evacuate/",
        operatorsPrefix: "op/",
        parsePolicy: text =>
            neverthrow.ok({
                ...policies.empty,
                version: Number(text),
                groups: new Map([[group, { name: group, maxConnections: 16 }]]),
                organisations: new Map([["cluj", { name: "cluj", ratePerSecond: 100, burst: 100 }]]),
            }),
        parseEndpoint: (key, text) =>
            neverthrow.ok({
                id: key.slice("servers/".length),
                group,
                address: key,
                failureDomain: fleetOptions.evacuateMs === undefined ? "zone-0" : domainOf(key),
                slots: 2,
                draining: false,
                primary: (JSON.parse(text) as { readonly primary: boolean }).primary,
                born: 1,
                sequence: 1,
            }),
    };

    function networkOf(from: number): network.Network {
        return {
            openChannel: address => ({
                async call<Request, Reply>(method: rpc.Method<Request, Reply>, request: Request) {
                    const to = Number(address);
                    const lost = neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "no answer"));
                    await clock.sleep(simulatedEndpoints.delayMs);
                    if (down.has(to)) {
                        return neverthrow.err(failure.create(failure.Code.ownerUnreachable, address, "refused"));
                    }
                    const remote = running[to];
                    if (remote === undefined || down.has(from) || [from, to].some(host => cutFromPeers.has(host))) {
                        return lost;
                    }
                    if (method.name === messages.peer.record.name) {
                        await remote.clusterView.applyAndFence(request as leaderships.Record);
                        return neverthrow.ok(method.reply.parse({}));
                    }
                    if (method.name !== messages.peer.exchange.name) {
                        return lost;
                    }
                    const digest = remote.peers.handleExchange(messages.encodedDigest.parse(request));
                    await clock.sleep(simulatedEndpoints.delayMs);
                    return neverthrow.ok(method.reply.parse(digest));
                },
                close: () => undefined,
            }),
            close: () => undefined,
        };
    }

    function create(host: number): Host {
        starts += 1;
        const incarnation = String(starts);
        const self: messages.Member = {
            id: `host-${host}`,
            address: String(host),
            failureDomain: "zone-0",
            incarnation,
            leaving: false,
        };
        let closed = false;
        const eventLog: eventLogs.EventLog = {
            emit: name => void (closed || events.push([host, name])),
            reportOmitted: () => undefined,
        };
        const era = storeEra.createStoreEra({
            now: clock.now,
            onRestored() {
                if (!closed) {
                    eventLog.emit("storeRestored", {});
                    clusterView.storeRestored();
                }
            },
        });
        const client = simulatedStore.connect(era, () => closed || cutFromStore.has(host));
        const leadership = leaderships.createLeadership({ maxProofAgeMs, graceMs });
        const directory = directories.createDirectory({ missingGraceMs: 2_500, outageGapMs: 2_500 });
        const limiter = limiters.createLimiter();
        const peers = gossip.createPeers({
            self: () => self,
            seeds: [],
            network: networkOf(host),
            clock,
            events: eventLog,
            random,
            localDigest: () => clusterView.localDigest(),
            onDigest: (digest, requestedAtMs) => clusterView.mergeDigest(digest, requestedAtMs),
        });
        const evacuations: evacuationViews.Evacuations = evacuationViews.createEvacuations({
            evacuateMs: fleetOptions.evacuateMs,
            clock,
            era,
            events: eventLog,
            random,
            spread: () => peers.pollNow(),
            onChange: () => clusterView.reconcileEndpoints(),
        });
        const relocation = relocations.createRelocation({
            evacuations,
            clock,
            policy: () => storeSync.policy(),
            endpoints: name => directory.inGroup(name),
            regionOf: domain => regions[domain],
        });
        const storeSync: storeSyncs.StoreSync = storeSyncs.createStoreSync({
            self: () => self,
            store: client,
            era,
            layout: storeLayout,
            directory,
            evacuations,
            clock,
            events: eventLog,
            random,
            proofAgeMs: () => leadership.proofAgeMs(clock.now()),
            newestPeerListing: () => clusterView.newestPeerListing(),
            pollRank: () => clusterView.pollRank(),
            watchesConfiguration: () => clusterView.watchesConfiguration(),
            cellRank: () => 0,
            hasSuspectedHosts: () => false,
            holdsFailoverLock: () => lock.fencingToken() !== undefined,
            onSnapshot: (snapshot, requestedAtMs) => clusterView.applyStoreContents(snapshot, requestedAtMs),
            onChange: () => clusterView.configurationChanged(),
        });
        const lock = coordinators.createHeldLock(() => storeSync);
        const sendIfOpen = async (endpoint: directories.Endpoint, request: connections.ControlCommand) =>
            relocation.mayContact(endpoint) ? send(host, endpoint.id, request) : undefined;
        const prober = {
            send: sendIfOpen,
            async statuses(listed: readonly directories.Endpoint[]) {
                const found = await Promise.all(
                    listed.map(async endpoint =>
                        [endpoint.id, await sendIfOpen(endpoint, { kind: "status" })] as const
                    ),
                );
                return new Map(found.flatMap(([id, status]) => (status === undefined ? [] : [[id, status] as const])));
            },
            evict: () => undefined,
            close: () => undefined,
        };
        const common = {
            clock,
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
            groups: () => clusterView.groups(),
        });
        const clusterView: clusterViews.ClusterView = clusterViews.createClusterView({
            failureDomain: "zone-0",
            regionByFailureDomain: regions,
            evacuations,
            clock,
            era,
            handoverGraceMs: graceMs,
            events: eventLog,
            leadership,
            directory,
            limiter,
            dialer: { dial: async () => neverthrow.err(silent.kind) } as unknown as connections.Dialer,
            queryStatus: endpoint => sendIfOpen(endpoint, { kind: "status" }),
            random,
            self: () => self,
            peers: () => peers,
            storeSync: () => storeSync,
            coordinator: () => coordinator,
            onChange: () => undefined,
        });
        running[host] = { peers, clusterView };
        peers.start();
        storeSync.start();
        coordinator.start();
        const stopEvaluation = clock.every(100, () => {
            clusterView.evaluateProof();
            evacuations.check();
        });
        return {
            leadership,
            storeSync,
            evacuations,
            era,
            fencingToken: () => lock.fencingToken(),
            close() {
                closed = true;
                stopEvaluation();
                coordinator.close();
                storeSync.close();
                peers.close();
            },
        };
    }

    const fleet: Fleet = {
        clock,
        store: simulatedStore,
        endpoints,
        promotions,
        events,
        cutFromStore,
        cutFromPeers,
        down,
        hosts: [],
        start(host) {
            down.delete(host);
            fleet.hosts[host] = create(host);
        },
        kill(host) {
            down.add(host);
            fleet.hosts[host]?.close();
        },
        configure: put,
        close: () => fleet.hosts.forEach(host => host.close()),
    };
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
