/**
 * A weighted fair queue of the statements that wait for an endpoint. Each organisation has a queue of its own and is
 * served in proportion to its weight. The total length is bounded, and a statement that would probably miss its
 * deadline is refused at once.
 */

/** A waiting statement. */
export interface Ticket<T> {
    readonly organisation: string;
    /** Time at which the ticket expires, on the clock of `nowMs`. */
    readonly deadlineMs: number;
    readonly value: T;
}

/** Settings of a queue. */
export interface Options {
    /** Largest number of waiting statements of all organisations. */
    readonly maxLength: number;
    /** Statements that the endpoint runs at the same time. */
    readonly concurrency: number;
    /** Relative weight of an organisation, above 0. */
    weight(organisation: string): number;
}

/** Whether an offered ticket was admitted; otherwise, when to retry. */
export type Admission = { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** A weighted fair queue. */
export interface Queue<T> {
    /** Admits the ticket, or refuses it with the time after which to retry. */
    offer(ticket: Ticket<T>, nowMs: number): Admission;
    /** Removes and returns the next ticket; undefined if the queue is empty. */
    take(): Ticket<T> | undefined;
    /** Removes and returns the tickets whose deadline has passed. */
    removeExpired(nowMs: number): readonly Ticket<T>[];
    /** Records how long a statement ran, to estimate waiting times. */
    recordServiceTime(serviceMs: number): void;
    /** Number of waiting statements. */
    length(): number;
}

/** Tickets of one organisation, scheduled by stride scheduling. */
interface Lane<T> {
    readonly tickets: Ticket<T>[];
    /** Virtual time at which the lane is served next; the lowest goes first. */
    pass: number;
}

/** Weight of the latest service time in the moving average. */
const smoothing = 0.1;
const initialServiceMs = 1;

/** Creates an empty queue. `createQueue<Job>({ maxLength: 512, concurrency: 2, weight: () => 1 })` */
export function createQueue<T>(options: Options): Queue<T> {
    const lanes = new Map<string, Lane<T>>();
    let total = 0;
    let serviceMs = initialServiceMs;
    let virtualTime = 0;

    function totalWeight(): number {
        return [...lanes.keys()].reduce((sum, organisation) => sum + options.weight(organisation), 0);
    }

    function expectedWaitMs(organisation: string, lane: Lane<T>): number {
        const share = options.weight(organisation) / totalWeight();
        const ahead = Math.min(total, (lane.tickets.length + 1) / share);
        return ahead * serviceMs / options.concurrency;
    }

    function laneOf(organisation: string): Lane<T> {
        const lane = lanes.get(organisation) ?? { tickets: [], pass: virtualTime };
        lanes.set(organisation, lane);
        return lane;
    }

    function removeIfEmpty(organisation: string, lane: Lane<T>): void {
        if (lane.tickets.length === 0) {
            lanes.delete(organisation);
        }
    }

    return {
        offer(ticket, nowMs) {
            const lane = laneOf(ticket.organisation);
            const maxTickets = options.maxLength * options.weight(ticket.organisation) / totalWeight();
            const waitMs = expectedWaitMs(ticket.organisation, lane);
            const full = total >= options.maxLength || lane.tickets.length >= Math.max(1, maxTickets);
            if (full || nowMs + waitMs >= ticket.deadlineMs) {
                removeIfEmpty(ticket.organisation, lane);
                return { admitted: false, retryAfterMs: Math.max(1, waitMs) };
            }
            lane.tickets.push(ticket);
            total += 1;
            return { admitted: true };
        },
        take() {
            let best: readonly [string, Lane<T>] | undefined;
            for (const entry of lanes) {
                if (best === undefined || entry[1].pass < best[1].pass) {
                    best = entry;
                }
            }
            const ticket = best?.[1].tickets.shift();
            if (best === undefined || ticket === undefined) {
                return undefined;
            }
            const [organisation, lane] = best;
            virtualTime = lane.pass;
            lane.pass += 1 / options.weight(organisation);
            total -= 1;
            removeIfEmpty(organisation, lane);
            return ticket;
        },
        removeExpired(nowMs) {
            const expired: Ticket<T>[] = [];
            for (const [organisation, lane] of lanes) {
                const overdue = lane.tickets.filter(ticket => ticket.deadlineMs <= nowMs);
                if (overdue.length > 0) {
                    const remaining = lane.tickets.filter(ticket => ticket.deadlineMs > nowMs);
                    lane.tickets.splice(0, lane.tickets.length, ...remaining);
                    expired.push(...overdue);
                    removeIfEmpty(organisation, lane);
                }
            }
            total -= expired.length;
            return expired;
        },
        recordServiceTime(latestMs) {
            serviceMs += (latestMs - serviceMs) * smoothing;
        },
        length() {
            return total;
        },
    };
}
