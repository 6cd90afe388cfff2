/** How the hosts divide an endpoint's few connections among themselves, without talking about it. */
import * as rendezvous from "./rendezvous.js";

/** Connections that one host may open. */
export interface Share {
    /** Those that it may keep. */
    readonly guaranteed: number;
    /** Those beyond that which the other hosts leave free at the moment. */
    readonly spare: number;
}

/** Connections that are never counted as free, so that hosts which stretch at the same moment rarely collide. */
const margin = 2;
/** Connections to one endpoint that each host keeps where there are enough: one transaction and one statement. */
const fewest = 3;
const maxCached = 4_096;

/** Works out shares, and remembers the order of the hosts for each endpoint. */
export interface Allocator {
    /** The share of one host, with the connections that all hosts together have open at the moment. */
    allocate(most: number, endpoint: string, hosts: readonly string[], self: string, open: number): Share;
}

/**
 * Creates a division. What does not divide evenly goes to the hosts that come first for the endpoint, so that no host
 * is favoured at all endpoints.
 */
export function createAllocator(): Allocator {
    const orders = new Map<string, readonly string[]>();

    function rank(endpoint: string, hosts: readonly string[], self: string): number {
        const key = `${endpoint} ${hosts.join(" ")}`;
        const known = orders.get(key);
        const order = known ?? rendezvous.rank(endpoint, hosts);
        if (known === undefined) {
            if (orders.size >= maxCached) {
                orders.clear();
            }
            orders.set(key, order);
        }
        return order.indexOf(self);
    }

    return {
        allocate(most, endpoint, hosts, self, open) {
            const count = Math.max(1, hosts.length);
            // After a loss of power the endpoint still counts the old connections while the hosts open new ones.
            const kept = Math.max(Math.min(most, count * fewest), Math.floor(most / 2));
            const even = Math.floor(kept / count);
            const left = kept - even * count;
            const more = left > 0 && rank(endpoint, hosts, self) < left ? 1 : 0;
            return { guaranteed: even + more, spare: Math.max(0, most - margin - open) };
        },
    };
}
