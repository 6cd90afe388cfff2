import * as chai from "chai";
import * as fc from "fast-check";
import * as storeEra from "./storeera.js";

describe("eras of the store", () => {
    it("only rise, are dated from when they were first seen, and are reported from the second one on", () => {
        let nowMs = 5;
        const restored: (readonly [number, number])[] = [];
        const era = storeEra.createStoreEra({
            now: () => nowMs,
            onRestored: (next, previous) => restored.push([next, previous]),
        });
        chai.expect(era.current()).to.equal(undefined);
        chai.expect(era.ageMs()).to.equal(0);
        era.observe(3);
        nowMs = 35;
        era.observe(3);
        era.observe(2);
        chai.expect(era.current()).to.equal(3);
        chai.expect(era.ageMs()).to.equal(30);
        chai.expect(restored).to.deep.equal([]);
        era.observe(4);
        chai.expect(era.ageMs()).to.equal(0);
        chai.expect(restored).to.deep.equal([[4, 3]]);
    });

    it("order numbers that are given out a second time above those of earlier eras", () => {
        const era = fc.nat(storeEra.maxEra - 1);
        const number = fc.nat();
        fc.assert(
            fc.property(era, number, number, (earlier, first, second) => {
                const later = storeEra.order(earlier + 1, second);
                chai.expect(later).to.be.above(storeEra.order(earlier, first));
                chai.expect(Number.isSafeInteger(later)).to.equal(true);
                chai.expect(storeEra.numberOf(later)).to.equal(second);
                chai.expect(storeEra.next(storeEra.order(earlier, first), earlier + 1)).to.be.above(
                    storeEra.order(earlier, first),
                );
                chai.expect(storeEra.next(later, earlier)).to.equal(later + 1);
            }),
        );
    });
});
