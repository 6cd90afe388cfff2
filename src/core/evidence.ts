/**
 * Evidence of how well an endpoint serves, from the statements that were sent to it: what hosts see of each other's
 * statements tells a failing endpoint from a healthy one, whatever its health check says.
 */

/** Outcomes of recent statements at an endpoint; older statements count less. */
export interface Outcomes {
    readonly served: number;
    readonly failed: number;
}

/** Evidence about one endpoint. */
export interface Evidence {
    /** Counts a statement that the endpoint served or failed. */
    record(failed: boolean, nowMs: number): void;
    /** The outcomes seen by this host. */
    own(nowMs: number): Outcomes;
    /** Forgets everything, because the endpoint's process is a new one. */
    clear(): void;
}

/** Time constant with which outcomes lose weight: long enough for some statements a host, short against a fault. */
const timeConstantMs = 3_000;
/**
 * Weight of the assumption that an endpoint serves, in statements: a single failure among few statements says little.
 */
const priorServed = 3;

/** Outcomes of no statement. */
export const none: Outcomes = { served: 0, failed: 0 };

/** Adds up the outcomes that several hosts saw. */
export function add(left: Outcomes, right: Outcomes): Outcomes {
    return { served: left.served + right.served, failed: left.failed + right.failed };
}

/** Outcomes that were reported some time ago, with the weight that they have now. */
export function aged(outcomes: Outcomes, ageMs: number): Outcomes {
    const weight = Math.exp(-ageMs / timeConstantMs);
    return { served: outcomes.served * weight, failed: outcomes.failed * weight };
}

/** Number of statements that the evidence rests on. */
export function volume(outcomes: Outcomes): number {
    return outcomes.served + outcomes.failed;
}

/** Probability that the next statement fails, from 0 to 1. */
export function failureRate(outcomes: Outcomes): number {
    return outcomes.failed / (volume(outcomes) + priorServed);
}

/** Creates evidence without any statement. */
export function createEvidence(): Evidence {
    let outcomes = none;
    let updatedMs = -Infinity;

    function decay(nowMs: number): void {
        outcomes = updatedMs === -Infinity ? none : aged(outcomes, nowMs - updatedMs);
        updatedMs = nowMs;
    }

    return {
        record(failed, nowMs) {
            decay(nowMs);
            outcomes = add(outcomes, failed ? { served: 0, failed: 1 } : { served: 1, failed: 0 });
        },
        own(nowMs) {
            decay(nowMs);
            return outcomes;
        },
        clear() {
            outcomes = none;
        },
    };
}
