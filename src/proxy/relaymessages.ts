/**
 * Messages of the relay, by which a host has a statement run on a connection that another host holds. They are tuples, as
 * there is one for each statement. Times are durations.
 */
import * as neverthrow from "neverthrow";
import * as z from "zod";
import type * as positions from "../core/position.js";
import * as connections from "../ports/connection.js";
import type * as messages from "../ports/messages.js";

const position = z.tuple([z.number().int().min(0).describe("term"), z.number().int().min(0).describe("index")]);
const mode = z.enum(["read", "write"]);

const command = z.union([
    z.tuple([z.literal("text"), z.string(), position.nullable().describe("position to be applied")]),
    z.tuple([
        z.literal("prepared"),
        mode,
        z.string().describe("template"),
        z.string().describe("parameters"),
        position.nullable().describe("position to be applied"),
    ]),
    z.tuple([z.literal("begin"), z.boolean().describe("read-only"), position.nullable()]),
    z.tuple([z.literal("commit")]),
    z.tuple([z.literal("rollback")]),
]).readonly();
/** A command as it travels; a prepared statement carries its template. */
export type Command = z.infer<typeof command>;

const variables = z.array(z.string()).readonly().describe("names and values of the session variables by turns");

/** A statement outside of transactions, or the beginning of a transaction. */
export const statement = z.tuple([
    z.string().describe("endpoint"),
    z.number().describe("start of the endpoint's process"),
    z.string().describe("organisation"),
    variables,
    z.string().describe("id of the caller's request"),
    command,
    z.boolean().describe("true if only the primary may run it"),
    z.number().describe("time left, in milliseconds"),
    z.number().describe("time until it should be answered, in milliseconds"),
    z.number().describe("priority"),
]).readonly();
/** A statement outside of transactions, or the beginning of a transaction. */
export type Statement = z.infer<typeof statement>;

/** A further command in a transaction. */
export const continuation = z.tuple([
    z.string().describe("handle of the transaction"),
    variables,
    z.string().describe("id of the caller's request"),
    command,
    z.number().describe("time left, in milliseconds"),
]).readonly();
/** A further command in a transaction. */
export type Continuation = z.infer<typeof continuation>;

/** Transactions that the sender still uses, and those whose connections it wants closed. */
export const upkeep = z.tuple([
    z.array(z.string()).readonly().describe("handles to keep"),
    z.array(z.string()).readonly().describe("handles to close"),
]).readonly();

/** Transactions that the sender still uses, and those whose connections it wants closed. */
export type Upkeep = z.infer<typeof upkeep>;

const refusal = z.enum(connections.refusals);

/** What became of a relayed command. */
export const result = z.union([
    z.tuple([
        z.literal("declined"),
        z.string().describe("reason"),
        z.enum(["leaving", "overloaded", "other"]).describe("whether others are to be asked, and this host again"),
    ]),
    z.tuple([
        z.literal("failed"),
        z.boolean().describe("true if it was sent to the endpoint"),
        z.boolean().describe("true if the time limit expired"),
        z.string().describe("message"),
    ]),
    z.tuple([
        z.literal("done"),
        z.array(z.string()).readonly().describe("rows"),
        z.string().describe("signature"),
        z.enum(["idle", "transaction", "failed"]),
        position.nullable(),
    ]),
    z.tuple([
        z.literal("refused"),
        refusal,
        z.string().describe("text"),
        z.enum(["idle", "transaction", "failed"]),
        position.nullable(),
    ]),
]).readonly();
/** What became of a relayed command; one that was declined was not sent to the endpoint. */
export type Result = z.infer<typeof result>;

/** Reply to a relayed command. */
export const reply = z.tuple([
    result,
    z.number().describe("time from receipt to reply, in milliseconds"),
    z.number().describe("time of it that the endpoint took, in milliseconds"),
    z.string().nullable().describe("handle of the transaction that it opened"),
]).readonly();
/** Reply to a relayed command. */
export type Reply = z.infer<typeof reply>;

const method = <Request, Answer>(
    name: string,
    request: z.ZodType<Request>,
    answer: z.ZodType<Answer>,
): messages.Method<Request, Answer> => ({ name, request, reply: answer });

/** RPC methods of the relay. */
export const methods = {
    /** Runs a statement, or opens a transaction, on a connection that the receiver holds. It is never relayed on. */
    run: method("relay", statement, reply),
    continue: method("relayContinue", continuation, reply),
    upkeep: method("relayUpkeep", upkeep, z.object({}).readonly()),
} as const;

/** Names and values by turns. */
export function encodeVariables(values: ReadonlyMap<string, string>): readonly string[] {
    return [...values].flat();
}

/** The session variables by name. */
export function decodeVariables(flat: readonly string[]): ReadonlyMap<string, string> {
    const values = new Map<string, string>();
    for (let index = 0; index + 1 < flat.length; index += 2) {
        values.set(flat[index] ?? "", flat[index + 1] ?? "");
    }
    return values;
}

/** A position as it travels. */
export function encodePosition(value: positions.Position | undefined): [number, number] | null {
    return value === undefined ? null : [value.term, value.index];
}

/** A position, if there is one. */
export function decodePosition(value: readonly [number, number] | null): positions.Position | undefined {
    return value === null ? undefined : { term: value[0], index: value[1] };
}

/** The outcome of a request on a connection, as it travels. */
export function encodeResult(outcome: neverthrow.Result<connections.Reply, connections.ConnectionError>): Result {
    if (outcome.isErr()) {
        const { sent, timedOut, message } = outcome.error;
        return ["failed", sent, timedOut, message];
    }
    const { rows, outcome: answer, state, position: at } = outcome.value;
    return answer.kind === "done"
        ? ["done", [...rows], answer.signature, state, encodePosition(at)]
        : ["refused", answer.refusal, answer.text, state, encodePosition(at)];
}

/** The outcome of a relayed request, as of one on a connection of this host. */
export function decodeResult(
    answer: Result,
    executionMs: number,
): neverthrow.Result<connections.Reply, connections.ConnectionError> {
    switch (answer[0]) {
        case "declined":
            return neverthrow.err({ sent: false, timedOut: false, message: answer[1], relayed: true });
        case "failed":
            return neverthrow.err({ sent: answer[1], timedOut: answer[2], message: answer[3], relayed: true });
        case "done": {
            const [, rows, signature, state, at] = answer;
            const outcome = { kind: "done" as const, signature };
            return neverthrow.ok({ rows, outcome, state, position: decodePosition(at), executionMs });
        }
        case "refused": {
            const [, reason, text, state, at] = answer;
            const outcome = { kind: "refused" as const, refusal: reason, text };
            return neverthrow.ok({ rows: [], outcome, state, position: decodePosition(at), executionMs });
        }
    }
}
