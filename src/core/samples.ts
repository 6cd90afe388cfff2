/**
 * Samples of a database's log: a position reported by the primary, and the time of the request for it. Every commit
 * acknowledged before the request is at or below the position. A replica that has applied the position therefore
 * serves reads that are at most as stale as the sample is old.
 */
import * as positions from "./position.js";

/** One sample; times are on the monotonic clock of this host. */
export interface Sample {
    readonly position: positions.Position;
    readonly requestedAtMs: number;
}

/** Recent samples of one database, ordered by time. */
export interface Samples {
    /** Adds a position reported by the current primary; ignores a sample requested no later than the newest one. */
    add(sample: Sample): void;
    /**
     * The oldest sample requested at or after the given time. The oldest has the lowest position, which more replicas
     * have reached.
     */
    oldestSince(notBeforeMs: number): Sample | undefined;
    newest(): Sample | undefined;
    /** Removes all samples, for when their ages can no longer be trusted. */
    clear(): void;
}

/** Samples closer together than this are merged, in milliseconds. Bounds memory and has no effect on correctness. */
const minSpacingMs = 25;

/** Creates an empty series that keeps each sample for the given time, in milliseconds. */
export function createSamples(retentionMs: number): Samples {
    let samples: Sample[] = [];
    return {
        add(sample) {
            const last = samples[samples.length - 1];
            if (last !== undefined && sample.requestedAtMs <= last.requestedAtMs) {
                return;
            }
            const beforeLast = samples[samples.length - 2];
            // The position of a primary never decreases, but an earlier request may reach the primary after a later one, and
            // then report the higher position.
            const position = last === undefined ? sample.position : positions.max(last.position, sample.position);
            if (
                beforeLast !== undefined && last !== undefined
                && sample.requestedAtMs - beforeLast.requestedAtMs < minSpacingMs
            ) {
                samples.pop();
            }
            samples.push({ position, requestedAtMs: sample.requestedAtMs });
            const oldestKeptMs = sample.requestedAtMs - retentionMs;
            if ((samples[0]?.requestedAtMs ?? Infinity) < oldestKeptMs) {
                samples = samples.filter(entry => entry.requestedAtMs >= oldestKeptMs);
            }
        },
        oldestSince(notBeforeMs) {
            return samples.find(entry => entry.requestedAtMs >= notBeforeMs);
        },
        newest() {
            return samples[samples.length - 1];
        },
        clear() {
            samples = [];
        },
    };
}
