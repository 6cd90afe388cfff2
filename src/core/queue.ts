/**
 * Statements waiting for an endpoint: one queue an organisation, served in proportion to weight,
 * bounded, and refused early when the deadline can't be met.
 */

/** A statement that waits. */
export interface Ticket<T> {
    readonly organisation: string;
    readonly deadlineMs: number;
    readonly value: T;
}

/** Settings of a queue. */
export interface Options {
    /** Longest total queue. */
    readonly maxLength: number;
    /** Statements that the endpoint runs at once. */
    readonly concurrency: number;
    weight(organisation: string): number;
}

/** What happened to a ticket that was offered. */
export type Admission = { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** A fair queue. */
export interface Queue<T> {
    /** Admits the ticket, or refuses it with the time to come back. */
    offer(ticket: Ticket<T>, nowMs: number): Admission;
    /** Takes the next ticket. */
    take(): Ticket<T> | undefined;
    /** Removes the tickets whose deadline has passed. */
    removeExpired(nowMs: number): readonly Ticket<T>[];
    /** Records how long a statement ran, for the estimate of the wait. */
    recordServiceTime(serviceMs: number): void;
    length(): number;
}

interface Lane<T> {
    readonly tickets: Ticket<T>[];
    /** Virtual time at which the lane is served next. */
    pass: number;
}

const smoothing = 0.1;
const initialServiceMs = 1;

/** Creates an empty queue. `createQueue<Job>({ length: 512, slots: 2, weight: () => 1 })` */
export function createQueue<T>(options: Options): Queue<T> {
    const lanes = new Map<string, Lane<T>>();
    let total = 0;
    let serviceMs = initialServiceMs;
    let virtual = 0;

    function weigh(): number {
        return [...lanes.keys()].reduce((sum, organisation) => sum + options.weight(organisation), 0);
    }

    function waitMs(organisation: string, lane: Lane<T>): number {
        const share = options.weight(organisation) / weigh();
        const ahead = Math.min(total, (lane.tickets.length + 1) / share);
        return ahead * serviceMs / options.concurrency;
    }

    function open(organisation: string): Lane<T> {
        const lane = lanes.get(organisation) ?? { tickets: [], pass: virtual };
        lanes.set(organisation, lane);
        return lane;
    }

    function drop(organisation: string, lane: Lane<T>): void {
        if (lane.tickets.length === 0) {
            lanes.delete(organisation);
        }
    }

    return {
        offer(ticket, nowMs) {
            const lane = open(ticket.organisation);
            const share = options.maxLength * options.weight(ticket.organisation) / weigh();
            const expectedMs = waitMs(ticket.organisation, lane);
            const full = total >= options.maxLength || lane.tickets.length >= Math.max(1, share);
            if (full || nowMs + expectedMs >= ticket.deadlineMs) {
                drop(ticket.organisation, lane);
                return { admitted: false, retryAfterMs: Math.max(1, expectedMs) };
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
            virtual = lane.pass;
            lane.pass += 1 / options.weight(organisation);
            total -= 1;
            drop(organisation, lane);
            return ticket;
        },
        removeExpired(nowMs) {
            const expired: Ticket<T>[] = [];
            for (const [organisation, lane] of lanes) {
                const late = lane.tickets.filter(ticket => ticket.deadlineMs <= nowMs);
                if (late.length > 0) {
                    const left = lane.tickets.filter(ticket => ticket.deadlineMs > nowMs);
                    lane.tickets.splice(0, lane.tickets.length, ...left);
                    expired.push(...late);
                    drop(organisation, lane);
                }
            }
            total -= expired.length;
            return expired;
        },
        recordServiceTime(value) {
            serviceMs += (value - serviceMs) * smoothing;
        },
        length() {
            return total;
        },
    };
}
