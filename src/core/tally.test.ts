import * as chai from "chai";
import * as fc from "fast-check";
import * as tallies from "./tally.js";

const account = (admitted: number, demand = 0, left = 0) => ({ cluj: { admitted, demand, left } });

describe("a tally", () => {
    it("counts what hosts admitted since they were first heard", () => {
        const tally = tallies.createTally(1);
        tally.add("a", account(100));
        tally.add("a", account(103));
        tally.add("b", account(50));
        tally.add("b", account(51));
        chai.expect(tally.figures()).to.deep.equal({ cluj: 4 });
    });

    it("counts an organisation that a known host had not named before in full", () => {
        const tally = tallies.createTally(1);
        tally.add("a", {});
        tally.add("a", account(3));
        chai.expect(tally.figures()).to.deep.equal({ cluj: 3 });
    });

    it("never falls, whoever comes, goes and starts again", () => {
        const step = fc.record({ id: fc.constantFrom("a", "b", "c"), admitted: fc.nat(100), gone: fc.boolean() });
        fc.assert(fc.property(fc.array(step), steps => {
            const tally = tallies.createTally(1);
            let last = 0;
            for (const { id, admitted, gone } of steps) {
                tally.add(id, account(admitted));
                if (gone) {
                    tally.keep(new Set(["a"]));
                }
                const now = tally.figures()["cluj"] ?? 0;
                chai.expect(now).to.be.at.least(last);
                last = now;
            }
        }));
    });

    it("takes over the frame of a host that has counted more, and counts on in it", () => {
        const tally = tallies.createTally(1);
        tally.add("a", account(0));
        tally.add("a", account(2));
        tally.adopt(7, { cluj: 1 });
        chai.expect(tally.frame()).to.equal(1);
        tally.adopt(7, { cluj: 90 });
        tally.add("a", account(5));
        chai.expect([tally.frame(), tally.figures()]).to.deep.equal([7, { cluj: 93 }]);
    });

    it("sums demand, and takes the least that any host sees left", () => {
        const tally = tallies.createTally(1);
        chai.expect(tallies.sum([account(5, 2, 30), account(7, 3, 20)], tally))
            .to.deep.equal({ cluj: { admitted: 0, demand: 5, left: 20 } });
    });
});
