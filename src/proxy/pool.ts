/**
 * Connections of this host to one endpoint. A connection belongs to the organisation it was opened for; a free
 * one of another organisation is closed to make room. Statements wait here in fair order, not at the endpoint.
 */
import * as neverthrow from "neverthrow";
import type * as shares from "../core/connectionshares.js";
import * as failure from "../core/failure.js";
import * as queues from "../core/queue.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";

/** Session values that statements rely on. */
export type SessionVariables = ReadonlyMap<string, string>;

/** Settings of a pool. */
export interface Options {
    readonly endpoint: string;
    readonly group: string;
    readonly address: string;
    readonly concurrency: number;
    readonly dialer: connections.Dialer;
    readonly clock: runtime.HostClock;
    share(): shares.Share;
    /** Told that the endpoint answered. */
    onReply(): void;
    /** Told that an attempt of the given moment to reach it failed. */
    onFailure(askedMs: number, loss: Pick<connections.ConnectionError, "timedOut" | "message">): void;
}

/** One statement's claim. */
export interface AcquireRequest {
    readonly organisation: string;
    readonly variables: SessionVariables;
    readonly deadlineMs: number;
}

/** A connection in use. */
export interface PooledConnection {
    readonly connection: connections.Connection;
    /** Values set on the connection. */
    readonly variables: Map<string, string>;
    /** Handles of statements prepared on the connection, by mode and shape. */
    readonly prepared: Map<string, string>;
    /** Gives the connection back; it must be outside any transaction. */
    release(): void;
    /** Closes the connection. */
    discard(): void;
}

/** Connections to one endpoint. */
export interface Pool {
    acquire(claim: AcquireRequest): Promise<neverthrow.Result<PooledConnection, failure.Failure>>;
    /** True when a connection of the organisation is open and free. */
    hasIdle(organisation: string): boolean;
    /** Statements running and waiting. */
    load(): number;
    size(): number;
    /** Closes the connections in use: what runs there ends without an answer. */
    closeInUse(): void;
    /** Closes what is free and refuses what waits; connections in use close when they are given back. */
    close(): void;
}

interface Held {
    readonly connection: connections.Connection;
    readonly organisation: string;
    readonly values: Map<string, string>;
    readonly prepared: Map<string, string>;
    freeMs: number;
}

interface Job {
    readonly claim: AcquireRequest;
    readonly settle: (result: neverthrow.Result<PooledConnection, failure.Failure>) => void;
}

const queueLength = 256;
/** Time to open a connection, in milliseconds; several handshakes over the longest link. */
const dialTimeoutMs = 700;
/** Connections above the share that a pool may open while others leave room. */
const stretch = 2;
/** Time for which a pool keeps to its share after the endpoint had no room, in milliseconds. */
const crowdedMs = 2_000;
/** Time after which a free connection above the share is closed, in milliseconds. */
const idleMs = 500;
const sweepMs = 100;
/** Pause before another attempt at an endpoint without room, in milliseconds. */
const roomMs = 150;
const retryMs = 100;

/** Creates a pool without connections. */
export function createPool(options: Options): Pool {
    const { clock } = options;
    const queue = queues.createQueue<Job>({
        maxLength: queueLength,
        concurrency: options.concurrency,
        weight: () => 1,
    });
    let free: Held[] = [];
    const inUse = new Set<Held>();
    let busy = 0;
    let crowdedUntilMs = -Infinity;
    let closed = false;

    function limit(): number {
        const { guaranteed: kept, spare } = options.share();
        return Math.max(1, kept) + (clock.now() < crowdedUntilMs ? 0 : Math.min(stretch, spare));
    }

    function overloaded(retryAfterMs: number): failure.Failure {
        const message = `Endpoint ${options.endpoint} has too many statements waiting.`;
        return failure.create(failure.Code.overloaded, options.endpoint, message, retryAfterMs);
    }

    function take(claim: AcquireRequest): Held | undefined {
        free = free.filter(held => held.connection.isOpen());
        const own = free.filter(held => held.organisation === claim.organisation);
        const chosen = own.find(held => same(held.values, claim.variables)) ?? own[own.length - 1];
        if (chosen !== undefined) {
            free = free.filter(held => held !== chosen);
        }
        return chosen;
    }

    function makeRoom(): void {
        while (free.length > 0 && busy + free.length > limit()) {
            const oldest = free.reduce((best, next) => (next.freeMs < best.freeMs ? next : best));
            free = free.filter(held => held !== oldest);
            oldest.connection.close();
        }
    }

    function lend(held: Held): PooledConnection {
        const startMs = clock.now();
        let returned = false;
        inUse.add(held);
        const end = (keep: boolean): void => {
            if (returned) {
                return;
            }
            returned = true;
            inUse.delete(held);
            busy -= 1;
            queue.recordServiceTime(clock.now() - startMs);
            if (keep && !closed && held.connection.isOpen()) {
                held.freeMs = clock.now();
                free.push(held);
            }
            else {
                held.connection.close();
            }
            dispatch();
        };
        return {
            connection: held.connection,
            variables: held.values,
            prepared: held.prepared,
            release: () => end(true),
            discard: () => end(false),
        };
    }

    async function dial(claim: AcquireRequest): Promise<neverthrow.Result<Held, failure.Failure>> {
        const { endpoint, group, address } = options;
        for (;;) {
            const leftMs = claim.deadlineMs - clock.now();
            if (leftMs <= 0 || closed) {
                return neverthrow.err(overloaded(retryMs));
            }
            const askedMs = clock.now();
            const target = { endpoint, group, address, organisation: claim.organisation };
            const dialed = await options.dialer.dial(target, Math.min(dialTimeoutMs, leftMs));
            if (dialed.isOk()) {
                options.onReply();
                const { organisation } = claim;
                return neverthrow.ok({
                    connection: dialed.value,
                    organisation,
                    values: new Map(),
                    prepared: new Map(),
                    freeMs: clock.now(),
                });
            }
            if (typeof dialed.error !== "string" || dialed.error === "misrouted") {
                const loss = typeof dialed.error === "string"
                    ? { timedOut: false, message: "another endpoint is at its address" }
                    : dialed.error;
                options.onFailure(askedMs, loss);
                const message = `Endpoint ${endpoint} can't be reached: ${loss.message}.`;
                return neverthrow.err(failure.create(failure.Code.endpointUnreachable, endpoint, message, retryMs));
            }
            // A refusal for want of room shows that the endpoint lives.
            options.onReply();
            crowdedUntilMs = clock.now() + crowdedMs;
            await clock.sleep(roomMs);
        }
    }

    async function start(job: Job): Promise<void> {
        const held = take(job.claim);
        busy += 1;
        if (held !== undefined) {
            job.settle(neverthrow.ok(lend(held)));
            return;
        }
        makeRoom();
        const dialed = await dial(job.claim);
        if (dialed.isErr()) {
            busy -= 1;
            job.settle(neverthrow.err(dialed.error));
            dispatch();
            return;
        }
        job.settle(neverthrow.ok(lend(dialed.value)));
    }

    function dispatch(): void {
        while (busy < limit()) {
            const ticket = queue.take();
            if (ticket === undefined) {
                return;
            }
            void start(ticket.value);
        }
    }

    function sweep(): void {
        const nowMs = clock.now();
        queue.removeExpired(nowMs).forEach(ticket => ticket.value.settle(neverthrow.err(overloaded(retryMs))));
        const spare = busy + free.length - Math.max(1, options.share().guaranteed);
        const stale = free.filter(held => nowMs - held.freeMs > idleMs).slice(0, Math.max(0, spare));
        if (stale.length > 0) {
            free = free.filter(held => !stale.includes(held));
            stale.forEach(held => held.connection.close());
        }
        dispatch();
    }

    const stop = clock.every(sweepMs, sweep);
    return {
        acquire(claim) {
            return new Promise(settle => {
                if (closed) {
                    settle(neverthrow.err(overloaded(retryMs)));
                    return;
                }
                const { organisation, deadlineMs } = claim;
                const offered = queue.offer({ organisation, deadlineMs, value: { claim, settle } }, clock.now());
                if (!offered.admitted) {
                    settle(neverthrow.err(overloaded(offered.retryAfterMs)));
                    return;
                }
                dispatch();
            });
        },
        hasIdle: organisation => free.some(held => held.organisation === organisation && held.connection.isOpen()),
        load: () => busy + queue.length(),
        size: () => busy + free.length,
        closeInUse: () => inUse.forEach(held => held.connection.close()),
        close() {
            closed = true;
            stop();
            free.splice(0).forEach(held => held.connection.close());
            queue.removeExpired(Infinity).forEach(ticket => ticket.value.settle(neverthrow.err(overloaded(retryMs))));
        },
    };
}

function same(left: SessionVariables, right: SessionVariables): boolean {
    return left.size === right.size && [...left].every(([name, value]) => right.get(name) === value);
}
