import * as chai from "chai";
import * as placement from "./placement.js";

const base: placement.Candidate = {
    endpoint: "near",
    primary: false,
    draining: false,
    suspect: false,
    trusted: true,
    failureRate: 0,
    distance: "domain",
    roundTripMs: 0.5,
    serviceMs: 15,
    load: 0,
    concurrency: 2,
    hasIdleConnection: true,
    appliedPosition: undefined,
    estimatedLagMs: 50,
};
const floor = { position: { term: 1, index: 10 }, ageMs: 1_000 };
const noneTried: ReadonlySet<string> = new Set();

function choose(candidates: readonly Partial<placement.Candidate>[], minimum: placement.MinimumPosition = floor) {
    return placement.choose(candidates.map(entry => ({ ...base, ...entry })), { floor: minimum, excluded: noneTried })
        .endpoint;
}

describe("placement", () => {
    it("prefers the nearest endpoint, or a distant idle one when the nearest is busy", () => {
        chai.expect(choose([{}, { endpoint: "far", roundTripMs: 17 }])).to.equal("near");
        chai.expect(choose([{ load: 6 }, { endpoint: "far", roundTripMs: 17 }])).to.equal("far");
    });

    it("prefers a replica to the primary", () => {
        chai.expect(choose([{ endpoint: "primary", primary: true }, { endpoint: "other", roundTripMs: 17 }])).to.equal(
            "other",
        );
    });

    it("chooses a replica of unknown position once the floor is older than its estimated lag", () => {
        const primary = { endpoint: "primary", primary: true };
        chai.expect(choose([primary, {}])).to.equal("near");
        chai.expect(choose([primary, {}], { ...floor, ageMs: 10 })).to.equal("primary");
        chai.expect(choose([primary, { appliedPosition: { term: 1, index: 10 } }], { ...floor, ageMs: 10 })).to.equal(
            "near",
        );
    });

    it("chooses only the primary when the floor is unknown", () => {
        const candidates = [base, { ...base, endpoint: "primary", primary: true, load: 9 }];
        chai.expect(placement.choose(candidates, { floor: undefined, excluded: noneTried }).endpoint).to.equal(
            "primary",
        );
    });

    it("chooses a suspect endpoint only when no other is left", () => {
        chai.expect(choose([{ suspect: true }, { endpoint: "far", roundTripMs: 17, load: 20 }])).to.equal("far");
        chai.expect(choose([{ suspect: true }])).to.equal("near");
    });

    it("chooses an endpoint that is kept out for its failures only when no other is left", () => {
        chai.expect(choose([{ trusted: false }, { endpoint: "far", roundTripMs: 17, load: 20 }])).to.equal("far");
        chai.expect(choose([{ trusted: false }])).to.equal("near");
    });

    it("counts the failures of an endpoint as time", () => {
        chai.expect(choose([{ failureRate: 0.2 }, { endpoint: "far", roundTripMs: 17 }])).to.equal("far");
        chai.expect(choose([{ failureRate: 0.05 }, { endpoint: "far", roundTripMs: 17 }])).to.equal("near");
    });

    it("leaves out an endpoint that has had its share, unless no other is left", () => {
        chai.expect(choose([{ rationed: true }, { endpoint: "far", roundTripMs: 17, load: 20 }])).to.equal("far");
        chai.expect(choose([{ rationed: true }])).to.equal("near");
    });

    it("chooses a cold endpoint only when the warm ones are overloaded, and never one without room", () => {
        const cold = { cold: true, roomInMs: 0 };
        const warm = { endpoint: "warm", roundTripMs: 17 };
        chai.expect(choose([cold, { ...warm, load: 8 }])).to.equal("warm");
        chai.expect(choose([cold, { ...warm, load: 200 }])).to.equal("near");
        chai.expect(choose([{ ...cold, roomInMs: 900 }, { ...warm, load: 200 }])).to.equal("warm");
        const full = [{ ...base, ...cold, roomInMs: 900 }, { ...base, ...cold, endpoint: "other", roomInMs: 400 }];
        const choice = placement.choose(full, { floor, excluded: noneTried });
        chai.expect(choice.endpoint).to.equal(undefined);
        chai.expect(choice.roomInMs).to.equal(400);
    });

    it("never chooses a draining replica", () => {
        chai.expect(choose([{ draining: true }, { endpoint: "far", roundTripMs: 17 }])).to.equal("far");
        chai.expect(choose([{ draining: true }])).to.equal(undefined);
    });
});
