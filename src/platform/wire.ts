/**
 * The platform's wire: lines of a word and fields that end in CR LF. The same lines serve callers and
 * endpoints. Text is carried byte for byte (latin1), as a statement has to arrive unchanged.
 */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as positions from "../core/position.js";
import type * as caller from "../ports/caller.js";
import type * as connection from "../ports/connection.js";

/** Encoding that keeps every byte. */
export const encoding = "latin1";
/** Longest message, in bytes, line end included. */
export const maxMessageBytes = 1_048_576;
const lineEnd = "\r\n";

/** Cuts a stream of bytes into lines. */
export interface Splitter {
    /** Takes in a piece of the stream; an error when a line grows too long. */
    push(piece: string): neverthrow.Result<readonly string[], "tooLong">;
}

/** Creates a splitter at the start of a line. */
export function createSplitter(): Splitter {
    let pieces: string[] = [];
    let size = 0;
    return {
        push(piece) {
            // A line end may lie across two pieces.
            const last = pieces[pieces.length - 1] ?? "";
            if (!piece.includes("\n")) {
                pieces.push(piece);
                size += piece.length;
                return size > maxMessageBytes - lineEnd.length + (piece.endsWith("\r") ? 1 : 0)
                    ? neverthrow.err("tooLong")
                    : neverthrow.ok([]);
            }
            const whole = pieces.length === 0 ? piece : `${pieces.slice(0, -1).join("")}${last}${piece}`;
            const lines = whole.split(lineEnd);
            const rest = lines.pop() ?? "";
            pieces = rest === "" ? [] : [rest];
            size = rest.length;
            const longest = Math.max(size, ...lines.map(line => line.length));
            return longest > maxMessageBytes - lineEnd.length ? neverthrow.err("tooLong") : neverthrow.ok(lines);
        },
    };
}

/** First word of a line, and what follows it. */
function cut(line: string): readonly [string, string] {
    const blank = line.indexOf(" ");
    return blank < 0 ? [line, ""] : [line.slice(0, blank), line.slice(blank + 1)];
}

/** What a caller sends. */
export type CallerMessage =
    | { readonly kind: "login"; readonly database: string; readonly key: string }
    | { readonly kind: "request"; readonly id: string; readonly request: caller.Request }
    /** A request that can't be read but whose place in the conversation is clear. */
    | { readonly kind: "malformed"; readonly message: string }
    | { readonly kind: "leave" };

/** Reads one line of a caller. */
export function readCaller(line: string): CallerMessage {
    const [word, rest] = cut(line);
    if (word === "STARTUP") {
        const [database, key] = cut(rest);
        return { kind: "login", database, key };
    }
    if (word === "TERMINATE") {
        return { kind: "leave" };
    }
    if (word !== "QUERY") {
        return { kind: "malformed", message: `The message ${JSON.stringify(word.slice(0, 20))} is not known.` };
    }
    const [id, text] = cut(rest);
    const request = readRequest(text);
    return id === "" || id === "-" || request === undefined
        ? { kind: "malformed", message: "The request has no id, or a text that is not known." }
        : { kind: "request", id, request };
}

const modes: Readonly<Record<string, caller.Mode>> = { READ: "read", WRITE: "write" };

function readRequest(text: string): caller.Request | undefined {
    const [word, rest] = cut(text);
    switch (word) {
        case "BEGIN":
            return rest === "" || rest === "READ" ? { kind: "begin", readOnly: rest === "READ" } : undefined;
        case "COMMIT":
            return rest === "" ? { kind: "commit" } : undefined;
        case "ROLLBACK":
            return rest === "" ? { kind: "rollback" } : undefined;
        case "READ":
            return rest === "" ? undefined : { kind: "statement", mode: "read", text };
        case "WRITE":
            return rest === "" ? undefined : { kind: "statement", mode: "write", text };
        case "SET": {
            const [name, value] = cut(rest);
            return name === "" ? undefined : { kind: "set", name, value };
        }
        case "PREPARE": {
            const [name, definition] = cut(rest);
            const [mode, shape] = cut(definition);
            const known = Object.hasOwn(modes, mode) ? modes[mode] : undefined;
            return known === undefined || shape === ""
                ? undefined
                : { kind: "prepare", name, mode: known, template: shape };
        }
        case "EXECUTE": {
            const [name, parameters] = cut(rest);
            return name === "" ? undefined : { kind: "execute", name, parameters };
        }
        case "DEALLOCATE":
            return rest === "" ? undefined : { kind: "deallocate", name: rest };
        default:
            return undefined;
    }
}

const stateWords = { idle: "I", transaction: "T", failed: "E" } as const;

/** Word of each result code for callers; the first six promise that nothing is kept. */
const codeWords = new Map<failure.Code, string>([
    [failure.Code.rateExceeded, "BUSY"],
    [failure.Code.overloaded, "BUSY"],
    [failure.Code.noPrimary, "BUSY"],
    [failure.Code.endpointUnreachable, "BUSY"],
    [failure.Code.configurationStale, "BUSY"],
    [failure.Code.draining, "BUSY"],
    [failure.Code.ownerUnreachable, "BUSY"],
    [failure.Code.transactionLost, "ABORTED"],
    [failure.Code.replicaBehind, "LAGGING"],
    [failure.Code.readOnly, "READONLY"],
    [failure.Code.accessDenied, "UNAUTH"],
    [failure.Code.keyWithdrawn, "UNAUTH"],
    [failure.Code.routeUnknown, "NODB"],
    [failure.Code.statementInvalid, "MALFORMED"],
    [failure.Code.statementUnknown, "NOSTMT"],
    [failure.Code.tooLarge, "TOOLARGE"],
    [failure.Code.outcomeUnknown, "UNKNOWN"],
    [failure.Code.readLost, "FAILED"],
    [failure.Code.endpointError, "FAILED"],
    [failure.Code.statementTimeout, "TIMEOUT"],
]);

/** An error line. The text tells the code, and when to come back if that is known. */
export function printError(cause: failure.Failure): string {
    const word = codeWords.get(cause.code) ?? "FAILED";
    const retry = cause.retryAfterMs === undefined ? "" : ` retry-after-ms=${Math.ceil(cause.retryAfterMs)}`;
    const text = `HP${cause.code}${retry} ${cause.message}`.replace(/[\r\n]+/g, " ");
    return `ERROR ${word} ${text}${lineEnd}`;
}

function printPosition(position: positions.Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.index}`;
}

/** Line that ends every answer. */
export function printReady(state: caller.State, position: positions.Position | undefined): string {
    return `READY ${stateWords[state]} ${printPosition(position)}${lineEnd}`;
}

/** A whole answer to one request. */
export function printAnswer(answer: caller.Response): string {
    const ready = printReady(answer.state, answer.position);
    if (answer.result.isErr()) {
        return printError(answer.result.error) + ready;
    }
    const rows = answer.result.value.rows.map(row => `ROW ${row}${lineEnd}`).join("");
    return `${rows}COMPLETE ${answer.result.value.signature ?? "-"}${lineEnd}${ready}`;
}

/** The line that opens a connection to an endpoint. */
export function printStartup(target: connection.Target): string {
    return `STARTUP ${target.group} ${target.organisation} ${target.endpoint}${lineEnd}`;
}

/** Id of requests that no caller sent. */
export const ownId = "-";

/** One request to an endpoint. */
export function printRequest(id: string, text: string): string {
    return `QUERY ${id} ${text}${lineEnd}`;
}

const modeWords = { read: "READ", write: "WRITE" } as const;

/** Text of a command. */
export function printCommand(command: connection.Command): string {
    switch (command.kind) {
        case "begin":
            return after(command.after, command.readOnly ? "BEGIN READ" : "BEGIN");
        case "commit":
            return "COMMIT";
        case "rollback":
            return "ROLLBACK";
        case "reset":
            return "RESET";
        case "set":
            return command.value === "" ? `SET ${command.name}` : `SET ${command.name} ${command.value}`;
        case "prepare":
            return `PREPARE ${command.handle} ${modeWords[command.mode]} ${command.template}`;
        case "statement":
            return after(command.after, command.text);
        case "execute": {
            const text = `EXECUTE ${command.handle}`;
            return after(command.after, command.parameters === "" ? text : `${text} ${command.parameters}`);
        }
    }
}

/** Text of an order. */
export function printOrder(order: connection.ControlCommand): string {
    return order.kind === "status" ? "STATUS" : `STEPDOWN ${order.term}`;
}

function after(position: positions.Position | undefined, text: string): string {
    return position === undefined ? text : `AFTER ${printPosition(position)} ${text}`;
}

/** What an endpoint sends. */
export type EndpointMessage =
    | { readonly kind: "row"; readonly text: string }
    | { readonly kind: "done"; readonly signature: string }
    | { readonly kind: "error"; readonly refusal: connection.Refusal; readonly text: string }
    | { readonly kind: "ready"; readonly state: caller.State; readonly position: positions.Position | undefined };

const refusals: Readonly<Record<string, connection.Refusal>> = {
    BUSY: "busy",
    LAGGING: "lagging",
    READONLY: "readOnly",
    MISROUTED: "misrouted",
    TOOMANY: "tooMany",
    NOSTMT: "unknownStatement",
    FAILED: "failed",
    TIMEOUT: "timeout",
    ABORTED: "aborted",
};

const states: Readonly<Record<string, caller.State>> = { I: "idle", T: "transaction", E: "failed" };

/** Reads one line of an endpoint; undefined when it makes no sense. */
export function readEndpoint(line: string): EndpointMessage | undefined {
    const [word, rest] = cut(line);
    switch (word) {
        case "ROW":
            return { kind: "row", text: rest };
        case "COMPLETE":
            return { kind: "done", signature: rest };
        case "ERROR": {
            const [code, text] = cut(rest);
            return {
                kind: "error",
                refusal: Object.hasOwn(refusals, code) ? refusals[code] ?? "other" : "other",
                text,
            };
        }
        case "READY": {
            const [state, position] = cut(rest);
            const known = Object.hasOwn(states, state) ? states[state] : undefined;
            return known === undefined ? undefined : { kind: "ready", state: known, position: readPosition(position) };
        }
        default:
            return undefined;
    }
}

const positionPattern = /^(\d+)\.(\d+)$/;

/** Reads a log position; undefined for none. */
export function readPosition(text: string): positions.Position | undefined {
    const found = positionPattern.exec(text);
    return found === null ? undefined : { term: Number(found[1]), index: Number(found[2]) };
}

const statusFields = 7;

/** Reads the row that answers an order: role, term, received, applied, lag, busy, connections. */
export function readStatus(row: string, ready: positions.Position | undefined): connection.Status | undefined {
    const fields = row.split(" ");
    const [role, term, received] = fields;
    const position = readPosition(received ?? "");
    if (fields.length < statusFields || position === undefined || (role !== "primary" && role !== "replica")) {
        return undefined;
    }
    return {
        primary: role === "primary",
        term: Number(term),
        received: position,
        applied: ready,
        connections: Number(fields[statusFields - 1]),
    };
}
