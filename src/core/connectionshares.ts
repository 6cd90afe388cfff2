/** Divides the limited connections of an endpoint among the hosts; each host computes its own share. */
import * as rendezvous from "./rendezvous.js";

/** Number of connections that one host may open to an endpoint. */
export interface Share {
    /** Connections that the host may always have open. */
    readonly guaranteed: number;
    /** Connections that no host has open at the moment, less a margin; usable beyond the guaranteed ones. */
    readonly spare: number;
}

/** Connections that are never reported as spare, so that hosts which use spare ones at the same time rarely collide. */
const spareMargin = 2;
/** Guaranteed connections of each host where there are enough of them: one transaction and one statement. */
const minGuaranteed = 3;

/** Computes shares, and caches the ranking of the hosts for each endpoint. */
export interface Allocator {
    /**
     * The share of the host `self`.
     * @param maxConnections Connections that the endpoint accepts from all hosts together.
     * @param hosts Ids of all hosts, `self` included. An unchanged list should be the same array, whose ranks are kept.
     * @param open Connections that all hosts together have open at the moment.
     */
    allocate(maxConnections: number, endpoint: string, hosts: readonly string[], self: string, open: number): Share;
}

/**
 * Creates an allocator. A remainder that does not divide evenly goes to the hosts that rank first for the endpoint, so
 * that no host is favoured at all endpoints.
 */
export function createAllocator(): Allocator {
    let rankedHosts: readonly string[] = [];
    /** Rank of the host `self` by endpoint, for `rankedHosts`. */
    let ranks = new Map<string, number>();

    function rankOf(endpoint: string, hosts: readonly string[], self: string): number {
        if (hosts !== rankedHosts) {
            rankedHosts = hosts;
            ranks = new Map();
        }
        const key = `${endpoint} ${self}`;
        const rank = ranks.get(key) ?? rendezvous.rank(endpoint, hosts).indexOf(self);
        ranks.set(key, rank);
        return rank;
    }

    return {
        allocate(maxConnections, endpoint, hosts, self, open) {
            const hostCount = Math.max(1, hosts.length);
            // Half is guaranteed, or more where the minimum of each host needs it. The rest is left free because after
            // a power failure the endpoint still counts the old connections while the hosts open new ones.
            const guaranteed = Math.max(
                Math.min(maxConnections, hostCount * minGuaranteed),
                Math.floor(maxConnections / 2),
            );
            const even = Math.floor(guaranteed / hostCount);
            const remainder = guaranteed - even * hostCount;
            const extra = remainder > 0 && rankOf(endpoint, hosts, self) < remainder ? 1 : 0;
            return { guaranteed: even + extra, spare: Math.max(0, maxConnections - spareMargin - open) };
        },
    };
}
