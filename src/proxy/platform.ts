/** What a host needs from the platform that it runs on. */
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as store from "../ports/store.js";
import type * as callerDrain from "./callerdrain.js";
import type * as storeSyncs from "./storesync.js";

/** Implementations of the ports for one platform. */
export interface Platform {
    readonly store: store.Store;
    readonly promotions: store.Promotions;
    readonly dialer: connections.Dialer;
    readonly storeLayout: storeSyncs.StoreLayout;
    listenCallers(login: caller.Login): Promise<callerDrain.CallerListener>;
    listenReadiness(ready: () => boolean): Promise<{ close(): void }>;
}
