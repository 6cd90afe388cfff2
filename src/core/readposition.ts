/** The log position that an endpoint must have applied to serve a read. */
import type * as placement from "./placement.js";
import type * as policies from "./policy.js";
import * as positions from "./position.js";
import type * as samples from "./samples.js";

/** A commit acknowledged to a session. */
export interface Commit {
    readonly position: positions.Position;
    readonly committedMs: number;
}

/** A read, as far as its freshness is concerned. */
export interface Read {
    readonly consistency: policies.Consistency;
    readonly arrivedMs: number;
    /** The session's newest commit. */
    readonly lastCommit: Commit | undefined;
}

/** Subtracted from the allowed staleness, for the time from the caller's first byte until this host reads it. */
const arrivalMarginMs = 40;

/**
 * The minimum position for a read, with its age; undefined when only the primary can serve it. A sample taken no
 * longer ago than the allowed staleness covers every commit that the read must see, apart from the session's own.
 * The oldest such sample is taken, because it is the one that most replicas have applied.
 */
export function minimum(
    read: Read,
    recentSamples: samples.Samples,
    nowMs: number,
): placement.MinimumPosition | undefined {
    if (read.consistency.kind === "primary") {
        return undefined;
    }
    const oldest = recentSamples.oldestSince(read.arrivedMs - read.consistency.maxAgeMs + arrivalMarginMs);
    if (oldest === undefined) {
        return undefined;
    }
    const lastCommit = read.consistency.kind === "session" ? read.lastCommit : undefined;
    const newest = recentSamples.newest();
    // A commit of an earlier term that survived the failover is below every position of the later term, so any
    // sample of the later term covers it.
    const superseded = lastCommit !== undefined && newest !== undefined
        && newest.position.term > lastCommit.position.term;
    const sample = superseded && oldest.position.term <= lastCommit.position.term ? newest : oldest;
    const ageMs = nowMs - sample.requestedAtMs;
    if (lastCommit === undefined || superseded || positions.compare(lastCommit.position, sample.position) <= 0) {
        return { position: sample.position, ageMs };
    }
    return { position: lastCommit.position, ageMs: Math.min(ageMs, nowMs - lastCommit.committedMs) };
}
