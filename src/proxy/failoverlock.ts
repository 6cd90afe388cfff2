/**
 * Whether this host holds the failover lock, a key in the store that ends with a lease. In a fleet of one cell that is the
 * lease of the host's registration. Where registrations live longer, the lock has a short lease of its own.
 */
import * as registrationLife from "../core/registrationlife.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as storeSyncs from "./storesync.js";

/** Settings of a lock. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly store: () => Pick<store.Store, "grant" | "renew">;
    readonly storeSync: () => Pick<storeSyncs.StoreSync, "leaseId" | "leaseTtlMs">;
}

/** Whether this host holds the failover lock. */
export interface HeldLock {
    /** Fencing token of the lock; undefined unless this host is certain to hold it. */
    fencingToken(): number | undefined;
    /** True if the held lock ends with that lease. */
    isCarriedBy(lease: number): boolean;
    /** Records an acquired lock and the lease that it ends with, or undefined once the lock is lost. */
    set(held: { readonly token: number; readonly lease: number } | undefined): void;
    /** Resolves to a lease under which the lock may be acquired; undefined if the store grants none. */
    obtainLease(): Promise<number | undefined>;
    /** Renews the lock's own lease, if the lock is held under one. */
    renew(): Promise<void>;
    /** Treats the lock's own lease as expired until it is renewed, because a clock jump made its age unknown. */
    invalidate(): void;
    /** Drops the lock's own lease, whose id may be given out again in the new era of the store. */
    storeRestored(): void;
}

interface Lease {
    readonly id: number;
    readonly expiresAtMs: number;
}

/** Subtracted from the lease's time to live, for the transit of the renewal and timer jitter. */
const leaseMarginMs = 400;
/** Remaining life from which a lease that was granted for an earlier attempt is used again. */
const minRemainingMs = 1_000;

/** Creates the state of a lock that this host doesn't hold. A held lock is valid only while its lease is. */
export function createHeldLock(options: Options): HeldLock {
    const { clock } = options;
    const { ttlMs } = registrationLife.lockLife;
    let held: { readonly token: number; readonly lease: number } | undefined;
    let own: Lease | undefined;

    /** Lease of the registration, if it lives no longer than the lock may. */
    function registrationLease(): number | undefined {
        return (options.storeSync().leaseTtlMs() ?? Infinity) <= ttlMs ? options.storeSync().leaseId() : undefined;
    }

    function isValid(lease: number): boolean {
        return own?.id === lease ? own.expiresAtMs > clock.now() : registrationLease() === lease;
    }

    return {
        fencingToken: () => (held !== undefined && isValid(held.lease) ? held.token : undefined),
        isCarriedBy: lease => held?.lease === lease,
        set(next) {
            held = next;
        },
        async obtainLease() {
            if (options.storeSync().leaseId() === undefined) {
                // A host that isn't registered would hold a lock that its own proofs don't cover.
                return undefined;
            }
            const shared = registrationLease();
            if (shared !== undefined) {
                return shared;
            }
            if (own !== undefined && own.expiresAtMs - clock.now() >= minRemainingMs) {
                return own.id;
            }
            const requestedAtMs = clock.now();
            const granted = await options.store().grant(ttlMs);
            if (granted.isErr()) {
                return undefined;
            }
            const grantedMs = Math.min(granted.value.ttlMs, ttlMs);
            own = { id: granted.value.lease, expiresAtMs: requestedAtMs + grantedMs - leaseMarginMs };
            return own.id;
        },
        async renew() {
            const current = own;
            if (current === undefined || held?.lease !== current.id) {
                return;
            }
            const requestedAtMs = clock.now();
            const renewed = await options.store().renew(current.id);
            if (own !== current) {
                return;
            }
            if (renewed.isOk()) {
                own = { id: current.id, expiresAtMs: requestedAtMs + ttlMs - leaseMarginMs };
            }
            else if (renewed.error.kind === "missing") {
                own = undefined;
            }
        },
        invalidate() {
            own = own === undefined ? undefined : { ...own, expiresAtMs: -Infinity };
        },
        storeRestored() {
            own = undefined;
        },
    };
}
