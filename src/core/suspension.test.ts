import * as chai from "chai";
import * as suspension from "./suspension.js";

describe("suspension", () => {
    it("notices that the steady clock stood still, and a step of the time of day", () => {
        const watch = suspension.createDetector();
        chai.expect(watch.detect(0, 1_000_000)).to.equal(false);
        chai.expect(watch.detect(100, 1_000_101)).to.equal(false);
        chai.expect(watch.detect(200, 1_004_200)).to.equal(true);
        chai.expect(watch.detect(300, 1_004_300)).to.equal(false);
        chai.expect(watch.detect(400, 1_002_000)).to.equal(true);
    });
});
