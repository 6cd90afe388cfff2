import * as chai from "chai";
import * as reports from "./report.js";
import type * as tracing from "./trace.js";

const start = Date.parse("2026-10-17T22:00:00.000Z");

function line(host: string, event: string, afterMs: number, fields: Readonly<Record<string, unknown>>): tracing.Line {
    return { time: new Date(start + afterMs).toISOString(), host, msg: "", event, ...fields };
}

const measured = (host: string, afterMs: number, admitted: number, beyond: number): tracing.Line =>
    line(host, "measured", afterMs, {
        ms: 5_000,
        replicaReads: 30,
        primaryReads: 10,
        organisations: { cluj: { admitted, beyond, failed: 0, ratePerSecond: 10 } },
    });

describe("the report of a day's logs", () => {
    it("adds up reads over all hosts", () => {
        chai.expect(reports.measure([measured("a", 0, 1, 0), measured("b", 0, 1, 0)]).replicaShare).to.equal(0.75);
    });

    it("measures a change of primary from the first host that noticed to the new record", () => {
        const report = reports.measure([
            line("b", "endpointLost", 900, { group: "ledger", endpoint: "i-1", sinceMs: 100 }),
            line("a", "primarySuspected", 1_500, { group: "ledger", primary: "i-1", reason: "silent", epoch: 1 }),
            line("a", "tenureChanged", 1_510, { group: "ledger", epoch: 2, changing: true }),
            line("a", "tenureChanged", 2_100, { group: "ledger", epoch: 3, changing: false }),
        ]);
        chai.expect(report.changes).to.deep.equal([{ group: "ledger", reason: "silent", gapMs: 1_300 }]);
        chai.expect([report.medianGapMs, report.worstGapMs]).to.deep.equal([1_300, 1_300]);
    });

    it("counts a refusal as wrongful only as far as all hosts together admitted less than the rate allows", () => {
        const [cluj] = reports.measure([measured("a", 100, 20, 8), measured("b", 200, 25, 8)]).organisations;
        chai.expect(cluj).to.deep.include({ admitted: 45, beyond: 16, wrongful: 5 });
        chai.expect(cluj?.share).to.equal(0.9);
    });

    it("says so when there is nothing to measure", () => {
        chai.expect(reports.print(reports.measure([]))).to.include("Reads by replicas: none");
    });
});
