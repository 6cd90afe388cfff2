/** Connections to endpoints over the MySQL client protocol, with `mysql2`. */
import * as mysql from "mysql2";
import * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import * as endpoint from "../ports/endpoint.js";

/** Database account that hosts use to log in to endpoints. */
export interface Account {
    readonly user: string;
    readonly password: string;
}

/** Returns the log position of the connection's last commit as `term-server-index`. */
const positionQuery = "SELECT @@last_gtid";
const positionPattern = /^(\d+)-\d+-(\d+)$/;

/** Fields used of a `mysql2` error. Only errors that the endpoint sent have an SQL state. */
interface DriverError {
    readonly message: string;
    readonly errno?: number;
    readonly sqlState?: string;
}

/** Rows and fields as `mysql2` returns them. */
type RawResult = readonly [unknown, unknown];

/** Type cast that returns every value as text. */
const asText = (field: { string(): string | null }): string | null => field.string();

function toFault(error: DriverError): endpoint.Fault {
    if (error.sqlState !== undefined && error.errno !== undefined) {
        return { kind: "refused", errno: error.errno, message: error.message };
    }
    // mysql2 rejects a query on a closed connection with this text, without sending it.
    const notSent = error.message.includes("closed state");
    return { kind: notSent ? "unsent" : "unanswered", message: error.message };
}

function toReply(rows: unknown, fields: unknown): endpoint.Reply {
    if (!Array.isArray(rows)) {
        const header = rows as mysql.ResultSetHeader;
        return { columns: [], rows: [], affectedRows: header.affectedRows, insertId: header.insertId };
    }
    const columns = (fields as mysql.FieldPacket[]).map(field => ({ name: field.name, type: field.columnType ?? 0 }));
    return { columns, rows: rows as (string | null)[][], affectedRows: 0, insertId: 0 };
}

function parsePosition(rows: unknown): positions.Position | undefined {
    const match = positionPattern.exec(String((rows as string[][])[0]?.[0] ?? ""));
    return match === null ? undefined : { term: Number(match[1]), index: Number(match[2]) };
}

function createConnection(connection: mysql.Connection): endpoint.Connection {
    const pending = new Set<(fault: endpoint.Fault) => void>();
    let open = true;
    /** Closes the connection. mysql2 never calls back the queries of a destroyed connection, so they fail here. */
    const close = (): void => {
        open = false;
        connection.destroy();
        const unanswered = [...pending];
        pending.clear();
        unanswered.forEach(fail =>
            fail({ kind: "unanswered", message: "The connection was closed before the endpoint replied." })
        );
    };
    connection.on("error", close);
    connection.on("end", close);
    (connection as unknown as { stream: { on(event: string, listener: () => void): void } }).stream.on("close", close);

    function send(sql: string, timeoutMs: number): endpoint.Outcome<RawResult> {
        if (!open) {
            return Promise.resolve(neverthrow.err({ kind: "unsent", message: "The connection is closed." }));
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                fail({ kind: "unanswered", message: `The endpoint did not reply within ${timeoutMs} ms.` });
                close();
            }, timeoutMs);
            const settle = (outcome: neverthrow.Result<RawResult, endpoint.Fault>): void => {
                clearTimeout(timer);
                pending.delete(fail);
                resolve(outcome);
            };
            const fail = (fault: endpoint.Fault): void => settle(neverthrow.err(fault));
            pending.add(fail);
            connection.query({ sql, rowsAsArray: true, typeCast: asText }, (error, rows, fields) => {
                if (error === null) {
                    settle(neverthrow.ok([rows, fields]));
                    return;
                }
                const fault = toFault(error);
                fail(fault);
                if (fault.kind !== "refused") {
                    close();
                }
            });
        });
    }

    async function readPosition(reply: endpoint.Reply, timeoutMs: number): endpoint.Outcome<endpoint.CommitReply> {
        const result = await send(positionQuery, timeoutMs);
        const position = result.isOk() ? parsePosition(result.value[0]) : undefined;
        return position === undefined
            ? neverthrow.err({
                kind: "unanswered",
                message: "The write was sent, but its log position could not be read.",
            })
            : neverthrow.ok({ reply, position });
    }

    return {
        async run(sql, timeoutMs) {
            return (await send(sql, timeoutMs)).map(([rows, fields]) => toReply(rows, fields));
        },
        async commit(sql, timeoutMs) {
            const result = await send(`${sql}\n; ${positionQuery}`, timeoutMs);
            if (result.isErr()) {
                return neverthrow.err(result.error);
            }
            const [rows, fields] = result.value as readonly [readonly unknown[], readonly unknown[]];
            const combined = Array.isArray(rows) && rows.length === 2 && Array.isArray(fields) && fields.length === 2;
            const position = combined ? parsePosition(rows[1]) : undefined;
            if (position === undefined) {
                return readPosition(toReply(rows, fields), timeoutMs);
            }
            return neverthrow.ok({ reply: toReply(rows[0], fields[0]), position });
        },
        isOpen() {
            return open;
        },
        close,
    };
}

/**
 * Accepts a connection only if its endpoint supports the position query. `commit` sends that query together with
 * the write, so a failure of the query would be taken for a failure of the write.
 */
async function verifyPositionQuery(
    connection: endpoint.Connection,
    timeoutMs: number,
): endpoint.Outcome<endpoint.Connection> {
    const result = await connection.run(positionQuery, timeoutMs);
    if (result.isOk()) {
        return neverthrow.ok(connection);
    }
    connection.close();
    return neverthrow.err({
        kind: "unsent",
        message: `The endpoint does not support the position query: ${result.error.message}`,
    });
}

const maxPort = 65_535;
const isPort = (port: number): boolean => Number.isInteger(port) && port >= 1 && port <= maxPort;

/** Creates a dialer that logs in to endpoints with the given account. */
export function createDialer(account: Account): endpoint.Dialer {
    return {
        dial(target, timeoutMs) {
            if (!isPort(target.port)) {
                const message = `The endpoint at ${target.host} has the invalid port ${target.port}.`;
                return Promise.resolve(neverthrow.err({ kind: "unsent", message }));
            }
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
                const fail = (error: DriverError): void => {
                    connection.destroy();
                    const fault = toFault(error);
                    resolve(
                        neverthrow.err(fault.kind === "refused" ? fault : { kind: "unsent", message: fault.message }),
                    );
                };
                connection.once("error", fail);
                connection.connect(error => {
                    connection.removeListener("error", fail);
                    if (error === null) {
                        resolve(verifyPositionQuery(createConnection(connection), timeoutMs));
                        return;
                    }
                    connection.on("error", () => undefined);
                    fail(error);
                });
            });
        },
    };
}
