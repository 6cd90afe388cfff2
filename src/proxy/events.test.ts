import * as chai from "chai";
import * as fs from "node:fs";
import type * as runtime from "../ports/runtime.js";
import * as events from "./events.js";

/** The page of all kinds, as `docs/logs.md` shows it. */
function page(): string {
    const rows = Object.entries(events.catalogue).map(([name, kind]) =>
        `| \`${name}\` | ${kind.level} | ${kind.perSecond} | ${kind.burst} | ${kind.message} |`
    );
    return [
        "# Log lines",
        "",
        'Written from `src/proxy/events.ts`: `UPDATE=1 npx mocha --grep "log catalogue"` after a build writes it anew. Lines are',
        "JSON on standard output, one for each decision; `event` is the kind, `request` the caller's id. Each kind has a budget a",
        "host; a line `omitted` counts what was left out. `hyssophatch trace ID` joins the lines of several hosts.",
        "",
        "| Kind | Level | A second | At once | Message |",
        "|---|---|---|---|---|",
        ...rows,
        "",
    ].join("\n");
}

describe("log catalogue", () => {
    it("is the same in docs/logs.md", () => {
        if (process.env["UPDATE"] === "1") {
            fs.writeFileSync("docs/logs.md", page());
        }
        chai.expect(fs.readFileSync("docs/logs.md", "utf8")).to.equal(page());
    });

    it("bounds each kind, lets other kinds through, and counts what it left out", () => {
        const lines: runtime.Fields[] = [];
        const log: runtime.Log = {
            debug: () => undefined,
            info: fields => void lines.push(fields),
            warn: fields => void lines.push(fields),
            error: () => undefined,
        };
        let nowMs = 0;
        const clock: runtime.Clock = { now: () => nowMs, sleep: async () => undefined, every: () => () => undefined };
        const written = events.createEventLog(log, clock);
        for (let count = 0; count < 1_000; count += 1) {
            written.emit("statementServed", { request: String(count) });
        }
        written.emit("primaryPromoted", { group: "g" });
        written.reportOmitted();
        chai.expect(lines.filter(entry => entry["event"] === "statementServed"))
            .to.have.length(events.catalogue.statementServed.burst);
        chai.expect(lines.some(entry => entry["event"] === "primaryPromoted")).to.equal(true);
        chai.expect(lines[lines.length - 1]).to.deep.equal({ event: "omitted", counts: { statementServed: 990 } });
        nowMs = 1_000;
        written.emit("statementServed", { request: "later" });
        chai.expect(lines[lines.length - 1]?.["request"]).to.equal("later");
    });
});
