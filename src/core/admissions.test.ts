import * as chai from "chai";
import * as fc from "fast-check";
import * as tallies from "./admissions.js";

const account = (admittedCount: number, demandPerSecond = 0, remaining = 0) => ({
    cluj: { admittedCount, demandPerSecond, remaining },
});

describe("a tally", () => {
    it("counts what hosts admitted since they were first heard", () => {
        const tally = tallies.createCounter(1);
        tally.observe("a", account(100));
        tally.observe("a", account(103));
        tally.observe("b", account(50));
        tally.observe("b", account(51));
        chai.expect(tally.counts()).to.deep.equal({ cluj: 4 });
    });

    it("counts an organisation that a known host had not named before in full", () => {
        const tally = tallies.createCounter(1);
        tally.observe("a", {});
        tally.observe("a", account(3));
        chai.expect(tally.counts()).to.deep.equal({ cluj: 3 });
    });

    it("never falls, whoever comes, goes and starts again", () => {
        const step = fc.record({ id: fc.constantFrom("a", "b", "c"), admitted: fc.nat(100), gone: fc.boolean() });
        fc.assert(fc.property(fc.array(step), steps => {
            const tally = tallies.createCounter(1);
            let last = 0;
            for (const { id, admitted, gone } of steps) {
                tally.observe(id, account(admitted));
                if (gone) {
                    tally.retain(new Set(["a"]));
                }
                const now = tally.counts()["cluj"] ?? 0;
                chai.expect(now).to.be.at.least(last);
                last = now;
            }
        }));
    });

    it("takes over the frame of a host that has counted more, and counts on in it", () => {
        const tally = tallies.createCounter(1);
        tally.observe("a", account(0));
        tally.observe("a", account(2));
        tally.adopt(7, { cluj: 1 });
        chai.expect(tally.baselineId()).to.equal(1);
        tally.adopt(7, { cluj: 90 });
        tally.observe("a", account(5));
        chai.expect([tally.baselineId(), tally.counts()]).to.deep.equal([7, { cluj: 93 }]);
    });

    it("sums demand, and takes the least that any host sees left", () => {
        const tally = tallies.createCounter(1);
        chai.expect(tallies.sum([account(5, 2, 30), account(7, 3, 20)], tally))
            .to.deep.equal({ cluj: { admittedCount: 0, demandPerSecond: 5, remaining: 20 } });
    });
});
