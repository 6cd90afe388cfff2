import * as chai from "chai";
import * as fc from "fast-check";
import * as counts from "./mergedcounter.js";

describe("a count", () => {
    it("starts at nothing and grows with its frame", () => {
        const count = counts.createMergedCounter();
        count.observe(1, { cluj: 40 });
        count.observe(1, { cluj: 47 });
        chai.expect(count.totals()).to.deep.equal({ cluj: 7 });
    });

    it("counts a name that a known frame had not named before in full", () => {
        const count = counts.createMergedCounter();
        count.observe(1, { cluj: 40 });
        count.observe(1, { cluj: 40, iasi: 3 });
        chai.expect(count.totals()).to.deep.equal({ cluj: 0, iasi: 3 });
    });

    it("misses and repeats nothing when frames come and go, as long as one of them goes on", () => {
        const step = fc.record({ more: fc.nat(5), frames: fc.constantFrom([1], [2], [1, 2]) });
        fc.assert(fc.property(fc.array(step), steps => {
            const count = counts.createMergedCounter();
            const starts = new Map([[1, 100], [2, 3]]);
            let truth = 0;
            const tell = (frame: number): void => count.observe(frame, { cluj: (starts.get(frame) ?? 0) + truth });
            tell(1);
            tell(2);
            for (const { more, frames } of steps) {
                truth += more;
                frames.forEach(tell);
                chai.expect(count.totals()).to.deep.equal({ cluj: truth });
            }
        }));
    });

    it("never falls", () => {
        const told = fc.tuple(fc.nat(3), fc.dictionary(fc.constantFrom("cluj", "iasi"), fc.nat(100)));
        fc.assert(fc.property(fc.array(told), steps => {
            const count = counts.createMergedCounter();
            let last: Readonly<Record<string, number>> = {};
            for (const [frame, counted] of steps) {
                count.observe(frame, counted);
                Object.entries(last).forEach(([name, before]) =>
                    chai.expect(count.totals()[name]).to.be.at.least(before)
                );
                last = { ...count.totals() };
            }
        }));
    });
});
