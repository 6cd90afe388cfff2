/** A simulated clock, and a store in memory on it, for tests of many hosts in one process. */
import * as neverthrow from "neverthrow";
import * as storeEra from "../src/core/storeera.js";
import type * as runtime from "../src/ports/runtime.js";
import type * as store from "../src/ports/store.js";

/** A clock that only `advance` moves. */
export interface Clock extends runtime.HostClock {
    /** Moves the clock in steps of 5 ms, and calls `step` at each. */
    advance(ms: number, step?: (nowMs: number) => void): Promise<void>;
}

const stepMs = 5;
/** Interval at which the timers of a stopped process are tried again. */
const pauseCheckMs = 10;

/** Creates a clock at 0. */
export function createClock(): Clock {
    let nowMs = 0;
    const pending = new Set<{ readonly atMs: number; readonly action: () => void }>();

    function after(ms: number, action: () => void): () => void {
        const entry = { atMs: nowMs + ms, action };
        pending.add(entry);
        return () => void pending.delete(entry);
    }

    return {
        after,
        now: () => nowMs,
        wallClockMs: () => nowMs,
        sleep: ms => new Promise(resolve => void after(ms, resolve)),
        every(ms, action) {
            let cancelled = false;
            const repeat = (): void => {
                if (!cancelled) {
                    after(ms, repeat);
                    action();
                }
            };
            after(ms, repeat);
            return () => {
                cancelled = true;
            };
        },
        async advance(ms, step) {
            const endMs = nowMs + ms;
            while (nowMs < endMs) {
                nowMs += stepMs;
                step?.(nowMs);
                const ready = [...pending].filter(entry => entry.atMs <= nowMs);
                ready.forEach(entry => pending.delete(entry));
                ready.forEach(entry => entry.action());
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
}

/** The clock of a host whose process may be stopped for a while: its timers fire once it runs again. */
export function createPausableClock(clock: Clock, isPaused: () => boolean): Clock {
    function after(ms: number, action: () => void): () => void {
        const run = (): void => {
            if (isPaused()) {
                stop = clock.after(pauseCheckMs, run);
            }
            else {
                action();
            }
        };
        let stop = clock.after(ms, run);
        return () => stop();
    }

    return {
        ...clock,
        after,
        sleep: ms => new Promise(resolve => void after(ms, resolve)),
        every(ms, action) {
            let stop = after(ms, repeat);
            function repeat(): void {
                stop = after(ms, repeat);
                action();
            }
            return () => stop();
        },
    };
}

/** A link that carries one slice of a message after the other, in turn for all messages under way. */
export interface Link {
    /** Resolves when the message has passed the link. */
    transfer(bytes: number): Promise<void>;
}

const sliceBytes = 4_096;

/** Creates an idle link. */
export function createLink(clock: runtime.HostClock, bitsPerSecond: number): Link {
    let freeAtMs = 0;
    return {
        async transfer(bytes) {
            for (let left = bytes; left > 0; left -= sliceBytes) {
                const startMs = Math.max(clock.now(), freeAtMs);
                freeAtMs = startMs + Math.min(left, sliceBytes) * 8_000 / bitsPerSecond;
                await clock.sleep(freeAtMs - clock.now());
            }
        },
    };
}

interface Data {
    readonly items: ReadonlyMap<string, store.Item>;
    readonly leases: ReadonlyMap<number, Lease>;
    readonly revision: number;
    readonly nextLease: number;
}

interface Lease {
    readonly ttlMs: number;
    readonly expiresAtMs: number;
}

/** Kind of a call to the store. */
export type CallKind = "read" | "range" | "watch" | "change" | "grant" | "renew";

/** A call that reached the store. */
export interface Call {
    readonly atMs: number;
    readonly kind: CallKind;
    /** Prefix or key; empty for leases. */
    readonly subject: string;
}

/**
 * State of the link between a host and the store. On one that is cut, calls and their responses are lost; on one that is
 * refused, the store turns the host away.
 */
export type StoreLink = "up" | "cut" | "refused";

/** A store in memory, which can come back from an older copy. */
export interface Store {
    /** All calls sent so far, in order, those included that the store did not answer. */
    readonly calls: readonly Call[];
    /** Client of one host. The link may change from call to call; `receive` resolves when the host can take a response. */
    connect(era: store.Era, link: () => StoreLink, receive: () => Promise<void>): store.Store;
    /** Writes as the operator or an endpoint does. */
    put(key: string, value: string): void;
    remove(key: string): void;
    get(key: string): string | undefined;
    copy(): Data;
    /** Comes back from a copy in the next era. */
    restore(copy: Data): void;
    era(): number;
}

const oneWayMs = 2;
const timeoutMs = 700;
/** Interval at which a waiting watch looks for a change. */
const watchCheckMs = 20;

/** Creates an empty store. */
export function createStore(clock: runtime.HostClock): Store {
    let items = new Map<string, store.Item>();
    let leases = new Map<number, Lease>();
    let revision = 10;
    let nextLease = 1;
    let era = 1;
    const calls: Call[] = [];
    let removed: { readonly key: string; readonly revision: number }[] = [];

    const removedSince = (prefix: string, after: number) =>
        removed.filter(row => row.revision > after && row.key.startsWith(prefix));

    function expireLeases(): void {
        for (const [id, lease] of leases) {
            if (lease.expiresAtMs <= clock.now()) {
                leases.delete(id);
                items = new Map([...items].filter(([, item]) => item.lease !== id));
                revision += 1;
            }
        }
    }

    function write(key: string, value: string, lease = 0): void {
        items.set(key, { key, value, lease, revision });
    }

    function range(prefix: string): store.Range {
        const found = [...items.values()].filter(item => item.key.startsWith(prefix));
        return { revision, items: found.sort((left, right) => (left.key < right.key ? -1 : 1)) };
    }

    function change(requested: store.Change): neverthrow.Result<number, store.StoreError> {
        const holds = requested.conditions.every(row => (items.get(row.key)?.revision ?? 0) === row.revision);
        if (!holds) {
            return neverthrow.err({ kind: "conflict" });
        }
        if (requested.writes.some(row => row.lease !== undefined && !leases.has(row.lease))) {
            return neverthrow.err({ kind: "missing" });
        }
        revision += 1;
        requested.writes.forEach(row => write(row.key, row.value, row.lease));
        requested.deletes.forEach(key => items.delete(key));
        return neverthrow.ok(revision);
    }

    function renew(id: number): neverthrow.Result<void, store.StoreError> {
        const lease = leases.get(id);
        if (lease === undefined) {
            return neverthrow.err({ kind: "missing" });
        }
        leases.set(id, { ...lease, expiresAtMs: clock.now() + lease.ttlMs });
        return neverthrow.ok(undefined);
    }

    return {
        calls,
        connect(observer, link, receive) {
            async function call<T>(
                kind: CallKind,
                subject: string,
                action: () => neverthrow.Result<T, store.StoreError>,
                wait: () => Promise<void> = () => Promise.resolve(),
            ): Promise<neverthrow.Result<T, store.StoreError>> {
                const lost = neverthrow.err({ kind: "unanswered", message: "lost" } as const);
                const eraAtSend = observer.current();
                calls.push({ atMs: clock.now(), kind, subject });
                await clock.sleep(oneWayMs);
                if (link() === "cut") {
                    await clock.sleep(timeoutMs);
                    return lost;
                }
                if (link() === "refused") {
                    await clock.sleep(oneWayMs);
                    return neverthrow.err({ kind: "refused", message: "turned away" });
                }
                await wait();
                expireLeases();
                const result = action();
                const eraOfResponse = era;
                await clock.sleep(oneWayMs);
                if (link() === "cut") {
                    await clock.sleep(timeoutMs);
                    return lost;
                }
                await receive();
                return storeEra.accept(observer, eraAtSend, eraOfResponse)
                    ? result
                    : neverthrow.err({ kind: "restored", message: "restored" });
            }

            return {
                read: key =>
                    call("read", key, () => {
                        const item = items.get(key);
                        return item === undefined
                            ? neverthrow.err({ kind: "missing" })
                            : neverthrow.ok({ item, revision });
                    }),
                range: prefix => call("range", prefix, () => neverthrow.ok(range(prefix))),
                watch(prefix, after, waitMs) {
                    const changed = (): readonly store.Item[] =>
                        range(prefix).items.filter(item => item.revision > after);
                    const deadlineMs = clock.now() + waitMs;
                    const eraAtStart = era;
                    return call(
                        "watch",
                        prefix,
                        () => (after > revision
                            ? neverthrow.err({ kind: "missing" })
                            : neverthrow.ok({
                                items: changed(),
                                removed: removedSince(prefix, after),
                                revision,
                            })),
                        async () => {
                            const isChanged = (): boolean =>
                                changed().length > 0 || removedSince(prefix, after).length > 0;
                            while (clock.now() < deadlineMs && era === eraAtStart && !isChanged()) {
                                await clock.sleep(watchCheckMs);
                            }
                        },
                    );
                },
                change: requested => call("change", "", () => change(requested)),
                grant: ttlMs =>
                    call("grant", "", () => {
                        const lease = nextLease;
                        nextLease += 1;
                        leases.set(lease, { ttlMs, expiresAtMs: clock.now() + ttlMs });
                        return neverthrow.ok({ lease, ttlMs });
                    }),
                renew: lease => call("renew", "", () => renew(lease)),
                close: () => undefined,
            };
        },
        put(key, value) {
            revision += 1;
            write(key, value);
        },
        remove(key) {
            revision += 1;
            items.delete(key);
            removed.push({ key, revision });
        },
        get: key => items.get(key)?.value,
        copy: () => ({ items: new Map(items), leases: new Map(leases), revision, nextLease }),
        restore(copy) {
            items = new Map(copy.items);
            // The copy's leases run on from the return, as no call renewed them meanwhile.
            leases = new Map(
                [...copy.leases].map(([id, lease]) => [id, { ...lease, expiresAtMs: clock.now() + lease.ttlMs }]),
            );
            ({ revision, nextLease } = copy);
            removed = [];
            era += 1;
        },
        era: () => era,
    };
}
