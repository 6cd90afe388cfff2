import * as chai from "chai";
import * as neverthrow from "neverthrow";
import { setTimeout as delay } from "node:timers/promises";
import * as clocks from "../adapters/runtime.js";
import * as failure from "../core/failure.js";
import type * as rpc from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as fleets from "./fleet.js";
import * as messages from "./messages.js";
import * as gossip from "./peers.js";

const member = (host: number): messages.Member => ({
    id: `host-${host}`,
    address: String(host),
    failureDomain: "cluj-a",
    incarnation: String(host),
    leaving: false,
    capacity: 1,
});

const emptyDigest: fleets.LocalDigest = {
    configurationVersion: 1,
    storeEra: undefined,
    primaryRecords: [],
    proofAgeMs: undefined,
    storeResponseAgeMs: undefined,
    endpointListing: undefined,
    positionSamples: [],
    primaryContacts: [],
    organisationUsage: {},
    endpointUsage: {},
    endpointOutcomes: {},
};

/** A network with one channel per address, like the real one, on which the first call is slow. */
function createNetwork(
    remote: () => gossip.Peers,
    firstDelayMs: number,
): { network: network.Network; replyCount: () => number } {
    const channels = new Map<string, network.Channel>();
    let [callCount, replyCount] = [0, 0];
    function createChannel(address: string): network.Channel {
        let closed = false;
        return {
            async call<Request, Reply>(method: rpc.Method<Request, Reply>, request: Request) {
                callCount += 1;
                if (closed) {
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "closed"));
                }
                await delay(callCount === 1 ? firstDelayMs : 5);
                replyCount += 1;
                return neverthrow.ok(
                    method.reply.parse(remote().handleExchange(messages.encodedDigest.parse(request))),
                );
            },
            close() {
                closed = true;
                channels.delete(address);
            },
        };
    }
    return {
        network: {
            openChannel(address) {
                const channel = channels.get(address) ?? createChannel(address);
                channels.set(address, channel);
                return channel;
            },
            close: () => undefined,
        },
        replyCount: () => replyCount,
    };
}

describe("gossip with other hosts", () => {
    // A seed and a known peer share one channel per address: the end of the seed's poll must not close it.
    it("keeps polling a host that becomes a known peer while it is polled as a seed", async () => {
        const clock = {
            ...clocks.createClock(),
            wallClockMs: () => Date.now(),
            after(ms: number, action: () => void) {
                const timer = setTimeout(action, ms);
                return () => clearTimeout(timer);
            },
        };
        const create = (host: number, seeds: readonly string[], network: network.Network): gossip.Peers =>
            gossip.createPeers({
                self: () => member(host),
                seeds,
                network,
                clock,
                events: { emit: () => undefined, reportOmitted: () => undefined },
                random: () => 0.3,
                localDigest: () => emptyDigest,
                isUrgent: () => false,
                onDigest: () => undefined,
            });
        const unreachableNetwork: network.Network = { openChannel: () => chai.assert.fail(), close: () => undefined };
        const remote = create(1, [], unreachableNetwork);
        const { network, replyCount } = createNetwork(() => remote, 300);
        const peers = create(0, ["1"], network);
        peers.start();
        await delay(20);
        peers.register([member(0), member(1)], performance.now());
        await delay(500);
        const repliesBefore = replyCount();
        await delay(2_200);
        peers.close();
        chai.expect(replyCount()).to.be.above(repliesBefore);
    });
});
