/** Decides when the primary of a group with majority replication is replaced, and which endpoint is promoted. */
import * as positions from "./position.js";
import type * as quorum from "./quorum.js";

/** Time limits of a monitor. */
export interface Options {
    /** Time without a report of the primary, or without replication progress, until it is replaced, in milliseconds. */
    silenceTimeoutMs(): number;
    /** Time between two observations above which this process counts as having been paused, in milliseconds. */
    readonly pauseThresholdMs: number;
    /** Minimum time between two replacement attempts of this host, in milliseconds. */
    readonly minAttemptIntervalMs: number;
}

/** State of a group at one moment. */
export interface Observation {
    readonly nowMs: number;
    /** Endpoint that the platform lists as primary. */
    readonly primary: string | undefined;
    readonly reports: readonly quorum.Report[];
    /** Number of endpoints in the group. */
    readonly groupSize: number;
    /** True when the primary is shutting down, for a planned replacement. */
    readonly draining: boolean;
    /** True when the primary has run a write that isn't yet held by a majority. */
    readonly writesPending: boolean;
}

/** Monitors the primary of one group. */
export interface Monitor {
    /** Takes in an observation. Returns true, and counts an attempt, when this host should replace the primary now. */
    shouldReplace(observation: Observation): boolean;
}

/** Creates a monitor without observations. */
export function createMonitor(options: Options): Monitor {
    let lastObservedMs: number | undefined;
    let answeredMs = 0;
    let progressedMs = 0;
    let attemptMs = -Infinity;
    let maxReceived = positions.zero;
    let watchedPrimary: string | undefined;

    function resetTimers(nowMs: number): void {
        answeredMs = nowMs;
        progressedMs = nowMs;
    }

    function updateTimers(observation: Observation): void {
        const primary = observation.reports.find(report => report.endpoint === observation.primary);
        if (primary !== undefined && primary.primary) {
            answeredMs = Math.max(answeredMs, primary.requestedAtMs);
        }
        const received = observation.reports
            .filter(report => report.endpoint !== observation.primary)
            .map(report => report.received)
            .reduce(positions.max, positions.zero);
        if (!observation.writesPending || positions.compare(received, maxReceived) > 0) {
            progressedMs = observation.nowMs;
        }
        maxReceived = positions.max(maxReceived, received);
    }

    function majorityResponds(observation: Observation): boolean {
        const recent = observation.reports.filter(report =>
            report.endpoint !== observation.primary
            && observation.nowMs - report.requestedAtMs < options.silenceTimeoutMs()
        );
        return recent.length >= Math.floor(observation.groupSize / 2) + 1;
    }

    return {
        shouldReplace(observation) {
            const paused = lastObservedMs === undefined
                || observation.nowMs - lastObservedMs > options.pauseThresholdMs;
            lastObservedMs = observation.nowMs;
            if (paused || watchedPrimary !== observation.primary) {
                watchedPrimary = observation.primary;
                resetTimers(observation.nowMs);
            }
            updateTimers(observation);
            const silent = observation.nowMs - answeredMs >= options.silenceTimeoutMs();
            const stalled = observation.nowMs - progressedMs >= options.silenceTimeoutMs();
            const attemptDue = observation.nowMs - attemptMs >= options.minAttemptIntervalMs;
            if ((!silent && !stalled && !observation.draining) || !attemptDue || !majorityResponds(observation)) {
                return false;
            }
            attemptMs = observation.nowMs;
            return true;
        },
    };
}

/** Promise of an endpoint to accept nothing from a term below the new one. */
export interface TermPromise {
    readonly endpoint: string;
    /** Last log entry that the endpoint has received. */
    readonly received: positions.Position;
    /** True when the endpoint is shutting down or is the primary being replaced. */
    readonly lastResort: boolean;
}

/**
 * Chooses the endpoint to promote: the one with the most complete log among those that promised the new term, so that
 * no acknowledged write is lost. Endpoints marked as a last resort are considered only when the others aren't a
 * majority. Otherwise a primary that is cut off from its replicas would win, because its log is the longest. Returns
 * undefined without a majority of promises.
 */
export function choosePrimary(promises: readonly TermPromise[], size: number): string | undefined {
    const majority = Math.floor(size / 2) + 1;
    const preferred = promises.filter(promise => !promise.lastResort);
    const eligible = preferred.length >= majority ? preferred : promises;
    if (eligible.length < majority) {
        return undefined;
    }
    const sorted = [...eligible].sort((left, right) => positions.compare(right.received, left.received));
    return sorted[0]?.endpoint;
}
