import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as cells from "../core/cells.js";
import * as failure from "../core/failure.js";
import type * as tenure from "../core/leadership.js";
import * as allowances from "../core/limiter.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as fleets from "./fleet.js";
import * as protocol from "./messages.js";
import * as peersPart from "./peers.js";

/** Time that a message takes, in milliseconds, between regions. */
const wayMs = 8;
const shareMs = 250;
const limit = { ratePerSecond: 90, burst: 90 };
/** The users' bound on a window of 5 s: (rate x window + burst) x 1.1 + 20. */
const bound = (90 * 5 + 90) * 1.1 + 20;

interface Fleet {
    readonly peers: readonly peersPart.Peers[];
    readonly allowances: readonly allowances.Limiter[];
    /** Exchanges that a host asked for, and numbers sent in them. */
    readonly asked: number[];
    readonly dead: Set<number>;
    /** Age of the proof that a host has, in milliseconds. */
    proofAgeMs: (host: number) => number | undefined;
    /** A number in [0, 1). */
    draw(): number;
    /** Lets time pass; `step` is called each 5 ms. */
    pass(ms: number, step?: (nowMs: number) => void): Promise<void>;
}

/** Hosts that exchange over a network in memory, on a clock of their own. */
function createFleet(count: number, failureDomains: number, seed = 1): Fleet {
    const generator = generators.xoroshiro128plus(seed);
    const draw = (): number => uniform.uniformFloat64(generator);
    let nowMs = 0;
    const due: { readonly atMs: number; readonly action: () => void }[] = [];
    const clock: runtime.HostClock = {
        now: () => nowMs,
        wallClockMs: () => nowMs,
        sleep: ms => new Promise(resolve => void due.push({ atMs: nowMs + ms, action: resolve })),
        after(ms, action) {
            const entry = { atMs: nowMs + ms, action };
            due.push(entry);
            return () => void (due.includes(entry) && due.splice(due.indexOf(entry), 1));
        },
        every(ms, action) {
            const next = (): void => {
                action();
                due.push({ atMs: nowMs + ms, action: next });
            };
            due.push({ atMs: nowMs + ms, action: next });
            return () => undefined;
        },
    };
    const member = (host: number): protocol.Member => ({
        id: `host-${String(host).padStart(3, "0")}`,
        address: String(host),
        failureDomain: `domain-${host % failureDomains}`,
        incarnation: String(host),
        leaving: false,
    });
    const fleet: Fleet = {
        peers: [],
        allowances: [],
        asked: [],
        dead: new Set(),
        draw,
        proofAgeMs: () => undefined,
        async pass(ms, step) {
            const endMs = nowMs + ms;
            while (nowMs < endMs) {
                nowMs += 5;
                step?.(nowMs);
                const ready = due.filter(entry => entry.atMs <= nowMs);
                ready.forEach(entry => due.splice(due.indexOf(entry), 1));
                ready.forEach(entry => entry.action());
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
    const reach = (from: number): network.Network => ({
        openChannel: address => ({
            async call<Request, Reply>(method: messages.Method<Request, Reply>, request: Request) {
                fleet.asked[from] = (fleet.asked[from] ?? 0) + 1;
                const to = Number(address);
                await clock.sleep(wayMs);
                if (fleet.dead.has(to) || fleet.dead.has(from)) {
                    await clock.sleep(400);
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "no answer"));
                }
                const reply = method.reply.parse(
                    fleet.peers[to]?.handleExchange(protocol.encodedDigest.parse(request)),
                );
                await clock.sleep(wayMs);
                return neverthrow.ok(reply);
            },
            close: () => undefined,
        }),
        close: () => undefined,
    });
    const members = Array.from({ length: count }, (_, host) => member(host));
    for (let host = 0; host < count; host += 1) {
        const allowance = allowances.createLimiter();
        allowance.setLimits(new Map([["cluj", limit]]));
        const peers = peersPart.createPeers({
            self: () => member(host),
            seeds: [],
            network: reach(host),
            clock,
            events: { emit: () => undefined, reportOmitted: () => undefined },
            random: draw,
            localDigest: () => ({
                configurationVersion: 1,
                primaryRecords: [],
                proofAgeMs: fleet.proofAgeMs(host),
                storeResponseAgeMs: undefined,
                endpointListing: undefined,
                positionSamples: [],
                primaryContacts: [],
                organisationUsage: allowance.usage(nowMs),
                endpointUsage: { "i-1": [1, 2] },
            }),
            onDigest: () => undefined,
        });
        (fleet.peers as peersPart.Peers[]).push(peers);
        (fleet.allowances as allowances.Limiter[]).push(allowance);
        peers.register(members);
        clock.every(shareMs, () => allowance.applyReports(peers.usageReports(), nowMs));
    }
    fleet.peers.forEach(peers => peers.start());
    return fleet;
}

describe("the host to ask for a configuration", () => {
    const peer = (id: string, version: number, askedMs: number): fleets.Peer => ({
        member: { id, address: id, failureDomain: "cluj-a", incarnation: id, leaving: false },
        digest: {
            self: { id, address: id, failureDomain: "cluj-a", incarnation: id, leaving: false },
            configurationVersion: version,
            primaryRecords: [],
            proofAgeMs: undefined,
            storeResponseAgeMs: undefined,
            endpointListing: undefined,
            positionSamples: [],
            primaryContacts: [],
            organisationUsage: {},
            endpointUsage: {},
            knownMembers: [],
            cellSummaries: [],
        },
        lastHeardMs: 900,
        lastPolledMs: askedMs,
        lastRefusedMs: -Infinity,
    });

    it("has the newest, and of several answered last: one that never answered may be out of reach", () => {
        const sources = [peer("mute", 26, -Infinity), peer("old", 24, 800), peer("a", 26, 300), peer("b", 26, 700)];
        chai.expect(fleets.chooseConfigurationSource(sources)?.member.id).to.equal("b");
        chai.expect(fleets.chooseConfigurationSource([])).to.equal(undefined);
    });
});

describe("hosts in cells", function() {
    this.timeout(120_000);

    it("know of all hosts, whichever cell they are in, though each speaks with few", async () => {
        const fleet = createFleet(60, 5);
        await fleet.pass(6_000);
        for (const peers of fleet.peers) {
            const { reports: others, suspectedHosts: unheard } = peers.usageReports();
            chai.expect(others.reduce((sum, other) => sum + other.hostCount, 0)).to.equal(59);
            chai.expect(unheard).to.equal(0);
            chai.expect(peers.endpointUsage("i-1")).to.deep.equal([59, 118]);
        }
        const seconds = 6;
        const most = cells.maxHostsOfSingleCell + 4;
        chai.expect(Math.max(...fleet.asked) / seconds).to.be.at.most(most);
        chai.expect(fleet.asked.reduce((sum, count) => sum + count, 0) / 60 / seconds).to.be.at.most(
            cells.targetHostsPerCell + 2,
        );
    });

    it("notice everywhere that a host ends, be it a speaker, and that all of a failure domain do", async () => {
        const fleet = createFleet(60, 5);
        await fleet.pass(5_000);
        fleet.dead.add(0);
        await fleet.pass(5_000);
        chai.expect(fleet.peers[1]?.usageReports().suspectedHosts).to.equal(1);
        chai.expect(fleet.peers[1]?.usageReports().reports.reduce((sum, other) => sum + other.hostCount, 0)).to.equal(
            58,
        );
        for (let host = 0; host < 60; host += 5) {
            fleet.dead.add(host);
        }
        await fleet.pass(8_000);
        chai.expect(fleet.peers[1]?.usageReports().suspectedHosts).to.equal(12);
    });

    it("see that no host reaches the store, and stop believing so when one does", async () => {
        const fleet = createFleet(40, 4);
        const outage = (witnesses: readonly tenure.PeerProof[]): boolean =>
            witnesses.every(one => one.pollAgeMs < 4_000 && (one.proofAgeMs ?? Infinity) > 1_500);
        await fleet.pass(6_000);
        chai.expect(fleet.peers.every(peers => outage(peers.peerProofs()))).to.equal(true);
        fleet.proofAgeMs = host => (host === 39 ? 10 : undefined);
        await fleet.pass(4_000);
        chai.expect(fleet.peers.some((peers, host) => host !== 39 && outage(peers.peerProofs()))).to.equal(false);
    });

    /** Plays an organisation that asks at a rate that all hosts share evenly; returns the admitted moments. */
    async function play(
        fleet: Fleet,
        lengthMs: number,
        perSecond: (nowMs: number) => number,
        meanwhile: (nowMs: number) => void = () => undefined,
    ): Promise<{ readonly admitted: readonly number[]; readonly refused: number }> {
        const admitted: number[] = [];
        let [refused, due] = [0, 0];
        await fleet.pass(lengthMs, nowMs => {
            meanwhile(nowMs);
            for (due += perSecond(nowMs) * 5 / 1_000; due >= 1; due -= 1) {
                const turn = Math.floor(fleet.draw() * fleet.allowances.length);
                if (fleet.dead.has(turn)) {
                    continue;
                }
                if (fleet.allowances[turn]?.admit("cluj", nowMs).admitted === true) {
                    admitted.push(nowMs);
                }
                else {
                    refused += 1;
                }
            }
        });
        return { admitted, refused };
    }

    function busiest(admitted: readonly number[]): number {
        return Math.max(
            0,
            ...admitted.map(startMs => admitted.filter(at => at >= startMs && at < startMs + 5_000).length),
        );
    }

    it("keep an organisation that asks seven times its rate to the bound, over all cells", async () => {
        const fleet = createFleet(60, 5);
        await fleet.pass(4_000);
        const { admitted } = await play(fleet, 14_000, nowMs => (nowMs > 8_000 ? 630 : 60));
        chai.expect(busiest(admitted)).to.be.at.most(bound);
        chai.expect(admitted.length).to.be.at.least(90 * 8);
    });

    it("refuse hardly anything below the limit, over all cells", async () => {
        const fleet = createFleet(60, 5);
        await fleet.pass(4_000);
        const { admitted, refused } = await play(fleet, 14_000, () => 70);
        chai.expect(refused).to.be.at.most((admitted.length + refused) * 0.02);
    });

    it("keep to the bound while the speakers of the cells end one after the other", async () => {
        const fleet = createFleet(60, 5);
        await fleet.pass(4_000);
        const { admitted } = await play(fleet, 14_000, () => 400, nowMs => {
            if (nowMs > 8_000 && nowMs % 500 === 0 && fleet.dead.size < 12) {
                fleet.dead.add(fleet.dead.size);
            }
        });
        chai.expect(busiest(admitted)).to.be.at.most(bound);
    });
});
