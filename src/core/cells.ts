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

/** Name of each host's cell, by what it depends on: the host and the number of cells of its failure domain. */
export type CellNames = Map<string, string>;

/** Up to this number, all hosts form a single cell. */
export const maxHostsOfSingleCell = 16;
/**
 * Intended number of hosts of each cell where there are several. A host handles about as many exchanges a second in
 * each direction, at some 1.3 ms of processor time each. A delegate handles one more for every other cell.
 */
export const targetHostsPerCell = 8;
/** Names kept between assignments: several times the hosts of a large fleet, as the number of cells changes. */
const maxKeptNames = 16_384;
/** Number of delegates of a cell: it stays connected to other cells when one delegate fails. */
export const delegatesPerCell = 2;

/**
 * Assigns hosts to cells. More than `maxHostsOfSingleCell` hosts are grouped by failure domain, and those of a large
 * failure domain by rendezvous hashing of their ids, so that few hosts change cells when one joins or leaves.
 *
 * A caller that assigns again and again passes the same `names`, which keep the results of the hashing.
 */
export function assign(hosts: readonly Host[], names: CellNames = new Map()): HostsByCell {
    const cells = new Map<string, string[]>();
    const sizes = new Map<string, number>();
    hosts.forEach(host => sizes.set(host.failureDomain, (sizes.get(host.failureDomain) ?? 0) + 1));
    for (const { id, failureDomain } of hosts) {
        const name = hosts.length <= maxHostsOfSingleCell
            ? ""
            : cellName(id, failureDomain, sizes.get(failureDomain) ?? 1, names);
        const cell = cells.get(name) ?? [];
        cell.push(id);
        cells.set(name, cell);
    }
    cells.forEach(ids => ids.sort());
    return cells;
}

function cellName(id: string, failureDomain: string, hostCount: number, names: CellNames): string {
    const cellCount = Math.ceil(hostCount / targetHostsPerCell);
    const key = `${cellCount} ${failureDomain}/${id}`;
    const known = names.get(key);
    if (known !== undefined) {
        return known;
    }
    const candidates = Array.from({ length: cellCount }, (_, number) => `${failureDomain}/${number}`);
    const name = rendezvous.pick(id, candidates) ?? failureDomain;
    if (names.size >= maxKeptNames) {
        names.clear();
    }
    names.set(key, name);
    return name;
}
