/**
 * Hosts in cells, so that what hosts tell each other does not grow with the square of their number. The hosts of a
 * cell tell each other directly; the first few of each cell speak for it with those of the other cells.
 */
import * as rendezvous from "./rendezvous.js";

/** A host and where it is. */
export interface Host {
    readonly id: string;
    readonly failureDomain: string;
}

/** Ids of the hosts of each cell, in order, by the cell's name. */
export type HostsByCell = ReadonlyMap<string, readonly string[]>;

/** Hosts that are one cell all together. */
export const maxHostsOfSingleCell = 16;
/**
 * Hosts of one cell of a larger fleet: each handles as many exchanges a second in each direction, at some 1.3 ms of
 * processor time, and its speakers as many more as there are cells.
 */
export const targetHostsPerCell = 8;
/** Hosts that speak for a cell: the loss of one is not noticed. */
export const delegatesPerCell = 2;

/**
 * Divides hosts into cells. Few hosts are one cell; more are divided by failure domain, and large failure domains by
 * the hosts' ids, so that few hosts change their cell when one comes or goes.
 */
export function assign(hosts: readonly Host[]): HostsByCell {
    const cells = new Map<string, string[]>();
    const sizes = new Map<string, number>();
    hosts.forEach(host => sizes.set(host.failureDomain, (sizes.get(host.failureDomain) ?? 0) + 1));
    for (const { id, failureDomain } of hosts) {
        const name = hosts.length <= maxHostsOfSingleCell ? "" : part(id, failureDomain, sizes.get(failureDomain) ?? 1);
        const cell = cells.get(name) ?? [];
        cell.push(id);
        cells.set(name, cell);
    }
    cells.forEach(ids => ids.sort());
    return cells;
}

function part(id: string, failureDomain: string, size: number): string {
    const count = Math.ceil(size / targetHostsPerCell);
    const names = Array.from({ length: count }, (_, number) => `${failureDomain}/${number}`);
    return rendezvous.rank(id, names)[0] ?? failureDomain;
}
