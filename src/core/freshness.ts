/**
 * Whether what this host knows from the store may still be relied on. A withdrawn key must stop within
 * seconds, so a host that can't tell whether it knows the newest state refuses work, unless the store is
 * down for everyone.
 */
import * as z from "zod";

/** Schema of a word on the wire. */
export const schema = z.object({
    failureDomain: z.string(),
    /** Time since a host of the failure domain last reached the store, in milliseconds. */
    upMs: z.number().optional(),
    /** Time since a host of the failure domain last failed to reach it, in milliseconds. */
    downMs: z.number().optional(),
}).readonly();

/** What the hosts of one failure domain say of the store. */
export type StoreReport = z.infer<typeof schema>;

/** What the decision rests on. */
export interface Evidence {
    /** Age of the newest proof that this host knows the newest state, in milliseconds. */
    readonly ageMs: number;
    /** Age at which a proof no longer counts, in milliseconds. */
    readonly maxAgeMs: number;
    /** A newer state is known to exist and is not here yet. */
    readonly behind: boolean;
    readonly storeReports: readonly StoreReport[];
    /** Failure domains of the store's region. */
    readonly storeFailureDomains: readonly string[];
}

/** The verdict and its reason. */
export interface Decision {
    readonly serve: boolean;
    readonly reason:
        | "fresh"
        | "behind"
        | "store outage"
        | "store reachable by others"
        | "cut off from the store's region";
}

/** Share of the limit for which a word counts; below 1, so that an outage is believed before freshness ends. */
const wordShare = 0.625;

/**
 * Judges the evidence. An outage is believed when no failure domain reaches the store and each of those in
 * the store's region says that it fails to; otherwise this host may merely be cut off.
 */
export function evaluate(evidence: Evidence): Decision {
    const wordMs = evidence.maxAgeMs * wordShare;
    if (!evidence.behind && evidence.ageMs <= evidence.maxAgeMs) {
        return { serve: true, reason: "fresh" };
    }
    if (evidence.behind) {
        return { serve: false, reason: "behind" };
    }
    if (evidence.storeReports.some(word => (word.upMs ?? Infinity) <= wordMs)) {
        return { serve: false, reason: "store reachable by others" };
    }
    const failing = new Set(
        evidence.storeReports.filter(word => (word.downMs ?? Infinity) <= wordMs).map(word => word.failureDomain),
    );
    const outage = evidence.storeFailureDomains.length > 0
        && evidence.storeFailureDomains.every(domain => failing.has(domain));
    return outage
        ? { serve: true, reason: "store outage" }
        : { serve: false, reason: "cut off from the store's region" };
}
