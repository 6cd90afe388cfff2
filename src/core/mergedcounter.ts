/**
 * Merges counts that are reported with different baselines into one counter. The merged counter neither misses nor
 * repeats anything as long as at least one known baseline continues to be reported.
 */
import * as lookup from "./lookup.js";

/** Counts by name that never decrease. */
export interface MergedCounter {
    /** Takes in the counts since one baseline. */
    observe(baselineId: number, counts: Readonly<Record<string, number>>): void;
    /** Total by name, from a zero point that all names share. */
    totals(): Readonly<Record<string, number>>;
}

/** Creates a counter that starts at 0 with the first counts that it observes. */
export function createMergedCounter(): MergedCounter {
    const totals: Record<string, number> = {};
    /** Difference between the totals and the counts of each baseline, by baseline and name. */
    const offsets = new Map<number, Map<string, number>>();
    return {
        observe(baselineId, counts) {
            const known = offsets.get(baselineId);
            const own = known ?? new Map<string, number>();
            offsets.set(baselineId, own);
            for (const [name, count] of Object.entries(counts)) {
                const total = lookup.find(totals, name);
                // A known baseline that reports a name for the first time has counted it from 0.
                const offset = own.get(name)
                    ?? (total === undefined ? (known === undefined ? -count : 0) : total - count);
                own.set(name, offset);
                totals[name] = Math.max(total ?? 0, count + offset);
            }
        },
        totals: () => totals,
    };
}
