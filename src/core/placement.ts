/**
 * Chooses the endpoint of a read by the time in which each endpoint is expected to answer, and by whether it pays to leave
 * the failure domain or the region.
 */
import type * as distances from "./distance.js";
import type * as eligibility from "./eligibility.js";
import * as endpointRooms from "./endpointroom.js";
import * as positions from "./position.js";
import * as spillovers from "./spillover.js";

/** Whether an endpoint is cold, that is, still slow after its start, and when it has room. */
export interface ColdState {
    readonly cold: boolean;
    /** Time until a request may be sent, in milliseconds, as far as known; 0 if there may be room now. */
    readonly roomInMs: number;
}

/** State of an endpoint as known to this host. */
export interface Candidate extends Partial<ColdState> {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly draining: boolean;
    /** True for a while after an attempt to reach the endpoint failed. */
    readonly suspect: boolean;
    /** False while the endpoint is kept out because it failed too many statements, or has had its part of the reads. */
    readonly trusted: boolean;
    /** Probability that a statement fails there, from 0 to 1. */
    readonly failureRate: number;
    readonly distance: distances.Distance;
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
    readonly reason:
        | "draining"
        | "tried"
        | "not primary"
        | "cold"
        | "suspect"
        | "failing"
        | "rationed"
        | "slower"
        | eligibility.Reason;
    readonly expectedMs?: number;
}

/** The chosen endpoint, if any, and the reasons. */
export interface Choice {
    readonly endpoint: string | undefined;
    readonly expectedMs: number;
    /** Distance that the read left, and the part of the reads that leave it; undefined if it left none. */
    readonly left:
        | { readonly distance: distances.Distance; readonly share: number; readonly stayMs: number }
        | undefined;
    readonly rejected: readonly Rejection[];
    /** Time until a cold endpoint that was turned down has room; undefined if none was turned down for that. */
    readonly roomInMs: number | undefined;
}

/** Chooses among the eligible endpoints. */
export type Decide = (options: readonly spillovers.Option[]) => spillovers.Decision | undefined;

/** Longest time for which a request waits for room at a cold endpoint, in milliseconds. */
export const maxRoomWaitMs = 100;
/** Penalty for a cold endpoint: it is taken only when the others are overloaded. */
const coldPenaltyMs = 500;
/** Time that the handshake of a new connection takes beyond its round trip. */
const handshakeMs = 12;
/** Penalty for a replica that may not have applied the floor, in which case it refuses the read. */
const behindPenaltyMs = 60;
/** Penalty for the primary, whose capacity is needed for writes. */
const primaryPenaltyMs = 25;
/** Time lost by a failed attempt: the wait until a read is sent to a second endpoint. */
const failedAttemptMs = 150;

/** True if the endpoint has probably not applied the floor yet. */
function isProbablyBehind(candidate: Candidate, floor: MinimumPosition | undefined): boolean {
    if (floor === undefined || candidate.primary || floor.ageMs > candidate.estimatedLagMs) {
        return false;
    }
    return candidate.appliedPosition === undefined || positions.compare(candidate.appliedPosition, floor.position) < 0;
}

/** Estimates the time until the endpoint answers, in milliseconds. */
export function estimateMs(candidate: Candidate, floor: MinimumPosition | undefined): number {
    const waitingRounds = endpointRooms.waitingRounds(candidate.load, candidate.concurrency);
    // The primary's capacity is needed for writes, so reads count what waits there twice.
    const countedRounds = candidate.primary ? 2 * waitingRounds : waitingRounds;
    return candidate.roundTripMs
        + candidate.serviceMs * (1 + countedRounds)
        + (candidate.hasIdleConnection ? 0 : handshakeMs + candidate.roundTripMs)
        + (isProbablyBehind(candidate, floor) ? behindPenaltyMs : 0)
        + (candidate.cold === true ? coldPenaltyMs : 0)
        + candidate.failureRate * failedAttemptMs;
}

/**
 * Chooses an endpoint for a read. Endpoints that recently failed are chosen only if no other is left. Without a floor, only
 * the primary is eligible. `decide` chooses among those that are left; by default the one expected to answer first.
 */
export function choose(
    candidates: readonly Candidate[],
    requirement: ReadRequirement,
    decide: Decide = chooseFastest,
): Choice {
    const rejected: Rejection[] = [];
    const eligible = candidates.filter(candidate => {
        const reason = rejectionReason(candidate, requirement);
        if (reason !== undefined) {
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
        return reason === undefined;
    });
    const isSound = (candidate: Candidate): boolean => !candidate.suspect && candidate.trusted;
    const sound = eligible.filter(isSound);
    const unrationed = sound.filter(candidate => candidate.rationed !== true);
    const used = [unrationed, sound, eligible].find(group => group.length > 0) ?? [];
    const options = used.map((candidate): spillovers.Option => ({
        endpoint: candidate.endpoint,
        distance: candidate.distance,
        expectedMs: estimateMs(candidate, requirement.floor),
        penaltyMs: candidate.primary ? primaryPenaltyMs : 0,
    }));
    const decision = decide(options);
    for (const candidate of eligible) {
        const option = options.find(entry => entry.endpoint === candidate.endpoint);
        if (option === undefined) {
            const reason = candidate.suspect ? "suspect" : candidate.trusted ? "rationed" : "failing";
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
        else if (option !== decision?.option) {
            rejected.push({ endpoint: candidate.endpoint, reason: "slower", expectedMs: option.expectedMs });
        }
    }
    const { left } = decision ?? {};
    const cold = candidates.filter(({ endpoint }) =>
        rejected.some(entry => entry.endpoint === endpoint && entry.reason === "cold")
    );
    return {
        endpoint: decision?.option.endpoint,
        expectedMs: decision?.option.expectedMs ?? Infinity,
        left: decision === undefined || left === undefined
            ? undefined
            : { distance: left, share: decision.share, stayMs: decision.stayMs },
        rejected,
        roomInMs: cold.length === 0 ? undefined : Math.min(...cold.map(candidate => candidate.roomInMs ?? 0)),
    };
}

function chooseFastest(options: readonly spillovers.Option[]): spillovers.Decision | undefined {
    const [option] = [...options].sort((left, right) =>
        left.expectedMs + left.penaltyMs - right.expectedMs - right.penaltyMs
    );
    return option === undefined ? undefined : { option, left: undefined, share: 0, stayMs: option.expectedMs };
}

function rejectionReason(candidate: Candidate, requirement: ReadRequirement): Rejection["reason"] | undefined {
    if (requirement.excluded.has(candidate.endpoint)) {
        return "tried";
    }
    if (requirement.floor === undefined && !candidate.primary) {
        return "not primary";
    }
    if (candidate.draining && !candidate.primary) {
        return "draining";
    }
    return (candidate.roomInMs ?? 0) > maxRoomWaitMs ? "cold" : undefined;
}
