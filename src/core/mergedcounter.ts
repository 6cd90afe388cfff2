/**
 * One count of what is told in several frames, each with a start of its own. It goes on without a gap while one of the
 * frames does.
 */

/** A count by name that only grows. */
export interface MergedCounter {
    /** Takes in what one frame counts since its start. */
    observe(frame: number, counted: Readonly<Record<string, number>>): void;
    /** What was counted, by name, since a start that all names share. */
    totals(): Readonly<Record<string, number>>;
}

/** Creates a count that starts with what it is told first. */
export function createMergedCounter(): MergedCounter {
    const totals: Record<string, number> = {};
    /** What each frame's figures lack to the totals, by name. */
    const offsets = new Map<number, Map<string, number>>();
    return {
        observe(frame, counted) {
            const known = offsets.get(frame);
            const own = known ?? new Map<string, number>();
            offsets.set(frame, own);
            for (const [name, figure] of Object.entries(counted)) {
                const total = totals[name];
                // A frame that is known has counted a new name from its beginning.
                const offset = own.get(name)
                    ?? (total === undefined ? (known === undefined ? -figure : 0) : total - figure);
                own.set(name, offset);
                totals[name] = Math.max(total ?? 0, figure + offset);
            }
        },
        totals: () => totals,
    };
}
