import * as chai from "chai";
import * as stream from "node:stream";
import * as trace from "./trace.js";

const text = (seconds: number, host: string, fields: object): string =>
    JSON.stringify({ time: `2026-01-01T00:00:0${seconds}.000Z`, host, msg: "m", ...fields });

describe("trace", () => {
    const lines = [
        `  12.5 edge-1 ${text(5, "h1", { event: "operationRefused", request: "r1", group: "g", code: 1105 })}`,
        text(4, "h2", { event: "primarySuspected", group: "g" }),
        text(4, "h2", { event: "primarySuspected", group: "other" }),
        text(5, "h2", { event: "omitted", counts: { statementServed: 3 } }),
        text(4, "h1", { event: "statementRetried", request: "r1", group: "g" }),
        "something else {",
        "no log line",
    ];

    it("joins a request's lines with what the hosts believed of its group", async () => {
        const story = trace.tell(await trace.collect(stream.Readable.from(lines.join("\n"))), "r1")._unsafeUnwrap();
        chai.expect(story.lines.map(entry => entry.event)).to.deep.equal(["statementRetried", "operationRefused"]);
        chai.expect(story.surroundings.map(entry => entry.group)).to.deep.equal(["g"]);
        chai.expect(story.omitted).to.have.length(1);
        chai.expect(trace.print(story)).to.contain("operationRefused").and.to.contain("code=1105");
    });

    it("says when no line names the request", () => {
        chai.expect(trace.tell([], "r9").isErr()).to.equal(true);
    });
});
