import * as chai from "chai";
import * as succession from "./succession.js";

const well: succession.Contact = { answeredMs: 50, failingMs: undefined };
const failing = (ms: number): succession.Contact => ({ answeredMs: ms + 20, failingMs: ms });
const evidence = { gone: false, draining: false, resigned: false, own: well, others: [well, well] };

describe("succession", () => {
    it("replaces a primary that no host has heard for a while", () => {
        const all = { ...evidence, own: failing(700), others: [failing(660), failing(660)] };
        chai.expect(succession.judge(all)).to.deep.equal({ replace: true, reason: "silent" });
    });

    it("keeps a primary that only this host can't reach", () => {
        chai.expect(succession.judge({ ...evidence, own: failing(5_000) }).replace).to.equal(false);
    });

    it("keeps a slow primary that still answers some host", () => {
        const slow = { answeredMs: 300, failingMs: undefined };
        chai.expect(succession.judge({ ...evidence, own: failing(900), others: [slow, failing(900)] }).replace)
            .to.equal(false);
    });

    it("replaces a primary that a third of the hosts can't reach", () => {
        const cut = { ...evidence, others: [failing(1_300), failing(1_300), well, well] };
        chai.expect(succession.judge(cut)).to.deep.equal({ replace: true, reason: "partly unreachable" });
    });

    it("replaces a primary that leaves, resigned or is gone", () => {
        chai.expect(succession.judge({ ...evidence, draining: true }).reason).to.equal("draining");
        chai.expect(succession.judge({ ...evidence, resigned: true }).reason).to.equal("resigned");
        chai.expect(succession.judge({ ...evidence, gone: true }).reason).to.equal("gone");
    });

    it("chooses the replica that received most, then one that stays, then the nearest", () => {
        const heir = (endpoint: string, index: number, draining: boolean, roundTripMs: number): succession.Heir => ({
            endpoint,
            received: { term: 1, index },
            draining,
            roundTripMs,
        });
        chai.expect(succession.choose([heir("a", 5, false, 1), heir("b", 6, true, 9)])?.endpoint).to.equal("b");
        chai.expect(succession.choose([heir("a", 6, true, 1), heir("b", 6, false, 9)])?.endpoint).to.equal("b");
        chai.expect(succession.choose([heir("a", 6, false, 9), heir("b", 6, false, 1)])?.endpoint).to.equal("b");
        chai.expect(succession.choose([])).to.equal(undefined);
    });
});
