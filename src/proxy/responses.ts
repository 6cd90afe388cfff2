/** Parts of the responses to callers that need nothing of a session. */
import * as failure from "../core/failure.js";
import type * as connections from "../ports/connection.js";

/** The endpoint's signature of a reply; undefined for one without. */
export function signature(reply: connections.Reply): string | undefined {
    return reply.outcome.kind === "done" ? reply.outcome.signature : undefined;
}

/** The failure of a request that makes no sense in the state of its session. */
export function invalidRequest(message: string): failure.Failure {
    return failure.create(failure.Code.statementInvalid, "request", message);
}

/** The failure of a request that names a statement which the session hasn't prepared. */
export function notPrepared(name: string): failure.Failure {
    return failure.create(failure.Code.statementUnknown, name, `No prepared statement is named ${name}.`);
}
