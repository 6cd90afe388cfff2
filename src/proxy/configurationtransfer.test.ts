import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as simulation from "../../standins/simulation.js";
import * as failure from "../core/failure.js";
import type * as rpc from "../ports/messages.js";
import * as configurationTransfer from "./configurationtransfer.js";
import type * as messages from "./messages.js";
import type * as gossip from "./peers.js";

const hostCount = 24;
const bitsPerSecond = 2_000_000;
/** The users' bound for a new configuration, in milliseconds. */
const inForceMs = 6_000;
/** Time limit of an exchange of digests, in milliseconds. */
const exchangeTimeoutMs = 400;
const digestBytes = 1_500;

/** A configuration of the given number of routes, with names that hardly repeat. */
function createText(version: number, routeCount: number, random: () => number): string {
    const routes = Array.from({ length: routeCount }, () => ({
        name: random().toString(36).slice(2),
        hostname: random().toString(36).slice(2),
        kind: "read_your_writes",
        timeout_ms: 800,
        target_latency_ms: 500,
        max_staleness_ms: 2_500,
        priority: 2,
        service: "ledger",
        public: false,
    }));
    return JSON.stringify({ version, routes });
}

interface Host {
    configuration: configurationTransfer.Configuration;
    readonly source: configurationTransfer.Source;
    readonly fetcher: configurationTransfer.Fetcher;
    readonly up: simulation.Link;
    readonly down: simulation.Link;
}

interface Fleet {
    readonly clock: simulation.Clock;
    readonly hosts: readonly Host[];
    /** Longest time that a digest took from one host to another, in milliseconds. */
    maxExchangeMs: number;
    /** Hosts that do not answer. */
    readonly silent: Set<number>;
    random(): number;
}

/** Hosts that hear of each other's versions each second, over one slow link each. */
function createFleet(): Fleet {
    const clock = simulation.createClock();
    const generator = generators.xoroshiro128plus(7);
    const random = (): number => uniform.uniformFloat64(generator);
    const known: Map<number, number>[] = [];
    const fleet: Fleet = { clock, hosts: [], maxExchangeMs: 0, silent: new Set(), random };

    function create(host: number): Host {
        const versions = new Map<number, number>();
        known[host] = versions;
        const call = async <Request, Reply>(
            member: { readonly address: string },
            method: rpc.Method<Request, Reply>,
            request: Request,
            timeoutMs: number,
        ): Promise<neverthrow.Result<Reply, failure.Failure>> => {
            const to = fleet.hosts[Number(member.address)] as Host;
            const reply = (async () => {
                if (fleet.silent.has(Number(member.address))) {
                    await clock.sleep(timeoutMs + 1);
                }
                const part = to.source.part((request as { readonly offset: number }).offset);
                await to.up.transfer(part.bytes.length);
                await created.down.transfer(part.bytes.length);
                return neverthrow.ok(method.reply.parse(part));
            })();
            const late = neverthrow.err(failure.create(failure.Code.peerUnreachable, member.address, "no answer"));
            return Promise.race([reply, clock.sleep(timeoutMs).then(() => late)]);
        };
        const created: Host = {
            configuration: { version: 1, text: "" },
            up: simulation.createLink(clock, bitsPerSecond),
            down: simulation.createLink(clock, bitsPerSecond),
            source: configurationTransfer.createSource(() => created.configuration),
            fetcher: configurationTransfer.createFetcher({
                clock,
                events: { emit: () => undefined, reportOmitted: () => undefined },
                peers: () => ({ call } as unknown as gossip.Peers),
                random,
                version: () => created.configuration.version,
                source() {
                    const newest = Math.max(0, ...versions.values());
                    const newer = [...versions].filter(([, version]) =>
                        version === newest && version > created.configuration.version
                    );
                    const chosen = newer[Math.floor(random() * newer.length)];
                    return chosen === undefined
                        ? undefined
                        : { id: String(chosen[0]), address: String(chosen[0]) } as messages.Member;
                },
                offer(text) {
                    created.configuration = { version: (JSON.parse(text) as { version: number }).version, text };
                },
            }),
        };
        return created;
    }

    async function sendDigest(from: number, to: number): Promise<void> {
        const startMs = clock.now();
        const [sender, receiver] = [fleet.hosts[from] as Host, fleet.hosts[to] as Host];
        await sender.up.transfer(digestBytes);
        await receiver.down.transfer(digestBytes);
        fleet.maxExchangeMs = Math.max(fleet.maxExchangeMs, clock.now() - startMs);
        known[to]?.set(from, sender.configuration.version);
        if (sender.configuration.version > receiver.configuration.version) {
            void receiver.fetcher.fetch();
        }
    }

    for (let host = 0; host < hostCount; host += 1) {
        (fleet.hosts as Host[]).push(create(host));
    }
    clock.every(1_000, () =>
        fleet.hosts.forEach((_, from) => {
            for (let turn = 0; turn < 8; turn += 1) {
                const to = Math.floor(random() * hostCount);
                clock.after(random() * 1_000, () => void (to === from || sendDigest(from, to)));
            }
        }));
    return fleet;
}

describe("transfer of the configuration between hosts", function() {
    this.timeout(60_000);

    it("reaches 24 hosts on links of 2 Mbit/s within the bound, and delays no digest beyond its time limit", async () => {
        const fleet = createFleet();
        const text = createText(2, 1_480, fleet.random);
        chai.expect(text.length).to.be.above(250_000);
        await fleet.clock.advance(2_000);
        const first = fleet.hosts[0] as Host;
        first.configuration = { version: 2, text };
        await fleet.clock.advance(inForceMs);
        chai.expect(fleet.hosts.filter(host => host.configuration.text !== text)).to.have.length(0);
        chai.expect(fleet.maxExchangeMs).to.be.below(exchangeTimeoutMs);
    });

    it("goes on at another host when one falls silent, and with a version that is newer by then", async () => {
        const fleet = createFleet();
        const [second, third] = [createText(2, 4_000, fleet.random), createText(3, 4_000, fleet.random)];
        await fleet.clock.advance(1_000);
        [0, 1, 2].forEach(host => {
            (fleet.hosts[host] as Host).configuration = { version: 2, text: second };
        });
        await fleet.clock.advance(1_000);
        fleet.silent.add(0).add(1);
        (fleet.hosts[3] as Host).configuration = { version: 3, text: third };
        await fleet.clock.advance(2 * inForceMs);
        chai.expect(fleet.hosts.filter(host => host.configuration.text !== third)).to.have.length(0);
    });
});
