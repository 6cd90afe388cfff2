/** Hosts of the product without their callers, over a simulated store, network and endpoints. */
import * as neverthrow from "neverthrow";
import * as directories from "../src/core/directory.js";
import * as leaderships from "../src/core/leadership.js";
import * as limiters from "../src/core/limiter.js";
import * as policies from "../src/core/policy.js";
import * as storeEra from "../src/core/storeera.js";
import type * as connections from "../src/ports/connection.js";
import * as clusterViews from "../src/proxy/clusterview.js";
import * as configurationTransfer from "../src/proxy/configurationtransfer.js";
import * as coordinators from "../src/proxy/coordinator.js";
import type * as eventLogs from "../src/proxy/events.js";
import * as messages from "../src/proxy/messages.js";
import * as gossip from "../src/proxy/peers.js";
import * as replacers from "../src/proxy/replacement.js";
import * as restorers from "../src/proxy/restoration.js";
import * as storeSyncs from "../src/proxy/storesync.js";
import * as simulatedNetworks from "./simulatednetwork.js";
import * as simulation from "./simulation.js";

/** Name of the only group. */
export const group = "ledger";
/** Age at which a proof expires, in milliseconds. */
export const maxProofAgeMs = 1_500;
const graceMs = 150;
const peerDelayMs = 2;
const promoteMs = 300;

/** An endpoint. */
export interface Endpoint {
    readonly id: string;
    primary: boolean;
    term: number;
    alive: boolean;
    /** Hosts that can't reach it. */
    readonly cutFrom: Set<number>;
}

/** A promotion that the platform was asked for. */
export interface Promotion {
    readonly endpoint: string;
    readonly holder: string;
    readonly token: number;
}

/** One host, as far as tests look into it. */
export interface Host {
    readonly leadership: leaderships.Leadership;
    readonly storeSync: storeSyncs.StoreSync;
    readonly era: storeEra.StoreEra;
    /** Fencing token of the failover lock; undefined unless the host believes that it holds the lock. */
    fencingToken(): number | undefined;
    close(): void;
}

/** The hosts and what surrounds them. */
export interface Fleet extends simulatedNetworks.Faults {
    readonly clock: simulation.Clock;
    readonly store: simulation.Store;
    readonly endpoints: readonly Endpoint[];
    readonly hosts: Host[];
    readonly promotions: readonly Promotion[];
    /** Events of all hosts, in order. */
    readonly events: readonly (readonly [host: number, name: eventLogs.EventName])[];
    start(host: number): void;
    kill(host: number): void;
    configure(version: number): void;
    close(): void;
}

/** The parts of a host that other hosts call. */
interface Running {
    readonly peers: gossip.Peers;
    readonly clusterView: clusterViews.ClusterView;
    readonly storeSync: storeSyncs.StoreSync;
    readonly directory: directories.Directory;
    readonly source: configurationTransfer.Source;
}

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
    topology: simulatedNetworks.Topology = simulatedNetworks.singleDomain,
): Fleet {
    const clock = simulation.createClock();
    const simulatedStore = simulation.createStore(clock);
    const faults = simulatedNetworks.createFaults();
    const endpoints: Endpoint[] = ["i-1", "i-2", "i-3"].map((id, index) => ({
        id,
        primary: index === 0,
        term: 1,
        alive: true,
        cutFrom: new Set(),
    }));
    const promotions: Promotion[] = [];
    const events: (readonly [number, eventLogs.EventName])[] = [];
    const running: Running[] = [];
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
                failureDomain: "zone-0",
                slots: 2,
                draining: false,
                primary: (JSON.parse(text) as { readonly primary: boolean }).primary,
                born: 1,
                sequence: 1,
            }),
    };

    async function send(
        host: number,
        id: string,
        request: connections.ControlCommand,
    ): Promise<connections.Status | undefined> {
        const endpoint = endpoints.find(candidate => candidate.id === id);
        await clock.sleep(peerDelayMs);
        if (endpoint === undefined || !endpoint.alive || endpoint.cutFrom.has(host)) {
            await clock.sleep(100);
            return undefined;
        }
        if (request.kind === "stepDown" && request.term > endpoint.term) {
            endpoint.primary = false;
        }
        const received = { term: endpoint.term, index: 1 };
        return { primary: endpoint.primary, term: endpoint.term, received } as connections.Status;
    }

    async function promote(id: string, holder: string, token: number): Promise<neverthrow.Result<boolean, never>> {
        await clock.sleep(peerDelayMs);
        const endpoint = endpoints.find(candidate => candidate.id === id);
        if (endpoint === undefined || !endpoint.alive) {
            return neverthrow.ok(false);
        }
        promotions.push({ endpoint: id, holder, token });
        if (!endpoint.primary || endpoints.some(other => other.term > endpoint.term)) {
            clock.after(promoteMs, () => {
                endpoint.term = Math.max(...endpoints.map(other => other.term)) + 1;
                endpoint.primary = true;
                list();
            });
        }
        return neverthrow.ok(true);
    }

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
                const listedAtMs = remote.storeSync.listedAtMs();
                const ageMs = listedAtMs === undefined ? undefined : clock.now() - listedAtMs;
                return { endpoints: remote.directory.all(), ageMs };
            }
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
            onDigest: (digest, requestedAtMs) => clusterView.mergeDigest(digest, requestedAtMs),
        });
        const storeSync: storeSyncs.StoreSync = storeSyncs.createStoreSync({
            self: () => self,
            store: client,
            era,
            layout: storeLayout,
            directory,
            clock: hostClock,
            events: eventLog,
            random,
            proofAgeMs: () => leadership.proofAgeMs(hostClock.now()),
            newestPeerListing: () => clusterView.newestPeerListing(),
            pollRank: () => clusterView.pollRank(),
            watchesConfiguration: () => clusterView.watchesConfiguration(),
            cellRank: () => (peers.cellCount() > 1 ? peers.cellRank() : 0),
            hasSuspectedHosts: () => peers.usageReports().suspectedHosts > 0,
            holdsFailoverLock: () => lock.fencingToken() !== undefined,
            onSnapshot: (snapshot, requestedAtMs) => clusterView.applyStoreContents(snapshot, requestedAtMs),
            onChange: () => clusterView.configurationChanged(),
        });
        const lock = coordinators.createHeldLock(() => storeSync);
        const prober = {
            send: (endpoint: directories.Endpoint, request: connections.ControlCommand) =>
                send(host, endpoint.id, request),
            async statuses(listed: readonly directories.Endpoint[]) {
                const found = await Promise.all(
                    listed.map(async endpoint =>
                        [endpoint.id, await send(host, endpoint.id, { kind: "status" })] as const
                    ),
                );
                return new Map(found.flatMap(([id, status]) => (status === undefined ? [] : [[id, status] as const])));
            },
            close: () => undefined,
        };
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
            failureDomain,
            regionByFailureDomain: {},
            clock: hostClock,
            era,
            handoverGraceMs: graceMs,
            events: eventLog,
            leadership,
            directory,
            limiter,
            dialer: { dial: async () => neverthrow.err(silent.kind) } as unknown as connections.Dialer,
            random,
            self: () => self,
            peers: () => peers,
            storeSync: () => storeSync,
            coordinator: () => coordinator,
            onChange: () => undefined,
        });
        const source = configurationTransfer.createSource(storeSync.configuration);
        running[host] = { peers, clusterView, storeSync, directory, source };
        peers.start();
        storeSync.start();
        coordinator.start();
        const stopEvaluation = hostClock.every(100, () => clusterView.evaluateProof());
        return {
            leadership,
            storeSync,
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

    const fleet: Fleet = Object.assign(faults, {
        clock,
        store: simulatedStore,
        endpoints,
        promotions,
        events,
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
