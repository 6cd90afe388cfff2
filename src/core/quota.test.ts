import * as chai from "chai";
import * as quotas from "./quota.js";

const options = { slots: 3, banks: 3, loanMs: 500, entitled: () => true };

describe("quota", () => {
    it("accrues a slot's share from the start of its entitlement", () => {
        const quota = quotas.createQuota(options);
        quota.limit(new Map([["club", { ratePerSecond: 30, burst: 30 }]]));
        quota.hold([{ slot: 0, fromMs: 0 }]);
        chai.expect(quota.held("club", 0)).to.equal(0);
        chai.expect(quota.held("club", 100)).to.be.closeTo(1, 1e-9);
        chai.expect(quota.held("club", 30_000)).to.equal(10);
    });
});
