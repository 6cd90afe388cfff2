/** The list of hosts that may hold connections to endpoints, which is needed for each question of a pool. */
import type * as runtime from "../ports/runtime.js";

/** Time for which a list is used again. */
const listIntervalMs = 100;

/** Returns a function for the sorted ids of the hosts; it returns the same array while they are unchanged. */
export function createHolderList(
    clock: runtime.HostClock,
    list: () => readonly string[],
): () => readonly string[] {
    let holders: readonly string[] = [];
    let listedMs = -Infinity;
    return () => {
        if (clock.now() - listedMs < listIntervalMs) {
            return holders;
        }
        listedMs = clock.now();
        const next = [...list()].sort();
        if (next.length !== holders.length || next.some((id, index) => id !== holders[index])) {
            holders = next;
        }
        return holders;
    };
}
