/** Selects the endpoint for a statement and acquires a connection to it. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as statements from "./statement.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/**
 * Selects the endpoint for a statement. If the statement needs the primary and none is known, waits for one until just
 * before the statement's deadline.
 */
export async function selectEndpoint(
    mode: caller.Mode,
    context: statements.Context,
    triedEndpoints: ReadonlySet<string>,
): Promise<Result<groups.Placement>> {
    const { group, route, lastCommit, organisation, homes, arrivedMs } = context;
    const request = {
        consistency: route.consistency,
        needsPrimary: mode === "write",
        arrivedMs,
        targetMs: statements.targetMs(context),
        lastCommit,
        organisation,
        homes,
        triedEndpoints,
    };
    const placement = group.place(request);
    if (placement.isErr() && placement.error.code === failure.Code.outsideHomes && group.needsSample(request)) {
        await group.querySample();
        return group.needsSample(request) ? neverthrow.err(noSample(group.name)) : group.place(request);
    }
    if (placement.isOk() || placement.error.code !== failure.Code.noPrimary) {
        return placement;
    }
    await group.waitForPrimary(context.deadlineMs - statements.minAttemptMs);
    return group.place(request);
}

function noSample(group: string): failure.Failure {
    const message = `The primary of ${group} reports no position, which a read by replicas alone depends on.`;
    return failure.create(failure.Code.replicaBehind, group, message, statements.retryAfterMs);
}

/** Acquires a connection to the selected endpoint, of this host or another; waits for a free one if necessary. */
export async function acquireConnection(
    mode: caller.Mode,
    placement: groups.Placement,
    context: statements.Context,
    isTransaction = false,
): Promise<Result<pools.PooledConnection>> {
    const { relaying } = context.group;
    const relayed = relaying?.connect({
        endpoint: placement.endpoint,
        needsPrimary: mode === "write" || placement.minPosition === undefined,
        context,
        isTransaction,
        targetMs: statements.targetMs(context),
        pool: context.group.pool(placement.endpoint),
    });
    if (relayed !== undefined) {
        return neverthrow.ok(relayed);
    }
    const pool = context.group.pool(placement.endpoint);
    if (pool === undefined) {
        const message = `Endpoint ${placement.endpoint} is no longer listed, or its failure domain is evacuated.`;
        return neverthrow.err(
            failure.create(failure.Code.endpointUnreachable, placement.endpoint, message, statements.retryAfterMs),
        );
    }
    const { organisation, variables } = context;
    // Without enough time left for the statement, a connection would only lead to a time-out during execution.
    const deadlineMs = context.deadlineMs - context.group.minStatementMs(placement.endpoint);
    const acquired = await pool.acquire({
        organisation,
        variables,
        deadlineMs,
        targetMs: statements.targetMs(context),
        priority: context.route.priority,
        isAbandoned: context.isAbandoned,
    });
    if (acquired.isOk() && context.group.isLeaving(placement.endpoint)) {
        acquired.value.release();
        const message =
            `Endpoint ${placement.endpoint} began to shut down while the statement waited for a connection.`;
        return neverthrow.err(
            failure.create(failure.Code.endpointUnreachable, placement.endpoint, message, statements.retryAfterMs),
        );
    }
    return relaying === undefined ? acquired : acquired.map(pooled => relaying.limit(placement.endpoint, pooled));
}
