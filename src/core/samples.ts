/**
 * Samples of a database's log: a position that its primary reported, and when the primary was asked. Every
 * commit acknowledged before that moment is at or below the position, so an endpoint whose log holds the
 * position serves reads that may be as old as the sample.
 */
import * as positions from "./position.js";

/** One sample; times are on this host's steady clock. */
export interface Sample {
    readonly position: positions.Position;
    readonly requestedAtMs: number;
}

/** Samples of one database. */
export interface Samples {
    /** Takes in a position that the present primary reported. */
    add(sample: Sample): void;
    /** The oldest sample that was asked for at or after the moment; the less it asks of a replica the better. */
    oldestSince(momentMs: number): Sample | undefined;
    newest(): Sample | undefined;
    /** Forgets all, when ages can no longer be trusted. */
    clear(): void;
}

/** Samples closer together than this are merged, in milliseconds; bounds memory, not correctness. */
const spacingMs = 25;

/** Creates an empty store of samples that keeps each for the given time. */
export function createSamples(keepMs: number): Samples {
    let kept: Sample[] = [];
    return {
        add(sample) {
            const last = kept[kept.length - 1];
            if (last !== undefined && sample.requestedAtMs <= last.requestedAtMs) {
                return;
            }
            const beforeLast = kept[kept.length - 2];
            // Positions only grow within the view of one primary; a late answer may still carry a lower one.
            const position = last === undefined ? sample.position : positions.max(last.position, sample.position);
            if (
                beforeLast !== undefined && last !== undefined
                && sample.requestedAtMs - beforeLast.requestedAtMs < spacingMs
            ) {
                kept.pop();
            }
            kept.push({ position, requestedAtMs: sample.requestedAtMs });
            const expiryMs = sample.requestedAtMs - keepMs;
            if ((kept[0]?.requestedAtMs ?? Infinity) < expiryMs) {
                kept = kept.filter(entry => entry.requestedAtMs >= expiryMs);
            }
        },
        oldestSince(momentMs) {
            return kept.find(entry => entry.requestedAtMs >= momentMs);
        },
        newest() {
            return kept[kept.length - 1];
        },
        clear() {
            kept = [];
        },
    };
}
