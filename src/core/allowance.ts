/**
 * This host's part of each organisation's rate and burst. The parts follow demand: each host tells the others
 * how much was asked of it lately, and takes the same part of the limit as it has of the whole demand. A host
 * that can't hear all others takes no more than an even part.
 */
import * as failure from "./failure.js";

/** Limits of one organisation over all hosts. */
export interface Limit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Operations asked of one host lately, a second, by organisation. */
export type Demand = Readonly<Record<string, number>>;

/** What the parts are worked out from. */
export interface Fleet {
    /** Demand of each other host that was heard lately. */
    readonly others: readonly Demand[];
    /** Other hosts that exist but were not heard lately. */
    readonly unheard: number;
}

/** Admits operations of organisations. */
export interface Allowance {
    limit(limits: ReadonlyMap<string, Limit>): void;
    /** Takes in what the other hosts said. */
    share(fleet: Fleet, nowMs: number): void;
    /** Takes one operation from the allowance; the time to come back when there is none. */
    admit(organisation: string, nowMs: number): { readonly admitted: boolean; readonly retryAfterMs: number };
    /** Demand of this host, to be told to the others. */
    demand(nowMs: number): Demand;
}

interface Bucket {
    /** Operations that may be admitted at once. */
    tokens: number;
    filledMs: number;
    part: number;
    demand: number;
    demandMs: number;
}

/** Time constant of the demand estimate, in milliseconds: a few exchanges between hosts. */
const memoryMs = 1_000;
/** Demand, in operations a second, that each host counts as having; keeps a part for the first operation. */
const idleDemand = 0.3;
/**
 * Time for whose rate a starting host has tokens at hand, in milliseconds: at least as long as its start takes,
 * when it admitted nothing.
 */
const startMs = 1_000;
/** Hosts that a starting host assumes until it has heard how many there are. */
const assumedHosts = 8;

/** Creates an allowance for a host that knows of no other. */
export function createAllowance(): Allowance {
    let limits: ReadonlyMap<string, Limit> = new Map();
    const buckets = new Map<string, Bucket>();
    let fleet: Fleet | undefined;

    function bucket(organisation: string, nowMs: number): Bucket {
        const known = buckets.get(organisation);
        if (known !== undefined) {
            return known;
        }
        const part = evenPart();
        const limit = limits.get(organisation) ?? { ratePerSecond: 0, burst: 0 };
        const tokens = part * Math.min(limit.burst, limit.ratePerSecond * startMs / 1_000);
        const created = { tokens, filledMs: nowMs, part, demand: 0, demandMs: nowMs };
        buckets.set(organisation, created);
        return created;
    }

    function evenPart(): number {
        return 1 / (fleet === undefined ? assumedHosts : 1 + fleet.others.length + fleet.unheard);
    }

    function decay(entry: Bucket, nowMs: number): void {
        entry.demand *= Math.exp((entry.demandMs - nowMs) / memoryMs);
        entry.demandMs = nowMs;
    }

    function fill(entry: Bucket, limit: Limit, nowMs: number): void {
        const gained = limit.ratePerSecond * entry.part * (nowMs - entry.filledMs) / 1_000;
        entry.tokens = Math.min(Math.max(1, limit.burst * entry.part), entry.tokens + gained);
        entry.filledMs = nowMs;
    }

    function rate(entry: Bucket): number {
        return entry.demand * 1_000 / memoryMs;
    }

    return {
        limit(next) {
            limits = next;
        },
        share(next, nowMs) {
            fleet = next;
            for (const [organisation, entry] of buckets) {
                const limit = limits.get(organisation);
                if (limit === undefined) {
                    buckets.delete(organisation);
                    continue;
                }
                decay(entry, nowMs);
                fill(entry, limit, nowMs);
                const own = rate(entry) + idleDemand;
                const heard = next.others.map(other => (other[organisation] ?? 0) + idleDemand);
                const total = heard.reduce((sum, value) => sum + value, own);
                // A host that was not heard counts as having an even part, which it may still use.
                const free = 1 - next.unheard / (1 + next.others.length + next.unheard);
                entry.part = next.unheard > 0 && next.others.length === 0 ? evenPart() : free * own / total;
            }
        },
        admit(organisation, nowMs) {
            const limit = limits.get(organisation);
            if (limit === undefined) {
                return { admitted: false, retryAfterMs: memoryMs };
            }
            const entry = bucket(organisation, nowMs);
            decay(entry, nowMs);
            entry.demand += 1;
            fill(entry, limit, nowMs);
            if (entry.tokens < 1) {
                const perSecond = Math.max(limit.ratePerSecond * entry.part, Number.EPSILON);
                return { admitted: false, retryAfterMs: Math.min(memoryMs, (1 - entry.tokens) * 1_000 / perSecond) };
            }
            entry.tokens -= 1;
            return { admitted: true, retryAfterMs: 0 };
        },
        demand(nowMs) {
            return Object.fromEntries([...buckets].map(([organisation, entry]) => {
                decay(entry, nowMs);
                return [organisation, Math.round(rate(entry) * 100) / 100];
            }));
        },
    };
}

/** The failure of an operation beyond its organisation's limit. */
export function exceeded(organisation: string, retryAfterMs: number): failure.Failure {
    const message = `Organisation ${organisation} is at its rate limit.`;
    return failure.create(failure.Code.rateExceeded, organisation, message, Math.ceil(retryAfterMs));
}
