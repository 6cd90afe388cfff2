import * as chai from "chai";
import * as draining from "./draining.js";

describe("draining", () => {
    it("ends before the bound, counted from the last listing without the announcement", () => {
        chai.expect(draining.isOver({ servingAtMs: 1_000, boundMs: 7_000 }, 7_700)).to.equal(false);
        chai.expect(draining.isOver({ servingAtMs: 1_000, boundMs: 7_000 }, 7_900)).to.equal(true);
    });

    // Guards against new work for an endpoint whose announcement may be older than this process.
    it("is over if no listing without the announcement is known", () => {
        chai.expect(draining.isOver({ servingAtMs: undefined, boundMs: 7_000 }, 100)).to.equal(true);
    });

    it("never ends on a platform without a bound", () => {
        chai.expect(draining.isOver({ servingAtMs: undefined, boundMs: undefined }, 100)).to.equal(false);
    });
});
