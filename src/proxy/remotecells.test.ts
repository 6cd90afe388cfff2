import * as chai from "chai";
import type * as messages from "./messages.js";
import * as remoteCells from "./remotecells.js";

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
    endpointOutcomes: {},
};

const summaryWithAdmitted = (count: number): messages.CellSummary => ({
    ...summary,
    organisationUsage: { cluj: { demandPerSecond: 5, admittedCount: count, remaining: 10 } },
});

describe("the view of other cells", () => {
    it("counts a cell once, whichever hosts send its summary", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, summary, 1_000, undefined);
        cells.merge(2, summary, 1_100, undefined);
        chai.expect(cells.usageReports(1_200).map(report => [report.id, report.hostCount, report.ageMs]))
            .to.deep.equal([["cluj/0", 14, 100]]);
        chai.expect(cells.endpointUsage("i-1", 1_200)).to.deep.equal([3, 9]);
    });

    it("loses no admitted operation when the host that sends a summary changes", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, summaryWithAdmitted(100), 1_000, undefined);
        cells.merge(1, summaryWithAdmitted(103), 2_000, undefined);
        cells.merge(2, summaryWithAdmitted(108), 3_000, undefined);
        chai.expect(cells.usageReports(3_000)[0]?.usage["cluj"]?.admittedCount).to.equal(8);
    });

    it("suspects all hosts of a cell once its summaries are outdated", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, summary, 1_000, undefined);
        chai.expect([cells.suspectedHosts("cluj/0", 15, 2_000), cells.suspectedHosts("cluj/0", 15, 9_000)]).to.deep
            .equal(
                [1, 15],
            );
        chai.expect(cells.endpointUsage("i-1", 9_000)).to.deep.equal([0, 0]);
    });

    it("does not return an expired proof that two delegates of a cell once told each other", () => {
        const [left, right] = [remoteCells.createRemoteCells(), remoteCells.createRemoteCells()];
        const exchange = (nowMs: number, proofAgeMs: number): void => {
            [left, right].forEach((cells, sender) => cells.merge(sender, { ...summary, proofAgeMs }, nowMs, nowMs));
            left.summaries(nowMs).forEach(forwarded => right.merge(8, forwarded, nowMs, nowMs, true));
            right.summaries(nowMs).forEach(forwarded => left.merge(9, forwarded, nowMs, nowMs, true));
        };
        [20, 700, 1_700, 2_700].forEach((proofAgeMs, round) => exchange(1_000 + round * 1_000, proofAgeMs));
        chai.expect([left, right].map(cells => cells.peerProof("cluj/0", 4_000).proofAgeMs)).to.deep.equal([
            2_700,
            2_700,
        ]);
    });

    it("discards the proofs of a process whose summaries are outdated", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, summary, 1_000, 990);
        cells.retain(new Set([summary.cell]), 9_000);
        cells.merge(1, summary, 9_100, undefined);
        chai.expect(cells.peerProof("cluj/0", 9_100).pollAgeMs).to.equal(Infinity);
    });

    it("takes poll times only from summaries that were requested, and forwards their age", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, summary, 1_000, undefined);
        chai.expect(cells.peerProof("cluj/0", 1_000).pollAgeMs).to.equal(Infinity);
        cells.merge(1, { ...summary, ageMs: 50 }, 1_400, 1_390);
        chai.expect(cells.peerProof("cluj/0", 1_500)).to.deep.equal({ pollAgeMs: 410, proofAgeMs: 800 });
        const [forwarded] = cells.summaries(1_500);
        chai.expect([forwarded?.ageMs, forwarded?.pollAgeMs, forwarded?.proofAgeMs]).to.deep.equal([150, 410, 800]);
    });

    it("keeps a reported proof until all hosts were polled again", () => {
        const cells = remoteCells.createRemoteCells();
        cells.merge(1, { ...summary, proofAgeMs: 100 }, 1_000, 990);
        cells.merge(1, { ...summary, proofAgeMs: undefined }, 1_200, undefined);
        chai.expect(cells.peerProof("cluj/0", 1_300).proofAgeMs).to.equal(100);
        cells.merge(1, { ...summary, proofAgeMs: undefined }, 1_400, 1_390);
        chai.expect(cells.peerProof("cluj/0", 1_400).proofAgeMs).to.equal(undefined);
    });
});
