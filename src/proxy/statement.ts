/** Statements in execution: their context, connection set-up, and the failures reported to callers. */
import * as failure from "../core/failure.js";
import type * as homes from "../core/homes.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as readPositions from "../core/readposition.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";

/** A statement to execute. */
export interface Statement {
    /** Id of the caller's request. */
    readonly id: string;
    readonly mode: caller.Mode;
    /** The text, or the template of a prepared statement with its parameters. */
    readonly body:
        | { readonly kind: "text"; readonly text: string }
        | { readonly kind: "prepared"; readonly template: string; readonly parameters: string };
}

/** What the execution of a statement depends on: its route, organisation, session and deadline. */
export interface Context {
    readonly group: groups.Group;
    readonly route: policies.Route;
    readonly organisation: string;
    /** Regions in which the statement may run. */
    readonly homes: homes.Homes;
    readonly variables: pools.SessionVariables;
    /** The session's newest commit in this group, which reads have to see. */
    readonly lastCommit: readPositions.Commit | undefined;
    /** Arrival time of the request, or of its transaction's BEGIN. */
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    /** True once the caller has left. */
    isAbandoned?(): boolean;
}

/** A complete reply, and the endpoint that gave it. */
export interface EndpointReply {
    readonly reply: connections.Reply;
    readonly endpoint: string;
    /** True when the endpoint was the group's primary. */
    readonly primary: boolean;
}

/** Pause before a retry at a busy endpoint or after a change of primary. */
export const retryPauseMs = 15;
/** Delay suggested to callers before they retry after a transient failure. */
export const retryAfterMs = 100;
/** Time limit of the commands that set up a connection, and of a rollback. */
export const setupTimeoutMs = 1_000;
/** Minimum remaining time for which another attempt is made. */
export const minAttemptMs = 20;

/** Time until the statement's deadline, in milliseconds; negative after it. */
export function remainingMs(context: Pick<Context, "deadlineMs">, clock: runtime.Clock): number {
    return context.deadlineMs - clock.now();
}

/** Time by which the statement should be answered. */
export function targetMs({ deadlineMs, route }: Context): number {
    return deadlineMs - route.statementTimeoutMs + route.latencyTargetMs;
}

/** True when the caller still waits, and enough time remains for a pause and another attempt. */
export function canRetry(context: Context, clock: runtime.Clock): boolean {
    return context.isAbandoned?.() !== true && remainingMs(context, clock) > retryPauseMs + minAttemptMs;
}

/** Key of the statement in `PooledConnection.prepared`; undefined unless it is a prepared statement. */
function preparedStatementKey(statement: Statement | undefined): string | undefined {
    return statement?.body.kind === "prepared" ? `${statement.mode} ${statement.body.template}` : undefined;
}

/**
 * Sets the session variables on a connection and prepares the statement there, if it needs that.
 * Resolves to false when a command failed; the connection must then be discarded.
 */
export async function setUpConnection(
    pooled: pools.PooledConnection,
    context: Pick<Context, "deadlineMs" | "variables">,
    statement: Statement | undefined,
    clock: runtime.Clock,
): Promise<boolean> {
    const commands: connections.Command[] = [];
    const changed: (readonly [name: string, value: string])[] = [];
    // Only a reset removes a variable; it also drops the prepared statements.
    const hasForeignVariables = [...pooled.variables.keys()].some(name => !context.variables.has(name));
    if (hasForeignVariables) {
        commands.push({ kind: "reset" });
        pooled.variables.clear();
        pooled.prepared.clear();
    }
    for (const [name, value] of context.variables) {
        if (pooled.variables.get(name) !== value) {
            changed.push([name, value]);
            commands.push({ kind: "set", name, value });
        }
    }
    const key = preparedStatementKey(statement);
    const handle = `h${pooled.prepared.size}`;
    const isPrepared = key === undefined || pooled.prepared.has(key);
    if (statement?.body.kind === "prepared" && !isPrepared) {
        commands.push({ kind: "prepare", handle, mode: statement.mode, template: statement.body.template });
    }
    const timeoutMs = Math.min(setupTimeoutMs, Math.max(1, remainingMs(context, clock)));
    const replies = await Promise.all(
        commands.map(setupCommand => pooled.connection.run("-", setupCommand, timeoutMs)),
    );
    if (!replies.every(reply => reply.isOk() && reply.value.outcome.kind === "done")) {
        return false;
    }
    // The connection has the values that were sent, whatever the session has set meanwhile.
    changed.forEach(([name, value]) => pooled.variables.set(name, value));
    if (key !== undefined && !isPrepared) {
        pooled.prepared.set(key, handle);
    }
    return true;
}

/** The command that executes a statement on a connection that was set up for it. */
export function buildCommand(
    pooled: pools.PooledConnection,
    statement: Statement,
    minPosition?: positions.Position,
): connections.Command {
    const { body } = statement;
    if (body.kind === "text") {
        return { kind: "statement", text: body.text, after: minPosition };
    }
    const handle = pooled.prepared.get(preparedStatementKey(statement) ?? "") ?? "";
    return { kind: "execute", handle, parameters: body.parameters, after: minPosition };
}

/** The failure of a write or commit that may have taken effect. */
export function outcomeUnknown(endpoint: string, message: string): failure.Failure {
    return failure.create(failure.Code.outcomeUnknown, endpoint, `The statement's outcome is unknown: ${message}`);
}

/** The failure when an endpoint can't be confirmed as primary; nothing was written. */
export function primaryUnconfirmed(endpoint: string): failure.Failure {
    const message = `Endpoint ${endpoint} can't be confirmed as primary.`;
    return failure.create(failure.Code.noPrimary, endpoint, message, retryAfterMs);
}

/** The failure of a transaction that was rolled back. */
export function rolledBack(endpoint: string, message: string): failure.Failure {
    const text = `The transaction at ${endpoint} was rolled back: ${message}`;
    return failure.create(failure.Code.transactionLost, endpoint, text, retryAfterMs);
}

/** Translates an endpoint's refusal into the failure reported to the caller. */
export function fromRefusal(refusal: connections.Refusal, endpoint: string, text: string): failure.Failure {
    const create = (code: failure.Code, message: string): failure.Failure =>
        failure.create(code, endpoint, `Endpoint ${endpoint} ${message}.`, retryAfterMs);
    switch (refusal) {
        case "busy":
        case "tooMany":
            return create(failure.Code.overloaded, "has no free connection or is busy");
        case "lagging":
            return create(failure.Code.replicaBehind, "has not applied the position that the read requires");
        case "readOnly":
            return create(failure.Code.readOnly, "is not the primary");
        case "misrouted":
        case "unknownStatement":
            return create(
                failure.Code.endpointUnreachable,
                "is a different endpoint, or does not know the prepared statement",
            );
        case "aborted":
            return create(failure.Code.transactionLost, "aborted the transaction");
        case "timeout":
            return failure.create(failure.Code.statementTimeout, endpoint, `Endpoint ${endpoint} timed out: ${text}.`);
        default:
            return failure.create(failure.Code.endpointError, endpoint, `Endpoint ${endpoint} failed: ${text}.`);
    }
}

/** Logs why a statement was not served, and returns the failure. */
export function reportFailure(
    cause: failure.Failure,
    statement: Pick<Statement, "id">,
    context: Context,
    dependencies: { readonly clock: runtime.Clock; readonly events: events.EventLog },
): failure.Failure {
    const event = cause.code === failure.Code.outcomeUnknown
        ? "outcomeUnknown"
        : failure.isNotRun(cause)
        ? "operationRefused"
        : "statementFailed";
    dependencies.events.emit(event, {
        request: statement.id,
        organisation: context.organisation,
        group: context.group.name,
        code: cause.code,
        reason: cause.message,
        waitedMs: Math.round(dependencies.clock.now() - context.arrivedMs),
    });
    return cause;
}
