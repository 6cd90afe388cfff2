/** The parts of a host's life cycle that rest on the platform's store: following it, and replacing primaries. */
import type * as lifecycles from "../daemon/lifecycle.js";
import type * as coordinators from "./coordinator.js";
import type * as storeSyncs from "./storesync.js";

/** Collaborators of the parts. */
export interface Options {
    storeSync(): storeSyncs.StoreSync;
    coordinator(): coordinators.FailoverCoordinator;
}

/** Creates the parts, in the order in which they start. */
export function createStoreParts({ storeSync, coordinator }: Options): readonly lifecycles.Part[] {
    return [
        {
            name: "store",
            start: () => storeSync().start(),
            drain: () => storeSync().deregister(),
            close: () => storeSync().close(),
        },
        {
            name: "failover",
            start: () => coordinator().start(),
            drain: () => coordinator().release(),
            close: () => coordinator().close(),
        },
    ];
}
