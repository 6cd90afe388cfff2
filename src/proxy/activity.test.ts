import * as chai from "chai";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import * as activity from "./activity.js";

const policy: policies.Policy = {
    ...policies.empty,
    organisations: new Map([["cluj", { name: "cluj", ratePerSecond: 90, burst: 90 }]]),
};

describe("the activity counter", () => {
    it("counts reads that may miss commits by the role of the endpoint, and operations by organisation", () => {
        const counter = activity.createActivityCounter(1_000, database => database === "orders");
        counter.admitted("cluj");
        counter.admitted("cluj");
        counter.served("stock", "cluj", false, "read", 5);
        counter.served("stock", "cluj", true, "read", 5);
        counter.served("stock", "cluj", true, "write", 5);
        counter.served("orders", "cluj", true, "read", 5);
        counter.refused("stock", "cluj", failure.Code.rateExceeded, 0);
        counter.refused("stock", "cluj", failure.Code.noPrimary, 900);
        chai.expect(counter.flush(policy, 6_000)).to.deep.equal({
            ms: 5_000,
            replicaReads: 1,
            primaryReads: 1,
            organisations: { cluj: { admitted: 2, beyond: 1, failed: 1, ratePerSecond: 90 } },
        });
    });

    it("starts a new interval with each report, and reports nothing without activity", () => {
        const counter = activity.createActivityCounter(0, () => false);
        counter.admitted("cluj");
        counter.flush(policy, 5_000);
        chai.expect(counter.flush(policy, 10_000)).to.equal(undefined);
    });

    it("lists a bounded number of organisations, those with refused operations first", () => {
        const counter = activity.createActivityCounter(0, () => false);
        for (let number = 0; number < 200; number += 1) {
            counter.admitted(`o-${number}`);
        }
        counter.refused("stock", "o-199", failure.Code.rateExceeded, 0);
        const names = Object.keys(counter.flush(policy, 5_000)?.organisations ?? {});
        chai.expect(names).to.have.length(50);
        chai.expect(names[0]).to.equal("o-199");
    });
});
