import * as chai from "chai";
import * as fs from "node:fs";
import type * as runtime from "../ports/runtime.js";
import * as events from "./events.js";

/** The expected text of `docs/logs.md`: a table of all events. */
function page(): string {
    const rows = Object.entries(events.catalogue).map(([name, definition]) =>
        `| \`${name}\` | ${definition.level} | ${definition.perSecond} | ${definition.burst} | ${definition.message} |`
    );
    return [
        "# Log lines",
        "",
        'Generated from `src/proxy/events.ts`; `UPDATE=1 npx mocha --grep "log catalogue"` after a build updates it. Lines are',
        "JSON on standard output, one per decision; `event` is its name, `request` the id of the caller's request. Each event is",
        "rate-limited per host; `omitted` counts the lines left out. `hyssophatch trace ID` joins the lines of several hosts.",
        "",
        "| Event | Level | Lines per second | Burst | Message |",
        "|---|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
}

describe("log catalogue", () => {
    it("matches docs/logs.md", () => {
        if (process.env["UPDATE"] === "1") {
            fs.writeFileSync("docs/logs.md", page());
        }
        chai.expect(fs.readFileSync("docs/logs.md", "utf8")).to.equal(page());
    });

    it("limits the rate of each event separately, and counts the omitted lines", () => {
        const lines: runtime.Fields[] = [];
        const log: runtime.Log = {
            debug: () => undefined,
            info: fields => void lines.push(fields),
            warn: fields => void lines.push(fields),
            error: () => undefined,
        };
        let nowMs = 0;
        const clock: runtime.Clock = { now: () => nowMs, sleep: async () => undefined, every: () => () => undefined };
        const eventLog = events.createEventLog(log, clock);
        for (let count = 0; count < 1_000; count += 1) {
            eventLog.emit("statementServed", { request: String(count) });
        }
        eventLog.emit("primaryPromoted", { group: "g" });
        eventLog.reportOmitted();
        chai.expect(lines.filter(entry => entry["event"] === "statementServed"))
            .to.have.length(events.catalogue.statementServed.burst);
        chai.expect(lines.some(entry => entry["event"] === "primaryPromoted")).to.equal(true);
        chai.expect(lines[lines.length - 1]).to.deep.equal({ event: "omitted", counts: { statementServed: 990 } });
        nowMs = 1_000;
        eventLog.emit("statementServed", { request: "later" });
        chai.expect(lines[lines.length - 1]?.["request"]).to.equal("later");
    });
});
