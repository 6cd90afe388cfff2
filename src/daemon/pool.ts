/** Links to one endpoint: a bounded number, handed to waiting statements in fair order. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as queues from "../core/queue.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";

/** Links kept free for status reports of the owners in each region. */
const statusLinks = 4;
/** Owners that may hold links at once while ownership moves. */
const owners = 2;
const dialTimeoutMs = 1_000;
const expireMs = 10;
const retryMs = 100;

/** Settings of a pool. */
export interface Options {
    readonly target: messages.Endpoint;
    readonly dialer: endpoint.Dialer;
    readonly clock: runtime.Clock;
    readonly queueLength: number;
    weight(organisation: string): number;
}

/** One statement's claim on an endpoint. */
export interface Claim {
    readonly organisation: string;
    readonly deadlineMs: number;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Work on a link. It must not leave state behind on the link, or close it. */
export type Work<T> = (link: endpoint.Connection) => Promise<Result<T>>;

/** Links to one endpoint. */
export interface Pool {
    /** Runs the work in its turn. */
    run<T>(claim: Claim, work: Work<T>): Promise<Result<T>>;
    /** Takes a link out of the pool for a transaction. */
    reserve(): Promise<Result<endpoint.Connection>>;
    /** Gives a reserved link back; a link with open state is closed first. */
    release(link: endpoint.Connection): void;
    /** Statements running and waiting. */
    load(): number;
    links(): number;
    /** Closes the links in use: their statements end at once, with what is known of them. */
    abort(): void;
    close(): void;
}

interface Job {
    start(): void;
    refuse(cause: failure.Failure): void;
}

/** The most links that one owner opens to an endpoint. */
export function capacity(target: messages.Endpoint): number {
    return Math.max(1, Math.floor((target.connections - statusLinks) / owners));
}

/** Creates a pool without links. */
export function createPool(options: Options): Pool {
    const { target, clock } = options;
    const most = capacity(target);
    const slots = Math.min(target.slots, most);
    const queue = queues.createQueue<Job>({
        maxLength: options.queueLength,
        concurrency: slots,
        weight: organisation => options.weight(organisation),
    });
    const idle: endpoint.Connection[] = [];
    const inUse = new Set<endpoint.Connection>();
    let total = 0;
    let running = 0;
    let reserved = 0;
    let closed = false;
    let stopExpiry: (() => void) | undefined;

    function overloaded(retryAfterMs: number): failure.Failure {
        const message = `Endpoint ${target.id} has too many statements waiting.`;
        return failure.create(failure.Code.overloaded, target.id, message, retryAfterMs);
    }

    function unreachable(message: string): failure.Failure {
        const text = `Endpoint ${target.id} can't be reached: ${message}`;
        return failure.create(failure.Code.endpointUnreachable, target.id, text, retryMs);
    }

    async function open(): Promise<Result<endpoint.Connection>> {
        for (let link = idle.pop(); link !== undefined; link = idle.pop()) {
            if (link.isOpen()) {
                return neverthrow.ok(link);
            }
            total -= 1;
        }
        total += 1;
        const dialed = await options.dialer.dial(target, dialTimeoutMs);
        if (dialed.isErr()) {
            total -= 1;
        }
        return dialed.mapErr(fault => unreachable(fault.message));
    }

    function put(link: endpoint.Connection): void {
        if (link.isOpen() && !closed) {
            idle.push(link);
            return;
        }
        link.close();
        total -= 1;
    }

    async function perform<T>(work: Work<T>): Promise<Result<T>> {
        const link = await open();
        if (link.isErr()) {
            return neverthrow.err(link.error);
        }
        const startMs = clock.now();
        inUse.add(link.value);
        const outcome = await work(link.value);
        inUse.delete(link.value);
        queue.recordServiceTime(clock.now() - startMs);
        put(link.value);
        return outcome;
    }

    function expire(): void {
        queue.removeExpired(clock.now()).forEach(ticket => ticket.value.refuse(overloaded(retryMs)));
        if (queue.length() === 0) {
            stopExpiry?.();
            stopExpiry = undefined;
        }
    }

    function dispatch(): void {
        while (running < slots) {
            const ticket = queue.take();
            if (ticket === undefined) {
                return;
            }
            running += 1;
            ticket.value.start();
        }
        stopExpiry ??= clock.every(expireMs, expire);
    }

    return {
        run<T>(claim: Claim, work: Work<T>): Promise<Result<T>> {
            return new Promise(resolve => {
                const start = (): void => {
                    void perform(work).then(outcome => {
                        running -= 1;
                        resolve(outcome);
                        dispatch();
                    });
                };
                const refuse = (cause: failure.Failure): void => resolve(neverthrow.err(cause));
                const ticket = {
                    organisation: claim.organisation,
                    deadlineMs: claim.deadlineMs,
                    value: { start, refuse },
                };
                const admission = closed
                    ? { admitted: false as const, retryAfterMs: retryMs }
                    : queue.offer(ticket, clock.now());
                if (!admission.admitted) {
                    refuse(overloaded(admission.retryAfterMs));
                    return;
                }
                dispatch();
            });
        },
        async reserve() {
            if (closed || reserved >= Math.max(1, most - slots)) {
                return neverthrow.err(overloaded(retryMs));
            }
            reserved += 1;
            const link = await open();
            if (link.isErr()) {
                reserved -= 1;
            }
            else {
                inUse.add(link.value);
            }
            return link;
        },
        release(link) {
            reserved -= 1;
            inUse.delete(link);
            put(link);
        },
        load() {
            return running + queue.length();
        },
        links() {
            return total;
        },
        abort() {
            inUse.forEach(link => link.close());
        },
        close() {
            closed = true;
            stopExpiry?.();
            idle.splice(0).forEach(link => link.close());
            queue.removeExpired(Infinity).forEach(ticket => ticket.value.refuse(overloaded(retryMs)));
        },
    };
}
