/**
 * Chooses the endpoint that serves a read by position, staleness and load, with the reasons for the log. `placement.ts`
 * chooses by the expected response time instead.
 */
import * as positions from "./position.js";

/** What a read requires of the endpoint that serves it. */
export interface ReadRequirement {
    /** Position that the endpoint must have applied. */
    readonly floor: positions.Position;
    /** Largest tolerated staleness of the route, in milliseconds; if given, it replaces the floor. */
    readonly maxAgeMs?: number;
}

/** State of an endpoint as known to the host that owns its database. */
export interface Candidate {
    readonly endpoint: string;
    readonly primary: boolean;
    /** True for an endpoint in the region of this host. */
    readonly local: boolean;
    readonly reachable: boolean;
    readonly leaving: boolean;
    readonly applied: positions.Position | undefined;
    /** Staleness of the endpoint in milliseconds; undefined when unknown. */
    readonly ageMs: number | undefined;
    /** Number of statements running and waiting. */
    readonly load: number;
}

/** Why an endpoint was not chosen. */
export interface Rejection {
    readonly endpoint: string;
    readonly reason: "leaving" | "unreachable" | "remote" | "unknown position" | "behind floor" | "too old" | "busier";
}

/** The chosen endpoint, if any, and the reasons, which are logged. */
export interface Decision {
    readonly endpoint: string | undefined;
    readonly reason: string;
    readonly rejected: readonly Rejection[];
}

function rejectionReason(candidate: Candidate, requirement: ReadRequirement): Rejection["reason"] | undefined {
    if (candidate.leaving) {
        return "leaving";
    }
    if (!candidate.reachable) {
        return "unreachable";
    }
    if (!candidate.local) {
        return "remote";
    }
    if (requirement.maxAgeMs !== undefined) {
        return candidate.ageMs !== undefined && candidate.ageMs <= requirement.maxAgeMs ? undefined : "too old";
    }
    if (candidate.applied === undefined) {
        return "unknown position";
    }
    return positions.covers(candidate.applied, requirement.floor) ? undefined : "behind floor";
}

/**
 * Chooses the local replica with the lowest load that meets the requirement. The primary is never chosen here; the
 * caller falls back to it.
 */
export function choose(candidates: readonly Candidate[], requirement: ReadRequirement): Decision {
    const rejected: Rejection[] = [];
    const eligible: Candidate[] = [];
    for (const candidate of candidates.filter(entry => !entry.primary)) {
        const reason = rejectionReason(candidate, requirement);
        if (reason === undefined) {
            eligible.push(candidate);
        }
        else {
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
    }
    eligible.sort((left, right) => left.load - right.load);
    const [best, ...rest] = eligible;
    rejected.push(...rest.map(entry => ({ endpoint: entry.endpoint, reason: "busier" as const })));
    if (best === undefined) {
        return { endpoint: undefined, reason: "no replica satisfies the need", rejected };
    }
    const reason = requirement.maxAgeMs === undefined
        ? "replica covers the floor"
        : "replica is within the tolerated age";
    return { endpoint: best.endpoint, reason, rejected };
}
