import * as chai from "chai";
import * as suspension from "./suspension.js";

describe("suspension", () => {
    it("detects a stop of the monotonic clock and a jump of the wall clock", () => {
        const detector = suspension.createDetector();
        chai.expect(detector.detect(0, 1_000_000)).to.equal(false);
        chai.expect(detector.detect(100, 1_000_101)).to.equal(false);
        chai.expect(detector.detect(200, 1_004_200)).to.equal(true);
        chai.expect(detector.detect(300, 1_004_300)).to.equal(false);
        chai.expect(detector.detect(400, 1_002_000)).to.equal(true);
    });
});
