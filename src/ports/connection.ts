/** Port to endpoints whose protocol has terms and log positions: connections that run one request at a time. */
import type * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import type * as caller from "./caller.js";

/** One request on a connection. */
export type Command =
    | { readonly kind: "begin"; readonly readOnly: boolean; readonly after?: positions.Position }
    | { readonly kind: "commit" }
    | { readonly kind: "rollback" }
    | { readonly kind: "statement"; readonly text: string; readonly after?: positions.Position }
    | {
        readonly kind: "execute";
        readonly handle: string;
        readonly parameters: string;
        readonly after?: positions.Position;
    }
    | { readonly kind: "set"; readonly name: string; readonly value: string }
    | { readonly kind: "prepare"; readonly handle: string; readonly mode: caller.Mode; readonly template: string }
    /** Drops session values and prepared statements. */
    | { readonly kind: "reset" };

/** Why an endpoint turned a request down or failed it. */
export type Refusal =
    | "busy"
    | "lagging"
    | "readOnly"
    | "misrouted"
    | "tooMany"
    | "unknownStatement"
    | "failed"
    | "timeout"
    | "aborted"
    | "other";

/** Refusals which promise that the request had no effect. */
export const withoutEffect: ReadonlySet<Refusal> = new Set([
    "busy",
    "lagging",
    "readOnly",
    "misrouted",
    "tooMany",
    "unknownStatement",
    "aborted",
]);

/** The whole answer to one request. */
export interface Reply {
    readonly rows: readonly string[];
    readonly outcome:
        | { readonly kind: "done"; readonly signature: string }
        | { readonly kind: "refused"; readonly refusal: Refusal; readonly text: string };
    readonly state: caller.State;
    readonly position: positions.Position | undefined;
}

/** A request without a whole answer. */
export interface ConnectionError {
    /** False when no byte of the request left this host. */
    readonly sent: boolean;
    /** True when the time limit ended the wait; the endpoint may only be slow. */
    readonly timedOut: boolean;
    readonly message: string;
}

/** What an endpoint says of itself. */
export interface Status {
    readonly primary: boolean;
    readonly term: number;
    /** Newest position received; a replica applies it later. */
    readonly received: positions.Position;
    /** Position up to which reads see the log. */
    readonly applied: positions.Position | undefined;
    readonly connections: number;
}

/** An order to an endpoint about its role. */
export type ControlCommand =
    | { readonly kind: "status" }
    /** Makes a primary of a lower term a replica. */
    | { readonly kind: "stepDown"; readonly term: number };

/** One open connection to an endpoint. */
export interface Connection {
    /** Runs one request; without a whole answer in time the connection is closed. */
    run(id: string, command: Command, timeoutMs: number): Promise<neverthrow.Result<Reply, ConnectionError>>;
    control(order: ControlCommand, timeoutMs: number): Promise<neverthrow.Result<Status, ConnectionError | Refusal>>;
    isOpen(): boolean;
    close(): void;
}

/** Where an endpoint is and who connects. */
export interface Target {
    readonly endpoint: string;
    readonly address: string;
    /** Name of the database group that the endpoint belongs to. */
    readonly group: string;
    readonly organisation: string;
}

/** Opens connections. */
export interface Dialer {
    dial(target: Target, timeoutMs: number): Promise<neverthrow.Result<Connection, ConnectionError | Refusal>>;
}
