/** Follows the store: this product's own keys, the operators' configuration and the list of endpoints. */
import type * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type * as directory from "../core/directory.js";
import * as policies from "../core/policy.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as messages from "./messages.js";
import * as registry from "./registry.js";

/** How the platform's documents are read. */
export interface StoreLayout {
    readonly configurationKey: string;
    readonly endpointsPrefix: string;
    parsePolicy(text: string): neverthrow.Result<policies.Policy, string>;
    parseEndpoint(key: string, text: string): neverthrow.Result<directory.Endpoint, string>;
}

/** Settings of a follower. */
export interface Options {
    readonly self: () => messages.Member;
    readonly store: store.Store;
    readonly layout: StoreLayout;
    readonly directory: directory.Directory;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    /** A number in [0, 1). */
    random(): number;
    /** Age of this host's proof, in milliseconds, whoever it came from. */
    proofAgeMs(): number;
    /** The youngest listing of endpoints that another host has. */
    listing(): messages.EndpointListing | undefined;
    /** Place of this host among those that follow the store for all; the number of them for every other host. */
    pollRank(): number;
    /** True when this host is one of those that watch the configuration for all. */
    watching(): boolean;
    /** True while a host that exists is not heard. */
    hasSuspectedHosts(): boolean;
    /** True while this host has a duty that lives in the store. */
    holdsFailoverLock(): boolean;
    /** Takes in this product's own keys as they were at the moment. */
    onSnapshot(contents: registry.Snapshot, askedMs: number): void;
    /** Called after the policy or the endpoints changed. */
    onChange(): void;
}

/** What this host knows from the store. */
export interface StoreSync {
    policy(): policies.Policy;
    /** The configuration as stored. */
    configuration(): { readonly version: number; readonly text: string };
    /** Takes in a configuration that another host has. */
    offerConfiguration(text: string): void;
    /** Takes in a listing of endpoints that another host has. */
    offerEndpoints(listed: readonly directory.Endpoint[], atMs: number): void;
    /** When the newest listing of endpoints was asked for; undefined without any. */
    listedAtMs(): number | undefined;
    /** The listing of endpoints that this host has. */
    endpointListing(): messages.EndpointListing | undefined;
    /** Time since the store last answered this host, in milliseconds; Infinity when it never did. */
    storeResponseAgeMs(): number;
    /** Lease of this host's registration, while it certainly holds. */
    leaseId(): number | undefined;
    /** Time since the store last failed to answer within this host's limits; Infinity when it never did. */
    sinceStoreFailureMs(): number;
    /** Reads this product's own keys at once. */
    refresh(): Promise<registry.Snapshot | undefined>;
    /** Forgets what rests on ages. */
    invalidateLease(): void;
    start(): void;
    /** Ends the registration. */
    deregister(): Promise<void>;
    close(): void;
}

/** Time between two looks at whether something is to be read from the store, in milliseconds. */
const lookMs = 250;
/**
 * Age of the proof from which the first host in turn reads the keys, in milliseconds; the others hear of its reading.
 * Half of the age up to which a proof counts.
 */
const staleProofMs = 750;
/** The same for the host that replaces primaries, which reads what it acts on, in milliseconds. */
const dutyProofMs = 500;
/** Time by which each next host in turn leaves the reading to those before it, in milliseconds: news of it takes that. */
const proofTurnMs = 120;
/** Longest time between two readings of the keys, in milliseconds: they also tell which hosts exist. */
const longestReadMs = 10_000;
/** The same while a host that exists is not heard, in milliseconds: its end frees its part of limits and connections. */
const missingReadMs = 1_500;
/**
 * Age of the listing of endpoints from which the first host in turn reads it again, in milliseconds; draining may take
 * seconds to be seen.
 */
const staleListingMs = 1_250;
/** Time by which each next host in turn leaves the listing to those before it, in milliseconds: news of it takes that. */
const listingTurnMs = 350;
/** Longest wait of one watch, in milliseconds: a configuration is due in 3 s, also when a watch hears nothing. */
const watchMs = 2_000;
/** Watches without news before the configuration is read all the same. */
const quietWatches = 2;
/** Time between two readings of the configuration by a host that does not watch it, in milliseconds. */
const unwatchedMs = 10_000;
const retryMs = 250;
/** Hosts that follow the store for all: one, and two that step in when they hear nothing of it. */
export const pollerCount = 3;
/** Life of a host's registration without renewal, in milliseconds: bounds how long a dead host keeps its duty. */
const leaseTtlMs = 2_500;
const renewMs = 700;
/** Held back from the lease's life, in milliseconds: the renewal's way and the jitter of timers. */
const leaseMarginMs = 400;

const hashLength = 10;

/** Text that is equal for equal listings. */
function print(endpoints: readonly directory.Endpoint[]): string {
    const rows = endpoints.map(entry =>
        JSON.stringify([entry.id, entry.address, entry.draining, entry.primary, entry.born])
    );
    return rows.sort().join();
}

/** Creates a follower that knows nothing. */
export function createStoreSync(options: Options): StoreSync {
    const { clock, store: remote, events } = options;
    let policy = policies.empty;
    let text = "";
    let listedMs: number | undefined;
    let registration: { readonly lease: number; readonly untilMs: number } | undefined;
    let failedMs: number | undefined;
    let answeredMs = -Infinity;
    let configuredMs = -Infinity;
    let listed: readonly directory.Endpoint[] = [];
    let listedHash = "";
    let readMs = -Infinity;
    let down = false;
    let closed = false;
    let left = false;
    const rejected = new Set<string>();

    function note(trouble: store.StoreError | undefined): void {
        if (trouble !== undefined && (trouble.kind === "refused" || trouble.kind === "unanswered")) {
            failedMs = clock.now();
            if (!down) {
                down = true;
                events.emit("storeLost", { reason: trouble.message, kind: trouble.kind });
            }
        }
        else {
            answeredMs = clock.now();
        }
        if (trouble === undefined && down) {
            down = false;
            events.emit("storeRegained", {});
        }
    }

    function noted<T>(result: neverthrow.Result<T, store.StoreError>): neverthrow.Result<T, store.StoreError> {
        note(result.isErr() ? result.error : undefined);
        return result;
    }

    function offer(next: string): void {
        if (next === text) {
            return;
        }
        const read = options.layout.parsePolicy(next);
        if (read.isErr()) {
            events.emit("policyRejected", { reason: read.error, version: policy.version });
            return;
        }
        if (policies.newer(policy, read.value) === policy) {
            return;
        }
        events.emit("policyTaken", { version: read.value.version, replaced: policy.version });
        policy = read.value;
        text = next;
        options.onChange();
    }

    async function refresh(): Promise<registry.Snapshot | undefined> {
        const askedMs = clock.now();
        readMs = askedMs;
        const got = noted(await remote.range(registry.prefix));
        if (got.isErr()) {
            return undefined;
        }
        const contents = registry.parse(got.value.items);
        contents.corruptKeys.forEach(key => events.emit("entryRejected", { key, reason: "unreadable" }));
        options.onSnapshot(contents, askedMs);
        return contents;
    }

    async function follow(): Promise<void> {
        const limitMs = options.holdsFailoverLock() ? dutyProofMs : staleProofMs + options.pollRank() * proofTurnMs;
        const longestMs = options.hasSuspectedHosts() ? missingReadMs : longestReadMs;
        if (options.proofAgeMs() > limitMs || clock.now() - readMs > longestMs) {
            await refresh();
        }
    }

    /** Takes another host's word that the listing is still as known, and reads it only when there is none. */
    async function followEndpoints(): Promise<void> {
        const told = options.listing();
        const limitMs = staleListingMs + options.pollRank() * listingTurnMs;
        if (told !== undefined && told.hash === listedHash && told.ageMs < limitMs) {
            take(listed, clock.now() - told.ageMs);
        }
        const ageMs = clock.now() - (listedMs ?? -Infinity);
        if (ageMs >= limitMs || (told !== undefined && told.hash !== listedHash && told.ageMs < ageMs)) {
            await listEndpoints();
        }
    }

    async function listEndpoints(): Promise<void> {
        const askedMs = clock.now();
        const got = noted(await remote.range(options.layout.endpointsPrefix));
        if (got.isErr()) {
            return;
        }
        const read = got.value.items.flatMap(item => {
            const entry = options.layout.parseEndpoint(item.key, item.value);
            if (entry.isErr()) {
                if (!rejected.has(item.key)) {
                    events.emit("entryRejected", { key: item.key, reason: entry.error });
                }
                rejected.add(item.key);
                return [];
            }
            rejected.delete(item.key);
            return [entry.value];
        });
        take(read, askedMs);
    }

    function take(next: readonly directory.Endpoint[], askedMs: number): void {
        if (askedMs <= (listedMs ?? -Infinity)) {
            return;
        }
        const before = print(options.directory.all());
        options.directory.replace(next, askedMs);
        listedMs = askedMs;
        listed = next;
        listedHash = crypto.createHash("sha1").update(print(next)).digest("base64").slice(0, hashLength);
        if (print(options.directory.all()) !== before) {
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
        const got = noted(await remote.read(options.layout.configurationKey));
        if (got.isErr()) {
            return undefined;
        }
        configuredMs = clock.now();
        offer(got.value.item.value);
        return got.value.revision;
    }

    async function followConfiguration(): Promise<void> {
        if (!options.watching() && policy.version > 0 && clock.now() - configuredMs < unwatchedMs) {
            return;
        }
        let after = await readConfiguration();
        for (let quiet = 0; !closed && after !== undefined && options.watching(); quiet += 1) {
            // A watch may hear nothing though the store is well, so it tells nothing of the store.
            const waited = await remote.watch(options.layout.configurationKey, after, watchMs);
            if (waited.isErr()) {
                return;
            }
            after = waited.value.revision;
            if (waited.value.changed || quiet >= quietWatches) {
                return;
            }
        }
    }

    async function register(): Promise<void> {
        const askedMs = clock.now();
        const held = registration;
        if (held !== undefined) {
            const renewed = noted(await remote.renew(held.lease));
            if (renewed.isOk()) {
                registration = { lease: held.lease, untilMs: askedMs + leaseTtlMs - leaseMarginMs };
                return;
            }
            if (renewed.error.kind !== "missing") {
                return;
            }
            registration = undefined;
        }
        const granted = noted(await remote.grant(leaseTtlMs));
        if (granted.isErr() || left) {
            return;
        }
        const { lease, ttlMs } = granted.value;
        const self = options.self();
        const writes = [{ key: registry.hostKey(self.id), value: JSON.stringify(self), lease }];
        const written = noted(await remote.change({ conditions: [], writes, deletes: [] }));
        if (written.isOk()) {
            registration = { lease, untilMs: askedMs + Math.min(ttlMs, leaseTtlMs) - leaseMarginMs };
            // Only a reading that shows this host as registered proves anything.
            await refresh();
        }
    }

    async function repeat(work: () => Promise<unknown>, pauseMs: number): Promise<void> {
        while (!closed) {
            await work();
            // Spread, so that hosts that start together do not call together.
            await clock.sleep(pauseMs * (0.8 + 0.4 * options.random()));
        }
    }

    return {
        offerConfiguration: offer,
        refresh,
        policy: () => policy,
        configuration: () => ({ version: policy.version, text }),
        offerEndpoints: take,
        endpointListing:
            () => (listedMs === undefined ? undefined : { hash: listedHash, ageMs: Math.ceil(clock.now() - listedMs) }),
        storeResponseAgeMs: () => clock.now() - answeredMs,
        listedAtMs: () => listedMs,
        leaseId:
            () => (registration !== undefined && registration.untilMs > clock.now() ? registration.lease : undefined),
        sinceStoreFailureMs: () => (failedMs === undefined ? Infinity : clock.now() - failedMs),
        invalidateLease() {
            if (registration !== undefined) {
                registration = { ...registration, untilMs: -Infinity };
            }
        },
        start() {
            void repeat(register, renewMs);
            void repeat(follow, lookMs);
            void repeat(followEndpoints, lookMs);
            void repeat(followConfiguration, retryMs);
        },
        async deregister() {
            left = true;
            if (registration !== undefined) {
                await remote.revoke(registration.lease);
                registration = undefined;
            }
        },
        close() {
            closed = true;
            remote.close();
        },
    };
}
