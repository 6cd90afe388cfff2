/** Port to callers whose protocol states what a request is: the requests, and the answers they get. */
import type * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as positions from "../core/position.js";

/** Whether a statement may change data. */
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

/** State of a session after a request: outside a transaction, inside one, or inside one that can only end. */
export type State = "idle" | "transaction" | "failed";

/** What a request gave, with the signature of the endpoint that ran it. */
export interface Success {
    readonly rows: readonly string[];
    /** Absent when the host itself answered. */
    readonly signature: string | undefined;
}

/** The whole answer to one request. */
export interface Response {
    readonly result: neverthrow.Result<Success, failure.Failure>;
    readonly state: State;
    /** Log position of the endpoint that answered. */
    readonly position: positions.Position | undefined;
    /** True when the connection has to close after this answer. */
    readonly closeConnection?: boolean;
}

/** One caller's connection, from login to end. Requests are handed over one at a time. */
export interface Session {
    handle(id: string, request: Request): Promise<Response>;
    /** True while no transaction is open. */
    idle(): boolean;
    /** Rolls back what is open and forgets the session. */
    close(): void;
}

/** Where callers log in. */
export interface Login {
    open(database: string, key: string): neverthrow.Result<Session, failure.Failure>;
}
