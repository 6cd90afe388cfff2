/**
 * Queue of the statements that wait for a connection to an endpoint, for routes of several priorities.
 *
 * Statements that can still meet their target go before those that can't, then the most urgent priority goes first, then
 * the organisation that has had least. Late statements and those of lower priorities keep a bounded part of the time
 * served, so that none starves. A statement is admitted only if it can be served before its deadline, and one that later
 * arrivals have pushed beyond its deadline is removed before the deadline comes. An organisation that has had far more than
 * its share lately goes behind the others, whatever its priority.
 */
import * as usages from "./shareusage.js";

/** A waiting statement. */
export interface Ticket<T> {
    readonly organisation: string;
    /** Scheduling priority; 0 is the most urgent. */
    readonly priority: number;
    /** Time by which the statement should be answered. */
    readonly targetMs: number;
    /** Time by which the statement has to be taken from the queue. */
    readonly deadlineMs: number;
    readonly value: T;
}

/** What the queue's statements can be served with. */
export interface Room {
    /** Statements that this host may have under way at the endpoint at the same time; at least 1. */
    readonly concurrency: number;
    /** Statements of this host that are under way there. */
    readonly underWay: number;
    /** Time from taking a statement to its answer, in milliseconds. */
    readonly answerMs: number;
    /** Time for which the statements of all hosts that are at the endpoint already keep it busy, in milliseconds. */
    readonly endpointWaitMs: number;
}

/** Settings of a queue. */
export interface Options {
    /** Largest number of waiting statements. */
    readonly maxLength: number;
    /** Relative weight of an organisation, above 0. */
    weight(organisation: string): number;
}

/** Whether a ticket was admitted, and which ones made way for it; otherwise, when there will be room. */
export type Admission<T> =
    | { readonly admitted: true; readonly displaced: readonly Ticket<T>[] }
    | { readonly admitted: false; readonly roomInMs: number };

/** A queue by priority and target. */
export interface AdmissionQueue<T> {
    /** Admits the ticket, or refuses it with the time until there is room for it. */
    offer(ticket: Ticket<T>, nowMs: number, room: Room): Admission<T>;
    /** Removes and returns the next ticket; undefined if the queue is empty. */
    take(nowMs: number, room: Room): Ticket<T> | undefined;
    /** Removes and returns the tickets that can't be taken before their deadline any more. */
    removeHopeless(nowMs: number, room: Room): readonly Ticket<T>[];
    /** Removes and returns the tickets for which the predicate is true. */
    remove(matches: (ticket: Ticket<T>) => boolean): readonly Ticket<T>[];
    /** Records for how long a statement of a priority was under way. */
    recordHold(priority: number, holdMs: number): void;
    /** Number of waiting statements. */
    length(): number;
    /** Statements taken although a more urgent one that could meet its target went on waiting. */
    inversions(): number;
}

/** Work that waits, of one priority. */
interface Level {
    totalMs: number;
    readonly byOrganisation: Map<string, number>;
}

/** Work that waits, by priority. */
type Backlog = Map<number, Level>;

/** Weight of the latest observation in the moving average of the times under way. */
const smoothing = 0.1;
/** Assumed time under way before the first observation. */
const initialHoldMs = 5;
/** Shortest time under way that counts, so that each statement served uses some of its part. */
const minHoldMs = 0.5;
/** Part of the time served that late statements get while others can still meet their targets. */
const lateShare = 0.15;
/** Part of the time served that lower priorities get while the most urgent one waits. */
const lowerShare = 0.1;

/** Time that a bounded part adds for each millisecond served of what goes before it. */
const creditOf = (share: number): number => share / (1 - share);

/** Creates an empty queue. `createAdmissionQueue<Job>({ maxLength: 256, weight: () => 1 })` */
export function createAdmissionQueue<T>(options: Options): AdmissionQueue<T> {
    let tickets: readonly Ticket<T>[] = [];
    const holds = new Map<number, number>();
    /** Time served of each organisation, over its weight, on the scale of the virtual time; the lowest is served next. */
    const passes = new Map<string, number>();
    /** Time served of each priority below the most urgent one; the lowest is served next. */
    const priorityPasses = new Map<number, number>();
    let virtualTime = 0;
    let priorityTime = 0;
    /** Time that late statements and lower priorities may use, in milliseconds. */
    const credits = { late: 0, lower: 0 };
    const usage = usages.createUsage(options.weight);
    /** Part of the statements taken lately that could meet their target. */
    let timelyPart = 0;
    let inversionCount = 0;

    function holdMs(priority: number): number {
        const known = holds.get(priority);
        if (known !== undefined) {
            return known;
        }
        return holds.size === 0 ? initialHoldMs : [...holds.values()].reduce((sum, ms) => sum + ms, 0) / holds.size;
    }

    const isTimely = (ticket: Ticket<T>, startMs: number, room: Room): boolean =>
        startMs + room.answerMs <= ticket.targetMs;

    const workOf = (entries: readonly Ticket<T>[]): number =>
        entries.reduce((sum, entry) => sum + holdMs(entry.priority), 0);

    function add(backlog: Backlog, entry: Ticket<T>): void {
        const work = holdMs(entry.priority);
        const level = backlog.get(entry.priority) ?? { totalMs: 0, byOrganisation: new Map<string, number>() };
        backlog.set(entry.priority, level);
        level.totalMs += work;
        level.byOrganisation.set(entry.organisation, (level.byOrganisation.get(entry.organisation) ?? 0) + work);
    }

    /** Work of one priority that is served before the organisation's next statement, as organisations take turns. */
    function fairWork(level: Level | undefined, ticket: Ticket<T>): number {
        if (level === undefined) {
            return 0;
        }
        const ownMs = level.byOrganisation.get(ticket.organisation) ?? 0;
        const turnMs = (ownMs + holdMs(ticket.priority)) / options.weight(ticket.organisation);
        let sum = ownMs;
        level.byOrganisation.forEach((workMs, organisation) => {
            sum += organisation === ticket.organisation ? 0 : Math.min(workMs, turnMs * options.weight(organisation));
        });
        return sum;
    }

    /**
     * Expected time until a ticket is taken.
     * @param ahead What waits already, of its priority and of more urgent ones.
     * @param lowerMs Work that waits and goes behind: of lower priorities, or of organisations that have had their share.
     */
    function expectedWaitMs(
        ticket: Ticket<T>,
        ahead: Backlog,
        lowerMs: number,
        nowMs: number,
        room: Room,
    ): number {
        const isBusy = room.underWay >= room.concurrency;
        if (!isBusy && ahead.size === 0 && lowerMs === 0) {
            return 0;
        }
        const untilFreeMs = isBusy ? holdMs(ticket.priority) : 0;
        let urgentMs = 0;
        let equalTotalMs = 0;
        ahead.forEach((level, priority) => {
            urgentMs += priority < ticket.priority ? level.totalMs : 0;
            equalTotalMs += priority === ticket.priority ? level.totalMs : 0;
        });
        const firstMs = urgentMs + fairWork(ahead.get(ticket.priority), ticket);
        const aheadMs = firstMs + Math.min(lowerMs, firstMs * creditOf(lowerShare));
        const waitMs = untilFreeMs + aheadMs / room.concurrency;
        // A statement that misses its target, or whose organisation has had its share, goes behind the others.
        return isTimely(ticket, nowMs + waitMs, room) && !usage.exceedsShare(ticket.organisation, nowMs)
            ? waitMs
            : untilFreeMs + (urgentMs + equalTotalMs + lowerMs) / room.concurrency;
    }

    /** Forgets what organisations without a waiting statement were served, once the others have caught up with them. */
    function forgetPasses(): void {
        const waiting = new Set(tickets.map(entry => entry.organisation));
        passes.forEach((pass, organisation) => {
            if (pass <= virtualTime && !waiting.has(organisation)) {
                passes.delete(organisation);
            }
        });
    }

    function remove(matches: (ticket: Ticket<T>) => boolean): readonly Ticket<T>[] {
        const removed = tickets.filter(matches);
        if (removed.length > 0) {
            tickets = tickets.filter(entry => !removed.includes(entry));
            forgetPasses();
        }
        return removed;
    }

    /** The newest of the least urgent tickets, if it is less urgent than the given one. */
    function leastUrgent(priority: number): Ticket<T> | undefined {
        const least = Math.max(priority, ...tickets.map(entry => entry.priority));
        return least === priority ? undefined : [...tickets].reverse().find(entry => entry.priority === least);
    }

    /** True if the organisation has more than its part of the queue. */
    function exceedsPart(organisation: string): boolean {
        const organisations = new Set([organisation, ...tickets.map(entry => entry.organisation)]);
        const total = [...organisations].reduce((sum, name) => sum + options.weight(name), 0);
        const own = tickets.filter(entry => entry.organisation === organisation).length;
        return own >= Math.max(1, options.maxLength * options.weight(organisation) / total);
    }

    /** True if the bounded part is due; otherwise it earns credit for the time that goes before it. */
    function isDue(kind: keyof typeof credits, share: number, boundedMs: number, otherMs: number): boolean {
        if (credits[kind] >= boundedMs) {
            credits[kind] -= boundedMs;
            return true;
        }
        credits[kind] += otherMs * creditOf(share);
        return false;
    }

    function choosePriority(candidates: readonly Ticket<T>[]): readonly Ticket<T>[] {
        const top = Math.min(...candidates.map(entry => entry.priority));
        const lower = [...new Set(candidates.map(entry => entry.priority))].filter(priority => priority !== top);
        const passOf = (priority: number): number => priorityPasses.get(priority) ?? priorityTime;
        const [next] = lower.sort((left, right) => passOf(left) - passOf(right));
        const chosen = next !== undefined && isDue("lower", lowerShare, holdMs(next), holdMs(top)) ? next : top;
        if (chosen !== top) {
            priorityTime = passOf(chosen);
            priorityPasses.set(chosen, priorityTime + holdMs(chosen));
        }
        return candidates.filter(entry => entry.priority === chosen);
    }

    function chooseOrganisation(candidates: readonly Ticket<T>[]): Ticket<T> | undefined {
        const passOf = (entry: Ticket<T>): number => passes.get(entry.organisation) ?? virtualTime;
        return candidates.reduce<Ticket<T> | undefined>(
            (best, entry) => best === undefined || passOf(entry) < passOf(best) ? entry : best,
            undefined,
        );
    }

    return {
        remove,
        offer(ticket, nowMs, room) {
            const ahead: Backlog = new Map();
            const precedes = (entry: Ticket<T>): boolean =>
                entry.priority <= ticket.priority && !usage.exceedsShare(entry.organisation, nowMs);
            tickets.filter(precedes).forEach(entry => add(ahead, entry));
            const lowerMs = workOf(tickets.filter(entry => !precedes(entry)));
            const waitMs = expectedWaitMs(ticket, ahead, lowerMs, nowMs, room);
            const leftMs = ticket.deadlineMs - nowMs;
            const lateByMs = Math.max(waitMs, room.endpointWaitMs) - leftMs;
            if (lateByMs >= 0) {
                return { admitted: false, roomInMs: Math.max(1, lateByMs) };
            }
            const isFull = tickets.length >= options.maxLength;
            const displaced = isFull ? leastUrgent(ticket.priority) : undefined;
            if (exceedsPart(ticket.organisation) || (isFull && displaced === undefined)) {
                return { admitted: false, roomInMs: Math.max(1, waitMs) };
            }
            remove(entry => entry === displaced);
            // An organisation does not save up for later what it could have been served at other priorities.
            passes.set(ticket.organisation, Math.max(virtualTime, passes.get(ticket.organisation) ?? virtualTime));
            tickets = [...tickets, ticket];
            return { admitted: true, displaced: displaced === undefined ? [] : [displaced] };
        },
        take(nowMs, room) {
            const within = tickets.filter(entry => !usage.exceedsShare(entry.organisation, nowMs));
            const eligible = within.length > 0 ? within : tickets;
            const timely = eligible.filter(entry => isTimely(entry, nowMs, room));
            const late = eligible.filter(entry => !isTimely(entry, nowMs, room));
            const [firstLate] = late;
            const [firstTimely] = timely;
            const takesLate = firstLate !== undefined && (firstTimely === undefined
                || isDue("late", lateShare, holdMs(firstLate.priority), holdMs(firstTimely.priority)));
            const ticket = chooseOrganisation(choosePriority(takesLate ? late : timely));
            if (ticket === undefined) {
                return undefined;
            }
            timelyPart += ((firstTimely === undefined ? 0 : 1) - timelyPart) * smoothing;
            if (timely.some(entry => entry.priority < ticket.priority)) {
                inversionCount += 1;
            }
            virtualTime = Math.max(virtualTime, passes.get(ticket.organisation) ?? virtualTime);
            const served = holdMs(ticket.priority) / options.weight(ticket.organisation);
            usage.record(ticket.organisation, holdMs(ticket.priority), nowMs);
            passes.set(ticket.organisation, (passes.get(ticket.organisation) ?? virtualTime) + served);
            tickets = tickets.filter(entry => entry !== ticket);
            forgetPasses();
            return ticket;
        },
        removeHopeless(nowMs, room) {
            let lowerMs = workOf(tickets);
            const longestMs = Math.max(0, ...holds.values()) + lowerMs / room.concurrency;
            if (tickets.every(entry => nowMs + longestMs < entry.deadlineMs)) {
                return [];
            }
            const hopeless = new Set<Ticket<T>>();
            // More statements that can meet their targets will come, so late ones wait for their part of the time.
            const lateRate = room.concurrency * Math.max(lateShare, 1 - timelyPart);
            let lateMs = 0;
            const ahead: Backlog = new Map();
            const exceeds = (entry: Ticket<T>): boolean => usage.exceedsShare(entry.organisation, nowMs);
            const levels = [...new Set(tickets.map(entry => entry.priority))].sort((left, right) => left - right);
            const ordered = [false, true].flatMap(exceeding =>
                levels.map(priority =>
                    tickets.filter(entry => entry.priority === priority && exceeds(entry) === exceeding)
                )
            );
            for (const entries of ordered) {
                lowerMs = Math.max(0, lowerMs - workOf(entries));
                for (const entry of entries) {
                    const isLate = !isTimely(entry, nowMs, room);
                    const lateWaitMs = isLate ? (lateMs + holdMs(entry.priority)) / lateRate : 0;
                    const waitMs = Math.max(lateWaitMs, expectedWaitMs(entry, ahead, lowerMs, nowMs, room));
                    if (nowMs + waitMs >= entry.deadlineMs) {
                        // What is removed no longer stands before what came after it.
                        hopeless.add(entry);
                    }
                    else {
                        lateMs += isLate ? holdMs(entry.priority) : 0;
                        add(ahead, entry);
                    }
                }
            }
            return remove(entry => hopeless.has(entry));
        },
        recordHold(priority, latestMs) {
            const observedMs = Math.max(minHoldMs, latestMs);
            const known = holds.get(priority) ?? observedMs;
            holds.set(priority, known + (observedMs - known) * smoothing);
        },
        length: () => tickets.length,
        inversions: () => inversionCount,
    };
}
