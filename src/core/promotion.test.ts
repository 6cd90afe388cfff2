import * as chai from "chai";
import * as succession from "./promotion.js";

const well: succession.Contact = { answerAgeMs: 50, failingForMs: undefined };
const failing = (ms: number): succession.Contact => ({ answerAgeMs: ms + 20, failingForMs: ms });
const evidence = { unlisted: false, draining: false, demoted: false, own: well, others: [well, well] };

describe("succession", () => {
    it("replaces a primary that no host has heard for a while", () => {
        const all = { ...evidence, own: failing(700), others: [failing(660), failing(660)] };
        chai.expect(succession.evaluate(all)).to.deep.equal({ replace: true, reason: "silent" });
    });

    it("keeps a primary that only this host can't reach", () => {
        chai.expect(succession.evaluate({ ...evidence, own: failing(5_000) }).replace).to.equal(false);
    });

    it("keeps a slow primary that still answers some host", () => {
        const slow = { answerAgeMs: 300, failingForMs: undefined };
        chai.expect(succession.evaluate({ ...evidence, own: failing(900), others: [slow, failing(900)] }).replace)
            .to.equal(false);
    });

    it("replaces a primary that a third of the hosts can't reach", () => {
        const cut = { ...evidence, others: [failing(1_300), failing(1_300), well, well] };
        chai.expect(succession.evaluate(cut)).to.deep.equal({ replace: true, reason: "partly unreachable" });
    });

    it("replaces a primary that leaves, resigned or is gone", () => {
        chai.expect(succession.evaluate({ ...evidence, draining: true }).reason).to.equal("draining");
        chai.expect(succession.evaluate({ ...evidence, demoted: true }).reason).to.equal("resigned");
        chai.expect(succession.evaluate({ ...evidence, unlisted: true }).reason).to.equal("gone");
    });

    it("chooses the replica that received most, then one that stays, then the nearest", () => {
        const heir = (
            endpoint: string,
            index: number,
            draining: boolean,
            roundTripMs: number,
        ): succession.Candidate => ({
            endpoint,
            received: { term: 1, index },
            draining,
            roundTripMs,
        });
        chai.expect(succession.chooseCandidate([heir("a", 5, false, 1), heir("b", 6, true, 9)])?.endpoint).to.equal(
            "b",
        );
        chai.expect(succession.chooseCandidate([heir("a", 6, true, 1), heir("b", 6, false, 9)])?.endpoint).to.equal(
            "b",
        );
        chai.expect(succession.chooseCandidate([heir("a", 6, false, 9), heir("b", 6, false, 1)])?.endpoint).to.equal(
            "b",
        );
        chai.expect(succession.chooseCandidate([])).to.equal(undefined);
    });
});
