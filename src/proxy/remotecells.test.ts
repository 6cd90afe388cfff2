import * as chai from "chai";
import type * as messages from "./messages.js";
import * as cells from "./remotecells.js";

const summary: messages.CellSummary = {
    cell: "cluj/0",
    baselineId: 5,
    ageMs: 0,
    liveHosts: 14,
    suspectedHosts: 1,
    pollAgeMs: 300,
    proofAgeMs: 800,
    organisationUsage: { cluj: { demandPerSecond: 5, admittedCount: 100, remaining: 10 } },
    endpointUsage: { "i-1": [3, 9] },
};

const admitted = (count: number): messages.CellSummary => ({
    ...summary,
    organisationUsage: { cluj: { demandPerSecond: 5, admittedCount: count, remaining: 10 } },
});

describe("other cells", () => {
    it("count once, whoever tells of them", () => {
        const view = cells.createRemoteCells();
        view.merge(1, summary, 1_000, undefined);
        view.merge(2, summary, 1_100, undefined);
        chai.expect(view.usageReports(1_200).map(entry => [entry.id, entry.hostCount, entry.ageMs]))
            .to.deep.equal([["cluj/0", 14, 100]]);
        chai.expect(view.endpointUsage("i-1", 1_200)).to.deep.equal([3, 9]);
    });

    it("lose nothing that was admitted when the one that told of them ends", () => {
        const view = cells.createRemoteCells();
        view.merge(1, admitted(100), 1_000, undefined);
        view.merge(1, admitted(103), 2_000, undefined);
        view.merge(2, admitted(108), 3_000, undefined);
        chai.expect(view.usageReports(3_000)[0]?.usage["cluj"]?.admittedCount).to.equal(8);
    });

    it("are not heard once their summaries are old", () => {
        const view = cells.createRemoteCells();
        view.merge(1, summary, 1_000, undefined);
        chai.expect([view.suspectedHosts("cluj/0", 15, 2_000), view.suspectedHosts("cluj/0", 15, 9_000)]).to.deep.equal(
            [1, 15],
        );
        chai.expect(view.endpointUsage("i-1", 9_000)).to.deep.equal([0, 0]);
    });

    it("forget what a process told that ended, also what it showed of the store", () => {
        const view = cells.createRemoteCells();
        view.merge(1, summary, 1_000, 990);
        view.retain(new Set([summary.cell]), 9_000);
        view.merge(1, summary, 9_100, undefined);
        chai.expect(view.peerProof("cluj/0", 9_100).pollAgeMs).to.equal(Infinity);
    });

    it("show the store only as of a moment after the question, and pass its age on", () => {
        const view = cells.createRemoteCells();
        view.merge(1, summary, 1_000, undefined);
        chai.expect(view.peerProof("cluj/0", 1_000).pollAgeMs).to.equal(Infinity);
        view.merge(1, { ...summary, ageMs: 50 }, 1_400, 1_390);
        chai.expect(view.peerProof("cluj/0", 1_500)).to.deep.equal({ pollAgeMs: 410, proofAgeMs: 800 });
        const [passed] = view.summaries(1_500);
        chai.expect([passed?.ageMs, passed?.pollAgeMs, passed?.proofAgeMs]).to.deep.equal([150, 410, 800]);
    });

    it("keep a proof that was told until all hosts were asked again", () => {
        const view = cells.createRemoteCells();
        view.merge(1, { ...summary, proofAgeMs: 100 }, 1_000, 990);
        view.merge(1, { ...summary, proofAgeMs: undefined }, 1_200, undefined);
        chai.expect(view.peerProof("cluj/0", 1_300).proofAgeMs).to.equal(100);
        view.merge(1, { ...summary, proofAgeMs: undefined }, 1_400, 1_390);
        chai.expect(view.peerProof("cluj/0", 1_400).proofAgeMs).to.equal(undefined);
    });
});
