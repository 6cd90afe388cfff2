import * as chai from "chai";
import * as rations from "./ration.js";

describe("a ration", () => {
    it("grants the given part, spread evenly, also when the part changes", () => {
        const ration = rations.createRation();
        const grants = (part: number, count: number): readonly boolean[] =>
            Array.from({ length: count }, () => ration.grants(part));
        chai.expect(grants(0.25, 8)).to.deep.equal([false, false, false, true, false, false, false, true]);
        chai.expect(grants(0.5, 4)).to.deep.equal([false, true, false, true]);
        chai.expect(grants(0, 3)).to.deep.equal([false, false, false]);
        chai.expect(grants(1, 2)).to.deep.equal([true, true]);
    });
});
