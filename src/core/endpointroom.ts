/**
 * Room at an endpoint, as one host sees it: how long the statements of all hosts that are there already keep it busy. The
 * other hosts' statements are known late; on an old view the largest number that was known last counts, so that what
 * isn't known makes the room smaller.
 */

/** What a host knows of an endpoint. */
export interface View {
    /** Statements that the endpoint runs at the same time. */
    readonly slots: number;
    /** Statements of the other hosts that are at the endpoint or wait for it. */
    readonly othersLoad: number;
    /** Statements of this host that are at the endpoint. */
    readonly ownLoad: number;
    /** Age of what is known of the other hosts, in milliseconds. */
    readonly ageMs: number;
}

/** Estimates the room at one endpoint. */
export interface EndpointRoom {
    /** Records that a statement took a time beyond the round trip while the endpoint was as the view says. */
    recordAnswer(answeredMs: number, view: View): void;
    /** Time for which a statement that is sent now waits at the endpoint, in milliseconds. */
    waitMs(view: View): number;
}

/** Age from which a view is old; in calm it is renewed each second or two. */
const maxViewAgeMs = 4_000;
/** Weight of the latest observation in the moving average of the work time. */
const smoothing = 0.15;
/** Assumed work time before the first observation. */
const initialWorkMs = 10;

/** Rounds of an endpoint's slots that go before one more statement, while that many are at the endpoint. */
export function waitingRounds(load: number, slots: number): number {
    return Math.max(0, load + 1 - slots) / slots;
}

/** Creates an estimate without observations. */
export function createEndpointRoom(): EndpointRoom {
    let workMs = initialWorkMs;
    let lastKnownLoad = 0;

    /** Rounds of the endpoint's slots that go before a statement. */
    function roundsAhead({ slots, ownLoad, othersLoad, ageMs }: View): number {
        if (ageMs <= maxViewAgeMs) {
            lastKnownLoad = othersLoad;
        }
        const others = Math.max(othersLoad, lastKnownLoad);
        return waitingRounds(others + ownLoad, slots);
    }

    return {
        recordAnswer(answeredMs, view) {
            // A part of the time was spent behind the statements that the view shows.
            const observedMs = answeredMs / (1 + roundsAhead(view));
            workMs += (observedMs - workMs) * smoothing;
        },
        waitMs: view => roundsAhead(view) * workMs,
    };
}
