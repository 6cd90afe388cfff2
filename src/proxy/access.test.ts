import * as chai from "chai";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import * as access from "./access.js";

const policy: policies.Policy = {
    ...policies.empty,
    version: 1,
    routes: new Map([["orders", {
        database: "orders",
        group: "ledger",
        consistency: { kind: "primary" },
        statementTimeoutMs: 1_000,
        latencyTargetMs: 300,
        priority: 1,
        allowsAnonymous: false,
    }]]),
    keys: new Map([["key-of-cluj", "cluj"]]),
};

describe("access", () => {
    it("authorises a valid key for its organisation", () => {
        chai.expect(access.authorise(policy, "orders", "key-of-cluj")._unsafeUnwrap().organisation).to.equal("cluj");
    });

    it("refuses unknown keys and databases that are not configured", () => {
        chai.expect(access.authorise(policy, "orders", "other")._unsafeUnwrapErr().code)
            .to.equal(failure.Code.accessDenied);
        chai.expect(access.authorise(policy, "stock", "key-of-cluj")._unsafeUnwrapErr().code)
            .to.equal(failure.Code.routeUnknown);
    });

    it("asks the caller to retry while the host has no configuration yet", () => {
        const refused = access.authorise(policies.empty, "orders", "key-of-cluj")._unsafeUnwrapErr();
        chai.expect(refused.code).to.not.equal(failure.Code.routeUnknown);
        chai.expect(refused.retryAfterMs).to.be.above(0);
    });
});
