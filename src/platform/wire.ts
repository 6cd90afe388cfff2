/**
 * The platform's wire protocol: lines of a word and its fields, separated by spaces and ended by CR LF. Callers and
 * endpoints share it. Text is decoded as latin1, which maps each byte to one character, so that statements pass
 * through unchanged. Names and messages are UTF-8, like the configuration that names are compared with.
 */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as positions from "../core/position.js";
import type * as caller from "../ports/caller.js";
import type * as connection from "../ports/connection.js";

/** Encoding that preserves every byte. */
export const encoding = "latin1";
/** Maximum length of a message in bytes, including the line end. */
export const maxMessageBytes = 1_048_576;
const lineEnd = "\r\n";
const strictDecoder = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/** Text of this product as it is written with `encoding`: one character for each byte of its UTF-8 form. */
export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString(encoding);
}

/** Inverse of `encodeText`; undefined for bytes that aren't UTF-8, which must not be taken for any name. */
function decodeName(bytes: string): string | undefined {
    try {
        return strictDecoder.decode(Buffer.from(bytes, encoding));
    }
    catch {
        return undefined;
    }
}

/** Splits a stream of bytes into lines. */
export interface Splitter {
    /** Returns the lines that the chunk completes; an error when a line exceeds `maxMessageBytes`. */
    push(chunk: string): neverthrow.Result<readonly string[], "tooLong">;
}

/** Creates a splitter at the start of a line. */
export function createSplitter(): Splitter {
    let buffered: string[] = [];
    let bufferedBytes = 0;
    return {
        push(chunk) {
            // CR and LF may arrive in different chunks: the last one is searched again together with the new one.
            const last = buffered[buffered.length - 1] ?? "";
            if (!chunk.includes("\n")) {
                buffered.push(chunk);
                bufferedBytes += chunk.length;
                return bufferedBytes > maxMessageBytes - lineEnd.length + (chunk.endsWith("\r") ? 1 : 0)
                    ? neverthrow.err("tooLong")
                    : neverthrow.ok([]);
            }
            const text = buffered.length === 0 ? chunk : `${buffered.slice(0, -1).join("")}${last}${chunk}`;
            const lines = text.split(lineEnd);
            const incomplete = lines.pop() ?? "";
            buffered = incomplete === "" ? [] : [incomplete];
            bufferedBytes = incomplete.length;
            const longest = Math.max(bufferedBytes, ...lines.map(line => line.length));
            return longest > maxMessageBytes - lineEnd.length ? neverthrow.err("tooLong") : neverthrow.ok(lines);
        },
    };
}

/** Splits a text into its first word and what follows the space after it. */
function splitWord(text: string): readonly [string, string] {
    const space = text.indexOf(" ");
    return space < 0 ? [text, ""] : [text.slice(0, space), text.slice(space + 1)];
}

/** A message from a caller. */
export type CallerMessage =
    /** A name that isn't UTF-8 is undefined. */
    | { readonly kind: "login"; readonly database: string | undefined; readonly key: string | undefined }
    | { readonly kind: "request"; readonly id: string; readonly request: caller.Request }
    /** A line that can't be parsed; it is answered with an error, and the session goes on. */
    | { readonly kind: "malformed"; readonly message: string }
    | { readonly kind: "terminate" };

/** Parses a line from a caller. */
export function parseCallerMessage(line: string): CallerMessage {
    const [word, rest] = splitWord(line);
    if (word === "STARTUP") {
        const [database, key] = splitWord(rest);
        return { kind: "login", database: decodeName(database), key: decodeName(key) };
    }
    if (word === "TERMINATE") {
        return { kind: "terminate" };
    }
    if (word !== "QUERY") {
        return { kind: "malformed", message: `Unknown message ${JSON.stringify(word.slice(0, 20))}.` };
    }
    const [id, text] = splitWord(rest);
    const request = parseRequest(text);
    return id === "" || id === "-" || request === undefined
        ? { kind: "malformed", message: "The request has no id, or its text can't be parsed." }
        : { kind: "request", id, request };
}

const modes: Readonly<Record<string, caller.Mode>> = { READ: "read", WRITE: "write" };

function parseRequest(text: string): caller.Request | undefined {
    const [word, rest] = splitWord(text);
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
            const [name, value] = splitWord(rest);
            return name === "" ? undefined : { kind: "set", name, value };
        }
        case "PREPARE": {
            const [name, definition] = splitWord(rest);
            const [modeWord, template] = splitWord(definition);
            const mode = Object.hasOwn(modes, modeWord) ? modes[modeWord] : undefined;
            return mode === undefined || template === ""
                ? undefined
                : { kind: "prepare", name, mode, template };
        }
        case "EXECUTE": {
            const [name, parameters] = splitWord(rest);
            return name === "" ? undefined : { kind: "execute", name, parameters };
        }
        case "DEALLOCATE":
            return rest === "" ? undefined : { kind: "deallocate", name: rest };
        default:
            return undefined;
    }
}

const stateWords = { idle: "I", transaction: "T", failed: "E" } as const;

/** Error word for each result code. BUSY, ABORTED, LAGGING and READONLY promise callers that nothing took effect. */
const errorWords = new Map<failure.Code, string>([
    [failure.Code.rateExceeded, "BUSY"],
    [failure.Code.overloaded, "BUSY"],
    [failure.Code.noPrimary, "BUSY"],
    [failure.Code.endpointUnreachable, "BUSY"],
    [failure.Code.configurationStale, "BUSY"],
    [failure.Code.draining, "BUSY"],
    [failure.Code.ownerUnreachable, "BUSY"],
    [failure.Code.evacuated, "BUSY"],
    [failure.Code.outsideHomes, "BUSY"],
    [failure.Code.transactionLost, "ABORTED"],
    [failure.Code.replicaBehind, "LAGGING"],
    [failure.Code.endpointCold, "BUSY"],
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

/** Formats an error line; its text holds the result code and, if known, the time after which to retry. */
export function formatError(cause: failure.Failure): string {
    const word = errorWords.get(cause.code) ?? "FAILED";
    const retry = cause.retryAfterMs === undefined ? "" : ` retry-after-ms=${Math.ceil(cause.retryAfterMs)}`;
    const text = `HP${cause.code}${retry} ${cause.message}`.replace(/[\r\n]+/g, " ");
    return `ERROR ${word} ${encodeText(text)}${lineEnd}`;
}

function formatPosition(position: positions.Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.index}`;
}

/** Formats the line that ends every response. */
export function formatReady(state: caller.State, position: positions.Position | undefined): string {
    return `READY ${stateWords[state]} ${formatPosition(position)}${lineEnd}`;
}

/** Formats the complete response to a request. */
export function formatResponse(response: caller.Response): string {
    const ready = formatReady(response.state, response.position);
    if (response.result.isErr()) {
        return formatError(response.result.error) + ready;
    }
    const rows = response.result.value.rows.map(row => `ROW ${row}${lineEnd}`).join("");
    return `${rows}COMPLETE ${response.result.value.signature ?? "-"}${lineEnd}${ready}`;
}

/** Formats the line that opens a session on a new connection to an endpoint. */
export function formatStartup(target: connection.Target): string {
    return encodeText(`STARTUP ${target.group} ${target.organisation} ${target.endpoint}${lineEnd}`);
}

/** Request id of control commands, which no caller sent. */
export const controlId = "-";

/** Formats a request to an endpoint. */
export function formatRequest(id: string, text: string): string {
    return `QUERY ${id} ${text}${lineEnd}`;
}

const modeWords = { read: "READ", write: "WRITE" } as const;

/** Formats the text of a command. */
export function formatCommand(command: connection.Command): string {
    switch (command.kind) {
        case "begin":
            return afterPosition(command.after, command.readOnly ? "BEGIN READ" : "BEGIN");
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
            return afterPosition(command.after, command.text);
        case "execute": {
            const text = `EXECUTE ${command.handle}`;
            return afterPosition(command.after, command.parameters === "" ? text : `${text} ${command.parameters}`);
        }
    }
}

/** Formats the text of a control command. */
export function formatControlCommand(command: connection.ControlCommand): string {
    return command.kind === "status" ? "STATUS" : `STEPDOWN ${command.term}`;
}

/** Prefixes a request with the log position that the endpoint must have applied before it runs the request. */
function afterPosition(position: positions.Position | undefined, text: string): string {
    return position === undefined ? text : `AFTER ${formatPosition(position)} ${text}`;
}

/** A message from an endpoint. */
export type EndpointMessage =
    | { readonly kind: "row"; readonly text: string }
    | { readonly kind: "complete"; readonly signature: string }
    | { readonly kind: "error"; readonly refusal: connection.Refusal; readonly text: string }
    | { readonly kind: "ready"; readonly state: caller.State; readonly position: positions.Position | undefined };

const refusalsByWord: Readonly<Record<string, connection.Refusal>> = {
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

const statesByWord: Readonly<Record<string, caller.State>> = { I: "idle", T: "transaction", E: "failed" };

/** Parses a line from an endpoint; undefined when it is invalid. */
export function parseEndpointMessage(line: string): EndpointMessage | undefined {
    const [word, rest] = splitWord(line);
    switch (word) {
        case "ROW":
            return { kind: "row", text: rest };
        case "COMPLETE":
            return { kind: "complete", signature: rest };
        case "ERROR": {
            const [errorWord, text] = splitWord(rest);
            return {
                kind: "error",
                refusal: Object.hasOwn(refusalsByWord, errorWord) ? refusalsByWord[errorWord] ?? "other" : "other",
                text: Buffer.from(text, encoding).toString("utf8"),
            };
        }
        case "READY": {
            const [stateWord, position] = splitWord(rest);
            const state = Object.hasOwn(statesByWord, stateWord) ? statesByWord[stateWord] : undefined;
            return state === undefined ? undefined : { kind: "ready", state, position: parsePosition(position) };
        }
        default:
            return undefined;
    }
}

const positionPattern = /^(\d+)\.(\d+)$/;

/** Parses a log position, `term.index`; undefined for any other text. */
export function parsePosition(text: string): positions.Position | undefined {
    const match = positionPattern.exec(text);
    return match === null ? undefined : { term: Number(match[1]), index: Number(match[2]) };
}

const statusFieldCount = 7;

/**
 * Parses the row that replies to a control command: role, term, received, applied, lag, busy, connections. The applied
 * position is taken from the READY line. Undefined when the row is invalid.
 */
export function parseStatus(row: string, applied: positions.Position | undefined): connection.Status | undefined {
    const fields = row.split(" ");
    const [role, , received] = fields;
    const receivedPosition = parsePosition(received ?? "");
    const [term, connections] = [Number(fields[1]), Number(fields[statusFieldCount - 1])];
    if (
        fields.length < statusFieldCount || receivedPosition === undefined || (role !== "primary" && role !== "replica")
        || !Number.isInteger(term) || !Number.isInteger(connections)
    ) {
        return undefined;
    }
    return {
        primary: role === "primary",
        term,
        received: receivedPosition,
        applied,
        connections,
    };
}
