/** Which endpoint a statement goes to, by the time that each is expected to take. */
import * as positions from "./position.js";

/** An endpoint as this host sees it. */
export interface Candidate {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly draining: boolean;
    /** True after a failed attempt to reach it, for a while. */
    readonly suspect: boolean;
    /** Time to the endpoint and back, in milliseconds. */
    readonly roundTripMs: number;
    /** Time that a statement lately took beyond the round trip, in milliseconds. */
    readonly serviceMs: number;
    /** Statements at the endpoint or waiting for it, from all hosts. */
    readonly load: number;
    /** Statements that the endpoint runs at once. */
    readonly concurrency: number;
    /** True when a connection of the organisation is open and free. */
    readonly hasIdleConnection: boolean;
    /** Newest position that the endpoint is known to have applied. */
    readonly appliedPosition: positions.Position | undefined;
    /** Time by which the endpoint is taken to lag, in milliseconds. */
    readonly estimatedLagMs: number;
}

/** The position that a read has to see. */
export interface MinimumPosition {
    readonly position: positions.Position;
    /** Time since the position was reached, in milliseconds. */
    readonly ageMs: number;
}

/** What a read asks for. */
export interface ReadRequirement {
    readonly floor: MinimumPosition | undefined;
    /** Endpoints that have been tried. */
    readonly excluded: ReadonlySet<string>;
}

/** Why an endpoint was turned down. */
export interface Rejection {
    readonly endpoint: string;
    readonly reason: "draining" | "tried" | "not primary" | "slower";
    readonly expectedMs?: number;
}

/** A choice that can be explained from its log line. */
export interface Choice {
    readonly endpoint: string | undefined;
    readonly expectedMs: number;
    readonly rejected: readonly Rejection[];
}

/** Cost of a new connection beside its round trip, in milliseconds: the endpoint's handshake. */
const openingMs = 12;
/** Cost of asking a replica that may not have the position yet and answers that it lags, in milliseconds. */
const behindMs = 60;
/** Cost of a read at the primary, whose slots the writes need, in milliseconds. */
const primaryMs = 25;

/** Cost of an endpoint that did not answer lately, in milliseconds: it is the last resort. */
const suspectMs = 2_000;

/** True when the endpoint is likely to answer that it lacks the position. */
function lacks(candidate: Candidate, floor: MinimumPosition | undefined): boolean {
    if (floor === undefined || candidate.primary || floor.ageMs > candidate.estimatedLagMs) {
        return false;
    }
    return candidate.appliedPosition === undefined || positions.compare(candidate.appliedPosition, floor.position) < 0;
}

/** Time until an answer is expected from the endpoint, in milliseconds. */
export function estimateMs(candidate: Candidate, floor: MinimumPosition | undefined): number {
    const queued = Math.max(0, candidate.load + 1 - candidate.concurrency) / candidate.concurrency;
    const behind = lacks(candidate, floor);
    return candidate.roundTripMs
        + candidate.serviceMs * (1 + queued)
        + (candidate.hasIdleConnection ? 0 : openingMs + candidate.roundTripMs)
        + (behind ? behindMs : 0)
        + (candidate.primary ? primaryMs : 0)
        + (candidate.suspect ? suspectMs : 0);
}

/** Chooses where a read goes. Without a floor only the primary can serve it. */
export function choose(candidates: readonly Candidate[], need: ReadRequirement): Choice {
    const rejected: Rejection[] = [];
    const eligible = candidates.filter(candidate => {
        const reason = object(candidate, need);
        if (reason !== undefined) {
            rejected.push({ endpoint: candidate.endpoint, reason });
        }
        return reason === undefined;
    });
    const ranked = eligible
        .map(candidate => ({ endpoint: candidate.endpoint, expectedMs: estimateMs(candidate, need.floor) }))
        .sort((left, right) => left.expectedMs - right.expectedMs);
    const [best, ...others] = ranked;
    rejected.push(...others.map(other => ({ ...other, reason: "slower" as const })));
    return { endpoint: best?.endpoint, expectedMs: best?.expectedMs ?? Infinity, rejected };
}

function object(candidate: Candidate, need: ReadRequirement): Rejection["reason"] | undefined {
    if (need.excluded.has(candidate.endpoint)) {
        return "tried";
    }
    if (need.floor === undefined && !candidate.primary) {
        return "not primary";
    }
    return candidate.draining && !candidate.primary ? "draining" : undefined;
}
