/** What this host did since its last line about it, so that the measures of a day can be worked out from logs alone. */
import * as z from "zod";
import * as failure from "../core/failure.js";
import type * as policies from "../core/policy.js";
import type * as sessions from "./session.js";

const share = z.object({
    /** Operations within the limit. */
    admitted: z.number(),
    /** Refused beyond the limit. */
    beyond: z.number(),
    /** Statements refused or failed for any other reason. */
    failed: z.number(),
    /** Operations a second that the limit allows over all hosts. */
    ratePerSecond: z.number(),
}).readonly();

/** Schema of what a host did in an interval, as its line says it. */
export const schema = z.object({
    ms: z.number(),
    /** Reads that may miss commits, by who served them. */
    replicaReads: z.number(),
    primaryReads: z.number(),
    organisations: z.record(z.string(), share).readonly(),
}).readonly();
/** What a host did in an interval. */
export type Report = z.infer<typeof schema>;

/** Counts what this host does. */
export interface ActivityCounter extends sessions.RequestMetrics {
    /** What was counted since the last call; undefined when there was nothing. */
    flush(policy: policies.Policy, nowMs: number): Report | undefined;
}

/** Organisations in one report: those with most refused, then those with most admitted. */
const maxOrganisations = 50;

interface Counts {
    admitted: number;
    beyond: number;
    failed: number;
}

/** Creates an empty count that starts at the moment. */
export function createActivityCounter(startMs: number, consistent: (database: string) => boolean): ActivityCounter {
    let sinceMs = startMs;
    let [replicaReads, primaryReads] = [0, 0];
    let organisations = new Map<string, Counts>();

    function counts(organisation: string): Counts {
        const known = organisations.get(organisation) ?? { admitted: 0, beyond: 0, failed: 0 };
        organisations.set(organisation, known);
        return known;
    }

    return {
        admitted(organisation) {
            counts(organisation).admitted += 1;
        },
        served(database, _, primary, mode) {
            if (mode === "read" && !consistent(database)) {
                replicaReads += primary ? 0 : 1;
                primaryReads += primary ? 1 : 0;
            }
        },
        refused(_, organisation, code) {
            counts(organisation)[code === failure.Code.rateExceeded ? "beyond" : "failed"] += 1;
        },
        flush(policy, nowMs) {
            const named = [...organisations].sort(([, left], [, right]) =>
                right.beyond + right.failed - left.beyond - left.failed || right.admitted - left.admitted
            );
            const report = {
                ms: Math.round(nowMs - sinceMs),
                replicaReads,
                primaryReads,
                organisations: Object.fromEntries(
                    named.slice(0, maxOrganisations).map(([name, counted]) => [
                        name,
                        { ...counted, ratePerSecond: policy.organisations.get(name)?.ratePerSecond ?? 0 },
                    ]),
                ),
            };
            const empty = organisations.size === 0 && replicaReads + primaryReads === 0;
            sinceMs = nowMs;
            [replicaReads, primaryReads] = [0, 0];
            organisations = new Map();
            return empty ? undefined : report;
        },
    };
}

/** Tells two what one is told. */
export function combine(one: sessions.RequestMetrics, other: sessions.RequestMetrics): sessions.RequestMetrics {
    return {
        admitted(organisation) {
            one.admitted(organisation);
            other.admitted(organisation);
        },
        served(...told) {
            one.served(...told);
            other.served(...told);
        },
        refused(...told) {
            one.refused(...told);
            other.refused(...told);
        },
    };
}
