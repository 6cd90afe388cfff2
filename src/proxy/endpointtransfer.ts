/** Fetches the endpoint listing from another host. */
import type * as runtime from "../ports/runtime.js";
import type * as listings from "./endpointlisting.js";
import type * as events from "./events.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** Settings of a fetcher. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    peers(): Pick<gossip.Peers, "call">;
    listing(): listings.EndpointListing;
}

/** Fetches the endpoint listing; one fetch runs at a time. */
export interface Fetcher {
    fetch(source: messages.Member): Promise<void>;
}

/** Time limit for another host to send its listing. */
const timeoutMs = 1_000;

/** Creates a fetcher. */
export function createFetcher(options: Options): Fetcher {
    const { clock, events } = options;
    let fetching = false;
    return {
        async fetch(source) {
            if (fetching) {
                return;
            }
            fetching = true;
            const requestedAtMs = clock.now();
            const reply = await options.peers().call(source, messages.peer.catalogue, {}, timeoutMs);
            fetching = false;
            if (reply.isErr()) {
                events.emit("catalogueMissed", { peer: source.id, reason: reply.error.message });
                return;
            }
            if (reply.value.ageMs !== undefined) {
                options.listing().offer(reply.value.endpoints, requestedAtMs - reply.value.ageMs);
            }
        },
    };
}
