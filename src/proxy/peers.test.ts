import * as chai from "chai";
import * as neverthrow from "neverthrow";
import { setTimeout as delay } from "node:timers/promises";
import * as adapters from "../adapters/runtime.js";
import * as failure from "../core/failure.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as fleets from "./fleet.js";
import * as protocol from "./messages.js";
import * as peersPart from "./peers.js";

const member = (host: number): protocol.Member => ({
    id: `host-${host}`,
    address: String(host),
    failureDomain: "cluj-a",
    incarnation: String(host),
    leaving: false,
});

const nothing: fleets.LocalDigest = {
    configurationVersion: 1,
    primaryRecords: [],
    proofAgeMs: undefined,
    storeResponseAgeMs: undefined,
    endpointListing: undefined,
    positionSamples: [],
    primaryContacts: [],
    organisationUsage: {},
    endpointUsage: {},
};

/** A network with one channel an address, as the real one has, whose first answer takes long. */
function createNetwork(
    to: () => peersPart.Peers,
    firstMs: number,
): { network: network.Network; answers: () => number } {
    const channels = new Map<string, network.Channel>();
    let [calls, answers] = [0, 0];
    function open(address: string): network.Channel {
        let closed = false;
        return {
            async call<Request, Reply>(method: messages.Method<Request, Reply>, request: Request) {
                calls += 1;
                if (closed) {
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "closed"));
                }
                await delay(calls === 1 ? firstMs : 5);
                answers += 1;
                return neverthrow.ok(method.reply.parse(to().handleExchange(protocol.encodedDigest.parse(request))));
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
                const known = channels.get(address) ?? open(address);
                channels.set(address, known);
                return known;
            },
            close: () => undefined,
        },
        answers: () => answers,
    };
}

describe("the exchange with other hosts", () => {
    it("goes on with a host that becomes known while it is asked as a seed", async () => {
        const clock = {
            ...adapters.createClock(),
            wallClockMs: () => Date.now(),
            after(ms: number, action: () => void) {
                const timer = setTimeout(action, ms);
                return () => clearTimeout(timer);
            },
        };
        const create = (host: number, seeds: readonly string[], reach: network.Network): peersPart.Peers =>
            peersPart.createPeers({
                self: () => member(host),
                seeds,
                network: reach,
                clock,
                events: { emit: () => undefined, reportOmitted: () => undefined },
                random: () => 0.3,
                localDigest: () => nothing,
                onDigest: () => undefined,
            });
        const away: network.Network = { openChannel: () => chai.assert.fail(), close: () => undefined };
        const other = create(1, [], away);
        const { network: reach, answers } = createNetwork(() => other, 300);
        const peers = create(0, ["1"], reach);
        peers.start();
        await delay(20);
        peers.register([member(0), member(1)]);
        await delay(500);
        const before = answers();
        await delay(2_200);
        peers.close();
        chai.expect(answers()).to.be.above(before);
    });
});
