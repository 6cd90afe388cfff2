import * as chai from "chai";
import * as fc from "fast-check";
import * as mergedCounters from "./mergedcounter.js";

describe("merged counter", () => {
    it("starts at 0 and grows with the counts of its baseline", () => {
        const counter = mergedCounters.createMergedCounter();
        counter.observe(1, { cluj: 40 });
        counter.observe(1, { cluj: 47 });
        chai.expect(counter.totals()).to.deep.equal({ cluj: 7 });
    });

    it("counts a name in full that a known baseline reports for the first time", () => {
        const counter = mergedCounters.createMergedCounter();
        counter.observe(1, { cluj: 40 });
        counter.observe(1, { cluj: 40, iasi: 3 });
        chai.expect(counter.totals()).to.deep.equal({ cluj: 0, iasi: 3 });
    });

    it("neither misses nor repeats anything when baselines come and go, as long as one of them continues", () => {
        const step = fc.record({ more: fc.nat(5), baselines: fc.constantFrom([1], [2], [1, 2]) });
        fc.assert(fc.property(fc.array(step), steps => {
            const counter = mergedCounters.createMergedCounter();
            const starts = new Map([[1, 100], [2, 3]]);
            let actual = 0;
            const report = (baselineId: number): void =>
                counter.observe(baselineId, { cluj: (starts.get(baselineId) ?? 0) + actual });
            report(1);
            report(2);
            for (const { more, baselines } of steps) {
                actual += more;
                baselines.forEach(report);
                chai.expect(counter.totals()).to.deep.equal({ cluj: actual });
            }
        }));
    });

    it("never decreases", () => {
        const observation = fc.tuple(fc.nat(3), fc.dictionary(fc.constantFrom("cluj", "iasi"), fc.nat(100)));
        fc.assert(fc.property(fc.array(observation), steps => {
            const counter = mergedCounters.createMergedCounter();
            let previous: Readonly<Record<string, number>> = {};
            for (const [baselineId, counts] of steps) {
                counter.observe(baselineId, counts);
                Object.entries(previous).forEach(([name, before]) =>
                    chai.expect(counter.totals()[name]).to.be.at.least(before)
                );
                previous = { ...counter.totals() };
            }
        }));
    });
});
