/** Lets a part of a sequence of decisions through, spread evenly over it. */

/** The decisions of one kind. */
export interface Ration {
    /** Counts a decision; true for the given part of them, from 0 to 1. The part may change from decision to decision. */
    grants(part: number): boolean;
}

/** Creates a ration that has granted nothing. */
export function createRation(): Ration {
    let credit = 0;
    return {
        grants(part) {
            credit += part;
            if (credit < 1) {
                return false;
            }
            credit -= 1;
            return true;
        },
    };
}
