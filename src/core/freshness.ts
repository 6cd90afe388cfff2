/**
 * Whether this host's configuration may still be relied on. A withdrawn key must stop within seconds, so a
 * host that can't tell whether its configuration is the newest refuses work, unless the store is down for all.
 */

/** What the decision rests on. */
export interface Evidence {
    /** Age of the newest proof that the configuration is the newest, in milliseconds. */
    readonly freshMs: number;
    /** Age at which a proof no longer counts, in milliseconds. */
    readonly limitMs: number;
    /** Reports on the store from hosts heard of within the limit, this one included. */
    readonly witnesses: readonly Witness[];
    /** Hosts known in the store's region, this one included when it stands there. */
    readonly storeRegionHosts: readonly string[];
}

/** One host's word on whether the store answers. */
export interface Witness {
    readonly host: string;
    readonly storeUp: boolean | undefined;
}

/** The verdict and its reason. */
export interface Verdict {
    readonly serve: boolean;
    readonly reason: "fresh" | "store outage" | "store reachable by others" | "cut off from the store's region";
}

/**
 * Judges the evidence. A store outage is believed when no witness reaches the store and a majority of the
 * hosts in the store's region say so; otherwise this host may merely be cut off.
 */
export function judge(evidence: Evidence): Verdict {
    if (evidence.freshMs <= evidence.limitMs) {
        return { serve: true, reason: "fresh" };
    }
    if (evidence.witnesses.some(witness => witness.storeUp === true)) {
        return { serve: false, reason: "store reachable by others" };
    }
    const near = new Set(evidence.storeRegionHosts);
    const agreeing = evidence.witnesses.filter(witness => near.has(witness.host) && witness.storeUp === false);
    const outage = near.size > 0 && agreeing.length > near.size / 2;
    return outage
        ? { serve: true, reason: "store outage" }
        : { serve: false, reason: "cut off from the store's region" };
}
