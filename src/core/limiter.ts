/**
 * Each organisation's rate and burst over all hosts, kept without a counter that all would have to ask. Every host
 * keeps an account of the whole limit: it fills at the rate, and what each host admitted is taken off as the hosts
 * tell each other. Between two accounts from the others a host spends no more than its part of what is left, and
 * the parts follow demand. What one host does not use is back in every account with the next exchange.
 */
import * as failure from "./failure.js";

/** Limits of one organisation over all hosts. */
export interface Limit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** What one host tells of one organisation. */
export interface Usage {
    /** Operations asked lately, a second. */
    readonly demandPerSecond: number;
    /** Operations admitted since the host's start. */
    readonly admittedCount: number;
    /** Operations left over all hosts, as the host sees it. */
    readonly remaining: number;
}

/** What one host tells of all organisations that it saw lately. */
export type UsageByOrganisation = Readonly<Record<string, Usage>>;

/** Another host's account, or that of several hosts together. */
export interface UsageReport {
    /** Differs between two processes of one host, whose counts start anew. */
    readonly id: string;
    readonly usage: UsageByOrganisation;
    /** Hosts whose account it is. */
    readonly hostCount: number;
    /** Time since the host told it, in milliseconds. */
    readonly ageMs: number;
}

/** The other hosts. */
export interface UsageReports {
    readonly reports: readonly UsageReport[];
    /** Other hosts that exist but were not heard lately. */
    readonly suspectedHosts: number;
}

/** Whether an operation is admitted, and what that rests on. */
export interface Decision {
    readonly admitted: boolean;
    readonly retryAfterMs: number;
    readonly state: LimiterState;
}

/** What a decision rests on, as this host knows it. */
export interface LimiterState {
    /** Operations left over all hosts, and those of them that this host may admit. */
    readonly left: number;
    readonly credit: number;
    /** This host's part of the limit. */
    readonly part: number;
    /** Hosts that share the limit, and the share of it that those heard may use. */
    readonly hosts: number;
    readonly reach: number;
}

/** Admits operations of organisations. */
export interface Limiter {
    setLimits(limits: ReadonlyMap<string, Limit>): void;
    /** Takes in what the other hosts told. */
    applyReports(fleet: UsageReports, nowMs: number): void;
    /** Takes one operation from the account; the time to come back when there is none. */
    admit(organisation: string, nowMs: number): Decision;
    /** What this host tells the others. */
    usage(nowMs: number): UsageByOrganisation;
}

interface Book {
    /** Operations left over the hosts that are heard, as far as known. */
    left: number;
    /** Operations that the other hosts are expected to have admitted since they told. */
    pending: number;
    /** Operations that this host may still admit. */
    credit: number;
    /** Operations that may be admitted beyond the credit, as of the moment. */
    passes: number;
    passedMs: number;
    filledMs: number;
    part: number;
    /** Share of what all hosts are asked that the limit allows. */
    served: number;
    demand: number;
    demandMs: number;
    /** Demand that the others were told, with when. */
    readonly told: { readonly atMs: number; readonly demand: number }[];
    admitted: number;
    /** What each other host had admitted when last heard. */
    readonly seen: Map<string, number>;
}

/** Time constant of the demand estimate, in milliseconds: two exchanges between hosts. */
const memoryMs = 1_000;
/** Demand, in operations a second, that each host counts as having; keeps a part for the first operation. */
const idleDemand = 0.3;
/**
 * Time for whose rate a starting host counts operations as left, in milliseconds: at least as long as its start
 * takes, when it admitted nothing.
 */
const startMs = 1_000;
/**
 * Part of the burst that is counted on; the rest covers what hosts admit at the same moment without knowing of each
 * other.
 */
const countedBurst = 0.85;
/** Hosts that a starting host assumes until it has heard how many there are. */
const assumedHosts = 8;
/** Time for which a host takes others' accounts for its own, in milliseconds: until it has heard most of them. */
const adoptMs = 2_000;
/** Time for which told demand is kept, in milliseconds: longer than news takes to all hosts. */
const toldMs = 4_000;
const toldSpacingMs = 50;
/** Longest debt after hosts were apart, in milliseconds of the rate; a longer one would punish the organisation. */
const debtMs = 1_000;
/** Operations by which all hosts together may overdraw their credits between two exchanges. */
const overdraft = 6;
/**
 * Operations beyond its credit that a host saves up: where an organisation's callers are few to a host, two that come at
 * once would find no credit though the account is full.
 */
const mostPasses = 4;
/** Those that a host has when it opens an account and knows of other hosts. */
const startPasses = 2;
/** Time in which a host gains one of them from a full account, in milliseconds: about the time that news takes. */
const passMs = 600;
/** Demand below which an organisation is left out of the account told to others, in operations a second. */
const leastDemand = 0.1;

/** Creates an allowance for a host that knows of no other. */
export function createLimiter(): Limiter {
    let limits: ReadonlyMap<string, Limit> = new Map();
    const books = new Map<string, Book>();
    let hosts: number | undefined;
    /** Accounts of the exchange before, by id. */
    let heard: ReadonlyMap<string, UsageReport> = new Map();
    let startedMs: number | undefined;
    /** Part of each limit that the hosts heard lately may use; the rest is left to those that were not. */
    let reach = 1;

    function open(organisation: string, limit: Limit, nowMs: number): Book {
        const known = books.get(organisation);
        if (known !== undefined) {
            return known;
        }
        const left = Math.min(limit.burst, limit.ratePerSecond * startMs / 1_000) * reach;
        const part = 1 / (hosts ?? assumedHosts);
        const created: Book = {
            left,
            pending: 0,
            credit: left * part,
            passes: hosts === undefined ? 1 : startPasses,
            passedMs: nowMs,
            filledMs: nowMs,
            part,
            served: 1,
            demand: 0,
            demandMs: nowMs,
            told: [],
            admitted: 0,
            seen: new Map(),
        };
        books.set(organisation, created);
        return created;
    }

    function decay(book: Book, nowMs: number): number {
        book.demand *= Math.exp((book.demandMs - nowMs) / memoryMs);
        book.demandMs = nowMs;
        return book.demand * 1_000 / memoryMs;
    }

    /** What an account may hold: what others admitted and have not told yet is taken off later. */
    function most(book: Book, limit: Limit): number {
        return limit.burst * countedBurst * reach + book.pending;
    }

    function fill(book: Book, limit: Limit, nowMs: number): void {
        const gained = limit.ratePerSecond * reach * (nowMs - book.filledMs) / 1_000;
        book.left = Math.min(most(book, limit), book.left + gained);
        book.credit += gained * book.part;
        book.filledMs = nowMs;
    }

    function basis(book: Book | undefined): LimiterState {
        const tenths = (value: number): number => Math.round(value * 10) / 10;
        return {
            left: tenths((book?.left ?? 0) - (book?.pending ?? 0)),
            credit: tenths(book?.credit ?? 0),
            part: Math.round((book?.part ?? 0) * 1_000) / 1_000,
            hosts: hosts ?? assumedHosts,
            reach: tenths(reach),
        };
    }

    /** Takes off what the other hosts admitted. */
    function settle(
        book: Book,
        organisation: string,
        limit: Limit,
        others: readonly UsageReport[],
        nowMs: number,
    ): void {
        const young = nowMs - (startedMs ?? nowMs) < adoptMs;
        for (const other of others) {
            const told = other.usage[organisation];
            if (told === undefined) {
                continue;
            }
            if (heard.has(other.id)) {
                // A host that was heard before without this organisation had admitted nothing of it.
                book.left -= told.admittedCount - (book.seen.get(other.id) ?? 0);
            }
            else if (young) {
                book.left = Math.min(book.left, told.remaining * reach);
            }
            // What a host admitted while it was not heard came off the rate that was left to it.
            book.seen.set(other.id, told.admittedCount);
        }
        const present = new Set(others.map(other => other.id));
        for (const [id, gone] of heard) {
            // A host that falls silent has mostly ended, but hosts that are no longer heard together go on.
            if (gone.hostCount > 1 && !present.has(id)) {
                book.left -= (gone.usage[organisation]?.demandPerSecond ?? 0) * book.served * gone.ageMs / 1_000;
            }
        }
        book.left = Math.max(book.left, -limit.ratePerSecond * debtMs / 1_000);
    }

    /**
     * The demand that the others know of, who on average heard it as long ago as this host heard theirs: parts worked
     * out from unlike knowledge would add up to more than all.
     */
    function known(book: Book, atMs: number): number {
        const later = book.told.findIndex(entry => entry.atMs > atMs);
        return book.told[later < 0 ? book.told.length - 1 : Math.max(0, later - 1)]?.demand ?? 0;
    }

    function tell(book: Book, demand: number, nowMs: number): void {
        if (nowMs - (book.told[book.told.length - 1]?.atMs ?? -Infinity) >= toldSpacingMs) {
            book.told.push({ atMs: nowMs, demand });
        }
        while ((book.told[0]?.atMs ?? Infinity) < nowMs - toldMs) {
            book.told.shift();
        }
    }

    /** Gives this host its part of what is left, less what the others are expected to have admitted since they told. */
    function divide(
        book: Book,
        organisation: string,
        limit: Limit,
        others: readonly UsageReport[],
        nowMs: number,
    ): void {
        const demandOf = (other: UsageReport): number => other.usage[organisation]?.demandPerSecond ?? 0;
        const count = others.reduce((sum, other) => sum + other.hostCount, 0);
        const age = others.reduce((sum, other) => sum + other.ageMs * other.hostCount, 0) / Math.max(1, count);
        const own = known(book, nowMs - age) + idleDemand;
        const total = others.reduce((sum, other) => sum + demandOf(other) + idleDemand * other.hostCount, own);
        book.served = Math.min(1, limit.ratePerSecond * reach / total);
        book.pending = others.reduce((sum, other) => sum + demandOf(other) * book.served * other.ageMs / 1_000, 0);
        book.left = Math.min(book.left, most(book, limit));
        book.part = own / total;
        book.credit = (book.left - book.pending) * book.part;
        const fullness = Math.max(0, book.left - book.pending) / Math.max(1, limit.burst * countedBurst * reach);
        book.passes = Math.min(mostPasses, book.passes + fullness * (nowMs - book.passedMs) / passMs);
        book.passedMs = nowMs;
    }

    return {
        setLimits(next) {
            limits = next;
        },
        applyReports({ reports: others, suspectedHosts: unheard }, nowMs) {
            // Up to now the operations accrued by the reach that held until now.
            for (const [organisation, book] of books) {
                const limit = limits.get(organisation);
                if (limit !== undefined) {
                    fill(book, limit, nowMs);
                }
            }
            startedMs ??= nowMs;
            hosts = others.reduce((sum, other) => sum + other.hostCount, 1 + unheard);
            const before = reach;
            reach = 1 - unheard / hosts;
            books.forEach(book => {
                // Hosts that are heard again bring their part of what is left, but no part of a debt.
                book.left *= book.left > 0 ? reach / before : 1;
            });
            for (const other of others) {
                for (const organisation of Object.keys(other.usage)) {
                    const limit = limits.get(organisation);
                    if (limit !== undefined) {
                        open(organisation, limit, nowMs);
                    }
                }
            }
            for (const [organisation, book] of books) {
                const limit = limits.get(organisation);
                if (limit === undefined) {
                    books.delete(organisation);
                    continue;
                }
                settle(book, organisation, limit, others, nowMs);
                divide(book, organisation, limit, others, nowMs);
            }
            heard = new Map(others.map(other => [other.id, other]));
        },
        admit(organisation, nowMs) {
            const limit = limits.get(organisation);
            if (limit === undefined) {
                return { admitted: false, retryAfterMs: memoryMs, state: basis(undefined) };
            }
            const book = open(organisation, limit, nowMs);
            decay(book, nowMs);
            book.demand += 1;
            fill(book, limit, nowMs);
            const least = 1 - Math.min(1, overdraft / (hosts ?? assumedHosts));
            if (book.credit <= least || (book.credit < 1 && book.left < 1)) {
                if (book.passes < 1 || book.left - book.pending < 1) {
                    const perSecond = Math.max(limit.ratePerSecond * book.part, Number.EPSILON);
                    const missing = Math.max(0.1, least - book.credit, 1 - Math.max(book.left, 0));
                    const retryAfterMs = Math.min(memoryMs, missing * 1_000 / perSecond);
                    return { admitted: false, retryAfterMs, state: basis(book) };
                }
                book.passes -= 1;
            }
            book.credit -= 1;
            book.left -= 1;
            book.admitted += 1;
            return { admitted: true, retryAfterMs: 0, state: basis(book) };
        },
        usage(nowMs) {
            const told = [...books].flatMap(([organisation, book]): readonly (readonly [string, Usage])[] => {
                const demand = Math.round(decay(book, nowMs) * 10) / 10;
                const left = Math.floor((book.left - book.pending) / reach);
                tell(book, demand, nowMs);
                return demand < leastDemand && book.admitted === 0 ? [] : [[organisation, {
                    demandPerSecond: demand,
                    admittedCount: book.admitted,
                    remaining: left,
                }]];
            });
            return Object.fromEntries(told);
        },
    };
}

/** The failure of an operation beyond its organisation's limit. */
export function limitExceeded(organisation: string, retryAfterMs: number): failure.Failure {
    const message = `Organisation ${organisation} is at its rate limit.`;
    return failure.create(failure.Code.rateExceeded, organisation, message, Math.ceil(retryAfterMs));
}
