/** Links to endpoints over MySQL's wire protocol, by `mysql2`. */
import * as mysql from "mysql2";
import * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import * as endpoint from "../ports/endpoint.js";

/** The account that hosts use at endpoints. */
export interface Account {
    readonly user: string;
    readonly password: string;
}

/** Asks for the position of the connection's last commit, as `term-server-index`. */
const positionQuery = "SELECT @@last_gtid";
const positionPattern = /^(\d+)-\d+-(\d+)$/;

/** mysql2's error, as far as it is read here. */
interface Trouble {
    readonly message: string;
    readonly errno?: number;
    readonly sqlState?: string;
}

type Raw = readonly [unknown, unknown];

const text = (field: { string(): string | null }): string | null => field.string();

function explain(trouble: Trouble): endpoint.Fault {
    if (trouble.sqlState !== undefined && trouble.errno !== undefined) {
        return { kind: "refused", errno: trouble.errno, message: trouble.message };
    }
    const unsent = trouble.message.includes("closed state");
    return { kind: unsent ? "unsent" : "unanswered", message: trouble.message };
}

function convert(rows: unknown, fields: unknown): endpoint.Reply {
    if (!Array.isArray(rows)) {
        const header = rows as mysql.ResultSetHeader;
        return { columns: [], rows: [], affectedRows: header.affectedRows, insertId: header.insertId };
    }
    const columns = (fields as mysql.FieldPacket[]).map(field => ({ name: field.name, type: field.columnType ?? 0 }));
    return { columns, rows: rows as (string | null)[][], affectedRows: 0, insertId: 0 };
}

function parsePosition(rows: unknown): positions.Position | undefined {
    const found = positionPattern.exec(String((rows as string[][])[0]?.[0] ?? ""));
    return found === null ? undefined : { term: Number(found[1]), index: Number(found[2]) };
}

function createLink(connection: mysql.Connection): endpoint.Connection {
    const pending = new Set<(fault: endpoint.Fault) => void>();
    let open = true;
    /** Destroying a connection drops its queries without a word, so those that wait are told here. */
    const shut = (): void => {
        open = false;
        connection.destroy();
        const waiting = [...pending];
        pending.clear();
        waiting.forEach(fail => fail({ kind: "unanswered", message: "The link was closed." }));
    };
    connection.on("error", shut);
    connection.on("end", shut);
    (connection as unknown as { stream: { on(event: string, listener: () => void): void } }).stream.on("close", shut);

    function send(sql: string, timeoutMs: number): endpoint.Outcome<Raw> {
        if (!open) {
            return Promise.resolve(neverthrow.err({ kind: "unsent", message: "The link is closed." }));
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                fail({ kind: "unanswered", message: `No answer came within ${timeoutMs} ms.` });
                shut();
            }, timeoutMs);
            const settle = (outcome: neverthrow.Result<Raw, endpoint.Fault>): void => {
                clearTimeout(timer);
                pending.delete(fail);
                resolve(outcome);
            };
            const fail = (fault: endpoint.Fault): void => settle(neverthrow.err(fault));
            pending.add(fail);
            connection.query({ sql, rowsAsArray: true, typeCast: text }, (error, rows, fields) => {
                if (error === null) {
                    settle(neverthrow.ok([rows, fields]));
                    return;
                }
                const fault = explain(error);
                fail(fault);
                if (fault.kind !== "refused") {
                    shut();
                }
            });
        });
    }

    async function readPosition(reply: endpoint.Reply, timeoutMs: number): endpoint.Outcome<endpoint.CommitReply> {
        const asked = await send(positionQuery, timeoutMs);
        const position = asked.isOk() ? parsePosition(asked.value[0]) : undefined;
        return position === undefined
            ? neverthrow.err({ kind: "unanswered", message: "The position of the write is not known." })
            : neverthrow.ok({ reply, position });
    }

    return {
        async run(sql, timeoutMs) {
            return (await send(sql, timeoutMs)).map(([rows, fields]) => convert(rows, fields));
        },
        async commit(sql, timeoutMs) {
            const sent = await send(`${sql}\n; ${positionQuery}`, timeoutMs);
            if (sent.isErr()) {
                return neverthrow.err(sent.error);
            }
            const [rows, fields] = sent.value as readonly [readonly unknown[], readonly unknown[]];
            const combined = Array.isArray(rows) && rows.length === 2 && Array.isArray(fields) && fields.length === 2;
            const position = combined ? parsePosition(rows[1]) : undefined;
            if (position === undefined) {
                return readPosition(convert(rows, fields), timeoutMs);
            }
            return neverthrow.ok({ reply: convert(rows[0], fields[0]), position });
        },
        isOpen() {
            return open;
        },
        close: shut,
    };
}

/**
 * Opens only links whose endpoint tells positions: on a link where the position query could fail after the
 * write of the same round trip, the error would read as the write's.
 */
async function probe(link: endpoint.Connection, timeoutMs: number): endpoint.Outcome<endpoint.Connection> {
    const asked = await link.run(positionQuery, timeoutMs);
    if (asked.isOk()) {
        return neverthrow.ok(link);
    }
    link.close();
    return neverthrow.err({ kind: "unsent", message: `The endpoint does not tell positions: ${asked.error.message}` });
}

/** Creates a dialer that logs in to endpoints with the hosts' own account. */
export function createDialer(account: Account): endpoint.Dialer {
    return {
        dial(target, timeoutMs) {
            return new Promise(resolve => {
                const connection = mysql.createConnection({
                    host: target.host,
                    port: target.port,
                    user: account.user,
                    password: account.password,
                    connectTimeout: timeoutMs,
                    multipleStatements: true,
                    supportBigNumbers: true,
                    maxPreparedStatements: 1,
                });
                const fail = (trouble: Trouble): void => {
                    connection.destroy();
                    const fault = explain(trouble);
                    resolve(
                        neverthrow.err(fault.kind === "refused" ? fault : { kind: "unsent", message: fault.message }),
                    );
                };
                connection.once("error", fail);
                connection.connect(error => {
                    connection.removeListener("error", fail);
                    if (error === null) {
                        resolve(probe(createLink(connection), timeoutMs));
                        return;
                    }
                    connection.on("error", () => undefined);
                    fail(error);
                });
            });
        },
    };
}
