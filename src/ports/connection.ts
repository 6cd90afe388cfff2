/** Port to endpoints whose protocol reports terms and log positions. A connection runs one request at a time. */
import type * as neverthrow from "neverthrow";
import type * as positions from "../core/position.js";
import type * as caller from "./caller.js";

/** Request to an endpoint. The endpoint runs it only if it has applied the log up to the position `after`. */
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
    /** Clears session variables and prepared statements. */
    | { readonly kind: "reset" };

/** Reasons for which an endpoint rejects or fails a request. */
export const refusals = [
    "busy",
    "lagging",
    "readOnly",
    "misrouted",
    "tooMany",
    "unknownStatement",
    "failed",
    "timeout",
    "aborted",
    "other",
] as const;

/** Why an endpoint rejected or failed a request. */
export type Refusal = (typeof refusals)[number];

/** Refusals that guarantee that the request had no effect. */
export const withoutEffect: ReadonlySet<Refusal> = new Set([
    "busy",
    "lagging",
    "readOnly",
    "misrouted",
    "tooMany",
    "unknownStatement",
    "aborted",
]);

/** Complete reply of an endpoint to one request. */
export interface Reply {
    readonly rows: readonly string[];
    readonly outcome:
        | { readonly kind: "done"; readonly signature: string }
        | { readonly kind: "refused"; readonly refusal: Refusal; readonly text: string };
    readonly state: caller.State;
    readonly position: positions.Position | undefined;
    /** Time that the endpoint took, in milliseconds, when another host sent the request; else the caller measures it. */
    readonly executionMs?: number;
}

/** Failure of a request that got no complete reply. */
export interface ConnectionError {
    /** False when nothing of the request was sent, so that it can't have had an effect. */
    readonly sent: boolean;
    /** True when the time limit expired; the endpoint may be slow rather than down. */
    readonly timedOut: boolean;
    readonly message: string;
    /** True when another host was to send the request: this host has learnt nothing of the endpoint. */
    readonly relayed?: boolean;
}

/** Replication status that an endpoint reports. */
export interface Status {
    readonly primary: boolean;
    readonly term: number;
    /** Last log position received; a replica may not have applied it yet. */
    readonly received: positions.Position;
    /** Last log position applied, and so visible to reads. */
    readonly applied: positions.Position | undefined;
    readonly connections: number;
}

/** Administrative command to an endpoint. */
export type ControlCommand =
    | { readonly kind: "status" }
    /** Demotes a primary of a lower term to replica. */
    | { readonly kind: "stepDown"; readonly term: number };

/** One open connection to an endpoint. */
export interface Connection {
    /** Runs one request. The connection is closed if no complete reply arrives within the time limit. */
    run(id: string, command: Command, timeoutMs: number): Promise<neverthrow.Result<Reply, ConnectionError>>;
    /** Runs an administrative command and returns the status after it. */
    control(command: ControlCommand, timeoutMs: number): Promise<neverthrow.Result<Status, ConnectionError | Refusal>>;
    isOpen(): boolean;
    close(): void;
}

/** Endpoint to connect to, and the organisation on whose behalf. */
export interface Target {
    readonly endpoint: string;
    readonly address: string;
    /** Database group of the endpoint. */
    readonly group: string;
    readonly organisation: string;
}

/** Opens connections to endpoints. */
export interface Dialer {
    dial(target: Target, timeoutMs: number): Promise<neverthrow.Result<Connection, ConnectionError | Refusal>>;
}
