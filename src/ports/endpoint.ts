/** Port to a MySQL database endpoint. A connection runs one statement at a time. */
import type * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import type * as messages from "./messages.js";

/** How a statement failed. */
export type Fault =
    /** The endpoint replied with an error; the statement had no effect. */
    | { readonly kind: "refused"; readonly errno: number; readonly message: string }
    /** The statement was never sent. */
    | { readonly kind: "unsent"; readonly message: string }
    /** The statement was sent and no reply arrived, so it may have taken effect. */
    | { readonly kind: "unanswered"; readonly message: string };

/** Promise of a statement's result or fault. */
export type Outcome<T> = Promise<neverthrow.Result<T, Fault>>;

/** Result of a statement as the endpoint returns it. */
export type Reply = Pick<messages.Answer, "columns" | "rows" | "affectedRows" | "insertId">;

/** Result of a write and the log position of its commit. */
export interface CommitReply {
    readonly reply: Reply;
    readonly position: positions.Position;
}

/** One connection to an endpoint. */
export interface Connection {
    /** Runs one statement. */
    run(text: string, timeoutMs: number): Outcome<Reply>;
    /** Runs one statement that commits, and reads the log position of the commit in the same round trip. */
    commit(text: string, timeoutMs: number): Outcome<CommitReply>;
    isOpen(): boolean;
    close(): void;
}

/** Opens connections to endpoints. */
export interface Dialer {
    dial(endpoint: messages.Endpoint, timeoutMs: number): Outcome<Connection>;
}

/** ER_OPTION_PREVENTS_STATEMENT: the endpoint is read-only. */
export const readOnlyErrno = 1290;
/** ER_SERVER_SHUTDOWN: the endpoint is shutting down. */
export const shutdownErrno = 1053;
/** ER_DUP_ENTRY: a unique key already has this value. */
export const duplicateErrno = 1062;
/** ER_NO_SUCH_TABLE: the table does not exist. */
export const missingTableErrno = 1146;
