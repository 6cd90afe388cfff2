/** Keeps this host registered in the store, under a lease that it renews. */
import type * as neverthrow from "neverthrow";
import type * as registrationLife from "../core/registrationlife.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as messages from "./messages.js";
import * as registry from "./registry.js";

/** Settings of a registration. */
export interface Options {
    readonly self: () => messages.Member;
    readonly store: store.Store;
    readonly era: store.Era;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    /** A random number in [0, 1). */
    random(): number;
    /** The life of registrations in the fleet as it is known now. */
    life(): registrationLife.Life;
    /** True if the failover lock of this host ends with that lease. */
    carriesLock(leaseId: number): boolean;
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
    /** Interval at which the lease is to be renewed, in milliseconds. */
    renewIntervalMs(): number;
    /** Lease of the registration; undefined when the lease may have expired. */
    leaseId(): number | undefined;
    /** Time to live of that lease, in milliseconds; undefined without one. */
    leaseTtlMs(): number | undefined;
    /** Notes whether a reading of the store, requested at that time, shows this host's registration. */
    observe(isRegistered: boolean, requestedAtMs: number): void;
    /** Treats the lease as expired until it is renewed. */
    invalidate(): void;
    /** Drops the lease, whose id may be given out again in the new era of the store, and registers this host again. */
    storeRestored(): void;
    /** Deletes the registration, and registers this host no more. */
    end(): Promise<void>;
}

/** Subtracted from the lease's time to live, for the transit of the renewal and timer jitter. */
const leaseMarginMs = 400;
/** Longest delay before a host registers again after the store came back from an older copy. */
const maxRegistrationDelayMs = 150;
/**
 * Time for which the fleet must have had another size before a host changes its lease, so that a fleet that starts is
 * complete, and a random addition, so that not all hosts change theirs at once.
 */
const minSizeChangeMs = 8_000;
const maxSizeChangeJitterMs = 4_000;

interface Lease {
    readonly id: number;
    readonly ttlMs: number;
    readonly expiresAtMs: number;
    /** When the store confirmed that the registration has this lease. */
    readonly confirmedAtMs: number;
}

/** Creates the registration of a host that isn't registered. */
export function createRegistration(options: Options): Registration {
    const { clock, store: client, tracked, events } = options;
    let lease: Lease | undefined;
    /** A lease of another life, under which the registration is being written. */
    let nextLease: Lease | undefined;
    let otherLifeSinceMs: number | undefined;
    const sizeChangeMs = minSizeChangeMs + options.random() * maxSizeChangeJitterMs;
    let renewing = false;
    let ended = false;

    const expiryOf = (requestedAtMs: number, ttlMs: number): number => requestedAtMs + ttlMs - leaseMarginMs;

    /** Resolves to the renewed lease, to the same one without an answer, and to undefined if the lease has ended. */
    async function extend(current: Lease): Promise<Lease | undefined> {
        const requestedAtMs = clock.now();
        const renewed = tracked(await client.renew(current.id));
        if (renewed.isOk()) {
            return { ...current, expiresAtMs: expiryOf(requestedAtMs, current.ttlMs) };
        }
        return renewed.error.kind === "missing" ? undefined : current;
    }

    async function grant(): Promise<Lease | undefined> {
        const requestedAtMs = clock.now();
        const life = options.life();
        const granted = tracked(await client.grant(life.ttlMs));
        if (granted.isErr()) {
            return undefined;
        }
        const ttlMs = Math.min(granted.value.ttlMs, life.ttlMs);
        return { id: granted.value.lease, ttlMs, expiresAtMs: expiryOf(requestedAtMs, ttlMs), confirmedAtMs: Infinity };
    }

    /** Writes the registration under a lease. */
    async function write(target: Lease): Promise<neverthrow.Result<number, store.StoreError> | undefined> {
        const era = options.era.current();
        if (era === undefined || ended) {
            return undefined;
        }
        const self = options.self();
        const writes = [{ key: registry.hostKey(era, self.id), value: JSON.stringify(self), lease: target.id }];
        return tracked(await client.change({ conditions: [], writes, deletes: [] }));
    }

    async function register(): Promise<void> {
        const granted = await grant();
        const written = granted === undefined ? undefined : await write(granted);
        if (granted !== undefined && written?.isOk() === true) {
            lease = { ...granted, confirmedAtMs: clock.now() };
            nextLease = undefined;
            await options.onRegistered();
        }
    }

    /** True once the fleet has had a size for long in which registrations live for another time than this one. */
    function isChangeDue(current: Lease): boolean {
        if (options.life().ttlMs === current.ttlMs || options.carriesLock(current.id)) {
            otherLifeSinceMs = undefined;
            return false;
        }
        otherLifeSinceMs ??= clock.now();
        return clock.now() - otherLifeSinceMs >= sizeChangeMs;
    }

    /**
     * Moves the registration to a lease of another life. Without an answer the write may take effect at any time, so both
     * leases are renewed until the store has confirmed it.
     */
    async function changeLease(): Promise<void> {
        const started = nextLease;
        const target = started === undefined ? await grant() : await extend(started);
        if (nextLease !== started) {
            return;
        }
        nextLease = target;
        const written = target === undefined ? undefined : await write(target);
        if (nextLease !== target || target === undefined) {
            return;
        }
        if (written?.isOk() === true) {
            lease = { ...target, confirmedAtMs: clock.now() };
            nextLease = undefined;
            otherLifeSinceMs = undefined;
            events.emit("registrationChanged", { ttlMs: target.ttlMs });
        }
        else if (written?.isErr() === true && written.error.kind === "missing") {
            nextLease = undefined;
        }
    }

    async function renewOrRegister(): Promise<void> {
        const current = lease;
        if (current !== undefined) {
            const extended = await extend(current);
            if (lease !== current || extended === current) {
                return;
            }
            lease = extended;
        }
        if (lease === undefined) {
            await register();
        }
        else if (nextLease !== undefined || isChangeDue(lease)) {
            await changeLease();
        }
    }

    async function renew(): Promise<true> {
        if (!renewing && !ended) {
            renewing = true;
            await renewOrRegister();
            renewing = false;
        }
        return true;
    }

    function drop(): void {
        lease = undefined;
        nextLease = undefined;
    }

    return {
        renew,
        renewIntervalMs: () => {
            const life = options.life();
            // Until it is changed, the lease has the life of a fleet of another size.
            return life.renewIntervalMs * Math.min(1, (lease?.ttlMs ?? life.ttlMs) / life.ttlMs);
        },
        leaseId: () => (lease !== undefined && lease.expiresAtMs > clock.now() ? lease.id : undefined),
        leaseTtlMs: () => lease?.ttlMs,
        observe(isRegistered, requestedAtMs) {
            if (!isRegistered && !ended && lease !== undefined && requestedAtMs > lease.confirmedAtMs) {
                events.emit("registrationChanged", { ttlMs: undefined });
                drop();
                void renew();
            }
        },
        invalidate() {
            lease = lease === undefined ? undefined : { ...lease, expiresAtMs: -Infinity };
            nextLease = nextLease === undefined ? undefined : { ...nextLease, expiresAtMs: -Infinity };
        },
        storeRestored() {
            drop();
            clock.after(options.random() * maxRegistrationDelayMs, () => void renew());
        },
        async end() {
            ended = true;
            const era = options.era.current();
            if (lease !== undefined && era !== undefined) {
                drop();
                const deletes = [registry.hostKey(era, options.self().id)];
                tracked(await client.change({ conditions: [], writes: [], deletes }));
            }
        },
    };
}
