/** Replication positions of a database group: the index of a log entry, and the term in which it was written. */
import * as z from "zod";

/** Schema of a position on the wire. */
export const schema = z.object({ term: z.number().int().min(0), index: z.number().int().min(0) }).readonly();

/** Position of an entry in the log of a database. Positions are ordered by term, then by index. */
export type Position = z.infer<typeof schema>;

/** The position before the first log entry. */
export const zero: Position = { term: 0, index: 0 };

/** Negative, zero or positive, when `left` is before, equal to or after `right`. */
export function compare(left: Position, right: Position): number {
    return left.term - right.term || left.index - right.index;
}

/** The later of two positions. */
export function max(left: Position, right: Position): Position {
    return compare(left, right) >= 0 ? left : right;
}

/**
 * True when a log whose last entry is at `log` contains the acknowledged entry at `entry`.
 * A primary starts its term with a log that contains every acknowledged entry of the terms before.
 *
 * `covers({ term: 2, index: 9 }, { term: 1, index: 7 })` is true.
 */
export function covers(log: Position, entry: Position): boolean {
    return log.term >= entry.term && log.index >= entry.index;
}

/** Text form, as `term.index`. */
export function format(position: Position): string {
    return `${position.term}.${position.index}`;
}
