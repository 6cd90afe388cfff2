/** Keeps a host in sync with the store: its own key prefix, the operators' configuration and the endpoint listing. */
import type * as neverthrow from "neverthrow";
import * as backoffs from "../core/backoff.js";
import type * as directory from "../core/directory.js";
import * as policies from "../core/policy.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as evacuations from "./evacuations.js";
import type * as events from "./events.js";
import * as listings from "./listing.js";
import type * as messages from "./messages.js";
import * as registrations from "./registration.js";
import * as registry from "./registry.js";

/** Where the platform stores its documents, and how they are parsed; the parsers return an error message on failure. */
export interface StoreLayout extends evacuations.Layout {
    readonly endpointsPrefix: string;
    parsePolicy(text: string): neverthrow.Result<policies.Policy, string>;
    parseEndpoint(key: string, text: string): neverthrow.Result<directory.Endpoint, string>;
}

/** Settings of a store sync. */
export interface Options {
    readonly self: () => messages.Member;
    readonly store: store.Store;
    readonly era: store.Era;
    readonly layout: StoreLayout;
    readonly directory: directory.Directory;
    readonly evacuations: evacuations.Evacuations;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    /** A random number in [0, 1). */
    random(): number;
    /** Age of the newest proof that this host has, read by itself or received from a peer, in milliseconds. */
    proofAgeMs(): number;
    /** The newest endpoint listing that a peer reported. */
    newestPeerListing(): messages.EndpointListing | undefined;
    /**
     * Rank of this host among the `pollerCount` hosts that poll the store on behalf of all; `pollerCount` for every
     * other host.
     */
    pollRank(): number;
    /** True when this host is one of those that watch the configuration on behalf of all. */
    watchesConfiguration(): boolean;
    /** Rank of this host in its cell, if the fleet has several cells; 0 otherwise. */
    cellRank(): number;
    /** True while a registered host is suspected to have failed. */
    hasSuspectedHosts(): boolean;
    /** True while this host holds the failover lock. */
    holdsFailoverLock(): boolean;
    /** Called with the contents of this product's key prefix and the time at which they were requested. */
    onSnapshot(snapshot: registry.Snapshot, requestedAtMs: number): void;
    /** Called after the policy or the endpoints have changed. */
    onChange(): void;
}

/** A host's view of the store, and its registration there. */
export interface StoreSync {
    policy(): policies.Policy;
    /** The configuration in force, as stored. */
    configuration(): { readonly version: number; readonly text: string };
    /** Applies a configuration received from a peer if it is valid and newer. */
    offerConfiguration(text: string): void;
    /** Applies an endpoint listing, requested from the store at the given time, if it is newer. */
    offerEndpoints(endpoints: readonly directory.Endpoint[], requestedAtMs: number): void;
    /** Time at which the newest endpoint listing was requested; undefined before the first one. */
    listedAtMs(): number | undefined;
    /** Hash and age of the newest endpoint listing. */
    endpointListing(): messages.EndpointListing | undefined;
    /** Time since the store last responded to this host, in milliseconds; Infinity when it never did. */
    storeResponseAgeMs(): number;
    /** Lease of this host's registration; undefined when the lease may have expired. */
    leaseId(): number | undefined;
    /** Time since a request to the store last failed, in milliseconds; Infinity when none did. */
    sinceStoreFailureMs(): number;
    /** Reads this product's key prefix now; undefined when the store doesn't respond. */
    refresh(): Promise<registry.Snapshot | undefined>;
    /** Treats the lease as expired until it is renewed, because a clock jump made its age unknown. */
    invalidateLease(): void;
    /** Drops what was granted and read in the previous era of the store, and registers this host again. */
    storeRestored(): void;
    start(): void;
    /** Deletes this host's registration. */
    deregister(): Promise<void>;
    close(): void;
}

/** Interval at which the ages of the proof and of the endpoint listing are checked. */
const pollIntervalMs = 250;
/**
 * Age of the proof at which the host with poll rank 0 reads the key prefix again; the others receive the proof in its
 * digests. Half of the maximum age of a proof.
 */
const proofRefreshMs = 750;
/** The same for the holder of the failover lock, which bases its decisions on what it has read itself. */
const coordinatorProofRefreshMs = 500;
/** Delay for each poll rank, so that a newer proof can arrive from a host of a lower rank first. */
const proofRankDelayMs = 120;
/** Maximum interval between reads of the key prefix, from which a host also learns which hosts are registered. */
const maxReadIntervalMs = 10_000;
/** The same while a host is suspected: once its registration ends, its share of limits and connections is free. */
const suspectedReadIntervalMs = 1_500;
/**
 * Age of the endpoint listing at which the host with poll rank 0 reads it again. Draining endpoints must be noticed
 * within seconds.
 */
const listingRefreshMs = 1_250;
/** Delay for each poll rank, so that a newer listing can arrive from a host of a lower rank first. */
const listingRankDelayMs = 350;
/** Time limit of one watch, so that a connection that has gone silent is noticed; the next one goes on from there. */
const watchTimeoutMs = 2_000;
/** Time after which the configuration is read although no watch has shown a change. It may be large, so this is rare. */
const rereadIntervalMs = 30_000;
/**
 * Time for which a host that starts leaves the configuration to the first host of its cell and then, compressed, to the
 * transfer between hosts. When a whole large fleet starts, its links couldn't carry the configuration to each host.
 */
const firstReadDelayMs = 2_500;
/** Delay for each rank in the cell, so that the hosts of a cell that got nothing don't read all at once. */
const firstReadRankDelayMs = 500;
/** Interval at which a host without a configuration checks whether it is its turn to read it. */
const firstReadCheckMs = 20;
/** Pauses after failed reads: a proof is needed soon, the others are also received from other hosts. */
const keysBackoff = { firstMs: 250, maxMs: 1_000 } as const;
const listBackoff = { firstMs: 250, maxMs: 2_000 } as const;
/** Mean pause between two syncs of the configuration. */
const configurationIntervalMs = 250;
/** Number of hosts that poll the store on behalf of all: one, and two that take over if nothing new arrives from it. */
export const pollerCount = 3;

/** Creates a store sync with an empty policy and no endpoints; it contacts the store once started. */
export function createStoreSync(options: Options): StoreSync {
    const { clock, store: client, events } = options;
    let policy = policies.empty;
    let text = "";
    let listedAtMs: number | undefined;
    let lastFailureMs: number | undefined;
    let lastResponseMs = -Infinity;
    let configurationReadMs = -Infinity;
    let listing: readonly directory.Endpoint[] = [];
    let listingHash = "";
    let lastReadMs = -Infinity;
    let lastSnapshotMs: number | undefined;
    let startedMs = -Infinity;
    let storeDown = false;
    let closed = false;
    /** Keys of entries that were rejected and logged, so that each is logged once. */
    const rejectedKeys = new Set<string>();

    function trackAvailability(error: store.StoreError | undefined): void {
        if (error?.kind === "restored") {
            lastFailureMs = clock.now();
            return;
        }
        if (error !== undefined && (error.kind === "refused" || error.kind === "unanswered")) {
            lastFailureMs = clock.now();
            if (!storeDown) {
                storeDown = true;
                events.emit("storeLost", { reason: error.message, kind: error.kind });
            }
        }
        else {
            // A conflict or a missing key is also a response of the store.
            lastResponseMs = clock.now();
        }
        if ((error === undefined || error.kind === "conflict" || error.kind === "missing") && storeDown) {
            storeDown = false;
            events.emit("storeRegained", {});
        }
    }

    function tracked<T>(result: neverthrow.Result<T, store.StoreError>): neverthrow.Result<T, store.StoreError> {
        trackAvailability(result.isErr() ? result.error : undefined);
        return result;
    }

    function offerConfiguration(next: string): void {
        if (next === text) {
            return;
        }
        const parsed = options.layout.parsePolicy(next);
        if (parsed.isErr()) {
            events.emit("policyRejected", { reason: parsed.error, version: policy.version });
            return;
        }
        if (policies.newer(policy, parsed.value) === policy) {
            return;
        }
        events.emit("policyTaken", { version: parsed.value.version, replaced: policy.version });
        policy = parsed.value;
        text = next;
        options.onChange();
    }

    async function refresh(): Promise<registry.Snapshot | undefined> {
        const era = options.era.current();
        if (era === undefined) {
            return undefined;
        }
        const requestedAtMs = clock.now();
        lastReadMs = requestedAtMs;
        const response = tracked(await client.range(registry.prefix(era)));
        if (response.isErr()) {
            return undefined;
        }
        const snapshot = registry.parse(era, response.value.items);
        if (!snapshot.settled) {
            // No host can change a record yet, which is as if the store were away.
            lastFailureMs = clock.now();
        }
        snapshot.corruptKeys.filter(key => !rejectedKeys.has(key)).forEach(key => {
            rejectedKeys.add(key);
            events.emit("entryRejected", { key, reason: "unreadable" });
        });
        lastSnapshotMs = clock.now();
        options.onSnapshot(snapshot, requestedAtMs);
        return snapshot;
    }

    async function syncKeys(): Promise<boolean> {
        const maxAgeMs = options.holdsFailoverLock()
            ? coordinatorProofRefreshMs
            : proofRefreshMs + options.pollRank() * proofRankDelayMs;
        const intervalMs = options.hasSuspectedHosts() ? suspectedReadIntervalMs : maxReadIntervalMs;
        const due = options.proofAgeMs() > maxAgeMs || clock.now() - lastReadMs > intervalMs;
        return !due || options.era.current() === undefined || await refresh() !== undefined;
    }

    /** Takes the listing as current when a peer has recently read the same one, and reads it otherwise. */
    async function syncEndpoints(): Promise<boolean> {
        const peerListing = options.newestPeerListing();
        const maxAgeMs = listingRefreshMs + options.pollRank() * listingRankDelayMs;
        if (peerListing !== undefined && peerListing.hash === listingHash && peerListing.ageMs < maxAgeMs) {
            offerEndpoints(listing, clock.now() - peerListing.ageMs);
        }
        const ageMs = clock.now() - (listedAtMs ?? -Infinity);
        const due = ageMs >= maxAgeMs
            || (peerListing !== undefined && peerListing.hash !== listingHash && peerListing.ageMs < ageMs);
        return !due || await readEndpoints();
    }

    /** Resolves to false without a response. */
    async function readEndpoints(): Promise<boolean> {
        const requestedAtMs = clock.now();
        const response = tracked(await client.range(options.layout.endpointsPrefix));
        if (response.isErr()) {
            return false;
        }
        const endpoints = response.value.items.flatMap(item => {
            const entry = options.layout.parseEndpoint(item.key, item.value);
            if (entry.isErr()) {
                if (!rejectedKeys.has(item.key)) {
                    events.emit("entryRejected", { key: item.key, reason: entry.error });
                }
                rejectedKeys.add(item.key);
                return [];
            }
            rejectedKeys.delete(item.key);
            return [entry.value];
        });
        offerEndpoints(endpoints, requestedAtMs);
        return true;
    }

    function offerEndpoints(next: readonly directory.Endpoint[], requestedAtMs: number): void {
        if (requestedAtMs <= (listedAtMs ?? -Infinity)) {
            return;
        }
        const before = listings.serialise(options.directory.all());
        options.directory.replace(next, requestedAtMs);
        listedAtMs = requestedAtMs;
        listing = next;
        listingHash = listings.hash(next);
        if (listings.serialise(options.directory.all()) !== before) {
            const endpoints = options.directory.all().map(entry => ({
                id: entry.id,
                group: entry.group,
                draining: entry.draining,
                primary: entry.primary,
            }));
            events.emit("endpointsChanged", { endpoints });
            options.onChange();
        }
    }

    async function readConfiguration(): Promise<number | undefined> {
        const response = tracked(await client.read(options.layout.configurationKey));
        if (response.isErr()) {
            return undefined;
        }
        configurationReadMs = clock.now();
        offerConfiguration(response.value.item.value);
        return response.value.revision;
    }

    /** True while another host of the cell is to read the configuration first. */
    function leavesFirstRead(): boolean {
        const rank = options.cellRank();
        const delayMs = rank === 0 ? 0 : firstReadDelayMs + rank * firstReadRankDelayMs;
        return lastSnapshotMs === undefined
            ? clock.now() - startedMs < firstReadDelayMs
            : clock.now() - startedMs < delayMs;
    }

    async function syncConfiguration(): Promise<boolean> {
        const waits = policy.version === 0
            ? leavesFirstRead()
            : !options.watchesConfiguration() && clock.now() - configurationReadMs < rereadIntervalMs;
        if (waits) {
            return true;
        }
        const watches = options.watchesConfiguration();
        let revision = await options.evacuations.readAlong(client, options.layout, watches, readConfiguration);
        const era = options.era.current();
        const isCurrent = (): boolean => !closed && options.watchesConfiguration() && options.era.current() === era;
        const rereadAtMs = clock.now() + rereadIntervalMs;
        while (watches && revision !== undefined && isCurrent() && clock.now() < rereadAtMs) {
            // A watch may time out although the store is healthy, so its result isn't tracked as availability.
            const watched = await client.watch(options.evacuations.watched(options.layout), revision, watchTimeoutMs);
            if (watched.isErr()) {
                return true;
            }
            revision = watched.value.revision;
            watched.value.items
                .filter(item => item.key === options.layout.configurationKey)
                .forEach(item => offerConfiguration(item.value));
            options.evacuations.applyChanges(watched.value, options.layout);
        }
        return revision !== undefined;
    }

    const registration = registrations.createRegistration({
        ...options,
        tracked,
        // Only a read that finds this host registered counts as proof.
        onRegistered: refresh,
    });

    /** Repeats a task, which resolves to false when it has failed. */
    async function repeat(
        task: () => Promise<boolean>,
        intervalMs: () => number,
        pauses: backoffs.Options,
    ): Promise<void> {
        const backoff = backoffs.createBackoff(pauses);
        while (!closed) {
            // Jitter keeps hosts that start together from calling the store at the same moments.
            const jitteredMs = intervalMs() * (0.8 + 0.4 * options.random());
            if (await task()) {
                backoff.succeed();
                await clock.sleep(jitteredMs);
            }
            else {
                await clock.sleep(Math.max(jitteredMs, backoff.fail(options.random())));
            }
        }
    }

    return {
        offerConfiguration,
        refresh,
        policy: () => policy,
        configuration: () => ({ version: policy.version, text }),
        offerEndpoints,
        endpointListing: () => (listedAtMs === undefined
            ? undefined
            : { hash: listingHash, ageMs: Math.ceil(clock.now() - listedAtMs) }),
        storeResponseAgeMs: () => clock.now() - lastResponseMs,
        listedAtMs: () => listedAtMs,
        leaseId: () => registration.leaseId(),
        sinceStoreFailureMs: () => (lastFailureMs === undefined ? Infinity : clock.now() - lastFailureMs),
        invalidateLease: () => registration.invalidate(),
        storeRestored() {
            lastFailureMs = clock.now();
            registration.storeRestored();
        },
        start() {
            startedMs = clock.now();
            void repeat(registration.renew, () => registrations.renewIntervalMs, keysBackoff);
            void repeat(syncKeys, () => pollIntervalMs, keysBackoff);
            void repeat(syncEndpoints, () => pollIntervalMs, listBackoff);
            const configurationPauseMs = (): number =>
                policy.version === 0 ? firstReadCheckMs : configurationIntervalMs;
            void repeat(syncConfiguration, configurationPauseMs, listBackoff);
        },
        deregister: () => registration.end(),
        close() {
            closed = true;
            client.close();
        },
    };
}
