import * as chai from "chai";
import * as reporting from "./report.js";
import type * as tracing from "./trace.js";

const startMs = Date.parse("2026-10-17T22:00:00.000Z");

function logLine(
    host: string,
    event: string,
    afterMs: number,
    fields: Readonly<Record<string, unknown>>,
): tracing.LogLine {
    return { time: new Date(startMs + afterMs).toISOString(), host, msg: "", event, ...fields };
}

const measuredLine = (host: string, afterMs: number, admitted: number, beyond: number): tracing.LogLine =>
    logLine(host, "measured", afterMs, {
        ms: 5_000,
        replicaReads: 30,
        primaryReads: 10,
        organisations: { cluj: { admitted, beyond, failed: 0, ratePerSecond: 10 } },
    });

describe("report", () => {
    it("adds up reads over all hosts", () => {
        chai.expect(reporting.compute([measuredLine("a", 0, 1, 0), measuredLine("b", 0, 1, 0)]).replicaShare).to.equal(
            0.75,
        );
    });

    it("measures a change of primary from the first host's loss of contact to the record of the new primary", () => {
        const report = reporting.compute([
            logLine("b", "endpointLost", 900, { group: "ledger", endpoint: "i-1", sinceMs: 100 }),
            logLine("a", "primarySuspected", 1_500, { group: "ledger", primary: "i-1", reason: "silent", epoch: 1 }),
            logLine("a", "tenureChanged", 1_510, { group: "ledger", epoch: 2, changing: true }),
            logLine("a", "tenureChanged", 2_100, { group: "ledger", epoch: 3, changing: false }),
        ]);
        chai.expect(report.changes).to.deep.equal([{ group: "ledger", reason: "silent", gapMs: 1_300 }]);
        chai.expect([report.medianGapMs, report.worstGapMs]).to.deep.equal([1_300, 1_300]);
    });

    it("counts refusals as wrongful only up to what the hosts together could still have admitted at the rate", () => {
        const [cluj] = reporting.compute([measuredLine("a", 100, 20, 8), measuredLine("b", 200, 25, 8)]).organisations;
        chai.expect(cluj).to.deep.include({ admitted: 45, beyond: 16, wrongful: 5 });
        chai.expect(cluj?.share).to.equal(0.9);
    });

    it("reports that no reads were measured when there are no log lines", () => {
        chai.expect(reporting.format(reporting.compute([]))).to.include("Reads by replicas: none");
    });
});
