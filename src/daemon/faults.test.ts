import * as chai from "chai";
import * as failure from "../core/failure.js";
import * as faults from "./faults.js";

describe("faults", () => {
    const subject = { database: "orders", endpoint: "a", kind: "write" as const };

    it("calls only what was never sent or turned away whole not run", () => {
        const unsent = faults.explain({ kind: "unsent", message: "closed" }, subject);
        const unanswered = faults.explain({ kind: "unanswered", message: "silence" }, subject);
        const readOnly = faults.explain({ kind: "refused", errno: 1290, message: "read-only" }, subject);
        chai.expect([unsent, unanswered, readOnly].map(failure.isNotRun)).to.deep.equal([true, false, true]);
    });

    it("refuses an answer past the limit whole", () => {
        const rows = Array.from({ length: 17 }, () => ["x".repeat(1_000_000)]);
        const reply = { columns: [{ name: "text", type: 253 }], rows, affectedRows: 0, insertId: 0 };
        chai.expect(faults.bound(reply, "a")._unsafeUnwrapErr().code).to.equal(failure.Code.answerTooLarge);
        chai.expect(faults.bound({ ...reply, rows: rows.slice(0, 2) }, "a").isOk()).to.equal(true);
    });
});
