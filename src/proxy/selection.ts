/** Finds the endpoint for a statement and a connection to it. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as statements from "./statement.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Finds a place, waiting for a primary if the statement needs one. */
export async function selectEndpoint(
    mode: caller.Mode,
    context: statements.Context,
    tried: ReadonlySet<string>,
): Promise<Result<groups.Placement>> {
    const { group, route, lastCommit: own, organisation, arrivedMs } = context;
    const need = {
        consistency: route.consistency,
        needsPrimary: mode === "write",
        arrivedMs,
        lastCommit: own,
        organisation,
        triedEndpoints: tried,
    };
    const found = group.place(need);
    if (found.isOk() || found.error.code !== failure.Code.noPrimary) {
        return found;
    }
    await group.waitForPrimary(context.deadlineMs - statements.minAttemptMs);
    return group.place(need);
}

/** Waits for a connection to the place. */
export async function acquireConnection(
    place: groups.Placement,
    context: statements.Context,
): Promise<Result<pools.PooledConnection>> {
    const pool = context.group.pool(place.endpoint);
    if (pool === undefined) {
        const message = `Endpoint ${place.endpoint} is gone.`;
        return neverthrow.err(
            failure.create(failure.Code.endpointUnreachable, place.endpoint, message, statements.retryAfterMs),
        );
    }
    const { organisation, variables: values } = context;
    // A connection that comes too late for an answer would only break the statement off.
    const deadlineMs = context.deadlineMs - context.group.minStatementMs(place.endpoint);
    return pool.acquire({ organisation, variables: values, deadlineMs });
}
