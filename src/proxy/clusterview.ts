/**
 * This host's view of the cluster: primaries, endpoints, samples and usage. It merges what the store, the digests of
 * other hosts and the host's own clocks show. The host's proof is its evidence that the known records of primaries were
 * in force at some time; it trusts them while the proof is recent enough.
 */
import * as connectionShares from "../core/connectionshares.js";
import type * as directories from "../core/directory.js";
import type * as leaderships from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import * as lookup from "../core/lookup.js";
import * as organisationWeights from "../core/organisationweight.js";
import * as suspensions from "../core/suspension.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as coldGates from "./coldgate.js";
import * as configurationTransfer from "./configurationtransfer.js";
import type * as connectionSharing from "./connectionsharing.js";
import type * as coordinators from "./coordinator.js";
import * as drainBounds from "./drainbound.js";
import type * as endpoints from "./endpoint.js";
import type * as endpointChoices from "./endpointchoice.js";
import * as endpointTransfer from "./endpointtransfer.js";
import type * as evacuations from "./evacuations.js";
import type * as eventLogs from "./events.js";
import * as fleets from "./fleet.js";
import * as databaseGroups from "./group.js";
import * as homesChecks from "./homescheck.js";
import * as localDigests from "./localdigest.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";
import type * as registry from "./registry.js";
import type * as storeSyncs from "./storesync.js";

/** Settings and collaborators of the view. Those that depend on the view in turn are given as functions. */
export interface Options {
    readonly failureDomain: string;
    /** Time from the announcement of an endpoint's shutdown until it may be sent nothing new; undefined without a bound. */
    readonly drainMs?: number | undefined;
    /** Region of each failure domain. */
    readonly regionByFailureDomain: Readonly<Record<string, string>>;
    readonly clock: runtime.HostClock;
    readonly era: store.Era;
    /** Time that running work gets to finish on a primary that is being replaced, in milliseconds. */
    readonly handoverGraceMs: number;
    readonly events: eventLogs.EventLog;
    readonly leadership: leaderships.Leadership;
    readonly directory: directories.Directory;
    readonly limiter: limiters.Limiter;
    readonly evacuations: evacuations.Evacuations;
    readonly dialer: connections.Dialer;
    readonly spillover: endpointChoices.SpilloverLimits;
    readonly metrics: endpoints.AdmissionMetrics;
    /** Queries the status of an endpoint, outside of any request; undefined without one. */
    queryStatus(endpoint: directories.Endpoint): Promise<connections.Status | undefined>;
    readonly coldGate: coldGates.ColdGate;
    /** Connections that hosts hold for each other; undefined if each has only its own. */
    readonly sharing?: connectionSharing.ConnectionSharing;
    /** A random number in [0, 1). */
    random(): number;
    self(): messages.Member;
    peers(): gossip.Peers;
    storeSync(): storeSyncs.StoreSync;
    coordinator(): coordinators.FailoverCoordinator;
    /** Called after the configuration or the endpoints changed, which readiness depends on. */
    onChange(): void;
}

/** This host's view of the cluster. */
export interface ClusterView {
    /**
     * Detects a suspension of this host or a clock jump, and then drops everything whose age is no longer known. To be
     * called before ages are used.
     */
    checkSuspension(): void;
    /** True when no suspension or clock jump was detected since the given time. */
    noClockJumpSince(sinceMs: number): boolean;
    /** Returns the database group of that name, created if necessary. */
    group(name: string): databaseGroups.Group;
    groups(): readonly databaseGroups.Group[];
    /** Applies a changed policy or a changed endpoint listing to the limits and the groups. */
    configurationChanged(): void;
    /** Creates and closes the connection pools that changed endpoints or evacuations call for. */
    reconcileEndpoints(): void;
    /** Applies the record of a group's primary; one that is not newer than the known record changes nothing. */
    applyRecord(record: leaderships.Record): void;
    /** Applies a record. If it replaces a primary, resolves once no work on the old primary can be acknowledged. */
    applyAndFence(record: leaderships.Record): Promise<void>;
    /** Drops what rested on the previous era of the store, after it came back from an older copy. */
    storeRestored(): void;
    /** Applies the proxy's own keys in the store, as read by a request sent at that time. */
    applyStoreContents(snapshot: registry.Snapshot, requestedAtMs: number): void;
    /** The digest of this host, to be sent to others. */
    localDigest(): fleets.LocalDigest;
    /**
     * Merges the digest of another host. `requestedAtMs` is when this host asked for it; undefined if it came unasked,
     * and then its proof and its samples are not used.
     */
    mergeDigest(digest: messages.Digest, requestedAtMs: number | undefined): void;
    /** True while this host had a proof and hasn't been able to renew it. */
    lacksProof(): boolean;
    /** Re-evaluates whether the records of primaries can be trusted, and logs a change. */
    evaluateProof(): void;
    /** Fetches the endpoints from another host if the endpoint listing is too old. */
    refreshFromPeer(): void;
    /** The newest endpoint listing that a live peer has announced. */
    newestPeerListing(): messages.EndpointListing | undefined;
    /** Fetches the configuration from another host that has a newer one. */
    fetchConfiguration(source: messages.Member): void;
    /**
     * Takes the listing of that hash as read at that time. One that this host doesn't have is fetched from the host that
     * has it.
     */
    confirmListing(source: messages.Member, hash: string, requestedAtMs: number): void;
}

/** Age of the endpoint listing from which another host is asked for a newer one. */
const maxListingAgeMs = 2_500;
/** Age of the proof from which this host lacks one: renewals are due earlier, and trust ends later. */
const oldProofAgeMs = 1_200;
/** Connections per endpoint reserved for the probe of the failover coordinator. */
const reservedConnections = 1;

/** An age as it is logged; JSON has no infinity. */
const loggedAgeMs = (ageMs: number): number => Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER));

/** Creates an empty view. */
export function createClusterView(options: Options): ClusterView {
    const {
        clock,
        events,
        leadership,
        directory,
        limiter,
        coldGate,
        peers,
        storeSync,
        coordinator,
    } = options;
    const suspensionDetector = suspensions.createDetector();
    const groups = new Map<string, databaseGroups.Group>();
    const allocator = connectionShares.createAllocator();
    const weight = organisationWeights.createWeights(() => storeSync().policy());
    let lastClockJumpMs = -Infinity;
    let lastBasis: ReturnType<leaderships.Leadership["basis"]>;
    const endpointFetcher = endpointTransfer.createFetcher({
        clock,
        events,
        peers,
        listing: () => storeSync().endpointListing,
    });
    const checkHomes = homesChecks.createHomesCheck(events, options.regionByFailureDomain);
    const configurationFetcher = configurationTransfer.createFetcher({
        clock,
        events,
        peers,
        random: options.random,
        version: () => storeSync().policy().version,
        source() {
            const source = fleets.chooseConfigurationSource(peers().live());
            const version = source?.digest?.configurationVersion ?? 0;
            return version > storeSync().policy().version ? source?.member : undefined;
        },
        offer: text => storeSync().offerConfiguration(text),
    });

    function checkSuspension(): void {
        const nowMs = clock.now();
        if (!suspensionDetector.detect(nowMs, clock.wallClockMs())) {
            return;
        }
        lastClockJumpMs = nowMs;
        leadership.dropProof();
        storeSync().invalidateLease();
        coordinator().invalidateLease();
        groups.forEach(entry => entry.invalidateAges());
        events.emit("suspended", {});
    }

    const noClockJumpSince = (sinceMs: number): boolean => sinceMs > lastClockJumpMs;
    const drainBound = drainBounds.createDrainBound({ ...options, drainMs: options.drainMs, noClockJumpSince });

    function group(name: string): databaseGroups.Group {
        const existing = groups.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = databaseGroups.createGroup({
            name,
            failureDomain: options.failureDomain,
            clock,
            dialer: coldGate.guard(options.dialer),
            coldState: coldGate.state,
            events,
            leadership,
            noClockJumpSince,
            isDrained: drainBound.isDrained,
            regionOf: domain => lookup.find(options.regionByFailureDomain, domain),
            weight,
            share: endpoint => shareOf(name, endpoint),
            otherHostsLoad: endpoint => peers().endpointUsage(endpoint)[0],
            otherHostsOutcomes: endpoint => peers().endpointOutcomes(endpoint),
            viewAgeMs: () => peers().viewAgeMs(),
            spillover: options.spillover,
            metrics: options.metrics,
            endpoints: () => directory.inGroup(name),
            evacuations: options.evacuations,
            queryStatus: options.queryStatus,
            relaying: options.sharing?.relaying,
        });
        groups.set(name, created);
        created.reconcileEndpoints();
        return created;
    }

    function shareOf(name: string, endpoint: string): connectionShares.Share {
        const maxConnections = (storeSync().policy().groups.get(name)?.maxConnections ?? 1) - reservedConnections;
        const openConnections = peers().endpointUsage(endpoint)[1] + (groups.get(name)?.pool(endpoint)?.size() ?? 0);
        const share = allocator.allocate(
            maxConnections,
            endpoint,
            peers().connectionHolders(),
            options.self().id,
            openConnections,
        );
        return options.sharing?.adjust(endpoint, maxConnections, share) ?? share;
    }

    function configurationChanged(): void {
        const policy = storeSync().policy();
        limiter.setLimits(policy.organisations);
        checkHomes(policy);
        policy.groups.forEach((_, name) => group(name));
        groups.forEach((entry, name) => {
            if (policy.groups.has(name) || directory.inGroup(name).length > 0) {
                entry.reconcileEndpoints();
            }
        });
        options.onChange();
    }

    function applyRecord(record: leaderships.Record): void {
        const previous = leadership.find(record.group);
        if (leadership.apply(record, clock.now())) {
            events.emit("tenureChanged", { ...record, replaced: previous });
            const affectedGroup = groups.get(record.group);
            affectedGroup?.notifyWaiters();
            affectedGroup?.reconcileEndpoints();
            if (record.changing && record.primary !== "") {
                // Work that still runs then can no longer be acknowledged, so its connections are closed.
                clock.after(options.handoverGraceMs, () => affectedGroup?.pool(record.primary)?.closeInUse());
            }
        }
    }

    async function applyAndFence(record: leaderships.Record): Promise<void> {
        applyRecord(record);
        if (record.changing) {
            await group(record.group).waitUntilIdle(record.primary, options.handoverGraceMs);
            leadership.endGrace(record.group);
        }
    }

    function applyStoreContents(snapshot: registry.Snapshot, requestedAtMs: number): void {
        checkSuspension();
        snapshot.records.forEach(stored => applyRecord(stored.record));
        // A failover coordinator asks only the registered hosts for confirmation, so only those may renew their proof.
        const self = options.self();
        const isRegistered = snapshot.hosts.some(host => host.id === self.id && host.incarnation === self.incarnation);
        if (isRegistered && snapshot.settled && noClockJumpSince(requestedAtMs)) {
            leadership.renewProof(requestedAtMs);
        }
        peers().register(snapshot.hosts, requestedAtMs);
        coordinator().observe(snapshot);
        if (snapshot.failoverLock !== undefined) {
            coldGate.observeLockHolder([snapshot.failoverLock.fencingToken, snapshot.failoverLock.holder]);
        }
        evaluateProof();
    }

    /**
     * Polls other hosts more often while this host has lost its proof. In a fleet of several cells the evidence that the
     * store is away for all hosts passes three polls, and counts only while the oldest of them is young.
     */
    function evaluateProof(): void {
        const proofs = peers().peerProofs();
        leadership.assessOutage(proofs, clock.now());
        const basis = leadership.basis(clock.now());
        if (basis !== lastBasis) {
            lastBasis = basis;
            const event = basis === undefined ? "proofLost" : basis === "proof" ? "proofRegained" : "outageAssumed";
            events.emit(event, {
                ageMs: loggedAgeMs(leadership.proofAgeMs(clock.now())),
                hosts: proofs.length,
                oldestPollAgeMs: loggedAgeMs(Math.max(0, ...proofs.map(proof => proof.pollAgeMs))),
                newestPeerProofAgeMs: loggedAgeMs(Math.min(...proofs.map(proof => proof.proofAgeMs ?? Infinity))),
            });
        }
        if (basis !== undefined) {
            groups.forEach(entry => entry.notifyWaiters());
        }
    }

    function storeRestored(): void {
        // The coordinator goes first: whether it held the lock depends on the registration that is dropped next.
        coordinator().storeRestored();
        storeSync().storeRestored();
        directory.storeRestored(clock.now());
        leadership.dropProof();
        evaluateProof();
    }

    function mergeDigest(digest: messages.Digest, requestedAtMs: number | undefined): void {
        checkSuspension();
        if (digest.storeEra !== undefined) {
            options.era.observe(digest.storeEra);
        }
        options.evacuations.offer(digest.evacuations);
        digest.primaryRecords.forEach(applyRecord);
        if (digest.lockHolder !== undefined) {
            coldGate.observeLockHolder(digest.lockHolder);
        }
        if (requestedAtMs !== undefined && noClockJumpSince(requestedAtMs)) {
            digest.positionSamples.forEach(sample =>
                groups.get(sample.group)?.addSample(sample.position, requestedAtMs - sample.ageMs)
            );
            if (digest.proofAgeMs !== undefined && digest.storeEra === options.era.current()) {
                leadership.renewProof(requestedAtMs - digest.proofAgeMs);
            }
        }
        evaluateProof();
        if (digest.configurationVersion > storeSync().policy().version) {
            void configurationFetcher.fetch();
        }
    }

    return {
        checkSuspension,
        noClockJumpSince,
        group,
        configurationChanged,
        applyRecord,
        applyAndFence,
        applyStoreContents,
        localDigest: () => localDigests.read({ ...options, storeSync: storeSync(), groups: [...groups.values()] }),
        mergeDigest,
        evaluateProof,
        storeRestored,
        lacksProof() {
            const ageMs = leadership.proofAgeMs(clock.now());
            return ageMs > oldProofAgeMs && Number.isFinite(ageMs);
        },
        groups: () => [...groups.values()],
        reconcileEndpoints: () => groups.forEach(entry => entry.reconcileEndpoints()),
        newestPeerListing() {
            const listings = peers().live().flatMap(peer => {
                const listing = peer.digest?.endpointListing;
                return listing === undefined
                    ? []
                    : [{ hash: listing.hash, ageMs: listing.ageMs + clock.now() - peer.lastHeardMs }];
            });
            return listings.reduce<messages.EndpointListing | undefined>(
                (newest, next) => (newest === undefined || next.ageMs < newest.ageMs ? next : newest),
                undefined,
            );
        },
        fetchConfiguration: source => void configurationFetcher.fetch(source),
        confirmListing(source, hash, requestedAtMs) {
            const listing = storeSync().endpointListing;
            if (!listing.confirm(hash, requestedAtMs) && requestedAtMs > (listing.listedAtMs() ?? -Infinity)) {
                void endpointFetcher.fetch(source);
            }
        },
        refreshFromPeer() {
            const listedAtMs = storeSync().endpointListing.listedAtMs() ?? -Infinity;
            const source = fleets.chooseConfigurationSource(peers().live());
            if (clock.now() - listedAtMs > maxListingAgeMs && source !== undefined) {
                void endpointFetcher.fetch(source.member);
            }
        },
    };
}
