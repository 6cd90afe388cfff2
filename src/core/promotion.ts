/** When the primary of a database group is to be replaced, and by which endpoint. */
import * as positions from "./position.js";

/** What one host knows of its contact with a primary; ages in milliseconds. */
export interface Contact {
    /** Age of the last answer; undefined when there was none. */
    readonly answerAgeMs: number | undefined;
    /** Age of the first failure since the last answer; undefined without one. */
    readonly failingForMs: number | undefined;
}

/** What the decision rests on. */
export interface Evidence {
    /** True when the primary is no longer listed. */
    readonly unlisted: boolean;
    /** True when the primary has announced that it leaves. */
    readonly draining: boolean;
    /** True when the endpoint itself says that it is no primary. */
    readonly demoted: boolean;
    readonly own: Contact;
    readonly others: readonly Contact[];
}

/** Whether to replace a primary. */
export type Decision =
    | { readonly replace: false; readonly reason: "healthy" | "suspected" }
    | { readonly replace: true; readonly reason: "gone" | "draining" | "resigned" | "silent" | "partly unreachable" };

/** Time without an answer to any host after which a primary is replaced, in milliseconds; several probes. */
export const silenceTimeoutMs = 500;
/** Time for which a part of the hosts must fail to reach a primary before it is replaced, in milliseconds. */
const partialMs = 1_200;
/** Part of the hosts that makes a primary worth replacing though the rest reach it. */
const partialShare = 0.3;

/** Weighs the evidence on one primary. */
export function evaluate(evidence: Evidence): Decision {
    if (evidence.unlisted) {
        return { replace: true, reason: "gone" };
    }
    if (evidence.demoted) {
        return { replace: true, reason: "resigned" };
    }
    const all = [evidence.own, ...evidence.others];
    const silent = (contact: Contact): boolean => (contact.answerAgeMs ?? Infinity) >= silenceTimeoutMs;
    if ((evidence.own.failingForMs ?? -1) >= silenceTimeoutMs && all.every(silent)) {
        return { replace: true, reason: "silent" };
    }
    const failing = all.filter(contact => (contact.failingForMs ?? -1) >= partialMs);
    if (failing.length >= 2 && failing.length >= all.length * partialShare) {
        return { replace: true, reason: "partly unreachable" };
    }
    if (evidence.draining) {
        return { replace: true, reason: "draining" };
    }
    return { replace: false, reason: failing.length > 0 ? "suspected" : "healthy" };
}

/** A replica that answered. */
export interface Candidate {
    readonly endpoint: string;
    readonly received: positions.Position;
    readonly draining: boolean;
    /** Time to the endpoint and back, in milliseconds. */
    readonly roundTripMs: number;
}

/**
 * The replica to promote: the one that received most, so that the fewest commits are lost; among equals one that
 * stays, then the nearest.
 */
export function chooseCandidate(heirs: readonly Candidate[]): Candidate | undefined {
    return [...heirs].sort((left, right) =>
        positions.compare(right.received, left.received)
        || Number(left.draining) - Number(right.draining)
        || left.roundTripMs - right.roundTripMs
    )[0];
}
