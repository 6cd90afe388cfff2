import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as cellAssignment from "../core/cells.js";
import * as failure from "../core/failure.js";
import * as leaderships from "../core/leadership.js";
import * as limiters from "../core/limiter.js";
import type * as rpc from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as fleets from "./fleet.js";
import * as messages from "./messages.js";
import * as gossip from "./peers.js";

/** One-way delay of the simulated network. */
const oneWayMs = 8;
/** Interval at which a host's limiter applies the usage reports of the others. */
const applyReportsIntervalMs = 250;
const rateLimit = { ratePerSecond: 90, burst: 90 };
/** Operations that may be admitted in any 5 s: (rate x window + burst) x 1.1 + 20. */
const maxAdmittedInWindow = (90 * 5 + 90) * 1.1 + 20;

interface Fleet {
    readonly peers: readonly gossip.Peers[];
    readonly limiters: readonly limiters.Limiter[];
    /** Calls made by each host. */
    readonly callCounts: number[];
    /** Hosts that no longer respond. */
    readonly dead: Set<number>;
    /** Age of a host's proof, in milliseconds. */
    proofAgeMs: (host: number) => number | undefined;
    /** A number in [0, 1). */
    random(): number;
    nowMs(): number;
    /** Advances the simulated clock; `step` is called every 5 ms. */
    advance(ms: number, step?: (nowMs: number) => void): Promise<void>;
}

/** Creates hosts that gossip over a simulated network on a simulated clock. */
function createFleet(count: number, failureDomains: number, seed = 1): Fleet {
    const generator = generators.xoroshiro128plus(seed);
    const random = (): number => uniform.uniformFloat64(generator);
    let nowMs = 0;
    const pending: { readonly atMs: number; readonly action: () => void }[] = [];
    const clock: runtime.HostClock = {
        now: () => nowMs,
        wallClockMs: () => nowMs,
        sleep: ms => new Promise(resolve => void pending.push({ atMs: nowMs + ms, action: resolve })),
        after(ms, action) {
            const entry = { atMs: nowMs + ms, action };
            pending.push(entry);
            return () => void (pending.includes(entry) && pending.splice(pending.indexOf(entry), 1));
        },
        every(ms, action) {
            const repeat = (): void => {
                action();
                pending.push({ atMs: nowMs + ms, action: repeat });
            };
            pending.push({ atMs: nowMs + ms, action: repeat });
            return () => undefined;
        },
    };
    const member = (host: number): messages.Member => ({
        id: `host-${String(host).padStart(3, "0")}`,
        address: String(host),
        failureDomain: `domain-${host % failureDomains}`,
        incarnation: String(host),
        leaving: false,
        capacity: 1,
    });
    const fleet: Fleet = {
        peers: [],
        limiters: [],
        callCounts: [],
        dead: new Set(),
        random,
        proofAgeMs: () => undefined,
        nowMs: () => nowMs,
        async advance(ms, step) {
            const endMs = nowMs + ms;
            while (nowMs < endMs) {
                nowMs += 5;
                step?.(nowMs);
                const ready = pending.filter(entry => entry.atMs <= nowMs);
                ready.forEach(entry => pending.splice(pending.indexOf(entry), 1));
                ready.forEach(entry => entry.action());
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
    const networkOf = (from: number): network.Network => ({
        openChannel: address => ({
            async call<Request, Reply>(method: rpc.Method<Request, Reply>, request: Request) {
                fleet.callCounts[from] = (fleet.callCounts[from] ?? 0) + 1;
                const to = Number(address);
                await clock.sleep(oneWayMs);
                if (fleet.dead.has(to) || fleet.dead.has(from)) {
                    await clock.sleep(400);
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "no answer"));
                }
                const reply = method.reply.parse(
                    fleet.peers[to]?.handleExchange(messages.encodedDigest.parse(request)),
                );
                await clock.sleep(oneWayMs);
                return neverthrow.ok(reply);
            },
            close: () => undefined,
        }),
        close: () => undefined,
    });
    const members = Array.from({ length: count }, (_, host) => member(host));
    for (let host = 0; host < count; host += 1) {
        const limiter = limiters.createLimiter();
        limiter.setLimits(new Map([["cluj", rateLimit]]));
        const peers = gossip.createPeers({
            self: () => member(host),
            seeds: [],
            network: networkOf(host),
            clock,
            events: { emit: () => undefined, reportOmitted: () => undefined },
            random,
            localDigest: () => ({
                configurationVersion: 1,
                storeEra: undefined,
                primaryRecords: [],
                proofAgeMs: fleet.proofAgeMs(host),
                storeResponseAgeMs: undefined,
                endpointListing: undefined,
                positionSamples: [],
                primaryContacts: [],
                organisationUsage: limiter.usage(nowMs),
                endpointUsage: { "i-1": [1, 2] },
                endpointOutcomes: { "i-1": { served: 2, failed: 1 } },
            }),
            onDigest: () => undefined,
            isUrgent: () => (fleet.proofAgeMs(host) ?? 0) > 1_000,
        });
        (fleet.peers as gossip.Peers[]).push(peers);
        (fleet.limiters as limiters.Limiter[]).push(limiter);
        peers.register(members, nowMs);
        clock.every(applyReportsIntervalMs, () => limiter.applyReports(peers.usageReports(), nowMs));
    }
    fleet.peers.forEach(peers => peers.start());
    return fleet;
}

describe("the choice of the host to fetch the configuration from", () => {
    const peer = (id: string, configurationVersion: number, lastPolledMs: number): fleets.Peer => ({
        member: { id, address: id, failureDomain: "cluj-a", incarnation: id, leaving: false, capacity: 1 },
        digest: {
            self: { id, address: id, failureDomain: "cluj-a", incarnation: id, leaving: false, capacity: 1 },
            configurationVersion,
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
            knownMembers: [],
            cellSummaries: [],
        },
        lastHeardMs: 900,
        lastPolledMs,
        registered: true,
    });

    it("prefers the newest version, then the host polled last, as one that never replied may be unreachable", () => {
        const sources = [peer("mute", 26, -Infinity), peer("old", 24, 800), peer("a", 26, 300), peer("b", 26, 700)];
        chai.expect(fleets.chooseConfigurationSource(sources)?.member.id).to.equal("b");
        chai.expect(fleets.chooseConfigurationSource([])).to.equal(undefined);
    });
});

describe("the cost of a fleet's size", () => {
    it("looks hosts up when the membership changes, not at each question about an endpoint", () => {
        let lookups = 0;
        class CountedPeers extends Map<string, fleets.PeerState> {
            override get(id: string): fleets.PeerState | undefined {
                lookups += 1;
                return super.get(id);
            }
        }
        const peers = new CountedPeers();
        const member = (number: number): messages.Member => ({
            id: `host-${number}`,
            address: `10.0.0.${number}:1`,
            failureDomain: `domain-${number % 6}`,
            incarnation: "a",
            leaving: false,
            capacity: 1,
        });
        for (let number = 1; number < 70; number += 1) {
            peers.set(member(number).id, {
                member: member(number),
                digest: undefined,
                lastHeardMs: 0,
                lastPolledMs: 0,
                lastFailedMs: -Infinity,
                registered: true,
                lastMentionedMs: 0,
                lastVouchedMs: -Infinity,
                unreachable: false,
                channel: undefined,
                header: undefined,
                acknowledgedHeader: undefined,
            });
        }
        const clock = { now: () => 0 } as unknown as runtime.HostClock;
        const fleet = fleets.createFleet({ self: member(0), clock, peers, baselineId: 1 });
        for (let question = 0; question < 100; question += 1) {
            fleet.endpointUsage(`endpoint-${question}`);
            fleet.endpointOutcomes(`endpoint-${question}`);
            fleet.viewAgeMs();
            fleet.peerProofs();
        }
        chai.expect(lookups).to.be.at.most(cellAssignment.maxHostsOfSingleCell);
        peers.delete("host-6");
        fleet.membershipChanged();
        chai.expect(fleet.gossipTargets().map(peer => peer.member.id)).to.not.include("host-6");
    });
});

describe("gossip between cells", function() {
    this.timeout(120_000);

    it("covers the hosts of all cells, though each host polls only a few", async () => {
        const fleet = createFleet(60, 5);
        await fleet.advance(6_000);
        for (const peers of fleet.peers) {
            const { reports, suspectedHosts } = peers.usageReports();
            chai.expect(reports.reduce((sum, report) => sum + report.hostCount, 0)).to.equal(59);
            chai.expect(suspectedHosts).to.equal(0);
            chai.expect(peers.endpointUsage("i-1")).to.deep.equal([59, 118]);
            const { served, failed } = peers.endpointOutcomes("i-1");
            chai.expect(served / failed).to.be.closeTo(2, 0.01);
            // Outcomes lose weight on their way.
            chai.expect(failed).to.be.within(25, 59);
        }
        const seconds = 6;
        const maxCallsPerSecond = cellAssignment.maxHostsOfSingleCell + 4;
        chai.expect(Math.max(...fleet.callCounts) / seconds).to.be.at.most(maxCallsPerSecond);
        chai.expect(fleet.callCounts.reduce((sum, count) => sum + count, 0) / 60 / seconds).to.be.at.most(
            cellAssignment.targetHostsPerCell + 2,
        );
    });

    it("reports to all cells the loss of one host, even of a delegate, and of a whole failure domain", async () => {
        const fleet = createFleet(60, 5);
        await fleet.advance(5_000);
        fleet.dead.add(0);
        await fleet.advance(5_000);
        chai.expect(fleet.peers[1]?.usageReports().suspectedHosts).to.equal(1);
        chai.expect(fleet.peers[1]?.usageReports().reports.reduce((sum, report) => sum + report.hostCount, 0)).to.equal(
            58,
        );
        for (let host = 0; host < 60; host += 5) {
            fleet.dead.add(host);
        }
        await fleet.advance(8_000);
        chai.expect(fleet.peers[1]?.usageReports().suspectedHosts).to.equal(12);
    });

    it("detects an outage of the store only while no host reaches it", async () => {
        const fleet = createFleet(40, 4);
        const isOutage = (proofs: readonly leaderships.PeerProof[]): boolean =>
            proofs.every(proof => proof.pollAgeMs < 4_000 && (proof.proofAgeMs ?? Infinity) > 1_500);
        await fleet.advance(6_000);
        chai.expect(fleet.peers.every(peers => isOutage(peers.peerProofs()))).to.equal(true);
        fleet.proofAgeMs = host => (host === 39 ? 10 : undefined);
        await fleet.advance(4_000);
        chai.expect(fleet.peers.some((peers, host) => host !== 39 && isOutage(peers.peerProofs()))).to.equal(false);
    });

    it("keeps the trust in the records of primaries during an outage of the store, in a fleet of cells", async () => {
        const fleet = createFleet(70, 6);
        const maxProofAgeMs = 1_500;
        const views = fleet.peers.map(() => leaderships.createLeadership({ maxProofAgeMs, graceMs: 150 }));
        const startMs = 6_000;
        fleet.proofAgeMs = () => Math.max(0, fleet.nowMs() - startMs);
        await fleet.advance(startMs);
        const checkIntervalMs = 100;
        const untrustedMs = views.map(() => 0);
        await fleet.advance(6_000, nowMs => {
            if (nowMs % checkIntervalMs === 0) {
                fleet.peers.forEach((peers, host) => {
                    views[host]?.renewProof(startMs);
                    views[host]?.assessOutage(peers.peerProofs(), nowMs);
                    untrustedMs[host] = (untrustedMs[host] ?? 0)
                        + (views[host]?.isTrusted(nowMs) === true ? 0 : checkIntervalMs);
                });
            }
        });
        // Statements that arrive in that time wait, and are still served within the shortest time limit of 800 ms.
        chai.expect(Math.max(...untrustedMs)).to.be.at.most(600);
    });

    it("never takes a cut between hosts for an outage of the store, however fast it asks", async () => {
        const fleet = createFleet(40, 4);
        fleet.proofAgeMs = () => Math.max(0, fleet.nowMs() - 6_000);
        await fleet.advance(6_000);
        fleet.dead.add(17);
        await fleet.advance(4_000);
        const oldestPollMs = fleet.peers.filter((_, host) => host !== 17)
            .map(peers => Math.max(...peers.peerProofs().map(proof => proof.pollAgeMs)));
        chai.expect(Math.min(...oldestPollMs)).to.be.greaterThan(1_500);
    });

    /** Simulates an organisation whose operations are spread evenly over the hosts; returns when they were admitted. */
    async function simulateLoad(
        fleet: Fleet,
        durationMs: number,
        ratePerSecondAt: (nowMs: number) => number,
        onStep: (nowMs: number) => void = () => undefined,
    ): Promise<{ readonly admitted: readonly number[]; readonly refused: number }> {
        const admitted: number[] = [];
        let [refused, pending] = [0, 0];
        await fleet.advance(durationMs, nowMs => {
            onStep(nowMs);
            for (pending += ratePerSecondAt(nowMs) * 5 / 1_000; pending >= 1; pending -= 1) {
                const host = Math.floor(fleet.random() * fleet.limiters.length);
                if (fleet.dead.has(host)) {
                    continue;
                }
                if (fleet.limiters[host]?.admit("cluj", nowMs).admitted === true) {
                    admitted.push(nowMs);
                }
                else {
                    refused += 1;
                }
            }
        });
        return { admitted, refused };
    }

    /** Largest number of operations admitted in any 5 s. */
    function maxAdmittedInAnyWindow(admitted: readonly number[]): number {
        return Math.max(
            0,
            ...admitted.map(startMs => admitted.filter(at => at >= startMs && at < startMs + 5_000).length),
        );
    }

    it("keeps an organisation that sends seven times its rate limit within the bound, over all cells", async () => {
        const fleet = createFleet(60, 5);
        await fleet.advance(4_000);
        const { admitted } = await simulateLoad(fleet, 14_000, nowMs => (nowMs > 8_000 ? 630 : 60));
        chai.expect(maxAdmittedInAnyWindow(admitted)).to.be.at.most(maxAdmittedInWindow);
        chai.expect(admitted.length).to.be.at.least(90 * 8);
    });

    it("refuses at most 2 % of the operations below the limit, over all cells", async () => {
        const fleet = createFleet(60, 5);
        await fleet.advance(4_000);
        const { admitted, refused } = await simulateLoad(fleet, 14_000, () => 70);
        chai.expect(refused).to.be.at.most((admitted.length + refused) * 0.02);
    });

    it("keeps to the bound while the delegates of the cells fail one after another", async () => {
        const fleet = createFleet(60, 5);
        await fleet.advance(4_000);
        const { admitted } = await simulateLoad(fleet, 14_000, () => 400, nowMs => {
            if (nowMs > 8_000 && nowMs % 500 === 0 && fleet.dead.size < 12) {
                fleet.dead.add(fleet.dead.size);
            }
        });
        chai.expect(maxAdmittedInAnyWindow(admitted)).to.be.at.most(maxAdmittedInWindow);
    });
});
