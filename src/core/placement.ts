/** Chooses the endpoint of a read by the time in which each endpoint is expected to answer. */
import type * as eligibility from "./eligibility.js";
import * as positions from "./position.js";

/** State of an endpoint as known to this host. */
export interface Candidate {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly draining: boolean;
    /** True for a while after an attempt to reach the endpoint failed. */
    readonly suspect: boolean;
    /** Network round-trip time, in milliseconds. */
    readonly roundTripMs: number;
    /** Recent time of a statement beyond the round trip, in milliseconds. */
    readonly serviceMs: number;
    /** Number of statements running at the endpoint or waiting for it, from all hosts. */
    readonly load: number;
    /** Number of statements that the endpoint runs at the same time. */
    readonly concurrency: number;
    /** True if this host has an idle connection for the organisation. */
    readonly hasIdleConnection: boolean;
    /** Latest position that the endpoint is known to have applied. */
    readonly appliedPosition: positions.Position | undefined;
    /** Estimated replication lag of the endpoint, in milliseconds. */
    readonly estimatedLagMs: number;
    /** True if the endpoint has had its share for now; it is chosen only if no other can serve the read. */
    readonly rationed?: boolean;
}

/** Replication position that a read must see at least. */
export interface MinimumPosition {
    readonly position: positions.Position;
    /** Time since the position was reached, in milliseconds. */
    readonly ageMs: number;
}

/** What a read requires of its endpoint. */
export interface ReadRequirement {
    /** Undefined when the position is unknown; only the primary can serve the read then. */
    readonly floor: MinimumPosition | undefined;
    /** Endpoints that were already tried for this read. */
    readonly excluded: ReadonlySet<string>;
}

/** Why an endpoint was not chosen. */
export interface Rejection {
    readonly endpoint: string;
    readonly reason: "draining" | "tried" | "not primary" | "slower" | "rationed" | eligibility.Reason;
    readonly expectedMs?: number;
}

/** The chosen endpoint, if any, and the reasons. */
export interface Choice {
    readonly endpoint: string | undefined;
    readonly expectedMs: number;
    readonly rejected: readonly Rejection[];
}

/** Time that the handshake of a new connection takes beyond its round trip. */
const handshakeMs = 12;
/** Penalty for a replica that may not have applied the floor, in which case it refuses the read. */
const behindPenaltyMs = 60;
/** Penalty for the primary, whose capacity is needed for writes. */
const primaryPenaltyMs = 25;
/** Penalty for an endpoint that recently failed to answer: high enough to make it the last resort. */
const suspectPenaltyMs = 2_000;

/** True if the endpoint has probably not applied the floor yet. */
function isProbablyBehind(candidate: Candidate, floor: MinimumPosition | undefined): boolean {
    if (floor === undefined || candidate.primary || floor.ageMs > candidate.estimatedLagMs) {
        return false;
    }
    return candidate.appliedPosition === undefined || positions.compare(candidate.appliedPosition, floor.position) < 0;
}

/** Estimates the time until the endpoint answers, in milliseconds, with penalties for endpoints to be avoided. */
export function estimateMs(candidate: Candidate, floor: MinimumPosition | undefined): number {
    const waitingRounds = Math.max(0, candidate.load + 1 - candidate.concurrency) / candidate.concurrency;
    const behind = isProbablyBehind(candidate, floor);
    return candidate.roundTripMs
        + candidate.serviceMs * (1 + waitingRounds)
        + (candidate.hasIdleConnection ? 0 : handshakeMs + candidate.roundTripMs)
        + (behind ? behindPenaltyMs : 0)
        + (candidate.primary ? primaryPenaltyMs : 0)
        + (candidate.suspect ? suspectPenaltyMs : 0);
}

/** Chooses the endpoint with the lowest estimate. Without a floor, only the primary is eligible. */
export function choose(candidates: readonly Candidate[], requirement: ReadRequirement): Choice {
    const rejected: Rejection[] = [];
    const eligible = candidates.filter(candidate => {
        const reason = rejectionReason(candidate, requirement);
        if (reason !== undefined) {
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
        return reason === undefined;
    });
    const unrationed = eligible.filter(candidate => candidate.rationed !== true);
    const considered = unrationed.length > 0 ? unrationed : eligible;
    eligible.filter(candidate => !considered.includes(candidate)).forEach(candidate =>
        rejected.push({ endpoint: candidate.endpoint, reason: "rationed" })
    );
    const ranked = considered
        .map(candidate => ({ endpoint: candidate.endpoint, expectedMs: estimateMs(candidate, requirement.floor) }))
        .sort((left, right) => left.expectedMs - right.expectedMs);
    const [best, ...slower] = ranked;
    rejected.push(...slower.map(entry => ({ ...entry, reason: "slower" as const })));
    return { endpoint: best?.endpoint, expectedMs: best?.expectedMs ?? Infinity, rejected };
}

function rejectionReason(candidate: Candidate, requirement: ReadRequirement): Rejection["reason"] | undefined {
    if (requirement.excluded.has(candidate.endpoint)) {
        return "tried";
    }
    if (requirement.floor === undefined && !candidate.primary) {
        return "not primary";
    }
    return candidate.draining && !candidate.primary ? "draining" : undefined;
}
