/** Port to a database endpoint: links that run one statement at a time. */
import type * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import type * as messages from "./messages.js";

/** How a statement on a link went wrong. */
export type Fault =
    /** The endpoint answered with an error; the statement had no effect. */
    | { readonly kind: "refused"; readonly errno: number; readonly message: string }
    /** The statement was never sent. */
    | { readonly kind: "unsent"; readonly message: string }
    /** The statement was sent and no answer came. */
    | { readonly kind: "unanswered"; readonly message: string };

/** What a statement gave. */
export type Outcome<T> = Promise<neverthrow.Result<T, Fault>>;

/** The part of an answer that an endpoint gives. */
export type Reply = Pick<messages.Answer, "columns" | "rows" | "affectedRows" | "insertId">;

/** A write's answer with its place in the log. */
export interface CommitReply {
    readonly reply: Reply;
    readonly position: positions.Position;
}

/** One connection to an endpoint. */
export interface Connection {
    /** Runs one statement. */
    run(text: string, timeoutMs: number): Outcome<Reply>;
    /** Runs one statement that commits, and reads its position in the same round trip. */
    commit(text: string, timeoutMs: number): Outcome<CommitReply>;
    isOpen(): boolean;
    close(): void;
}

/** Opens links. */
export interface Dialer {
    dial(endpoint: messages.Endpoint, timeoutMs: number): Outcome<Connection>;
}

/** Error number of an endpoint that takes no writes. */
export const readOnlyErrno = 1290;
/** Error number of an endpoint that shuts down. */
export const shutdownErrno = 1053;
/** Error number of a duplicate key. */
export const duplicateErrno = 1062;
/** Error number of a missing table. */
export const missingTableErrno = 1146;
