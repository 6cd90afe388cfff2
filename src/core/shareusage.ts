/** Recent use of an endpoint by organisations, and which of them exceed their share of it. */

/** Recent use by organisations. */
export interface Usage {
    /** Records that a statement of the organisation takes a time to serve. */
    record(organisation: string, servedMs: number, nowMs: number): void;
    /** True if the organisation has had far more than the others lately. */
    exceedsShare(organisation: string, nowMs: number): boolean;
}

/** Time constant with which use is forgotten. */
const memoryMs = 2_000;
/** Use, as a multiple of an even share, from which an organisation exceeds its share. */
const shareFactor = 1.5;
/** Use beyond that, in milliseconds, which a few statements that happen to come together may take. */
const allowanceMs = 100;
/** Use below which an organisation is forgotten. */
const minUseMs = 0.5;
/** Interval at which the shares are computed anew. */
const intervalMs = 50;

/** Creates a record without any use. `createUsage(() => 1)` */
export function createUsage(weight: (organisation: string) => number): Usage {
    const uses = new Map<string, number>();
    let updatedMs = -Infinity;
    let exceeding: ReadonlySet<string> = new Set();

    function update(nowMs: number): void {
        if (nowMs - updatedMs < intervalMs) {
            return;
        }
        const remaining = Math.exp((updatedMs - nowMs) / memoryMs);
        updatedMs = nowMs;
        let total = 0;
        let totalWeight = 0;
        uses.forEach((use, organisation) => {
            const left = use * remaining;
            if (left < minUseMs) {
                uses.delete(organisation);
                return;
            }
            uses.set(organisation, left);
            total += left;
            totalWeight += weight(organisation);
        });
        exceeding = new Set(
            [...uses]
                .filter(([organisation, use]) =>
                    use > allowanceMs + shareFactor * total * weight(organisation) / totalWeight
                )
                .map(([organisation]) => organisation),
        );
    }

    return {
        record(organisation, servedMs, nowMs) {
            update(nowMs);
            uses.set(organisation, (uses.get(organisation) ?? 0) + servedMs);
        },
        exceedsShare(organisation, nowMs) {
            update(nowMs);
            return exceeding.has(organisation);
        },
    };
}
