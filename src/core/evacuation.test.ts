import * as chai from "chai";
import * as fc from "fast-check";
import * as evacuation from "./evacuation.js";
import * as ramps from "./ramp.js";
import * as storeEras from "./storeera.js";

const boundMs = 5_000;
const create = (): evacuation.Evacuations => evacuation.createEvacuations({ boundMs });
const set = (revision: number, ...failureDomains: readonly string[]): evacuation.EvacuationSet => ({
    revision,
    failureDomains,
});

describe("evacuations, as several hosts hear of them in any order", () => {
    it("passes through its phases within the bound, and starts anew when it is repeated", () => {
        const evacuations = create();
        chai.expect([evacuations.known(), evacuations.phase("a", 0)]).to.deep.equal([false, "open"]);
        evacuations.offer(set(1, "a"), 1_000);
        const phases = [1_000, 2_999, 3_000, 4_499, 4_500, 99_000].map(nowMs => evacuations.phase("a", nowMs));
        chai.expect(phases).to.deep.equal(["leaving", "leaving", "ending", "ending", "closed", "closed"]);
        evacuations.offer(set(2), 100_000);
        chai.expect(evacuations.phase("a", 100_000)).to.equal("open");
        evacuations.offer(set(3, "a", "b"), 100_050);
        chai.expect([evacuations.phase("a", 100_060), evacuations.phase("b", 100_060)])
            .to.deep.equal(["leaving", "leaving"]);
    });

    it("keeps the phase of one domain when another is evacuated", () => {
        const evacuations = create();
        evacuations.offer(set(1, "a"), 0);
        evacuations.offer(set(2, "b", "a"), 4_000);
        chai.expect([evacuations.phase("a", 4_000), evacuations.phase("b", 4_000)]).to.deep.equal([
            "closed",
            "leaving",
        ]);
    });

    it("returns work by a share that rises from a tenth to the whole", () => {
        const evacuations = create();
        evacuations.offer(set(1, "a"), 0);
        chai.expect(evacuations.returnShare("a", 100)).to.equal(1);
        evacuations.offer(set(2), 10_000);
        chai.expect(evacuations.returnShare("a", 10_000)).to.be.closeTo(0.1, 1e-9);
        chai.expect(evacuations.returnShare("a", 12_500)).to.be.closeTo(0.55, 1e-9);
        chai.expect([evacuations.returnShare("a", 15_000), evacuations.returnShare("b", 10_000)]).to.deep.equal([1, 1]);
        const ramp = ramps.createRamp();
        let chosen = 0;
        for (let count = 0; count < 100; count += 1) {
            if (ramp.offer(0.25)) {
                ramp.take();
                chosen += 1;
            }
        }
        chai.expect(chosen).to.be.within(24, 26);
    });

    it("keeps what a restored store lacks for 10 s, in which the operators mark it again", () => {
        const evacuations = create();
        evacuations.offer(set(storeEras.order(1, 50), "a"), 0);
        evacuations.offer(set(storeEras.order(2, 40)), 60_000);
        chai.expect([evacuations.phase("a", 69_999), evacuations.phase("a", 70_000)]).to.deep.equal(["closed", "open"]);
        evacuations.offer(set(storeEras.order(2, 60), "a"), 65_000);
        chai.expect(evacuations.phase("a", 80_000)).to.equal("closed");
    });

    it("takes only sets of higher revisions, whatever the order in which they come", () => {
        const history = fc.array(fc.subarray(["a", "b", "c"]), { minLength: 1, maxLength: 8 });
        fc.assert(fc.property(history, fc.array(fc.nat(7), { maxLength: 20 }), (sets, order) => {
            const evacuations = create();
            let newest = -1;
            for (const [step, index] of order.entries()) {
                const domains = sets[index];
                if (domains !== undefined) {
                    evacuations.offer(set(index + 1, ...domains), step);
                    newest = Math.max(newest, index);
                    chai.expect(evacuations.evacuated(step)).to.have.members(sets[newest] ?? []);
                }
            }
        }));
    });

    it("brings all hosts to the newest set by announcements alone, also after quick changes back and forth", () => {
        const history = fc.array(fc.subarray(["a", "b"]), { minLength: 1, maxLength: 8 });
        fc.assert(
            fc.property(history, fc.array(fc.tuple(fc.nat(3), fc.nat(7)), { maxLength: 12 }), (sets, readings) => {
                const hosts = [0, 1, 2, 3].map(create);
                readings.forEach(([host, index]) => {
                    const domains = sets[index];
                    if (domains !== undefined) {
                        hosts[host]?.offer(set(index + 1, ...domains), 0);
                    }
                });
                const newest = Math.max(-1, ...readings.map(([, index]) => index).filter(index => index < sets.length));
                // The longest chain: the host with the newest set hears of an older one, and its answer passes all others.
                for (let round = 0; round < 8; round += 1) {
                    hosts.forEach(from => {
                        const announced = from.announced();
                        hosts.forEach(to => announced === undefined || to.offer(announced, round));
                    });
                }
                hosts.filter(() => newest >= 0).forEach(host =>
                    chai.expect(host.evacuated(99)).to.have.members(sets[newest] ?? [])
                );
            }),
        );
    });

    it("announces the same revision while nothing changes, so that headers of digests stay the same", () => {
        const evacuations = create();
        evacuations.offer(set(5, "a"), 0);
        for (let revision = 6; revision < 50; revision += 1) {
            chai.expect(evacuations.offer(set(revision, "a"), revision)).to.equal(false);
        }
        chai.expect(evacuations.announced()?.revision).to.equal(5);
        evacuations.offer(set(20), 60);
        chai.expect(evacuations.announced()).to.deep.equal(set(49, "a"));
    });
});
