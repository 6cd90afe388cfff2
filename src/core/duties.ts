/** Which hosts carry the duties that hosts have for each other: those with room, the strongest ones first. */

/** A host that may carry a duty. */
export interface Carrier {
    readonly id: string;
    /** Processor capacity of the host, in cores. */
    readonly capacity: number;
    /**
     * True while the host says that it has lacked room for some time. The host itself decides when that begins and ends, so
     * that all hosts agree and duties don't move with each change of its load.
     */
    readonly strained?: boolean;
}

/** Places that a strained host stands back in the order in which hosts acquire a free duty. */
const strainedRankPenalty = 5;
/** Spare part of its capacity that a host must have to be handed a duty. */
const minSpareOfSuccessor = 0.3;

/**
 * Orders hosts by their claim to a duty: those with room first, then the one with most capacity, then by id. Hosts that
 * know the same members agree on the order. Where all hosts are strained, capacity decides as usual.
 */
export function compare(left: Carrier, right: Carrier): number {
    return Number(left.strained ?? false) - Number(right.strained ?? false)
        || right.capacity - left.capacity
        || (left.id < right.id ? -1 : left.id > right.id ? 1 : 0);
}

/** Number of hosts that have a stronger claim than the host of that id and capacity. */
export function rank(self: Carrier, others: readonly Carrier[]): number {
    return others.filter(other => compare(other, self) < 0).length;
}

/** The rank with which a host acquires a free duty: a strained host leaves it to others, and takes it if none does. */
export function acquisitionRank(rankWithRoom: number, strained: boolean): number {
    return rankWithRoom + (strained ? strainedRankPenalty : 0);
}

/**
 * True if a host should hand over a duty that it holds: it is strained, and another host has room. Hosts that become busy
 * together tell so before they are strained.
 */
export function shouldHandOver(
    strained: boolean,
    others: readonly { readonly strained: boolean; readonly spare: number }[],
): boolean {
    return strained && others.some(other => !other.strained && other.spare >= minSpareOfSuccessor);
}
