/** Which hosts carry the duties that hosts have for each other: the strongest ones first. */

/** A host that may carry a duty. */
export interface Carrier {
    readonly id: string;
    /** Processor capacity of the host, in cores. */
    readonly capacity: number;
}

/**
 * Orders hosts by their claim to a duty: the one with most capacity first, then by id. Hosts that know the same members
 * agree on the order. Capacities are fixed while a host runs, so that duties don't move with its load.
 */
export function compare(left: Carrier, right: Carrier): number {
    return right.capacity - left.capacity || (left.id < right.id ? -1 : left.id > right.id ? 1 : 0);
}

/** Number of hosts that have a stronger claim than the host of that id and capacity. */
export function rank(self: Carrier, others: readonly Carrier[]): number {
    return others.filter(other => compare(other, self) < 0).length;
}
