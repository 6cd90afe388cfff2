/**
 * Connection pool of this host for one endpoint. A connection belongs to the organisation it was opened for; when the
 * pool is full, idle connections of other organisations are closed to make room. Statements queue here, by target, priority
 * and organisation, and not at the endpoint.
 */
import * as neverthrow from "neverthrow";
import * as admissionQueues from "../core/admissionqueue.js";
import type * as connectionShares from "../core/connectionshares.js";
import * as failure from "../core/failure.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";

/** Session variables by name. */
export type SessionVariables = ReadonlyMap<string, string>;

/** Options of a pool. */
export interface Options {
    readonly endpoint: string;
    readonly group: string;
    readonly address: string;
    readonly dialer: connections.Dialer;
    readonly clock: runtime.HostClock;
    /** Relative weight of an organisation, above 0. */
    weight(organisation: string): number;
    /** Connections that this host may currently open to the endpoint. */
    share(): connectionShares.Share;
    /** Time in which the endpoint is expected to answer a statement, in milliseconds. */
    answerMs(): number;
    /** Time for which the statements of all hosts keep the endpoint busy, given this host's at it, in milliseconds. */
    endpointWaitMs(ownLoad: number): number;
    /** Called when a less urgent statement was served while a more urgent one that could meet its target waited. */
    onInversion(): void;
    /** Called when a waiting statement is dropped because its caller has left. */
    onAbandoned(): void;
    /** Called when the endpoint replied to a connection attempt. */
    onReply(): void;
    /** Called when a connection attempt that began at `startedMs` failed. */
    onFailure(startedMs: number, error: Pick<connections.ConnectionError, "timedOut" | "message">): void;
}

/** Request for a connection on behalf of one statement. */
export interface AcquireRequest {
    readonly organisation: string;
    /** The session's variables; an idle connection on which the same ones are set is preferred. */
    readonly variables: SessionVariables;
    /** Time until which the request waits for a connection. */
    readonly deadlineMs: number;
    /** Time by which the statement should be answered, earlier than its deadline. */
    readonly targetMs: number;
    /** Scheduling priority of the statement's route; 0 is the most urgent. */
    readonly priority: number;
    /** True once the caller no longer waits for an answer. */
    isAbandoned?(): boolean;
}

/** A connection checked out of the pool. */
export interface PooledConnection {
    readonly connection: connections.Connection;
    /** Session variables set on the connection. */
    readonly variables: Map<string, string>;
    /** Handles of the statements prepared on the connection, by mode and template. */
    readonly prepared: Map<string, string>;
    /** Returns the connection to the pool; no transaction may be open on it. */
    release(): void;
    /** Closes the connection. */
    discard(): void;
}

/** Connection pool for one endpoint. */
export interface Pool {
    /** Waits for a connection, no longer than until the deadline. Fails with `overloaded` or `endpointUnreachable`. */
    acquire(request: AcquireRequest): Promise<neverthrow.Result<PooledConnection, failure.Failure>>;
    /** True when the organisation has an idle connection that is still open. */
    hasIdle(organisation: string): boolean;
    /** Number of statements executing and waiting. */
    load(): number;
    /** Number of connections in use, being opened, or idle. */
    size(): number;
    /** Fails expired requests, closes idle connections above the guaranteed share, and serves waiting requests. */
    sweep(): void;
    /** Closes the connections in use; their statements fail without a reply. */
    closeInUse(): void;
    /** Closes idle connections and fails waiting requests; connections in use close when they are returned. */
    close(): void;
}

interface PoolEntry {
    readonly connection: connections.Connection;
    readonly organisation: string;
    readonly variables: Map<string, string>;
    readonly prepared: Map<string, string>;
    idleSinceMs: number;
}

interface Waiter {
    readonly request: AcquireRequest;
    /** Ends the wait; a connection that comes after its end goes back to the pool. */
    readonly resolve: (result: neverthrow.Result<PooledConnection, failure.Failure>) => void;
}

const maxQueueLength = 256;
/** Allows for several handshakes over the link with the longest round trip. */
const dialTimeoutMs = 700;
/** Connections above the guaranteed share that a pool may open while other hosts leave some spare. */
const maxExtraConnections = 2;
/** Time for which a pool keeps to its guaranteed share after the endpoint refused a connection because it was full. */
const fullBackoffMs = 2_000;
/** Time after which an idle connection above the guaranteed share is closed. */
const idleTimeoutMs = 500;
/** Pause before the next connection attempt at an endpoint that is full. */
const dialRetryMs = 150;
const defaultRetryAfterMs = 100;
/** Shortest time over which the returns of refused callers are spread. */
const minSpreadMs = 50;
/** Steps of this part of the whole fill an interval evenly, however many there are. */
const goldenRatio = 0.618_033_988_75;

/** Creates an empty pool. */
export function createPool(options: Options): Pool {
    const { clock } = options;
    const queue = admissionQueues.createAdmissionQueue<Waiter>({ maxLength: maxQueueLength, weight: options.weight });
    /** Position in the sequence of spread times to come back; the phase differs from host to host. */
    let spreadPart = clock.now() % 1;
    let inversions = 0;
    let idle: PoolEntry[] = [];
    const inUse = new Set<PoolEntry>();
    /** Connections in use or being opened. */
    let activeCount = 0;
    let fullUntilMs = -Infinity;
    let closed = false;

    function connectionLimit(): number {
        const { guaranteed, spare } = options.share();
        return Math.max(1, guaranteed) + (clock.now() < fullUntilMs ? 0 : Math.min(maxExtraConnections, spare));
    }

    function overloaded(retryAfterMs: number): failure.Failure {
        const message = `Endpoint ${options.endpoint} has too many statements waiting.`;
        return failure.create(failure.Code.overloaded, options.endpoint, message, retryAfterMs);
    }

    /** A time to come back once there is room, spread so that refused callers do not return together. */
    function spreadRetry(roomInMs: number): number {
        spreadPart = (spreadPart + goldenRatio) % 1;
        return Math.ceil(roomInMs + Math.max(minSpreadMs, roomInMs) * spreadPart);
    }

    function refuse(tickets: readonly admissionQueues.Ticket<Waiter>[], roomInMs: number): void {
        tickets.forEach(ticket => ticket.value.resolve(neverthrow.err(overloaded(spreadRetry(roomInMs)))));
    }

    function room(): admissionQueues.Room {
        const concurrency = connectionLimit();
        return {
            concurrency,
            underWay: activeCount,
            answerMs: options.answerMs(),
            // A host's guaranteed part doesn't depend on what it knows of the others.
            endpointWaitMs: activeCount < Math.max(1, options.share().guaranteed)
                ? 0
                : options.endpointWaitMs(activeCount),
        };
    }

    /** Creates a waiter; the returned function lets it fail at its deadline, whatever keeps the connection from it. */
    function createWaiter(
        request: AcquireRequest,
        settle: Waiter["resolve"],
    ): { readonly waiter: Waiter; limit(): void } {
        let settled = false;
        let stopTimer: (() => void) | undefined;
        const waiter: Waiter = {
            request,
            resolve(result) {
                if (settled) {
                    result.map(pooled => pooled.release());
                    return;
                }
                settled = true;
                stopTimer?.();
                settle(result);
            },
        };

        function expire(): void {
            queue.remove(ticket => ticket.value === waiter);
            waiter.resolve(neverthrow.err(overloaded(spreadRetry(defaultRetryAfterMs))));
        }

        return {
            waiter,
            limit() {
                if (!settled) {
                    stopTimer = clock.after(Math.max(0, request.deadlineMs - clock.now()), expire);
                }
            },
        };
    }

    function dropAbandoned(): void {
        const left = queue.remove(ticket => ticket.value.request.isAbandoned?.() === true);
        left.forEach(options.onAbandoned);
        refuse(left, defaultRetryAfterMs);
    }

    function takeIdle(request: AcquireRequest): PoolEntry | undefined {
        idle = idle.filter(entry => entry.connection.isOpen());
        const ofOrganisation = idle.filter(entry => entry.organisation === request.organisation);
        const chosen = ofOrganisation.find(entry => sameVariables(entry.variables, request.variables))
            ?? ofOrganisation[ofOrganisation.length - 1];
        if (chosen !== undefined) {
            idle = idle.filter(entry => entry !== chosen);
        }
        return chosen;
    }

    function closeIdleOverLimit(): void {
        while (idle.length > 0 && activeCount + idle.length > connectionLimit()) {
            const oldest = idle.reduce((best, next) => (next.idleSinceMs < best.idleSinceMs ? next : best));
            idle = idle.filter(entry => entry !== oldest);
            oldest.connection.close();
        }
    }

    function checkOut(entry: PoolEntry, { priority }: AcquireRequest): PooledConnection {
        const startMs = clock.now();
        let returned = false;
        inUse.add(entry);
        const giveBack = (reusable: boolean): void => {
            if (returned) {
                return;
            }
            returned = true;
            inUse.delete(entry);
            activeCount -= 1;
            queue.recordHold(priority, clock.now() - startMs);
            if (reusable && !closed && entry.connection.isOpen()) {
                entry.idleSinceMs = clock.now();
                idle.push(entry);
            }
            else {
                entry.connection.close();
            }
            dispatch();
        };
        return {
            connection: entry.connection,
            variables: entry.variables,
            prepared: entry.prepared,
            release: () => giveBack(true),
            discard: () => giveBack(false),
        };
    }

    async function dial(request: AcquireRequest): Promise<neverthrow.Result<PoolEntry, failure.Failure>> {
        const { endpoint, group, address } = options;
        for (;;) {
            const remainingMs = request.deadlineMs - clock.now();
            if (remainingMs <= 0 || closed) {
                return neverthrow.err(overloaded(defaultRetryAfterMs));
            }
            const startedMs = clock.now();
            const target = { endpoint, group, address, organisation: request.organisation };
            const dialed = await options.dialer.dial(target, Math.min(dialTimeoutMs, remainingMs));
            if (dialed.isOk()) {
                options.onReply();
                const { organisation } = request;
                return neverthrow.ok({
                    connection: dialed.value,
                    organisation,
                    variables: new Map(),
                    prepared: new Map(),
                    idleSinceMs: clock.now(),
                });
            }
            if (typeof dialed.error !== "string" || dialed.error === "misrouted") {
                const error = typeof dialed.error === "string"
                    ? { timedOut: false, message: "a different endpoint answers at its address" }
                    : dialed.error;
                options.onFailure(startedMs, error);
                const message = `Endpoint ${endpoint} can't be reached: ${error.message}.`;
                return neverthrow.err(
                    failure.create(failure.Code.endpointUnreachable, endpoint, message, defaultRetryAfterMs),
                );
            }
            // The endpoint is full, which also shows that it is alive.
            options.onReply();
            fullUntilMs = clock.now() + fullBackoffMs;
            await clock.sleep(dialRetryMs);
        }
    }

    async function serve(waiter: Waiter): Promise<void> {
        const entry = takeIdle(waiter.request);
        activeCount += 1;
        if (entry !== undefined) {
            waiter.resolve(neverthrow.ok(checkOut(entry, waiter.request)));
            return;
        }
        closeIdleOverLimit();
        const dialed = await dial(waiter.request);
        if (dialed.isErr()) {
            activeCount -= 1;
            waiter.resolve(neverthrow.err(dialed.error));
            dispatch();
            return;
        }
        waiter.resolve(neverthrow.ok(checkOut(dialed.value, waiter.request)));
    }

    function dispatch(): void {
        while (activeCount < connectionLimit()) {
            const ticket = queue.take(clock.now(), room());
            if (ticket === undefined) {
                return;
            }
            if (queue.inversions() > inversions) {
                inversions = queue.inversions();
                options.onInversion();
            }
            if (ticket.value.request.isAbandoned?.() === true) {
                options.onAbandoned();
                refuse([ticket], defaultRetryAfterMs);
                continue;
            }
            void serve(ticket.value);
        }
    }

    function sweep(): void {
        if (activeCount + idle.length + queue.length() === 0) {
            return;
        }
        const nowMs = clock.now();
        dropAbandoned();
        refuse(queue.removeHopeless(nowMs, room()), defaultRetryAfterMs);
        const excess = activeCount + idle.length - Math.max(1, options.share().guaranteed);
        const stale = idle.filter(entry => nowMs - entry.idleSinceMs > idleTimeoutMs).slice(0, Math.max(0, excess));
        if (stale.length > 0) {
            idle = idle.filter(entry => !stale.includes(entry));
            stale.forEach(entry => entry.connection.close());
        }
        dispatch();
    }

    return {
        sweep,
        acquire(request) {
            return new Promise(resolve => {
                if (closed) {
                    resolve(neverthrow.err(overloaded(defaultRetryAfterMs)));
                    return;
                }
                const { organisation, deadlineMs, targetMs, priority } = request;
                const { waiter, limit } = createWaiter(request, resolve);
                const ticket = { organisation, deadlineMs, targetMs, priority, value: waiter };
                const admission = queue.offer(ticket, clock.now(), room());
                if (!admission.admitted) {
                    refuse([ticket], admission.roomInMs);
                    return;
                }
                refuse(admission.displaced, defaultRetryAfterMs);
                dispatch();
                // Most statements have a connection by now and need no timer.
                limit();
            });
        },
        hasIdle: organisation => idle.some(entry => entry.organisation === organisation && entry.connection.isOpen()),
        load: () => activeCount + queue.length(),
        size: () => activeCount + idle.length,
        closeInUse: () => inUse.forEach(entry => entry.connection.close()),
        close() {
            closed = true;
            idle.splice(0).forEach(entry => entry.connection.close());
            refuse(queue.remove(() => true), defaultRetryAfterMs);
        },
    };
}

function sameVariables(left: SessionVariables, right: SessionVariables): boolean {
    return left.size === right.size && [...left].every(([name, value]) => right.get(name) === value);
}
