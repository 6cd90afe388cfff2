/** Keeps a host in sync with the store: its own key prefix, the operators' configuration and the endpoint listing. */
import type * as neverthrow from "neverthrow";
import * as backoffs from "../core/backoff.js";
import type * as directory from "../core/directory.js";
import * as policies from "../core/policy.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import * as listings from "./endpointlisting.js";
import type * as evacuations from "./evacuations.js";
import type * as events from "./events.js";
import type * as messages from "./messages.js";
import type * as schedules from "./readingschedule.js";
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
    /** When this host calls the store. */
    readonly schedule: schedules.Schedule;
    /** The newest endpoint listing that a peer reported. */
    newestPeerListing(): messages.EndpointListing | undefined;
    /** True if the failover lock of this host ends with that lease. */
    carriesLock(leaseId: number): boolean;
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
    readonly endpointListing: listings.EndpointListing;
    /** When the store last confirmed the configuration of this host as the newest one; -Infinity if it never did. */
    configurationReadMs(): number;
    /** Time since this host last requested the key prefix, in milliseconds; Infinity if it never did. */
    sinceKeyReadMs(): number;
    /** True if that request failed. */
    keyReadFailed(): boolean;
    /** Time since the store last responded to this host, in milliseconds; Infinity when it never did. */
    storeResponseAgeMs(): number;
    /** Lease of this host's registration; undefined when the lease may have expired. */
    leaseId(): number | undefined;
    /** Time to live of that lease, in milliseconds; undefined without one. */
    leaseTtlMs(): number | undefined;
    /** Notes whether a reading of the store, requested at that time, shows this host's registration. */
    observeRegistration(isRegistered: boolean, requestedAtMs: number): void;
    /** Time since a request to the store last failed, in milliseconds; Infinity when none did. */
    sinceStoreFailureMs(): number;
    /** Reads this product's key prefix now; undefined when the store doesn't respond. */
    refresh(): Promise<registry.Snapshot | undefined>;
    /** Reads the endpoint listing now; false when the store doesn't respond. */
    readEndpoints(): Promise<boolean>;
    /** Treats the lease as expired until it is renewed, because a clock jump made its age unknown. */
    invalidateLease(): void;
    /** Drops what was granted and read in the previous era of the store, and registers this host again. */
    storeRestored(): void;
    start(): void;
    /** Deletes this host's registration. */
    deregister(): Promise<void>;
    close(): void;
}

/** Interval at which the age of the endpoint listing is checked. */
const listingCheckIntervalMs = 250;
/** Time after which the configuration is read although no watch has shown a change. It may be large, so this is rare. */
const rereadIntervalMs = 30_000;
/**
 * Time for which a host that starts leaves the configuration to the first host of its cell and then, compressed, to the
 * transfer between hosts. When a whole large fleet starts, its links couldn't carry the configuration to each host.
 */
const firstReadDelayMs = 2_500;
/** Delay for each rank in the cell, so that the hosts of a cell that got nothing don't read all at once. */
const firstReadRankDelayMs = 500;
/** Time for which a host that starts waits for its first snapshot before it reads the endpoint listing. */
const maxSnapshotWaitMs = 300;
/** Interval at which a host without a configuration or listing checks whether it is its turn to read it. */
const firstReadCheckMs = 20;
/** Pauses after failed reads: a proof is needed soon, the others are also received from other hosts. */
const keysBackoff = { firstMs: 250, maxMs: 1_000 } as const;
const listBackoff = { firstMs: 250, maxMs: 2_000 } as const;
/** Mean pause between two syncs of the configuration. */
const configurationIntervalMs = 250;
/** Creates a store sync with an empty policy and no endpoints; it contacts the store once started. */
export function createStoreSync(options: Options): StoreSync {
    const { clock, store: client, events } = options;
    let policy = policies.empty;
    let text = "";
    let lastFailureMs: number | undefined;
    let lastResponseMs = -Infinity;
    let configurationReadMs = -Infinity;
    let lastReadMs = -Infinity;
    let keyReadFailed = false;
    /** Ends the wait of the watch under way, if there is one. */
    let abandonWatch: (() => void) | undefined;
    const parseKeys = registry.createParser();
    const endpointListing = listings.createEndpointListing(options);
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
            abandonWatch?.();
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
        const { version, leftOut } = parsed.value;
        events.emit("policyTaken", { version, replaced: policy.version, leftOut });
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
        keyReadFailed = response.isErr();
        if (response.isErr()) {
            return undefined;
        }
        const snapshot = parseKeys(era, response.value.items);
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
        const due = options.schedule.isKeyReadDue(clock.now() - lastReadMs);
        return !due || options.era.current() === undefined || await refresh() !== undefined;
    }

    /** Takes the listing as current when a peer has recently read the same one, and reads it otherwise. */
    async function syncEndpoints(): Promise<boolean> {
        const { schedule } = options;
        const peerListing = options.newestPeerListing();
        const maxAgeMs = schedule.maxListingAgeMs();
        const isKnown = peerListing === undefined || peerListing.ageMs >= maxAgeMs
            || endpointListing.confirm(peerListing.hash, clock.now() - peerListing.ageMs);
        const ageMs = clock.now() - (endpointListing.listedAtMs() ?? -Infinity);
        const due = ageMs >= maxAgeMs || (!isKnown && schedule.isSingleCell() && peerListing.ageMs < ageMs);
        return !due || leavesFirstListing() || await readEndpoints();
    }

    /** True while a host that starts waits for its first snapshot, or for another host of its cell to read the listing. */
    function leavesFirstListing(): boolean {
        const delayMs = lastSnapshotMs === undefined ? maxSnapshotWaitMs : options.schedule.firstListingDelayMs();
        return endpointListing.listedAtMs() === undefined && clock.now() - startedMs < delayMs;
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
        endpointListing.offer(endpoints, requestedAtMs);
        return true;
    }

    async function readConfiguration(): Promise<number | undefined> {
        const requestedAtMs = clock.now();
        const response = tracked(await client.read(options.layout.configurationKey));
        if (response.isErr()) {
            return undefined;
        }
        configurationReadMs = requestedAtMs;
        offerConfiguration(response.value.item.value);
        return response.value.revision;
    }

    /** True while another host of the cell is to read the configuration first. */
    function leavesFirstRead(): boolean {
        const rank = options.schedule.cellRank();
        const delayMs = rank === 0 ? 0 : firstReadDelayMs + rank * firstReadRankDelayMs;
        return lastSnapshotMs === undefined
            ? clock.now() - startedMs < firstReadDelayMs
            : clock.now() - startedMs < delayMs;
    }

    /** Watches the configuration; resolves to undefined when the watch failed or the store stopped to respond. */
    async function watchConfiguration(revision: number): Promise<number | undefined> {
        const abandoned = new Promise<undefined>(resolve => {
            abandonWatch = options.schedule.isSingleCell() ? undefined : () => resolve(undefined);
        });
        // A watch may time out although the store is healthy, so its result isn't tracked as availability.
        const timeoutMs = options.schedule.watchTimeoutMs();
        const watched = await Promise.race([
            client.watch(options.evacuations.watched(options.layout), revision, timeoutMs),
            abandoned,
        ]);
        abandonWatch = undefined;
        if (watched === undefined || watched.isErr()) {
            return undefined;
        }
        configurationReadMs = clock.now();
        watched.value.items
            .filter(item => item.key === options.layout.configurationKey)
            .forEach(item => offerConfiguration(item.value));
        options.evacuations.applyChanges(watched.value, options.layout);
        return watched.value.revision;
    }

    async function syncConfiguration(): Promise<boolean> {
        const { schedule } = options;
        const nowMs = clock.now();
        const waits = policy.version === 0
            ? leavesFirstRead()
            : !schedule.watchesConfiguration()
                && !schedule.isConfigurationReadDue(nowMs - configurationReadMs, nowMs - startedMs);
        if (waits) {
            return true;
        }
        const watches = schedule.watchesConfiguration();
        const firstRevision = await options.evacuations.readAlong(client, options.layout, watches, readConfiguration);
        let revision = firstRevision;
        const era = options.era.current();
        const isCurrent = (): boolean => !closed && schedule.watchesConfiguration() && options.era.current() === era;
        const rereadAtMs = clock.now() + rereadIntervalMs;
        while (watches && revision !== undefined && isCurrent() && clock.now() < rereadAtMs) {
            revision = await watchConfiguration(revision);
        }
        return firstRevision !== undefined;
    }

    const registration = registrations.createRegistration({
        ...options,
        tracked,
        life: () => options.schedule.registrationLife(),
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
        readEndpoints,
        policy: () => policy,
        configuration: () => ({ version: policy.version, text }),
        endpointListing,
        configurationReadMs: () => configurationReadMs,
        sinceKeyReadMs: () => clock.now() - lastReadMs,
        keyReadFailed: () => keyReadFailed,
        storeResponseAgeMs: () => clock.now() - lastResponseMs,
        leaseId: () => registration.leaseId(),
        leaseTtlMs: () => registration.leaseTtlMs(),
        observeRegistration: (isRegistered, requestedAtMs) => registration.observe(isRegistered, requestedAtMs),
        sinceStoreFailureMs: () => (lastFailureMs === undefined ? Infinity : clock.now() - lastFailureMs),
        invalidateLease: () => registration.invalidate(),
        storeRestored() {
            lastFailureMs = clock.now();
            registration.storeRestored();
        },
        start() {
            startedMs = clock.now();
            void repeat(registration.renew, registration.renewIntervalMs, keysBackoff);
            void repeat(syncKeys, options.schedule.checkIntervalMs, keysBackoff);
            const listingPauseMs = (): number =>
                endpointListing.listedAtMs() === undefined ? firstReadCheckMs : listingCheckIntervalMs;
            void repeat(syncEndpoints, listingPauseMs, listBackoff);
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
