/** The part of a host's life cycle that exchanges messages with the other hosts. */
import * as grpc from "../adapters/grpc.js";
import type * as lifecycles from "../daemon/lifecycle.js";
import type * as network from "../ports/network.js";
import type * as gossip from "./peers.js";
import type * as settingsFile from "./settings.js";
import type * as storeNewsExchange from "./storenews.js";

/** Settings and collaborators of the part. */
export interface Options {
    readonly settings: settingsFile.Settings;
    handlers(): readonly network.Handler[];
    network(): network.Network;
    peers(): gossip.Peers;
    news(): storeNewsExchange.StoreNews;
}

/** Creates the part; nothing is sent or accepted until it is started. */
export function createPeerService(options: Options): lifecycles.Part {
    const { host, port } = options.settings.peers;
    let server: grpc.Server | undefined;
    return {
        name: "peers",
        async start() {
            server = await grpc.serve(host, port, options.handlers());
            options.peers().start();
        },
        async close() {
            options.news().close();
            options.peers().close();
            options.network().close();
            await server?.close();
        },
    };
}
