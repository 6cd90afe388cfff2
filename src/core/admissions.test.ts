import * as chai from "chai";
import * as fc from "fast-check";
import * as admissions from "./admissions.js";

const usage = (admittedCount: number, demandPerSecond = 0, remaining = 0) => ({
    cluj: { admittedCount, demandPerSecond, remaining },
});

describe("admission counter", () => {
    it("counts what hosts admitted since they were first observed", () => {
        const counter = admissions.createCounter(1);
        counter.observe("a", usage(100));
        counter.observe("a", usage(103));
        counter.observe("b", usage(50));
        counter.observe("b", usage(51));
        chai.expect(counter.counts()).to.deep.equal({ cluj: 4 });
    });

    it("counts all operations of an organisation that a known host reports for the first time", () => {
        const counter = admissions.createCounter(1);
        counter.observe("a", {});
        counter.observe("a", usage(3));
        chai.expect(counter.counts()).to.deep.equal({ cluj: 3 });
    });

    it("never decreases, whichever hosts join, leave and restart", () => {
        const step = fc.record({ id: fc.constantFrom("a", "b", "c"), admitted: fc.nat(100), left: fc.boolean() });
        fc.assert(fc.property(fc.array(step), steps => {
            const counter = admissions.createCounter(1);
            let previous = 0;
            for (const { id, admitted, left } of steps) {
                counter.observe(id, usage(admitted));
                if (left) {
                    counter.retain(new Set(["a"]));
                }
                const current = counter.counts()["cluj"] ?? 0;
                chai.expect(current).to.be.at.least(previous);
                previous = current;
            }
        }));
    });

    it("adopts the baseline of a host that has counted more, and continues from its counts", () => {
        const counter = admissions.createCounter(1);
        counter.observe("a", usage(0));
        counter.observe("a", usage(2));
        counter.adopt(7, { cluj: 1 });
        chai.expect(counter.baselineId()).to.equal(1);
        counter.adopt(7, { cluj: 90 });
        counter.observe("a", usage(5));
        chai.expect([counter.baselineId(), counter.counts()]).to.deep.equal([7, { cluj: 93 }]);
    });

    it("adds up demand, and takes the fewest tokens that any host sees remaining", () => {
        const counter = admissions.createCounter(1);
        chai.expect(admissions.combine([usage(5, 2, 30), usage(7, 3, 20)], counter))
            .to.deep.equal({ cluj: { admittedCount: 0, demandPerSecond: 5, remaining: 20 } });
    });
});
