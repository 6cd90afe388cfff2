import * as chai from "chai";
import * as stream from "node:stream";
import * as tracing from "./trace.js";

const logLine = (seconds: number, host: string, fields: object): string =>
    JSON.stringify({ time: `2026-01-01T00:00:0${seconds}.000Z`, host, msg: "m", ...fields });

describe("trace", () => {
    const lines = [
        `  12.5 edge-1 ${logLine(5, "h1", { event: "operationRefused", request: "r1", group: "g", code: 1105 })}`,
        logLine(4, "h2", { event: "primarySuspected", group: "g" }),
        logLine(4, "h2", { event: "primarySuspected", group: "other" }),
        logLine(5, "h2", { event: "omitted", counts: { statementServed: 3 } }),
        logLine(4, "h1", { event: "statementRetried", request: "r1", group: "g" }),
        "something else {",
        "no log line",
    ];

    it("joins a request's lines with the state changes of its database group", async () => {
        const trace = tracing.build(await tracing.readLines(stream.Readable.from(lines.join("\n"))), "r1")
            ._unsafeUnwrap();
        chai.expect(trace.lines.map(entry => entry.event)).to.deep.equal(["statementRetried", "operationRefused"]);
        chai.expect(trace.surroundings.map(entry => entry.group)).to.deep.equal(["g"]);
        chai.expect(trace.omitted).to.have.length(1);
        chai.expect(tracing.format(trace)).to.contain("operationRefused").and.to.contain("code=1105");
    });

    it("fails when no line names the request", () => {
        chai.expect(tracing.build([], "r9").isErr()).to.equal(true);
    });
});
