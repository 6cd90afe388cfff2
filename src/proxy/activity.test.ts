import * as chai from "chai";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import * as intervals from "./activity.js";

const policy: policies.Policy = {
    ...policies.empty,
    organisations: new Map([["cluj", { name: "cluj", ratePerSecond: 90, burst: 90 }]]),
};

describe("what a host did in an interval", () => {
    it("counts reads that may miss commits by who served them, and operations by organisation", () => {
        const interval = intervals.createActivityCounter(1_000, database => database === "orders");
        interval.admitted("cluj");
        interval.admitted("cluj");
        interval.served("stock", "cluj", false, "read", 5);
        interval.served("stock", "cluj", true, "read", 5);
        interval.served("stock", "cluj", true, "write", 5);
        interval.served("orders", "cluj", true, "read", 5);
        interval.refused("stock", "cluj", failure.Code.rateExceeded, 0);
        interval.refused("stock", "cluj", failure.Code.noPrimary, 900);
        chai.expect(interval.flush(policy, 6_000)).to.deep.equal({
            ms: 5_000,
            replicaReads: 1,
            primaryReads: 1,
            organisations: { cluj: { admitted: 2, beyond: 1, failed: 1, ratePerSecond: 90 } },
        });
    });

    it("starts anew with each report, and says nothing when nothing happened", () => {
        const interval = intervals.createActivityCounter(0, () => false);
        interval.admitted("cluj");
        interval.flush(policy, 5_000);
        chai.expect(interval.flush(policy, 10_000)).to.equal(undefined);
    });

    it("names a bounded number of organisations, those that were refused first", () => {
        const interval = intervals.createActivityCounter(0, () => false);
        for (let number = 0; number < 200; number += 1) {
            interval.admitted(`o-${number}`);
        }
        interval.refused("stock", "o-199", failure.Code.rateExceeded, 0);
        const names = Object.keys(interval.flush(policy, 5_000)?.organisations ?? {});
        chai.expect(names).to.have.length(50);
        chai.expect(names[0]).to.equal("o-199");
    });
});
