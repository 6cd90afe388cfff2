/** What this host answers to other hosts. */
import * as neverthrow from "neverthrow";
import * as grpc from "../adapters/grpc.js";
import type * as directories from "../core/directory.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as knowledges from "./clusterview.js";
import * as messages from "./messages.js";
import type * as peersPart from "./peers.js";
import type * as storeSyncs from "./storesync.js";

/** What the answers are taken from. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly peers: peersPart.Peers;
    readonly knowledge: knowledges.ClusterView;
    readonly storeSync: storeSyncs.StoreSync;
    readonly directory: directories.Directory;
}

/** Creates the handlers of all calls between hosts. */
export function createHandlers(options: Options): readonly network.Handler[] {
    const { clock, peers, knowledge, storeSync: follower, directory } = options;
    return [
        grpc.handle(messages.peer.exchange, async told => neverthrow.ok(peers.handleExchange(told))),
        grpc.handle(messages.peer.record, async record => {
            await knowledge.applyAndFence(record);
            return neverthrow.ok({});
        }),
        grpc.handle(messages.peer.catalogue, async () => {
            const { version, text } = follower.configuration();
            const listedMs = follower.listedAtMs();
            return neverthrow.ok({
                version,
                configuration: text,
                endpoints: directory.all(),
                ageMs: listedMs === undefined ? undefined : clock.now() - listedMs,
            });
        }),
    ];
}
