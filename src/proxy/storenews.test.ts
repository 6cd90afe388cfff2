import * as chai from "chai";
import * as fc from "fast-check";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as invariants from "../../standins/invariants.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";
import type * as simulation from "../../standins/simulation.js";

/** Six failure domains in two regions, the store in the first one. */
const topology = { failureDomains: 6, regions: 2 };
const startMs = 8_000;
/** Time after which all hosts have registrations of the life that fits the fleet. */
const settledMs = 15_000;

function createFleet(hostCount: number, seed: number): simulatedFleets.Fleet {
    const generator = generators.xoroshiro128plus(seed);
    return simulatedFleets.createFleet(hostCount, () => uniform.uniformFloat64(generator), topology);
}

interface Observation {
    /** Calls in the time observed; a renewal counts as a tenth. */
    readonly pricedCalls: number;
    readonly keyReads: number;
    /** Largest number of reads of whatever kind in a tenth of a second. */
    readonly maxBurst: number;
    readonly oldestProofMs: number;
    readonly oldestListingMs: number;
    /** True if some proof was said to be younger than the newest reading of the keys by anybody. */
    readonly hasProofTooYoung: boolean;
}

const isKeyRead = (call: simulation.Call): boolean => call.kind === "range" && call.subject.startsWith("hyssophatch/");
const isRead = (call: simulation.Call): boolean => call.kind === "range" || call.kind === "read";

/** Lets time pass; `hosts` are those whose proofs and listings are observed, all that run by default. */
async function observe(
    fleet: simulatedFleets.Fleet,
    durationMs: number,
    hosts: readonly number[] = [...fleet.hosts.keys()],
): Promise<Observation> {
    const fromMs = fleet.clock.now();
    let [oldestProofMs, oldestListingMs] = [0, 0];
    let hasProofTooYoung = false;
    const { calls: allCalls } = fleet.store;
    let newestReadMs = Math.max(...allCalls.filter(isKeyRead).map(call => call.atMs));
    let seenCount = allCalls.length;
    await fleet.clock.advance(durationMs, nowMs => {
        for (; seenCount < allCalls.length; seenCount += 1) {
            const call = allCalls[seenCount];
            newestReadMs = call !== undefined && isKeyRead(call) ? call.atMs : newestReadMs;
        }
        hosts.filter(host => !fleet.down.has(host) && !fleet.frozen.has(host)).forEach(host => {
            const observed = fleet.hosts[host];
            const proofAgeMs = observed?.leadership.proofAgeMs(nowMs) ?? Infinity;
            oldestProofMs = Math.max(oldestProofMs, proofAgeMs);
            hasProofTooYoung ||= nowMs - proofAgeMs > newestReadMs;
            const listedAtMs = observed?.storeSync.endpointListing.listedAtMs() ?? -Infinity;
            oldestListingMs = Math.max(oldestListingMs, nowMs - listedAtMs);
        });
    });
    const calls = fleet.store.calls.filter(call => call.atMs >= fromMs);
    const reads = calls.filter(isRead);
    return {
        pricedCalls: calls.reduce((sum, call) => sum + (call.kind === "renew" ? 0.1 : 1), 0),
        keyReads: reads.filter(isKeyRead).length,
        maxBurst: Math.max(
            0,
            ...reads.map(first => reads.filter(({ atMs }) => atMs >= first.atMs && atMs < first.atMs + 100).length),
        ),
        oldestProofMs,
        oldestListingMs,
        hasProofTooYoung,
    };
}

const holderOf = (fleet: simulatedFleets.Fleet): number =>
    fleet.hosts.findIndex((host, index) => !fleet.down.has(index) && host.fencingToken() !== undefined);

describe("the reading of the store in a fleet of several cells", function() {
    this.timeout(300_000);
    let fleet: simulatedFleets.Fleet;

    async function start(hostCount: number, seed = 1): Promise<void> {
        fleet = createFleet(hostCount, seed);
        await fleet.clock.advance(startMs);
    }

    afterEach(() => fleet.close());

    it("takes the same few calls at 24 and at 70 hosts, but for renewals, with young proofs and listings", async () => {
        for (const hostCount of [24, 70]) {
            await start(hostCount);
            await fleet.clock.advance(settledMs - startMs);
            const fromMs = fleet.clock.now();
            const observed = await observe(fleet, 8_000);
            const otherCalls = fleet.store.calls.filter(call => call.atMs >= fromMs && call.kind !== "renew");
            chai.expect(otherCalls.length / 8, `${hostCount} hosts`).to.be.below(3);
            chai.expect(observed.pricedCalls / 8).to.be.below(2.6 + hostCount * 0.055);
            chai.expect(observed.oldestProofMs).to.be.below(1_000);
            chai.expect(observed.hasProofTooYoung).to.equal(false);
            chai.expect(observed.oldestListingMs).to.be.below(2_500);
            fleet.close();
        }
    });

    it("starts as fast as when each host reads, with a third of the calls", async () => {
        fleet = createFleet(24, 2);
        const readyAtMs = new Map<number, number>();
        await fleet.clock.advance(3_300, nowMs =>
            fleet.hosts.forEach((host, index) => {
                const isReady = host.storeSync.policy().version > 0 && host.leadership.isTrusted(nowMs)
                    && host.storeSync.endpointListing.listedAtMs() !== undefined && host.leadership.all().length > 0;
                if (isReady && !readyAtMs.has(index)) {
                    readyAtMs.set(index, nowMs);
                }
            }));
        chai.expect(readyAtMs.size).to.equal(24);
        chai.expect(Math.max(...readyAtMs.values())).to.be.below(3_000);
        chai.expect(fleet.store.calls.filter(isRead).length).to.be.below(110);
    });

    it("keeps every proof when the reader dies at any moment, and another host takes the lock", async () => {
        await start(24);
        for (let phaseMs = 0; phaseMs < 700; phaseMs += 175) {
            const holder = holderOf(fleet);
            fleet.kill(holder);
            const observed = await observe(fleet, 5_000);
            chai.expect(observed.oldestProofMs, `killed at ${phaseMs} ms`).to.be.below(simulatedFleets.maxProofAgeMs);
            chai.expect(observed.keyReads).to.be.below(24);
            chai.expect(observed.maxBurst).to.be.at.most(4);
            chai.expect(holderOf(fleet)).to.be.at.least(0);
            fleet.start(holder);
            await fleet.clock.advance(3_000 + phaseMs);
        }
    });

    it("keeps every proof while the reader is frozen, and after it wakes", async () => {
        await start(24);
        fleet.frozen.add(holderOf(fleet));
        const frozen = await observe(fleet, 4_000);
        fleet.frozen.clear();
        const thawed = await observe(fleet, 4_000);
        chai.expect(frozen.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
        chai.expect(frozen.oldestListingMs).to.be.below(4_000);
        chai.expect(thawed.keyReads).to.be.below(14);
        chai.expect(invariants.rivalHolders(fleet)).to.deep.equal([]);
    });

    it("keeps every proof while the store turns away or does not hear the reader and other first hosts", async () => {
        for (const fault of ["refusedByStore", "cutFromStore"] as const) {
            await start(24);
            [holderOf(fleet), 0, 1, 2].forEach(host => fleet[fault].add(host));
            const observed = await observe(fleet, 6_000);
            chai.expect(observed.oldestProofMs, fault).to.be.below(simulatedFleets.maxProofAgeMs);
            chai.expect(observed.keyReads).to.be.below(60);
            fleet[fault].clear();
            const healed = await observe(fleet, 6_000);
            chai.expect(healed.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
            chai.expect(healed.keyReads).to.be.below(24);
            fleet.close();
        }
    });

    it("goes on while the store is away for all, calls it rarely, and has proofs again soon after", async () => {
        await start(24);
        fleet.hosts.forEach((_, host) => fleet.refusedByStore.add(host));
        await fleet.clock.advance(3_000);
        const untrusted = new Set<number>();
        const fromMs = fleet.clock.now();
        await fleet.clock.advance(5_000, nowMs =>
            fleet.hosts.forEach((host, index) => {
                if (!host.leadership.isTrusted(nowMs)) {
                    untrusted.add(index);
                }
            }));
        const reads = fleet.store.calls.filter(call => call.atMs >= fromMs && isRead(call)).length;
        chai.expect([...untrusted]).to.deep.equal([]);
        chai.expect(reads / 5).to.be.below(14);
        fleet.refusedByStore.clear();
        await fleet.clock.advance(1_500);
        const returned = await observe(fleet, 5_000);
        chai.expect(returned.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
        chai.expect(returned.keyReads).to.be.below(14);
    });

    it("keeps the proofs of the region that reaches the store, and gives the others theirs back after a cut", async () => {
        await start(24);
        const near = [...fleet.hosts.keys()].filter(host => host % 6 < 3);
        const far = [...fleet.hosts.keys()].filter(host => host % 6 >= 3);
        fleet.regionsCut = true;
        const cut = await observe(fleet, 6_000, near);
        chai.expect(cut.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
        chai.expect(far.some(host => fleet.hosts[host]?.leadership.isTrusted(fleet.clock.now()))).to.equal(false);
        fleet.regionsCut = false;
        await fleet.clock.advance(1_500);
        const healed = await observe(fleet, 6_000);
        chai.expect(healed.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
        chai.expect(healed.keyReads).to.be.below(20);
    });

    it("keeps every proof when the first hosts of all cells die at once", async () => {
        await start(24);
        [0, 1, 2, 3, 4, 5, 10, 11].forEach(host => fleet.kill(host));
        const observed = await observe(fleet, 6_000);
        chai.expect(observed.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
        chai.expect(observed.maxBurst).to.be.at.most(8);
        chai.expect(holderOf(fleet)).to.be.at.least(0);
    });

    it("forgets a host that is gone, and keeps one that only the store has lost", async () => {
        await start(18);
        fleet.kill(4);
        fleet.cutFromStore.add(5);
        const knowing = (host: number): number =>
            fleet.hosts.filter((other, index) =>
                index !== 4 && index !== host && other.peers.find(`host-${host}`) !== undefined
            ).length;
        const counts: number[] = [];
        await fleet.clock.advance(70_000, nowMs => void (nowMs % 1_000 === 0 && counts.push(knowing(5))));
        chai.expect([knowing(4), Math.min(...counts)]).to.deep.equal([0, 16]);
    });

    it("brings a new configuration and a new endpoint to all hosts within 2 s", async () => {
        await start(24);
        fleet.configure(2);
        await fleet.clock.advance(2_000);
        chai.expect(fleet.hosts.map(host => host.storeSync.policy().version)).to.deep.equal(fleet.hosts.map(() => 2));
        fleet.kill(holderOf(fleet));
        fleet.configure(3);
        await fleet.clock.advance(3_000);
        const running = fleet.hosts.filter((_, host) => !fleet.down.has(host));
        chai.expect(running.map(host => host.storeSync.policy().version)).to.deep.equal(running.map(() => 3));
    });

    it("gives all hosts proofs after random faults, and never the lock to two", async () => {
        const host = fc.nat(19);
        const action = fc.oneof(
            fc.record({
                kind: fc.constantFrom("down", "frozen", "cutFromStore", "refusedByStore", "cutFromPeers"),
                host,
            }),
            fc.record({ kind: fc.constant("regionsCut"), host }),
            fc.record({ kind: fc.constant("heal"), host }),
        );
        const steps = fc.array(fc.tuple(action, fc.integer({ min: 100, max: 2_500 })), { minLength: 3, maxLength: 8 });
        const heal = (): void => {
            fleet.regionsCut = false;
            [fleet.frozen, fleet.cutFromStore, fleet.refusedByStore, fleet.cutFromPeers].forEach(set => set.clear());
            [...fleet.down].forEach(number => fleet.start(number));
        };
        const property = fc.asyncProperty(steps, fc.nat(1_000), async (actions, seed) => {
            await start(20, seed);
            const rivals: string[] = [];
            const check = (): void => void rivals.push(...invariants.rivalHolders(fleet));
            for (const [next, pauseMs] of actions) {
                if (next.kind === "heal") {
                    heal();
                }
                else if (next.kind === "regionsCut") {
                    fleet.regionsCut = true;
                }
                else if (next.kind === "down") {
                    fleet.kill(next.host);
                }
                else {
                    fleet[next.kind as "frozen"].add(next.host);
                }
                await fleet.clock.advance(pauseMs, check);
            }
            heal();
            await fleet.clock.advance(6_000, check);
            const healed = await observe(fleet, 4_000);
            chai.expect([...new Set(rivals)]).to.deep.equal([]);
            chai.expect(healed.hasProofTooYoung).to.equal(false);
            chai.expect(healed.oldestProofMs).to.be.below(simulatedFleets.maxProofAgeMs);
            chai.expect(healed.keyReads).to.be.below(20);
            fleet.close();
        });
        await fc.assert(property, { numRuns: 6, seed: 20 });
    });
});
