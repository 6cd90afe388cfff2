/**
 * What several hosts admitted together, as a count that only grows, whoever comes and goes among them. Each of them
 * keeps the count for itself, in a frame that they agree on, so that any of them can go on telling it.
 */
import type * as allowances from "./limiter.js";

/** Operations by organisation. */
export type Counts = Readonly<Record<string, number>>;

/** Adds up the accounts of several hosts. */
export interface Counter {
    /** Takes in the newest account of one host; the id differs between two processes of it. */
    observe(id: string, account: allowances.UsageByOrganisation): void;
    /** Forgets what was told by others than these. */
    retain(ids: ReadonlySet<string>): void;
    /** Takes over the frame of another host's tally of the same hosts, when that one has counted more. */
    adopt(frame: number, figures: Counts): void;
    /** Number of the frame: figures of one frame are alike, whoever tells them. */
    baselineId(): number;
    counts(): Counts;
}

/** What an account says was admitted. */
export function countsOf(account: allowances.UsageByOrganisation): Counts {
    return Object.fromEntries(
        Object.entries(account).map(([organisation, { admittedCount: admitted }]) => [organisation, admitted]),
    );
}

const sumOf = (figures: Counts): number => Object.values(figures).reduce((combine, figure) => combine + figure, 0);

/** Creates a tally with a frame of its own. */
export function createCounter(ownFrame: number): Counter {
    const seen = new Map<string, Map<string, number>>();
    let frame = ownFrame;
    let sums: Record<string, number> = {};
    return {
        observe(id, account) {
            const known = seen.get(id);
            const next = known ?? new Map<string, number>();
            for (const [organisation, { admittedCount: admitted }] of Object.entries(account)) {
                // What a host had admitted before it was first heard is not known to have been counted elsewhere.
                const gained = known === undefined ? 0 : admitted - (known.get(organisation) ?? 0);
                sums[organisation] = (sums[organisation] ?? 0) + Math.max(0, gained);
                next.set(organisation, admitted);
            }
            seen.set(id, next);
        },
        retain(ids) {
            [...seen.keys()].filter(id => !ids.has(id)).forEach(id => seen.delete(id));
        },
        adopt(other, figures) {
            if (other !== frame && sumOf(figures) > sumOf(sums)) {
                frame = other;
                sums = { ...figures };
            }
        },
        baselineId: () => frame,
        counts: () => sums,
    };
}

/** One account of several hosts: their demand together, and what they admitted by the tally. */
export function sum(
    accounts: readonly allowances.UsageByOrganisation[],
    tally: Counter,
): allowances.UsageByOrganisation {
    const figures = tally.counts();
    const total: Record<string, allowances.Usage> = {};
    for (const account of accounts) {
        for (const [organisation, { demandPerSecond: demand, remaining: left }] of Object.entries(account)) {
            const known = total[organisation];
            total[organisation] = {
                demandPerSecond: (known?.demandPerSecond ?? 0) + demand,
                admittedCount: figures[organisation] ?? 0,
                remaining: Math.min(known?.remaining ?? Infinity, left),
            };
        }
    }
    return total;
}
