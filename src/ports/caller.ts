/** Port to callers whose protocol declares the kind of each request: requests, responses and sessions. */
import type * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as positions from "../core/position.js";

/** Access that the caller declares for a statement: `write` when it may change data. */
export type Mode = "read" | "write";

/** One request of a caller. */
export type Request =
    | { readonly kind: "begin"; readonly readOnly: boolean }
    | { readonly kind: "commit" }
    | { readonly kind: "rollback" }
    | { readonly kind: "statement"; readonly mode: Mode; readonly text: string }
    | { readonly kind: "set"; readonly name: string; readonly value: string }
    | { readonly kind: "prepare"; readonly name: string; readonly mode: Mode; readonly template: string }
    | { readonly kind: "execute"; readonly name: string; readonly parameters: string }
    | { readonly kind: "deallocate"; readonly name: string };

/** Transaction state of a session after a request; `failed` is an open transaction that can only be rolled back. */
export type State = "idle" | "transaction" | "failed";

/** Result of a successful request. */
export interface Success {
    readonly rows: readonly string[];
    /** Signature of the endpoint that ran the request; undefined when the host answered it itself. */
    readonly signature: string | undefined;
}

/** Complete response to one request. */
export interface Response {
    readonly result: neverthrow.Result<Success, failure.Failure>;
    readonly state: State;
    /** Log position that the endpoint returned with its reply. */
    readonly position: positions.Position | undefined;
    /** True when the connection must be closed after this response. */
    readonly closeConnection?: boolean;
}

/** Session of one caller connection, from login to disconnect. It handles one request at a time. */
export interface Session {
    handle(id: string, request: Request): Promise<Response>;
    /** True while no transaction is open. */
    idle(): boolean;
    /** Rolls back an open transaction and releases the session. */
    close(): void;
}

/** Authenticates callers. */
export interface Login {
    /** Opens a session on a database for the holder of an API key; a name that can't be decoded is undefined and unknown. */
    open(database: string | undefined, key: string | undefined): neverthrow.Result<Session, failure.Failure>;
}
