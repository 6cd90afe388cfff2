/**
 * Counts the operations that the hosts of a cell admitted together. The count never decreases, whichever hosts join or
 * leave. Every host of the cell keeps its own counter; all of them adopt the same baseline, the zero point that counts
 * refer to, so that any of them can report the count to other cells.
 */
import type * as limiters from "./limiter.js";
import * as lookup from "./lookup.js";

/** Number of operations by organisation. */
export type Counts = Readonly<Record<string, number>>;

/** Adds up the operations that several hosts admitted. */
export interface Counter {
    /** Adds what a process admitted since its previous usage was observed; `id` identifies the process. */
    observe(id: string, usage: limiters.UsageByOrganisation): void;
    /** Forgets the usage of all processes but these; the counts stay. */
    retain(ids: ReadonlySet<string>): void;
    /** Replaces the baseline and counts by those of another host of the cell, if the other counts add up to more. */
    adopt(baselineId: number, counts: Counts): void;
    /** Identifies the baseline: counts with the same baseline are comparable, whichever host reports them. */
    baselineId(): number;
    /** Operations admitted since the baseline. */
    counts(): Counts;
}

/** The number of admitted operations in a usage report. */
export function countsOf(usage: limiters.UsageByOrganisation): Counts {
    return Object.fromEntries(
        Object.entries(usage).map(([organisation, { admittedCount }]) => [organisation, admittedCount]),
    );
}

const sumOf = (counts: Counts): number => Object.values(counts).reduce((sum, count) => sum + count, 0);

/** Creates a counter at 0 with a baseline of its own. */
export function createCounter(ownBaselineId: number): Counter {
    const observed = new Map<string, Map<string, number>>();
    let baselineId = ownBaselineId;
    let totals: Record<string, number> = {};
    return {
        observe(id, usage) {
            const previous = observed.get(id);
            const next = previous ?? new Map<string, number>();
            for (const [organisation, { admittedCount }] of Object.entries(usage)) {
                // Operations from before a process was first observed are left out: others may have counted them.
                const gained = previous === undefined ? 0 : admittedCount - (previous.get(organisation) ?? 0);
                totals[organisation] = (lookup.find(totals, organisation) ?? 0) + Math.max(0, gained);
                next.set(organisation, admittedCount);
            }
            observed.set(id, next);
        },
        retain(ids) {
            [...observed.keys()].filter(id => !ids.has(id)).forEach(id => observed.delete(id));
        },
        adopt(otherBaselineId, counts) {
            if (otherBaselineId !== baselineId && sumOf(counts) > sumOf(totals)) {
                baselineId = otherBaselineId;
                totals = { ...counts };
            }
        },
        baselineId: () => baselineId,
        counts: () => totals,
    };
}

/**
 * Combines the usage of several hosts into one: the sum of their demand, the operations that the counter counted, and
 * the fewest tokens that any of them sees remaining.
 */
export function combine(
    usages: readonly limiters.UsageByOrganisation[],
    counter: Counter,
): limiters.UsageByOrganisation {
    const counts = counter.counts();
    const combined: Record<string, limiters.Usage> = {};
    for (const usage of usages) {
        for (const [organisation, { demandPerSecond, remaining }] of Object.entries(usage)) {
            const previous = lookup.find(combined, organisation);
            combined[organisation] = {
                demandPerSecond: (previous?.demandPerSecond ?? 0) + demandPerSecond,
                admittedCount: lookup.find(counts, organisation) ?? 0,
                remaining: Math.min(previous?.remaining ?? Infinity, remaining),
            };
        }
    }
    return combined;
}
