/** Execution of transactions, each on a single connection. */
import * as neverthrow from "neverthrow";
import * as eligibility from "../core/eligibility.js";
import type * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as selection from "./selection.js";
import * as statements from "./statement.js";

/** An open transaction on one connection. The connection is released or discarded when the transaction ends. */
export interface Transaction {
    readonly endpoint: string;
    /** True when the endpoint was selected as the group's primary. */
    readonly primary: boolean;
    readonly connection: pools.PooledConnection;
    /** False once nothing more may be sent to the endpoint; closing the connection rolls back too. */
    mayContinue(): boolean;
    /** True once a write succeeded in the transaction. */
    wrote: boolean;
}

/** Options of the execution of transactions. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Executes transactions. Every failure is logged before it is returned. */
export interface Transactions {
    /** Begins a transaction at a suitable endpoint; tries others until the deadline. */
    begin(id: string, readOnly: boolean, context: statements.Context): Promise<Result<Transaction>>;
    /** Executes a statement in a transaction. After a failure the caller has to roll the transaction back. */
    run(
        transaction: Transaction,
        statement: statements.Statement,
        context: statements.Context,
    ): Promise<Result<statements.EndpointReply>>;
    /** Commits; fails with `outcomeUnknown` when the commit may have taken effect. Always ends the transaction. */
    commit(
        transaction: Transaction,
        id: string,
        context: statements.Context,
    ): Promise<Result<statements.EndpointReply>>;
    /** Rolls back in the background; the connection is closed if that fails. */
    rollback(transaction: Transaction): void;
}

/** Creates the execution of transactions of one host. */
export function createTransactions(options: Options): Transactions {
    const { clock } = options;

    /** Logs why the request was not served, and returns the failure. */
    function refuse(
        cause: failure.Failure,
        request: Pick<statements.Statement, "id">,
        context: statements.Context,
    ): neverthrow.Err<never, failure.Failure> {
        return neverthrow.err(statements.reportFailure(cause, request, context, options));
    }

    /** Makes one attempt to begin a transaction at the selected endpoint. */
    async function openTransaction(
        id: string,
        readOnly: boolean,
        placement: groups.Placement,
        context: statements.Context,
    ): Promise<Result<Transaction>> {
        const { group } = context;
        const { endpoint, minPosition, primary } = placement;
        const acquired = await selection.acquireConnection(readOnly ? "read" : "write", placement, context, true);
        if (acquired.isErr()) {
            return neverthrow.err(acquired.error);
        }
        const pooled = acquired.value;
        const setupStartedMs = clock.now();
        if (!await statements.setUpConnection(pooled, context, undefined, clock)) {
            pooled.discard();
            group.recordFailure(endpoint, setupStartedMs, {
                timedOut: true,
                message: "setting up the session failed",
            });
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        const sentMs = clock.now();
        const begun = await pooled.connection.run(
            id,
            { kind: "begin", readOnly, after: minPosition },
            Math.max(1, statements.remainingMs(context, clock)),
        );
        if (begun.isErr()) {
            pooled.discard();
            group.recordFailure(endpoint, sentMs, begun.error);
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        const { outcome, state } = begun.value;
        const floorAgeMs = minPosition === undefined ? undefined : placement.sampleAgeMs;
        group.recordReply(endpoint, begun.value, sentMs, { executed: false, floorAgeMs });
        if (outcome.kind === "refused" || state !== "transaction") {
            if (state === "idle") {
                pooled.release();
            }
            else {
                pooled.discard();
            }
            const refusal = outcome.kind === "refused" ? outcome.refusal : "other";
            return neverthrow.err(
                statements.fromRefusal(refusal, endpoint, outcome.kind === "refused" ? outcome.text : ""),
            );
        }
        const mayContinue = (): boolean => group.mayContinue(endpoint);
        const transaction = { endpoint, primary, connection: pooled, mayContinue, wrote: false };
        if (minPosition === undefined && !group.isPrimary(endpoint)) {
            pooled.discard();
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        return neverthrow.ok(transaction);
    }

    return {
        async begin(id, readOnly, context) {
            const mode: caller.Mode = readOnly ? "read" : "write";
            const tried = new Set<string>();
            const request = { id };
            let lastFailure: failure.Failure | undefined;
            for (;;) {
                const selected = await selection.selectEndpoint(mode, context, tried);
                if (selected.isErr()) {
                    // No endpoint is left to try; after a pause, those already tried are eligible again.
                    const isFinal = eligibility.isFinal(selected.error);
                    if (!isFinal && tried.size > 0 && statements.canRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.retryPauseMs);
                        continue;
                    }
                    return refuse(isFinal ? selected.error : lastFailure ?? selected.error, request, context);
                }
                tried.add(selected.value.endpoint);
                const opened = await openTransaction(id, readOnly, selected.value, context);
                if (opened.isOk()) {
                    return neverthrow.ok(opened.value);
                }
                lastFailure = opened.error;
                if (!statements.canRetry(context, clock)) {
                    return refuse(lastFailure, request, context);
                }
                if (selected.value.primary) {
                    await clock.sleep(statements.retryPauseMs);
                }
            }
        },
        async run(transaction, statement, context) {
            const { connection: pooled, endpoint } = transaction;
            const { group } = context;
            if (!group.mayContinue(endpoint)) {
                pooled.discard();
                return refuse(statements.rolledBack(endpoint, "its failure domain is evacuated"), statement, context);
            }
            const setupStartedMs = clock.now();
            if (!await statements.setUpConnection(pooled, context, statement, clock)) {
                pooled.discard();
                group.recordFailure(endpoint, setupStartedMs, {
                    timedOut: true,
                    message: "setting up the session failed",
                });
                return refuse(statements.rolledBack(endpoint, "setting up the session failed"), statement, context);
            }
            for (;;) {
                const sentMs = clock.now();
                const timeoutMs = Math.max(1, statements.remainingMs(context, clock));
                const result = await pooled.connection.run(
                    statement.id,
                    statements.buildCommand(pooled, statement),
                    timeoutMs,
                );
                if (result.isErr()) {
                    pooled.discard();
                    group.recordFailure(endpoint, sentMs, result.error);
                    return refuse(statements.rolledBack(endpoint, result.error.message), statement, context);
                }
                const reply = result.value;
                const executed = reply.outcome.kind === "done";
                group.recordReply(endpoint, reply, sentMs, { executed, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    transaction.wrote ||= statement.mode === "write";
                    return neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                const retryable = refusal === "busy" && reply.state === "transaction";
                if (!retryable || !statements.canRetry(context, clock)) {
                    return refuse(statements.fromRefusal(refusal, endpoint, text), statement, context);
                }
                await clock.sleep(statements.retryPauseMs);
            }
        },
        async commit(transaction, id, context) {
            const { connection: pooled, endpoint } = transaction;
            const { group } = context;
            const request = { id };
            for (;;) {
                if (!group.mayContinue(endpoint)) {
                    pooled.discard();
                    return refuse(statements.rolledBack(endpoint, "its failure domain is evacuated"), request, context);
                }
                if (transaction.wrote && !group.isPrimary(endpoint)) {
                    pooled.discard();
                    return refuse(statements.rolledBack(endpoint, "the primary is being replaced"), request, context);
                }
                const sentMs = clock.now();
                const endWork = group.beginWork(endpoint);
                const result = await pooled.connection.run(
                    id,
                    { kind: "commit" },
                    Math.max(1, statements.remainingMs(context, clock)),
                );
                const confirmed = !transaction.wrote || group.mayAcknowledge(endpoint);
                endWork();
                if (result.isErr()) {
                    pooled.discard();
                    group.recordFailure(endpoint, sentMs, result.error);
                    const { sent, message } = result.error;
                    const cause = sent
                        ? statements.outcomeUnknown(endpoint, message)
                        : statements.rolledBack(endpoint, message);
                    return refuse(cause, request, context);
                }
                const reply = result.value;
                const executed = reply.outcome.kind === "done";
                group.recordReply(endpoint, reply, sentMs, { executed, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    pooled.release();
                    return !confirmed
                        ? refuse(
                            statements.outcomeUnknown(endpoint, "the primary can't be confirmed"),
                            request,
                            context,
                        )
                        : neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                if (
                    refusal === "busy" && reply.state === "transaction"
                    && statements.canRetry(context, clock)
                ) {
                    await clock.sleep(statements.retryPauseMs);
                    continue;
                }
                pooled.discard();
                const cause = connections.withoutEffect.has(refusal)
                    ? statements.fromRefusal(refusal, endpoint, text)
                    : statements.outcomeUnknown(endpoint, text);
                return refuse(cause, request, context);
            }
        },
        rollback(transaction) {
            const { connection: pooled, mayContinue } = transaction;
            if (!pooled.connection.isOpen() || !mayContinue()) {
                pooled.discard();
                return;
            }
            void pooled.connection.run("-", { kind: "rollback" }, statements.setupTimeoutMs).then(result => {
                if (result.isOk() && result.value.state === "idle") {
                    pooled.release();
                }
                else {
                    pooled.discard();
                }
            });
        },
    };
}
