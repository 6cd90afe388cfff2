/** Server side of the MySQL client protocol, with `mysql2`. The simulated endpoints in `standins` use it too. */
import * as mysql from "mysql2";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type * as net from "node:net";

/** Credentials of a caller that logs in. */
export interface Caller {
    readonly user: string;
    readonly database: string;
    /** True when the caller's authentication response proves the key with this double SHA-1 (in hex). */
    provesKey(doubleSha1: string): boolean;
}

/** Error that is sent to the caller as an ERR packet. */
export interface Refusal {
    readonly errno: number;
    readonly message: string;
}

/** One result of a statement: a result set, or only counts when there are no columns. */
export interface StatementResult {
    readonly columns: readonly { readonly name: string; readonly type: number }[];
    readonly rows: readonly (readonly (string | null)[])[];
    readonly affectedRows: number;
    readonly insertId: number;
}

/** Session of an authenticated caller. */
export interface Session {
    /** Runs a query; several results are sent as a multi-result response. */
    query(text: string): Promise<neverthrow.Result<readonly StatementResult[], Refusal>>;
    /** Called once, when the connection is closed. */
    ended(): void;
}

/** Settings of a listener. */
export interface Options {
    readonly host: string;
    readonly port: number;
    /** Authenticates a caller and opens its session; `disconnect` closes the connection. */
    accept(caller: Caller, disconnect: () => void): Promise<neverthrow.Result<Session, Refusal>>;
    /** Called with each chunk of bytes received. */
    readonly onReceive?: (bytes: Buffer) => void;
}

/** A running listener. */
export interface Listener {
    readonly port: number;
    /** Stops accepting connections; open ones stay. */
    stop(): void;
    /** Closes every connection, after sending the error to callers without a running statement. Runs no later query. */
    shutDown(refusal: Refusal): void;
    /** Closes every connection immediately. */
    close(): void;
}

/** Column definition packet. */
interface ColumnDefinition {
    readonly catalog: string;
    readonly schema: string;
    readonly table: string;
    readonly orgTable: string;
    readonly name: string;
    readonly orgName: string;
    readonly characterSet: number;
    readonly columnLength: number;
    readonly columnType: number;
    readonly flags: number;
    readonly decimals: number;
}

/** Handshake response of a caller, with the authentication data that the server sent. */
interface Login {
    readonly user: string;
    readonly database?: string;
    readonly authPluginData1: Buffer;
    readonly authPluginData2: Buffer;
    readonly authToken?: Buffer;
}

/** Accepts the login, or rejects it with an error. */
type LoginCallback = (ignored: undefined, refusal?: { readonly message: string; readonly code: number }) => void;

/** Members used of mysql2's server connection. */
interface ServerConnection {
    readonly stream: net.Socket;
    sequenceId: number;
    /** Cache of prepared statements; mysql2 allocates it in full for each connection. */
    _statements: Map<string, unknown>;
    on(event: string, listener: (...values: never[]) => void): void;
    serverHandshake(options: object): void;
    writeOk(counts?: { affectedRows: number; insertId: number; serverStatus: number }): void;
    writeError(error: { message: string; code: number }): void;
    writeColumns(columns: readonly ColumnDefinition[]): void;
    writeTextRow(values: readonly (string | null)[]): void;
    writeEof(warnings: number, status: number): void;
}

const serverVersion = "8.0.34-hyssophatch";
const utf8mb4 = 45;
const columnLength = 1024;
/** SERVER_STATUS_AUTOCOMMIT. */
const autocommitStatus = 2;
/** SERVER_MORE_RESULTS_EXISTS. */
const moreResultsStatus = 8;
/** LONG_PASSWORD, FOUND_ROWS, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, MULTI_RESULTS, PLUGIN_AUTH. */
const capabilities = 0x1 | 0x2 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x20000 | 0x80000;
/** ER_UNSUPPORTED_PS. */
const unsupportedPreparedErrno = 1295;
/** ER_UNKNOWN_COM_ERROR. */
const unknownCommandErrno = 1047;

function sha1(...parts: readonly Buffer[]): Buffer {
    const hash = crypto.createHash("sha1");
    parts.forEach(part => hash.update(part));
    return hash.digest();
}

/** Returns the double SHA-1 of a key in hex, which is stored instead of the key. */
export function hashKey(key: string): string {
    return sha1(sha1(Buffer.from(key))).toString("hex");
}

/** Verifies a `mysql_native_password` response against the stored double SHA-1. */
function verify(login: Login, doubleSha1: string): boolean {
    const response = login.authToken;
    const expected = Buffer.from(doubleSha1, "hex");
    if (response === undefined || response.length !== expected.length) {
        return false;
    }
    const mask = sha1(login.authPluginData1.subarray(0, 8), login.authPluginData2.subarray(0, 12), expected);
    const singleSha1 = Buffer.from(response.map((byte, index) => byte ^ (mask[index] ?? 0)));
    return crypto.timingSafeEqual(sha1(singleSha1), expected);
}

function toColumnDefinition(column: StatementResult["columns"][number]): ColumnDefinition {
    return {
        catalog: "def",
        schema: "",
        table: "",
        orgTable: "",
        name: column.name,
        orgName: column.name,
        characterSet: utf8mb4,
        columnLength,
        columnType: column.type,
        flags: 0,
        decimals: 0,
    };
}

function writeResults(connection: ServerConnection, outcomes: readonly StatementResult[]): void {
    outcomes.forEach((outcome, index) => {
        const more = index < outcomes.length - 1 ? moreResultsStatus : 0;
        const serverStatus = autocommitStatus | more;
        if (outcome.columns.length === 0) {
            connection.writeOk({ affectedRows: outcome.affectedRows, insertId: outcome.insertId, serverStatus });
            return;
        }
        connection.writeColumns(outcome.columns.map(toColumnDefinition));
        outcome.rows.forEach(row => connection.writeTextRow(row));
        connection.writeEof(0, serverStatus);
    });
}

/** Ends the command: the caller's next packet starts a new sequence. */
function endCommand(connection: ServerConnection): void {
    connection.sequenceId = 0;
}

function sendError(connection: ServerConnection, refusal: Refusal): void {
    connection.writeError({ message: refusal.message, code: refusal.errno });
    endCommand(connection);
}

/** Command loop of one connection. */
interface CommandLoop {
    /** Closes the connection, after sending the error if no statement is running. */
    shutDown(refusal: Refusal): void;
}

/** Handles the commands of an authenticated connection; queries run one at a time, in order of arrival. */
function serveCommands(connection: ServerConnection, session: Session): CommandLoop {
    let lastQuery: Promise<void> = Promise.resolve();
    let pendingQueries = 0;
    let shutDownStarted = false;
    const runQuery = async (text: string): Promise<void> => {
        if (shutDownStarted) {
            return;
        }
        const result = await session.query(text);
        pendingQueries -= 1;
        if (connection.stream.destroyed) {
            return;
        }
        connection.stream.cork();
        if (result.isErr()) {
            sendError(connection, result.error);
        }
        else {
            writeResults(connection, result.value);
            endCommand(connection);
        }
        connection.stream.uncork();
    };
    const enqueue = (text: string): void => {
        pendingQueries += 1;
        lastQuery = lastQuery.then(() => runQuery(text));
    };
    const sendOk = (): void => {
        connection.writeOk();
        endCommand(connection);
    };
    connection.on("query", enqueue);
    connection.on("stmt_prepare", (text: string) => {
        if (/^set\b/i.test(text.trim())) {
            enqueue(text);
            return;
        }
        sendError(connection, {
            errno: unsupportedPreparedErrno,
            message: "Prepared statements are not supported; send text queries.",
        });
    });
    connection.on("stmt_execute", () => {
        sendError(connection, {
            errno: unsupportedPreparedErrno,
            message: "EXECUTE is not supported; send text queries.",
        });
    });
    connection.on("ping", sendOk);
    connection.on("init_db", () => {
        sendError(connection, {
            errno: unknownCommandErrno,
            message: "Changing the database is not supported; log in again.",
        });
    });
    connection.on("field_list", () => {
        sendError(connection, { errno: unknownCommandErrno, message: "COM_FIELD_LIST is not supported." });
    });
    connection.on("packet", (_packet: unknown, handled: boolean, command: number) => {
        if (!handled) {
            sendError(connection, { errno: unknownCommandErrno, message: `Command ${command} is not supported.` });
        }
    });
    return {
        shutDown(refusal) {
            if (pendingQueries > 0) {
                connection.stream.destroy();
                return;
            }
            shutDownStarted = true;
            connection.sequenceId = 1;
            sendError(connection, refusal);
            connection.stream.end();
        },
    };
}

/** Listens for callers; port 0 binds any free port. Rejects if the port can't be bound. */
export async function listen(options: Options): Promise<Listener> {
    const connections = new Map<ServerConnection, CommandLoop | undefined>();
    const createServer = mysql.createServer as unknown as () => ReturnType<typeof mysql.createServer>;
    const server = createServer();
    let connectionId = 0;

    function handleConnection(connection: ServerConnection): void {
        connectionId += 1;
        let session: Session | undefined;
        connections.set(connection, undefined);
        // mysql2's cache of prepared statements takes 0.5 MB per connection, and prepared statements are not supported.
        connection._statements = new Map();
        connection.stream.setNoDelay(true);
        connection.stream.on("close", () => {
            connections.delete(connection);
            session?.ended();
        });
        connection.on("error", () => connection.stream.destroy());
        if (options.onReceive !== undefined) {
            connection.stream.on("data", options.onReceive);
        }
        const authenticate = async (login: Login, callback: LoginCallback): Promise<void> => {
            const caller: Caller = {
                user: login.user,
                database: login.database ?? "",
                provesKey: doubleSha1 => verify(login, doubleSha1),
            };
            const accepted = await options.accept(caller, () => connection.stream.destroy());
            if (accepted.isErr()) {
                callback(undefined, { message: accepted.error.message, code: accepted.error.errno });
                return;
            }
            session = accepted.value;
            if (connection.stream.destroyed) {
                session.ended();
                return;
            }
            connections.set(connection, serveCommands(connection, session));
            callback(undefined);
            endCommand(connection);
        };
        connection.serverHandshake({
            protocolVersion: 10,
            serverVersion,
            connectionId,
            statusFlags: autocommitStatus,
            characterSet: utf8mb4,
            capabilityFlags: capabilities,
            authCallback: (login: Login, callback: LoginCallback) => void authenticate(login, callback),
        });
    }

    server.on("connection", connection => handleConnection(connection as unknown as ServerConnection));
    const netServer = (server as unknown as { readonly _server: net.Server })._server;
    await new Promise<void>((resolve, reject) => {
        netServer.once("error", reject);
        netServer.listen(options.port, options.host, resolve);
    });
    return {
        port: (netServer.address() as net.AddressInfo).port,
        stop() {
            netServer.close();
        },
        shutDown(refusal) {
            netServer.close();
            connections.forEach((loop, connection) => {
                if (loop === undefined) {
                    connection.stream.destroy();
                }
                else {
                    loop.shutDown(refusal);
                }
            });
        },
        close() {
            netServer.close();
            connections.forEach((_loop, connection) => connection.stream.destroy());
        },
    };
}
