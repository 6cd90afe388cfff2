import * as chai from "chai";
import * as placement from "./placement.js";

const base: placement.Candidate = {
    endpoint: "near",
    primary: false,
    draining: false,
    suspect: false,
    roundTripMs: 0.5,
    serviceMs: 15,
    load: 0,
    concurrency: 2,
    hasIdleConnection: true,
    appliedPosition: undefined,
    estimatedLagMs: 50,
};
const floor = { position: { term: 1, index: 10 }, ageMs: 1_000 };
const none: ReadonlySet<string> = new Set();

function choose(candidates: readonly Partial<placement.Candidate>[], wanted: placement.MinimumPosition = floor) {
    return placement.choose(candidates.map(entry => ({ ...base, ...entry })), { floor: wanted, excluded: none })
        .endpoint;
}

describe("placement", () => {
    it("prefers the nearest of equal endpoints, and the free one of a busy pair", () => {
        chai.expect(choose([{}, { endpoint: "far", roundTripMs: 17 }])).to.equal("near");
        chai.expect(choose([{ load: 6 }, { endpoint: "far", roundTripMs: 17 }])).to.equal("far");
    });

    it("leaves the primary to those who need it", () => {
        chai.expect(choose([{ endpoint: "lead", primary: true }, { endpoint: "other", roundTripMs: 17 }])).to.equal(
            "other",
        );
    });

    it("asks a replica of unknown position once the position is older than its lag", () => {
        const lead = { endpoint: "lead", primary: true };
        chai.expect(choose([lead, {}])).to.equal("near");
        chai.expect(choose([lead, {}], { ...floor, ageMs: 10 })).to.equal("lead");
        chai.expect(choose([lead, { appliedPosition: { term: 1, index: 10 } }], { ...floor, ageMs: 10 })).to.equal(
            "near",
        );
    });

    it("asks only the primary without a position to hold a replica to", () => {
        const candidates = [base, { ...base, endpoint: "lead", primary: true, load: 9 }];
        chai.expect(placement.choose(candidates, { floor: undefined, excluded: none }).endpoint).to.equal("lead");
    });

    it("turns to an endpoint that failed only when no other is left", () => {
        chai.expect(choose([{ suspect: true }, { endpoint: "far", roundTripMs: 17, load: 20 }])).to.equal("far");
        chai.expect(choose([{ suspect: true }])).to.equal("near");
    });

    it("sends nothing new to an endpoint that drains", () => {
        chai.expect(choose([{ draining: true }, { endpoint: "far", roundTripMs: 17 }])).to.equal("far");
        chai.expect(choose([{ draining: true }])).to.equal(undefined);
    });
});
