/** Which endpoint a read goes to, with the reasons that a log line needs. */
import * as positions from "./position.js";

/** What a read asks of the endpoint that serves it. */
export interface ReadRequirement {
    readonly floor: positions.Position;
    /** Age that the route tolerates, in milliseconds; it takes the place of the floor. */
    readonly maxAgeMs?: number;
}

/** An endpoint as its owner sees it. */
export interface Candidate {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly local: boolean;
    readonly reachable: boolean;
    readonly leaving: boolean;
    readonly applied: positions.Position | undefined;
    readonly ageMs: number | undefined;
    /** Statements running and waiting. */
    readonly load: number;
}

/** Why an endpoint was turned down. */
export interface Rejection {
    readonly endpoint: string;
    readonly reason: "leaving" | "unreachable" | "remote" | "unknown position" | "behind floor" | "too old" | "busier";
}

/** A decision that can be explained from its log line. */
export interface Decision {
    readonly endpoint: string | undefined;
    readonly reason: string;
    readonly rejected: readonly Rejection[];
}

function objection(candidate: Candidate, need: ReadRequirement): Rejection["reason"] | undefined {
    if (candidate.leaving) {
        return "leaving";
    }
    if (!candidate.reachable) {
        return "unreachable";
    }
    if (!candidate.local) {
        return "remote";
    }
    if (need.maxAgeMs !== undefined) {
        return candidate.ageMs !== undefined && candidate.ageMs <= need.maxAgeMs ? undefined : "too old";
    }
    if (candidate.applied === undefined) {
        return "unknown position";
    }
    return positions.covers(candidate.applied, need.floor) ? undefined : "behind floor";
}

/**
 * Chooses the least busy local replica that satisfies the need. The primary is the caller's last resort
 * and is not chosen here, save as the only local endpoint left.
 */
export function choose(candidates: readonly Candidate[], need: ReadRequirement): Decision {
    const rejected: Rejection[] = [];
    const fit: Candidate[] = [];
    for (const candidate of candidates.filter(entry => !entry.primary)) {
        const reason = objection(candidate, need);
        if (reason === undefined) {
            fit.push(candidate);
        }
        else {
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
    }
    fit.sort((left, right) => left.load - right.load);
    const [best, ...others] = fit;
    rejected.push(...others.map(entry => ({ endpoint: entry.endpoint, reason: "busier" as const })));
    if (best === undefined) {
        return { endpoint: undefined, reason: "no replica satisfies the need", rejected };
    }
    const reason = need.maxAgeMs === undefined ? "replica covers the floor" : "replica is within the tolerated age";
    return { endpoint: best.endpoint, reason, rejected };
}
