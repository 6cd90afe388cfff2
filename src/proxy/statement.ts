/** A statement on its way to an endpoint: what it is, on whose behalf it runs, and the connection it runs on. */
import * as failure from "../core/failure.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";

/** A statement ready to run. */
export interface Statement {
    readonly id: string;
    readonly mode: caller.Mode;
    /** The text, or the prepared statement with its parameters. */
    readonly body:
        | { readonly kind: "text"; readonly text: string }
        | { readonly kind: "prepared"; readonly shape: string; readonly parameters: string };
}

/** On whose behalf, and until when. */
export interface Context {
    readonly group: groups.Group;
    readonly route: policies.Route;
    readonly organisation: string;
    readonly variables: pools.SessionVariables;
    readonly lastCommit: groups.Commit | undefined;
    readonly arrivedMs: number;
    readonly deadlineMs: number;
}

/** A whole answer, and where it came from. */
export interface EndpointReply {
    readonly reply: connections.Reply;
    readonly endpoint: string;
    readonly primary: boolean;
}

/** Pause before a busy or changed endpoint is asked again, in milliseconds. */
export const retryPauseMs = 15;
/** When a caller may come back after a refusal for a passing reason, in milliseconds. */
export const retryAfterMs = 100;
/** Time limit of the requests that prepare a connection, in milliseconds. */
export const setupTimeoutMs = 1_000;
/** Least time left for which another attempt is worth making, in milliseconds. */
export const minAttemptMs = 20;

/** Time left for a statement, in milliseconds. */
export function remainingMs(context: Context, clock: runtime.Clock): number {
    return context.deadlineMs - clock.now();
}

/** True while there is time for another attempt after a pause. */
export function canRetry(context: Context, clock: runtime.Clock): boolean {
    return remainingMs(context, clock) > retryPauseMs + minAttemptMs;
}

function preparedKey(statement: Statement | undefined): string | undefined {
    return statement?.body.kind === "prepared" ? `${statement.mode} ${statement.body.shape}` : undefined;
}

/** Brings a connection to the session's values and the statement it needs; false when it can't be used. */
export async function setUpConnection(
    lease: pools.PooledConnection,
    context: Context,
    statement: Statement | undefined,
    clock: runtime.Clock,
): Promise<boolean> {
    const commands: connections.Command[] = [];
    const foreign = [...lease.variables.keys()].some(name => !context.variables.has(name));
    if (foreign) {
        commands.push({ kind: "reset" });
        lease.variables.clear();
        lease.prepared.clear();
    }
    for (const [name, value] of context.variables) {
        if (lease.variables.get(name) !== value) {
            commands.push({ kind: "set", name, value });
        }
    }
    const key = preparedKey(statement);
    if (statement?.body.kind === "prepared" && key !== undefined && !lease.prepared.has(key)) {
        const handle = `h${lease.prepared.size}`;
        commands.push({ kind: "prepare", handle, mode: statement.mode, template: statement.body.shape });
    }
    const limitMs = Math.min(setupTimeoutMs, Math.max(1, remainingMs(context, clock)));
    const replies = await Promise.all(commands.map(toCommand => lease.connection.run("-", toCommand, limitMs)));
    if (!replies.every(reply => reply.isOk() && reply.value.outcome.kind === "done")) {
        return false;
    }
    context.variables.forEach((value, name) => lease.variables.set(name, value));
    if (key !== undefined && !lease.prepared.has(key)) {
        lease.prepared.set(key, `h${lease.prepared.size}`);
    }
    return true;
}

/** The command that runs a statement on a prepared connection. */
export function command(
    lease: pools.PooledConnection,
    statement: Statement,
    after?: positions.Position,
): connections.Command {
    const { body } = statement;
    if (body.kind === "text") {
        return { kind: "statement", text: body.text, after };
    }
    const handle = lease.prepared.get(preparedKey(statement) ?? "") ?? "";
    return { kind: "execute", handle, parameters: body.parameters, after };
}

/** The failure of a write or commit that may or may not have taken effect. */
export function outcomeUnknown(endpoint: string, message: string): failure.Failure {
    return failure.create(failure.Code.outcomeUnknown, endpoint, `The statement's outcome is unknown: ${message}`);
}

/** The failure of work at an endpoint that is not certainly primary; nothing ran. */
export function primaryUnconfirmed(endpoint: string): failure.Failure {
    const message = `Endpoint ${endpoint} can't be confirmed as primary.`;
    return failure.create(failure.Code.noPrimary, endpoint, message, retryAfterMs);
}

/** The failure of a transaction that is rolled back. */
export function rolledBack(endpoint: string, message: string): failure.Failure {
    const text = `The transaction at ${endpoint} is rolled back: ${message}`;
    return failure.create(failure.Code.transactionLost, endpoint, text, retryAfterMs);
}

/** The failure that an endpoint's refusal means for the caller. */
export function fromRefusal(refusal: connections.Refusal, endpoint: string, text: string): failure.Failure {
    const make = (code: failure.Code, message: string): failure.Failure =>
        failure.create(code, endpoint, `Endpoint ${endpoint} ${message}.`, retryAfterMs);
    switch (refusal) {
        case "busy":
        case "tooMany":
            return make(failure.Code.overloaded, "has no room");
        case "lagging":
            return make(failure.Code.replicaBehind, "lags behind the position that the read needs");
        case "readOnly":
            return make(failure.Code.readOnly, "is not the primary");
        case "misrouted":
        case "unknownStatement":
            return make(failure.Code.endpointUnreachable, "is not the one expected");
        case "aborted":
            return make(failure.Code.transactionLost, "rolled the transaction back");
        case "timeout":
            return failure.create(failure.Code.statementTimeout, endpoint, `Endpoint ${endpoint} timed out: ${text}.`);
        default:
            return failure.create(failure.Code.endpointError, endpoint, `Endpoint ${endpoint} failed: ${text}.`);
    }
}

/** Logs why a statement was not served, and passes the failure on. */
export function reportFailure(
    cause: failure.Failure,
    statement: Pick<Statement, "id">,
    context: Context,
    tools: { readonly clock: runtime.Clock; readonly events: events.EventLog },
): failure.Failure {
    const kind = cause.code === failure.Code.outcomeUnknown
        ? "outcomeUnknown"
        : failure.isNotRun(cause)
        ? "operationRefused"
        : "statementFailed";
    tools.events.emit(kind, {
        request: statement.id,
        organisation: context.organisation,
        group: context.group.name,
        code: cause.code,
        reason: cause.message,
        waitedMs: Math.round(tools.clock.now() - context.arrivedMs),
    });
    return cause;
}
