/** Demand of one organisation at one host, and what the host reported of it lately. */

/** Demand at one host. */
export interface Demand {
    /** Counts a request, whether admitted or not. */
    record(nowMs: number): void;
    /** Recent requests a second. */
    perSecond(nowMs: number): number;
    /** Returns the demand to report, and remembers it with the number of operations admitted so far. */
    report(admittedCount: number, nowMs: number): number;
    /** The demand that was reported last by that time; 0 if none was. */
    reportedPerSecond(atMs: number): number;
    /** Operations admitted by that time, as far as reports are remembered. */
    admittedBefore(atMs: number): number;
}

/** Time constant of the exponentially decayed demand: two exchanges of usage reports. */
export const timeConstantMs = 1_000;
/** Time for which reported demand is kept: longer than a report takes to reach all hosts. */
const historyMs = 4_000;
const historySpacingMs = 50;

/** Creates the demand of an organisation that has made no requests. */
export function createDemand(startMs: number): Demand {
    /** Exponentially decayed number of requests. */
    let recentRequests = 0;
    let decayedMs = startMs;
    /** Latest reports, oldest first. */
    const reports: { readonly atMs: number; readonly perSecond: number; readonly admittedCount: number }[] = [];

    function perSecond(nowMs: number): number {
        recentRequests *= Math.exp((decayedMs - nowMs) / timeConstantMs);
        decayedMs = nowMs;
        return recentRequests * 1_000 / timeConstantMs;
    }

    /** The last report by that time, or the first one that is remembered. */
    function reportAt(atMs: number) {
        const firstLater = reports.findIndex(entry => entry.atMs > atMs);
        return reports[firstLater < 0 ? reports.length - 1 : Math.max(0, firstLater - 1)];
    }

    return {
        record(nowMs) {
            perSecond(nowMs);
            recentRequests += 1;
        },
        perSecond,
        report(admittedCount, nowMs) {
            const reported = Math.round(perSecond(nowMs) * 10) / 10;
            if (nowMs - (reports[reports.length - 1]?.atMs ?? -Infinity) >= historySpacingMs) {
                reports.push({ atMs: nowMs, perSecond: reported, admittedCount });
            }
            while ((reports[0]?.atMs ?? Infinity) < nowMs - historyMs) {
                reports.shift();
            }
            return reported;
        },
        reportedPerSecond: atMs => reportAt(atMs)?.perSecond ?? 0,
        admittedBefore: atMs => reportAt(atMs)?.admittedCount ?? 0,
    };
}
