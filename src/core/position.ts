/** Log positions of a database group: an index in the log, and the term that wrote it. */
import * as z from "zod";

/** Schema of a position on the wire. */
export const schema = z.object({ term: z.number().int().min(0), index: z.number().int().min(0) }).readonly();

/** A place in a database's log. Terms order before indexes. */
export type Position = z.infer<typeof schema>;

/** The position before the first log entry. */
export const zero: Position = { term: 0, index: 0 };

/** Negative, zero or positive, as `left` is before, equal to or after `right`. */
export function compare(left: Position, right: Position): number {
    return left.term - right.term || left.index - right.index;
}

/** The later of two positions. */
export function max(left: Position, right: Position): Position {
    return compare(left, right) >= 0 ? left : right;
}

/**
 * True when a log whose last entry is `log` holds the acknowledged entry `entry`.
 * A later term starts from a log that holds every acknowledged entry of the terms before it.
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
