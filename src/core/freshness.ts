/**
 * Decides whether this host may serve with the state that it last read from the store. A withdrawn key must stop
 * working within seconds. A host that can't tell whether its state is the newest therefore refuses statements, unless
 * the store is down for all hosts.
 */
import * as z from "zod";

/** Schema of a store report on the wire. */
export const schema = z.object({
    failureDomain: z.string(),
    /** Time since a host of the failure domain last reached the store, in milliseconds. */
    upMs: z.number().optional(),
    /** Time since a host of the failure domain last failed to reach the store, in milliseconds. */
    downMs: z.number().optional(),
}).readonly();

/** Whether the hosts of one failure domain reach the store. */
export type StoreReport = z.infer<typeof schema>;

/** The observations on which a decision is based. */
export interface Evidence {
    /** Time since this host was last known to have the newest state, in milliseconds. */
    readonly ageMs: number;
    /** Age up to which the state counts as fresh, in milliseconds. */
    readonly maxAgeMs: number;
    /** True when a newer state is known to exist that this host doesn't have yet. */
    readonly behind: boolean;
    readonly storeReports: readonly StoreReport[];
    /** Failure domains of the store's region. */
    readonly storeFailureDomains: readonly string[];
}

/** Whether to serve, and why. */
export interface Decision {
    readonly serve: boolean;
    readonly reason:
        | "fresh"
        | "behind"
        | "store outage"
        | "store reachable by others"
        | "cut off from the store's region";
}

/** Share of the maximum age for which a report counts; below 1 to recognise an outage before freshness ends. */
const reportAgeShare = 0.625;

/**
 * Decides whether to serve. An outage is assumed when no failure domain reaches the store and every failure domain of
 * the store's region reports that it can't. Otherwise this host may merely be cut off from the store.
 */
export function evaluate(evidence: Evidence): Decision {
    const maxReportAgeMs = evidence.maxAgeMs * reportAgeShare;
    if (!evidence.behind && evidence.ageMs <= evidence.maxAgeMs) {
        return { serve: true, reason: "fresh" };
    }
    if (evidence.behind) {
        return { serve: false, reason: "behind" };
    }
    if (evidence.storeReports.some(report => (report.upMs ?? Infinity) <= maxReportAgeMs)) {
        return { serve: false, reason: "store reachable by others" };
    }
    const failing = new Set(
        evidence.storeReports.filter(report => (report.downMs ?? Infinity) <= maxReportAgeMs).map(report =>
            report.failureDomain
        ),
    );
    const outage = evidence.storeFailureDomains.length > 0
        && evidence.storeFailureDomains.every(domain => failing.has(domain));
    return outage
        ? { serve: true, reason: "store outage" }
        : { serve: false, reason: "cut off from the store's region" };
}
