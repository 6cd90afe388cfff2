/** When to replace a primary, and by which endpoint. */
import * as positions from "./position.js";
import type * as quorum from "./quorum.js";

/** Settings of a watch over one primary. */
export interface Options {
    /** Silence of the primary, or of its replication, after which it is replaced, in milliseconds. */
    silenceTimeoutMs(): number;
    /** Gap between two looks that shows that this process itself was paused, in milliseconds. */
    readonly pauseThresholdMs: number;
    /** Least time between two attempts of this host, in milliseconds. */
    readonly minAttemptIntervalMs: number;
}

/** What the watcher sees at one look. */
export interface Observation {
    readonly nowMs: number;
    /** The endpoint that the platform names as primary. */
    readonly primary: string | undefined;
    readonly reports: readonly quorum.Report[];
    readonly groupSize: number;
    /** The primary is leaving and is to be replaced as planned. */
    readonly draining: boolean;
    /** A write has run at the primary and no majority holds it yet. */
    readonly writesPending: boolean;
}

/** A watch over the primary of one group. */
export interface Monitor {
    /** True when this host should replace the primary now. */
    shouldReplace(look: Observation): boolean;
}

/** Creates a watch that has seen nothing. */
export function createMonitor(options: Options): Monitor {
    let lastLookMs: number | undefined;
    let heardMs = 0;
    let replicatedMs = 0;
    let attemptMs = -Infinity;
    let furthest = positions.zero;
    let watched: string | undefined;

    function restart(nowMs: number): void {
        heardMs = nowMs;
        replicatedMs = nowMs;
    }

    function observe(look: Observation): void {
        const primary = look.reports.find(report => report.endpoint === look.primary);
        if (primary !== undefined && primary.primary) {
            heardMs = Math.max(heardMs, primary.requestedAtMs);
        }
        const replicated = look.reports
            .filter(report => report.endpoint !== look.primary)
            .map(report => report.received)
            .reduce(positions.max, positions.zero);
        if (!look.writesPending || positions.compare(replicated, furthest) > 0) {
            replicatedMs = look.nowMs;
        }
        furthest = positions.max(furthest, replicated);
    }

    function majorityAnswers(look: Observation): boolean {
        const recent = look.reports.filter(report =>
            report.endpoint !== look.primary && look.nowMs - report.requestedAtMs < options.silenceTimeoutMs()
        );
        return recent.length >= Math.floor(look.groupSize / 2) + 1;
    }

    return {
        shouldReplace(look) {
            const paused = lastLookMs === undefined || look.nowMs - lastLookMs > options.pauseThresholdMs;
            lastLookMs = look.nowMs;
            if (paused || watched !== look.primary) {
                watched = look.primary;
                restart(look.nowMs);
            }
            observe(look);
            const silent = look.nowMs - heardMs >= options.silenceTimeoutMs();
            const stalled = look.nowMs - replicatedMs >= options.silenceTimeoutMs();
            const rested = look.nowMs - attemptMs >= options.minAttemptIntervalMs;
            if ((!silent && !stalled && !look.draining) || !rested || !majorityAnswers(look)) {
                return false;
            }
            attemptMs = look.nowMs;
            return true;
        },
    };
}

/** An endpoint that has promised the new term. */
export interface TermPromise {
    readonly endpoint: string;
    readonly received: positions.Position;
    /** True when it leaves or is the primary being replaced. */
    readonly lastResort: boolean;
}

/**
 * The endpoint to promote among those that promised the new term: the one with the most complete log,
 * so that no acknowledged write is lost. An endpoint that leaves, or is being replaced, is passed over while
 * the others are a majority by themselves: a primary cut from its replicas has the longest log of all. Undefined without a majority of promises.
 */
export function choosePrimary(promises: readonly TermPromise[], size: number): string | undefined {
    const majority = Math.floor(size / 2) + 1;
    const staying = promises.filter(promise => !promise.lastResort);
    const eligible = staying.length >= majority ? staying : promises;
    if (eligible.length < majority) {
        return undefined;
    }
    const sorted = [...eligible].sort((left, right) => positions.compare(right.received, left.received));
    return sorted[0]?.endpoint;
}
