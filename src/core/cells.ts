/**
 * Groups hosts into cells, so that the number of exchanged digests does not grow with the square of the number of
 * hosts. The hosts of a cell exchange digests directly. The first few hosts of each cell are its delegates, which
 * exchange summaries with the delegates of the other cells.
 */
import * as rendezvous from "./rendezvous.js";

/** A host and its location. */
export interface Host {
    readonly id: string;
    readonly failureDomain: string;
}

/** Sorted ids of the hosts of each cell, by the cell's name. */
export type HostsByCell = ReadonlyMap<string, readonly string[]>;

/** Up to this number, all hosts form a single cell. */
export const maxHostsOfSingleCell = 16;
/**
 * Intended number of hosts of each cell where there are several. A host handles about as many exchanges a second in
 * each direction, at some 1.3 ms of processor time each. A delegate handles one more for every other cell.
 */
export const targetHostsPerCell = 8;
/** Number of delegates of a cell: it stays connected to other cells when one delegate fails. */
export const delegatesPerCell = 2;

/**
 * Assigns hosts to cells. More than `maxHostsOfSingleCell` hosts are grouped by failure domain, and those of a large
 * failure domain by rendezvous hashing of their ids, so that few hosts change cells when one joins or leaves.
 */
export function assign(hosts: readonly Host[]): HostsByCell {
    const cells = new Map<string, string[]>();
    const sizes = new Map<string, number>();
    hosts.forEach(host => sizes.set(host.failureDomain, (sizes.get(host.failureDomain) ?? 0) + 1));
    for (const { id, failureDomain } of hosts) {
        const name = hosts.length <= maxHostsOfSingleCell
            ? ""
            : cellName(id, failureDomain, sizes.get(failureDomain) ?? 1);
        const cell = cells.get(name) ?? [];
        cell.push(id);
        cells.set(name, cell);
    }
    cells.forEach(ids => ids.sort());
    return cells;
}

function cellName(id: string, failureDomain: string, hostCount: number): string {
    const cellCount = Math.ceil(hostCount / targetHostsPerCell);
    const names = Array.from({ length: cellCount }, (_, number) => `${failureDomain}/${number}`);
    return rendezvous.rank(id, names)[0] ?? failureDomain;
}
