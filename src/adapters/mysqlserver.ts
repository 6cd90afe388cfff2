/**
 * The server side of MySQL's wire protocol, by `mysql2`. Used towards callers, and by stand-ins.
 */
import * as mysql from "mysql2";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type * as net from "node:net";

/** A caller that asks to be let in. */
export interface Caller {
    readonly user: string;
    readonly database: string;
    /** True when the caller proved to know the key with this double SHA-1 (hex). */
    knows(doubleSha1: string): boolean;
}

/** An error packet. */
export interface Refusal {
    readonly errno: number;
    readonly message: string;
}

/** One result of a statement: rows, or counts when there are no columns. */
export interface Outcome {
    readonly columns: readonly { readonly name: string; readonly type: number }[];
    readonly rows: readonly (readonly (string | null)[])[];
    readonly affectedRows: number;
    readonly insertId: number;
}

/** What an accepted caller talks to. */
export interface Session {
    query(text: string): Promise<neverthrow.Result<readonly Outcome[], Refusal>>;
    /** Called once, when the connection has ended. */
    ended(): void;
}

/** Settings of a listener. */
export interface Options {
    readonly host: string;
    readonly port: number;
    /** Decides on a caller; `end` closes the connection. */
    accept(caller: Caller, end: () => void): Promise<neverthrow.Result<Session, Refusal>>;
    /** Bytes that arrived, for those who watch the wire. */
    readonly observe?: (bytes: Buffer) => void;
}

/** A running listener. */
export interface Listener {
    readonly port: number;
    /** Stops accepting; open connections stay. */
    stop(): void;
    /** Tells idle callers why, and ends every connection; what arrives after is not run. */
    retire(refusal: Refusal): void;
    /** Ends every connection at once. */
    close(): void;
}

interface WireColumn {
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

interface Login {
    readonly user: string;
    readonly database?: string;
    readonly authPluginData1: Buffer;
    readonly authPluginData2: Buffer;
    readonly authToken?: Buffer;
}

type Decision = (ignored: undefined, refusal?: { readonly message: string; readonly code: number }) => void;

/** The part of mysql2's server connection that is used here. */
interface Wire {
    readonly stream: net.Socket;
    sequenceId: number;
    /** Cache of prepared statements, allocated whole for each connection. */
    _statements: Map<string, unknown>;
    on(event: string, listener: (...values: never[]) => void): void;
    serverHandshake(options: object): void;
    writeOk(counts?: { affectedRows: number; insertId: number; serverStatus: number }): void;
    writeError(error: { message: string; code: number }): void;
    writeColumns(columns: readonly WireColumn[]): void;
    writeTextRow(values: readonly (string | null)[]): void;
    writeEof(warnings: number, status: number): void;
}

const serverVersion = "8.0.34-hyssophatch";
const utf8mb4 = 45;
const columnLength = 1024;
const autocommitStatus = 2;
const moreResultsStatus = 8;
/** LONG_PASSWORD, FOUND_ROWS, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, MULTI_RESULTS, PLUGIN_AUTH. */
const capabilities = 0x1 | 0x2 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x20000 | 0x80000;
const preparedErrno = 1295;
const unknownCommandErrno = 1047;

function sha1(...parts: readonly Buffer[]): Buffer {
    const hash = crypto.createHash("sha1");
    parts.forEach(part => hash.update(part));
    return hash.digest();
}

/** The double SHA-1 of a key, as hex: all that is stored of it. */
export function digest(key: string): string {
    return sha1(sha1(Buffer.from(key))).toString("hex");
}

function verify(login: Login, doubleSha1: string): boolean {
    const token = login.authToken;
    const expected = Buffer.from(doubleSha1, "hex");
    if (token === undefined || token.length !== expected.length) {
        return false;
    }
    const mask = sha1(login.authPluginData1.subarray(0, 8), login.authPluginData2.subarray(0, 12), expected);
    const stage1 = Buffer.from(token.map((byte, index) => byte ^ (mask[index] ?? 0)));
    return crypto.timingSafeEqual(sha1(stage1), expected);
}

function widen(column: Outcome["columns"][number]): WireColumn {
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

function write(wire: Wire, outcomes: readonly Outcome[]): void {
    outcomes.forEach((outcome, index) => {
        const more = index < outcomes.length - 1 ? moreResultsStatus : 0;
        const serverStatus = autocommitStatus | more;
        if (outcome.columns.length === 0) {
            wire.writeOk({ affectedRows: outcome.affectedRows, insertId: outcome.insertId, serverStatus });
            return;
        }
        wire.writeColumns(outcome.columns.map(widen));
        outcome.rows.forEach(row => wire.writeTextRow(row));
        wire.writeEof(0, serverStatus);
    });
}

/** Ends the command: the next packet of the caller starts a new sequence. */
function finish(wire: Wire): void {
    wire.sequenceId = 0;
}

function refuse(wire: Wire, refusal: Refusal): void {
    wire.writeError({ message: refusal.message, code: refusal.errno });
    finish(wire);
}

/** The statements of one connection. */
interface Turns {
    /** Ends the connection; a caller without a statement running is told why. */
    retire(refusal: Refusal): void;
}

function serveQueries(wire: Wire, session: Session): Turns {
    let turn: Promise<void> = Promise.resolve();
    let waiting = 0;
    let retired = false;
    const answer = async (text: string): Promise<void> => {
        if (retired) {
            return;
        }
        const result = await session.query(text);
        waiting -= 1;
        if (wire.stream.destroyed) {
            return;
        }
        wire.stream.cork();
        if (result.isErr()) {
            refuse(wire, result.error);
        }
        else {
            write(wire, result.value);
            finish(wire);
        }
        wire.stream.uncork();
    };
    const enqueue = (text: string): void => {
        waiting += 1;
        turn = turn.then(() => answer(text));
    };
    const settle = (): void => {
        wire.writeOk();
        finish(wire);
    };
    wire.on("query", enqueue);
    wire.on("stmt_prepare", (text: string) => {
        if (/^set\b/i.test(text.trim())) {
            enqueue(text);
            return;
        }
        refuse(wire, { errno: preparedErrno, message: "Prepared statements are not supported; send text queries." });
    });
    wire.on("stmt_execute", () => {
        refuse(wire, { errno: preparedErrno, message: "EXECUTE is not supported; send text queries." });
    });
    wire.on("ping", settle);
    wire.on("init_db", () => {
        refuse(wire, { errno: unknownCommandErrno, message: "Changing the database is not supported; log in again." });
    });
    wire.on("field_list", () => {
        refuse(wire, { errno: unknownCommandErrno, message: "COM_FIELD_LIST is not supported." });
    });
    wire.on("packet", (_packet: unknown, known: boolean, command: number) => {
        if (!known) {
            refuse(wire, { errno: unknownCommandErrno, message: `Command ${command} is not supported.` });
        }
    });
    return {
        retire(refusal) {
            if (waiting > 0) {
                wire.stream.destroy();
                return;
            }
            retired = true;
            wire.sequenceId = 1;
            refuse(wire, refusal);
            wire.stream.end();
        },
    };
}

/** Listens for callers; port 0 takes any free port. */
export async function listen(options: Options): Promise<Listener> {
    const open = new Map<Wire, Turns | undefined>();
    const factory = mysql.createServer as unknown as () => ReturnType<typeof mysql.createServer>;
    const server = factory();
    let connectionId = 0;

    function welcome(wire: Wire): void {
        connectionId += 1;
        let session: Session | undefined;
        open.set(wire, undefined);
        // Prepared statements are not served, and the cache for them takes half a megabyte a connection.
        wire._statements = new Map();
        wire.stream.setNoDelay(true);
        wire.stream.on("close", () => {
            open.delete(wire);
            session?.ended();
        });
        wire.on("error", () => wire.stream.destroy());
        if (options.observe !== undefined) {
            wire.stream.on("data", options.observe);
        }
        const admit = async (login: Login, decide: Decision): Promise<void> => {
            const caller: Caller = {
                user: login.user,
                database: login.database ?? "",
                knows: doubleSha1 => verify(login, doubleSha1),
            };
            const accepted = await options.accept(caller, () => wire.stream.destroy());
            if (accepted.isErr()) {
                decide(undefined, { message: accepted.error.message, code: accepted.error.errno });
                return;
            }
            session = accepted.value;
            if (wire.stream.destroyed) {
                session.ended();
                return;
            }
            open.set(wire, serveQueries(wire, session));
            decide(undefined);
            finish(wire);
        };
        wire.serverHandshake({
            protocolVersion: 10,
            serverVersion,
            connectionId,
            statusFlags: autocommitStatus,
            characterSet: utf8mb4,
            capabilityFlags: capabilities,
            authCallback: (login: Login, decide: Decision) => void admit(login, decide),
        });
    }

    server.on("connection", connection => welcome(connection as unknown as Wire));
    const raw = (server as unknown as { readonly _server: net.Server })._server;
    await new Promise<void>((resolve, reject) => {
        raw.once("error", reject);
        raw.listen(options.port, options.host, resolve);
    });
    return {
        port: (raw.address() as net.AddressInfo).port,
        stop() {
            raw.close();
        },
        retire(refusal) {
            raw.close();
            open.forEach((turns, wire) => {
                if (turns === undefined) {
                    wire.stream.destroy();
                }
                else {
                    turns.retire(refusal);
                }
            });
        },
        close() {
            raw.close();
            open.forEach((_turns, wire) => wire.stream.destroy());
        },
    };
}
