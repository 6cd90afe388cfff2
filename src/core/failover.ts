/** When to replace a primary, and by which endpoint. */
import * as positions from "./position.js";
import type * as quorum from "./quorum.js";

/** Settings of a watch over one primary. */
export interface Options {
    /** Silence of the primary, or of its replication, after which it is replaced, in milliseconds. */
    silenceMs(): number;
    /** Gap between two looks that shows that this process itself was paused, in milliseconds. */
    readonly pauseMs: number;
    /** Least time between two attempts of this host, in milliseconds. */
    readonly attemptGapMs: number;
}

/** What the watcher sees at one look. */
export interface Look {
    readonly nowMs: number;
    /** The endpoint that the platform names as primary. */
    readonly primary: string | undefined;
    readonly reports: readonly quorum.Report[];
    readonly size: number;
    /** The primary is leaving and is to be replaced as planned. */
    readonly leaving: boolean;
    /** A write has run at the primary and no majority holds it yet. */
    readonly waiting: boolean;
}

/** A watch over the primary of one group. */
export interface Watch {
    /** True when this host should replace the primary now. */
    look(look: Look): boolean;
}

/** Creates a watch that has seen nothing. */
export function createWatch(options: Options): Watch {
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

    function observe(look: Look): void {
        const primary = look.reports.find(report => report.endpoint === look.primary);
        if (primary !== undefined && primary.primary) {
            heardMs = Math.max(heardMs, primary.askedMs);
        }
        const replicated = look.reports
            .filter(report => report.endpoint !== look.primary)
            .map(report => report.received)
            .reduce(positions.max, positions.zero);
        if (!look.waiting || positions.compare(replicated, furthest) > 0) {
            replicatedMs = look.nowMs;
        }
        furthest = positions.max(furthest, replicated);
    }

    function majorityAnswers(look: Look): boolean {
        const recent = look.reports.filter(report =>
            report.endpoint !== look.primary && look.nowMs - report.askedMs < options.silenceMs()
        );
        return recent.length >= Math.floor(look.size / 2) + 1;
    }

    return {
        look(look) {
            const paused = lastLookMs === undefined || look.nowMs - lastLookMs > options.pauseMs;
            lastLookMs = look.nowMs;
            if (paused || watched !== look.primary) {
                watched = look.primary;
                restart(look.nowMs);
            }
            observe(look);
            const silent = look.nowMs - heardMs >= options.silenceMs();
            const stalled = look.nowMs - replicatedMs >= options.silenceMs();
            const rested = look.nowMs - attemptMs >= options.attemptGapMs;
            if ((!silent && !stalled && !look.leaving) || !rested || !majorityAnswers(look)) {
                return false;
            }
            attemptMs = look.nowMs;
            return true;
        },
    };
}

/** An endpoint that has promised the new term. */
export interface Promise {
    readonly endpoint: string;
    readonly received: positions.Position;
    /** True when it leaves or is the primary being replaced. */
    readonly passedOver: boolean;
}

/**
 * The endpoint to promote among those that promised the new term: the one with the most complete log,
 * so that no acknowledged write is lost. An endpoint that leaves, or is being replaced, is passed over while
 * the others are a majority by themselves: a primary cut from its replicas has the longest log of all. Undefined without a majority of promises.
 */
export function choose(promises: readonly Promise[], size: number): string | undefined {
    const majority = Math.floor(size / 2) + 1;
    const staying = promises.filter(promise => !promise.passedOver);
    const eligible = staying.length >= majority ? staying : promises;
    if (eligible.length < majority) {
        return undefined;
    }
    const sorted = [...eligible].sort((left, right) => positions.compare(right.received, left.received));
    return sorted[0]?.endpoint;
}
