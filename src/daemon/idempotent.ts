/** A write with an id: its record is stored in the same transaction as its effect. */
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as failure from "../core/failure.js";
import * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";

const tableName = "hyssophatch_request";
const createTable = `CREATE TABLE IF NOT EXISTS ${tableName} (id VARCHAR(255) PRIMARY KEY, digest CHAR(40) NOT NULL, `
    + "affected_rows BIGINT NOT NULL, insert_id BIGINT NOT NULL)";

type Step<T> = neverthrow.Result<T, endpoint.Fault>;

/** What became of the request. */
export type Outcome =
    /** It ran now. */
    | { readonly kind: "ran"; readonly written: endpoint.CommitReply }
    /** It ran before, with this reply; the endpoint's log holds it. */
    | { readonly kind: "found"; readonly reply: endpoint.Reply };

function quote(text: string): string {
    return `'${text.replace(/[^\w.:/-]/g, "_")}'`;
}

function digest(text: string): string {
    const bare = text.replace(/\/\*\s*hyssophatch\b[^*]*\*\//gi, "").trim();
    return crypto.createHash("sha1").update(bare).digest("hex");
}

/** The record's key: ids of different organisations never meet. */
export function key(organisation: string, id: string): string {
    return `${organisation}/${id}`;
}

async function find(
    link: endpoint.Connection,
    id: string,
    wanted: string,
    timeoutMs: number,
): Promise<Step<endpoint.Reply | failure.Failure>> {
    const query = `SELECT digest, affected_rows, insert_id FROM ${tableName} WHERE id = ${quote(id)}`;
    const found = await link.run(query, timeoutMs);
    return found.andThen(reply => {
        const row = reply.rows[0];
        if (row === undefined) {
            return neverthrow.err<never, endpoint.Fault>({ kind: "unsent", message: "The request's record vanished." });
        }
        if (row[0] !== wanted) {
            const message = "The request id was used before with another statement.";
            return neverthrow.ok(failure.create(failure.Code.requestIdReused, id, message));
        }
        return neverthrow.ok({ columns: [], rows: [], affectedRows: Number(row[1]), insertId: Number(row[2]) });
    });
}

async function attempt(
    link: endpoint.Connection,
    id: string,
    text: string,
    timeoutMs: number,
): Promise<Step<endpoint.CommitReply>> {
    const steps = [
        "BEGIN",
        `INSERT INTO ${tableName} (id, digest, affected_rows, insert_id) VALUES (${quote(id)}, '${
            digest(text)
        }', 0, 0)`,
        text,
    ];
    let reply: endpoint.Reply | undefined;
    for (const step of steps) {
        const outcome = await link.run(step, timeoutMs);
        if (outcome.isErr()) {
            return neverthrow.err(uncommitted(outcome.error));
        }
        reply = outcome.value;
    }
    const { affectedRows, insertId } = reply ?? { affectedRows: 0, insertId: 0 };
    const update = `UPDATE ${tableName} SET affected_rows = ${affectedRows}, insert_id = ${insertId} WHERE id = ${
        quote(id)
    }`;
    const updated = await link.run(update, timeoutMs);
    if (updated.isErr()) {
        return neverthrow.err(uncommitted(updated.error));
    }
    const committed = await link.commit("COMMIT", timeoutMs);
    return committed.map(written => ({ position: written.position, reply: reply ?? written.reply }));
}

/** Before COMMIT is sent nothing can take effect, so a lost answer is the same as a statement never sent. */
function uncommitted(fault: endpoint.Fault): endpoint.Fault {
    return fault.kind === "unanswered" ? { kind: "unsent", message: fault.message } : fault;
}

/** Runs the statement unless its id has run before. */
export async function run(
    link: endpoint.Connection,
    execution: messages.Execution,
    timeoutMs: number,
): Promise<Step<Outcome | failure.Failure>> {
    const id = key(execution.organisation, execution.idempotencyId ?? "");
    const written = await attempt(link, id, execution.text, timeoutMs);
    if (written.isOk()) {
        return neverthrow.ok({ kind: "ran", written: written.value });
    }
    const fault = written.error;
    if (fault.kind !== "refused") {
        link.close();
        return neverthrow.err(fault);
    }
    const rolledBack = await link.run("ROLLBACK", timeoutMs);
    if (rolledBack.isErr()) {
        link.close();
        return neverthrow.err(uncommitted(rolledBack.error));
    }
    if (fault.errno === endpoint.missingTableErrno && fault.message.includes(tableName)) {
        const created = await link.commit(createTable, timeoutMs);
        return created.isErr() ? neverthrow.err(uncommitted(created.error)) : run(link, execution, timeoutMs);
    }
    if (fault.errno !== endpoint.duplicateErrno || !fault.message.includes(tableName)) {
        return neverthrow.err(fault);
    }
    const found = await find(link, id, digest(execution.text), timeoutMs);
    return found.map(value => ("code" in value ? value : { kind: "found", reply: value }));
}
