/**
 * Decides when the primary of a database group is replaced, and which replica is promoted. A promotion may lose commits
 * that the promoted replica has not received; `failover.ts` decides for groups with majority replication.
 */
import * as outcomes from "./evidence.js";
import * as positions from "./position.js";

/** One host's contact with a primary. */
export interface Contact {
    /** Time since the primary last answered, in milliseconds; undefined when it never did. */
    readonly answerAgeMs: number | undefined;
    /** Time since the first failure after the last answer, in milliseconds; undefined without a failure. */
    readonly failingForMs: number | undefined;
}

/** The observations on which a decision is based. */
export interface Evidence {
    /** True when the platform no longer lists the primary. */
    readonly unlisted: boolean;
    /** True when the primary has announced its shutdown. */
    readonly draining: boolean;
    /** Why the primary has to be moved although it is healthy; undefined if it need not be. */
    readonly misplaced?: "evacuated" | "outside homes" | undefined;
    /** True when the endpoint reports that it isn't primary. */
    readonly demoted: boolean;
    /** True when the primary answers but fails too many statements, and a replica that doesn't could replace it. */
    readonly failing: boolean;
    /** Contact of this host. */
    readonly own: Contact;
    /** Contacts of the other hosts. */
    readonly others: readonly Contact[];
    /**
     * True if another host has answered this one since this one failed to reach the primary, or if there is no other host.
     * Otherwise the failure may be this host's own.
     */
    readonly corroborated: boolean;
}

/** Whether to replace a primary, and why. */
export type Decision =
    | { readonly replace: false; readonly reason: "healthy" | "suspected" | "isolated" }
    | {
        readonly replace: true;
        readonly reason:
            | "gone"
            | "draining"
            | "resigned"
            | "silent"
            | "partly unreachable"
            | "evacuated"
            | "outside homes"
            | "failing";
    };

/** A primary that answers no host for this long is replaced, in milliseconds. Spans several probes. */
export const silenceTimeoutMs = 500;
/** Time for which some of the hosts must fail to reach a primary before it is replaced, in milliseconds. */
const partialSilenceMs = 1_200;
/** Failure to reach a primary after which the other hosts are asked for theirs, in milliseconds. */
export const inquiryDelayMs = 200;
/** Share of the hosts that must fail to reach a primary before it is replaced, though the others reach it. */
const partialShare = 0.3;

/** Probability of failure from which a primary counts as failing, and below which a replica can replace it. */
const failingRate = 0.35;
const soundRate = 0.1;
/** Statements on which the evidence against a primary must rest; a replacement costs the writes of a second. */
const minFailingVolume = 15;

/** Judges by the outcomes of statements at all hosts whether a primary fails and a replica serves. */
export function isFailing(primary: outcomes.Outcomes, replicas: readonly outcomes.Outcomes[]): boolean {
    return outcomes.volume(primary) >= minFailingVolume && outcomes.failureRate(primary) >= failingRate
        && replicas.some(replica => outcomes.failureRate(replica) <= soundRate);
}

/** Decides whether the evidence calls for the replacement of a primary. */
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
        return evidence.corroborated ? { replace: true, reason: "silent" } : { replace: false, reason: "isolated" };
    }
    const failing = all.filter(contact => (contact.failingForMs ?? -1) >= partialSilenceMs);
    if (failing.length >= 2 && failing.length >= all.length * partialShare) {
        return { replace: true, reason: "partly unreachable" };
    }
    if (evidence.draining && evidence.misplaced !== "evacuated") {
        return { replace: true, reason: "draining" };
    }
    if (evidence.misplaced !== undefined) {
        return { replace: true, reason: evidence.misplaced };
    }
    if (evidence.failing) {
        return { replace: true, reason: "failing" };
    }
    return { replace: false, reason: failing.length > 0 ? "suspected" : "healthy" };
}

/** A replica that answered and may be promoted. */
export interface Candidate {
    readonly endpoint: string;
    /** Last log entry that the replica has received. */
    readonly received: positions.Position;
    readonly draining: boolean;
    /** Number of the group's routes whose homes include the replica. */
    readonly servedRoutes?: number;
    /** Round-trip time from this host to the endpoint, in milliseconds. */
    readonly roundTripMs: number;
}

/** What is known of the logs of a group, once no host acknowledges commits of the old primary any longer. */
export interface Logs {
    /** Number of the replicas that may hold acknowledged commits and whose logs are not among those that answered. */
    readonly unanswered: number;
    /** How many of these logs contain an acknowledged commit at least; 0 if commits are acknowledged by the primary alone. */
    readonly copies: number;
    /** Ends of the logs of those that answered. */
    readonly answered: readonly positions.Position[];
    /** End of the old primary's log; undefined without an answer. */
    readonly oldPrimary: positions.Position | undefined;
    /** The newest position that the old primary is known to have reported; undefined without one. */
    readonly reported: positions.Position | undefined;
}

/**
 * True if a log that ends there contains every acknowledged commit. Either it contains all of the old primary's log; or no
 * log that answered is longer, and so few did not answer that they can't be all that hold an acknowledged commit. An old
 * primary whose log is shorter than what it reported, or than a replica's, has lost its log and proves nothing.
 */
export function holdsAcknowledged(received: positions.Position, logs: Logs): boolean {
    if (logs.copies === 0) {
        return true;
    }
    const longest = logs.answered.reduce(positions.max, logs.reported ?? positions.zero);
    if (logs.oldPrimary !== undefined && positions.compare(logs.oldPrimary, longest) >= 0) {
        return positions.compare(received, logs.oldPrimary) >= 0;
    }
    return logs.unanswered < logs.copies
        && logs.answered.every(answered => positions.compare(received, answered) >= 0);
}

/**
 * Chooses the replica to promote: the one that has received most of the log, so that the fewest commits are lost.
 * Among equals it prefers one that isn't draining, then the one whose region serves most routes, then the one with the
 * shortest round trip.
 */
export function chooseCandidate(candidates: readonly Candidate[]): Candidate | undefined {
    return [...candidates].sort((left, right) =>
        positions.compare(right.received, left.received)
        || Number(left.draining) - Number(right.draining)
        || (right.servedRoutes ?? 0) - (left.servedRoutes ?? 0)
        || left.roundTripMs - right.roundTripMs
    )[0];
}
