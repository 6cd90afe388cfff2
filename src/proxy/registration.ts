/** Keeps this host registered in the store, under a lease that it renews. */
import type * as neverthrow from "neverthrow";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as messages from "./messages.js";
import * as registry from "./registry.js";

/** Settings of a registration. */
export interface Options {
    readonly self: () => messages.Member;
    readonly store: store.Store;
    readonly era: store.Era;
    readonly clock: runtime.HostClock;
    /** A random number in [0, 1). */
    random(): number;
    /** Notes the result of a call, and returns it. */
    tracked<T>(result: neverthrow.Result<T, store.StoreError>): neverthrow.Result<T, store.StoreError>;
    /** Called after this host has been registered anew. */
    onRegistered(): Promise<unknown>;
}

/** The registration of this host. */
export interface Registration {
    /**
     * Renews the lease, or registers this host if it has none or the lease no longer exists. Resolves to true, as a lease
     * has to be renewed in time even after failures.
     */
    renew(): Promise<true>;
    /** Lease of the registration; undefined when the lease may have expired. */
    leaseId(): number | undefined;
    /** Treats the lease as expired until it is renewed. */
    invalidate(): void;
    /** Drops the lease, whose id may be given out again in the new era of the store, and registers this host again. */
    storeRestored(): void;
    /** Deletes the registration, and registers this host no more. */
    end(): Promise<void>;
}

/** Time to live of a host's registration; also the longest time for which a dead host keeps the failover lock. */
export const leaseTtlMs = 2_500;
/** Interval at which the lease is to be renewed. */
export const renewIntervalMs = 700;
/** Subtracted from the lease's time to live, for the transit of the renewal and timer jitter. */
const leaseMarginMs = 400;
/** Longest delay before a host registers again after the store came back from an older copy. */
const maxRegistrationDelayMs = 150;

interface Lease {
    readonly id: number;
    readonly expiresAtMs: number;
}

/** Creates the registration of a host that isn't registered. */
export function createRegistration(options: Options): Registration {
    const { clock, store: client, tracked } = options;
    let lease: Lease | undefined;
    let renewing = false;
    let ended = false;

    /** Resolves to true unless the host has to be registered anew. */
    async function renewLease(current: Lease): Promise<boolean> {
        const requestedAtMs = clock.now();
        const renewed = tracked(await client.renew(current.id));
        if (lease !== current) {
            return true;
        }
        if (renewed.isOk()) {
            lease = { id: current.id, expiresAtMs: requestedAtMs + leaseTtlMs - leaseMarginMs };
            return true;
        }
        if (renewed.error.kind !== "missing") {
            return true;
        }
        lease = undefined;
        return false;
    }

    async function register(): Promise<void> {
        const requestedAtMs = clock.now();
        const granted = tracked(await client.grant(leaseTtlMs));
        const era = options.era.current();
        if (granted.isErr() || era === undefined || ended) {
            return;
        }
        const { lease: id, ttlMs } = granted.value;
        const self = options.self();
        const writes = [{ key: registry.hostKey(era, self.id), value: JSON.stringify(self), lease: id }];
        const written = tracked(await client.change({ conditions: [], writes, deletes: [] }));
        if (written.isOk()) {
            lease = { id, expiresAtMs: requestedAtMs + Math.min(ttlMs, leaseTtlMs) - leaseMarginMs };
            await options.onRegistered();
        }
    }

    async function renew(): Promise<true> {
        if (renewing) {
            return true;
        }
        renewing = true;
        if (lease === undefined || !await renewLease(lease)) {
            await register();
        }
        renewing = false;
        return true;
    }

    return {
        renew,
        leaseId: () => (lease !== undefined && lease.expiresAtMs > clock.now() ? lease.id : undefined),
        invalidate() {
            lease = lease === undefined ? undefined : { ...lease, expiresAtMs: -Infinity };
        },
        storeRestored() {
            lease = undefined;
            clock.after(options.random() * maxRegistrationDelayMs, () => void renew());
        },
        async end() {
            ended = true;
            const era = options.era.current();
            if (lease !== undefined && era !== undefined) {
                lease = undefined;
                const deletes = [registry.hostKey(era, options.self().id)];
                tracked(await client.change({ conditions: [], writes: [], deletes }));
            }
        },
    };
}
