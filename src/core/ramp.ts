/** Limits what an endpoint takes to a share of the placements for which it is a candidate, by counting them. */

/** The placements of one endpoint. */
export interface Ramp {
    /** Counts a placement for which the endpoint is a candidate; true if it may be chosen. */
    offer(share: number): boolean;
    /** Counts that the endpoint was chosen. */
    take(): void;
}

/** Creates a ramp without credit. */
export function createRamp(): Ramp {
    let credit = 0;
    return {
        offer(share) {
            // Credit for more than one placement would let an endpoint take several in a row.
            credit = Math.min(1, credit + share);
            return credit >= 1;
        },
        take() {
            credit = Math.max(0, credit - 1);
        },
    };
}
