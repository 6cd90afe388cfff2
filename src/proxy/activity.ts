/** Counts a host's activity for a log line written at intervals, so that totals can be worked out from logs alone. */
import * as z from "zod";
import * as failure from "../core/failure.js";
import type * as policies from "../core/policy.js";
import type * as sessions from "./session.js";

const organisationActivity = z.object({
    /** Operations admitted by the rate limit. */
    admitted: z.number(),
    /** Operations refused because the rate limit was exceeded. */
    beyond: z.number(),
    /** Statements and operations refused, or failed, for any other reason. */
    failed: z.number(),
    /** Rate limit over all hosts, in operations a second. */
    ratePerSecond: z.number(),
}).readonly();

/** Schema of the activity in one interval, as logged. */
export const schema = z.object({
    /** Length of the interval, in milliseconds. */
    ms: z.number(),
    /** Reads that may miss recent commits, by the role of the endpoint that served them. */
    replicaReads: z.number(),
    primaryReads: z.number(),
    organisations: z.record(z.string(), organisationActivity).readonly(),
}).readonly();
/** A host's activity in one interval. */
export type Report = z.infer<typeof schema>;

/** Counts this host's activity. */
export interface ActivityCounter extends sessions.RequestMetrics {
    /** Returns what was counted since the last call, and starts a new interval; undefined if there was no activity. */
    flush(policy: policies.Policy, nowMs: number): Report | undefined;
}

/** Organisations in one report: first those with the most refused operations, then those with the most admitted. */
const maxOrganisations = 50;

interface Counts {
    admitted: number;
    beyond: number;
    failed: number;
}

/**
 * Creates an empty counter whose first interval starts at that time. `isConsistent` tells whether reads of a database
 * always see every commit; those are not counted.
 */
export function createActivityCounter(startMs: number, isConsistent: (database: string) => boolean): ActivityCounter {
    let intervalStartMs = startMs;
    let [replicaReads, primaryReads] = [0, 0];
    let organisations = new Map<string, Counts>();

    function countsOf(organisation: string): Counts {
        const counts = organisations.get(organisation) ?? { admitted: 0, beyond: 0, failed: 0 };
        organisations.set(organisation, counts);
        return counts;
    }

    return {
        admitted(organisation) {
            countsOf(organisation).admitted += 1;
        },
        served(database, _, primary, mode) {
            if (mode === "read" && !isConsistent(database)) {
                replicaReads += primary ? 0 : 1;
                primaryReads += primary ? 1 : 0;
            }
        },
        refused(_, organisation, code) {
            countsOf(organisation)[code === failure.Code.rateExceeded ? "beyond" : "failed"] += 1;
        },
        flush(policy, nowMs) {
            const sorted = [...organisations].sort(([, left], [, right]) =>
                right.beyond + right.failed - left.beyond - left.failed || right.admitted - left.admitted
            );
            const report = {
                ms: Math.round(nowMs - intervalStartMs),
                replicaReads,
                primaryReads,
                organisations: Object.fromEntries(
                    sorted.slice(0, maxOrganisations).map(([name, counts]) => [
                        name,
                        { ...counts, ratePerSecond: policy.organisations.get(name)?.ratePerSecond ?? 0 },
                    ]),
                ),
            };
            const isEmpty = organisations.size === 0 && replicaReads + primaryReads === 0;
            intervalStartMs = nowMs;
            [replicaReads, primaryReads] = [0, 0];
            organisations = new Map();
            return isEmpty ? undefined : report;
        },
    };
}

/** Combines two receivers of request metrics into one. */
export function combine(first: sessions.RequestMetrics, second: sessions.RequestMetrics): sessions.RequestMetrics {
    return {
        admitted(organisation) {
            first.admitted(organisation);
            second.admitted(organisation);
        },
        served(...args) {
            first.served(...args);
            second.served(...args);
        },
        refused(...args) {
            first.refused(...args);
            second.refused(...args);
        },
    };
}
