/** Handlers of the calls that other hosts make to this one. */
import * as neverthrow from "neverthrow";
import * as grpc from "../adapters/grpc.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as clusterViews from "./clusterview.js";
import type * as coldGates from "./coldgate.js";
import * as configurationTransfer from "./configurationtransfer.js";
import type * as connectionSharing from "./connectionsharing.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";
import * as relayMessages from "./relaymessages.js";
import type * as storeNews from "./storenews.js";
import type * as storeSyncs from "./storesync.js";

/** Components that the handlers use. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly coldGate: coldGates.ColdGate;
    readonly peers: gossip.Peers;
    readonly clusterView: clusterViews.ClusterView;
    readonly storeSync: storeSyncs.StoreSync;
    readonly storeNews: storeNews.StoreNews;
    readonly sharing: connectionSharing.ConnectionSharing;
}

/** Creates the handlers of all calls between hosts: digests, records, news of the store, configuration, endpoints. */
export function createHandlers(options: Options): readonly network.Handler[] {
    const { clock, peers, clusterView, storeSync } = options;
    const relayService = options.sharing.service;
    const configurationSource = configurationTransfer.createSource(storeSync.configuration);
    return [
        grpc.handle(messages.peer.exchange, async digest => neverthrow.ok(peers.handleExchange(digest))),
        grpc.handle(messages.peer.record, async record => {
            await clusterView.applyAndFence(record);
            return neverthrow.ok({});
        }),
        grpc.handle(
            messages.peer.configuration,
            async ({ offset }) => neverthrow.ok(configurationSource.part(offset)),
        ),
        grpc.handle(
            messages.peer.permit,
            async ({ endpoint, ...request }) => neverthrow.ok(options.coldGate.issue(endpoint, request)),
        ),
        grpc.handle(messages.peer.catalogue, async () => {
            const { endpointListing } = storeSync;
            return neverthrow.ok({
                endpoints: endpointListing.endpoints(),
                ageMs: endpointListing.summary(clock.now())?.ageMs,
            });
        }),
        grpc.handle(relayMessages.methods.run, async request => neverthrow.ok(await relayService.run(request))),
        grpc.handle(
            relayMessages.methods.continue,
            async request => neverthrow.ok(await relayService.continue(request)),
        ),
        grpc.handle(relayMessages.methods.upkeep, async request => {
            relayService.upkeep(request);
            return neverthrow.ok({});
        }),
        grpc.handle(messages.peer.news, async question => neverthrow.ok(await options.storeNews.answer(question))),
    ];
}
