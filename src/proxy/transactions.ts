/** Transactions: each runs on one connection from its first statement to its end. */
import * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as placing from "./selection.js";
import * as statements from "./statement.js";

/** An open transaction on one connection. */
export interface Transaction {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly connection: pools.PooledConnection;
    wrote: boolean;
}

/** Settings of transactions. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Runs transactions. */
export interface Transactions {
    /** Opens a transaction at an endpoint that suits it. */
    begin(id: string, readOnly: boolean, context: statements.Context): Promise<Result<Transaction>>;
    /** Runs a statement inside a transaction. */
    run(
        transaction: Transaction,
        statement: statements.Statement,
        context: statements.Context,
    ): Promise<Result<statements.EndpointReply>>;
    commit(
        transaction: Transaction,
        id: string,
        context: statements.Context,
    ): Promise<Result<statements.EndpointReply>>;
    rollback(transaction: Transaction): void;
}

/** Creates what runs transactions. */
export function createTransactions(options: Options): Transactions {
    const { clock } = options;

    /** Logs why the request was not served, and gives the failure. */
    function refuse(
        cause: failure.Failure,
        request: Pick<statements.Statement, "id">,
        context: statements.Context,
    ): neverthrow.Err<never, failure.Failure> {
        return neverthrow.err(statements.reportFailure(cause, request, context, options));
    }

    async function open(
        id: string,
        readOnly: boolean,
        found: groups.Placement,
        context: statements.Context,
    ): Promise<Result<Transaction>> {
        const { group } = context;
        const { endpoint, minPosition: after, primary } = found;
        const acquired = await placing.acquireConnection(found, context);
        if (acquired.isErr()) {
            return neverthrow.err(acquired.error);
        }
        const lease = acquired.value;
        const preparedMs = clock.now();
        if (!await statements.setUpConnection(lease, context, undefined, clock)) {
            lease.discard();
            group.recordFailure(endpoint, preparedMs, {
                timedOut: true,
                message: "the session's values were not taken",
            });
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        const askedMs = clock.now();
        const begun = await lease.connection.run(
            id,
            { kind: "begin", readOnly, after },
            Math.max(1, statements.remainingMs(context, clock)),
        );
        if (begun.isErr()) {
            lease.discard();
            group.recordFailure(endpoint, askedMs, begun.error);
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        const { outcome, state } = begun.value;
        const floorAgeMs = after === undefined ? undefined : found.sampleAgeMs;
        group.recordReply(endpoint, begun.value, askedMs, { executed: false, floorAgeMs });
        if (outcome.kind === "refused" || state !== "transaction") {
            if (state === "idle") {
                lease.release();
            }
            else {
                lease.discard();
            }
            const refusal = outcome.kind === "refused" ? outcome.refusal : "other";
            return neverthrow.err(
                statements.fromRefusal(refusal, endpoint, outcome.kind === "refused" ? outcome.text : ""),
            );
        }
        const transaction = { endpoint, primary, connection: lease, wrote: false };
        if (after === undefined && !group.isPrimary(endpoint)) {
            lease.discard();
            return neverthrow.err(statements.primaryUnconfirmed(endpoint));
        }
        return neverthrow.ok(transaction);
    }

    return {
        async begin(id, readOnly, context) {
            const mode: caller.Mode = readOnly ? "read" : "write";
            const tried = new Set<string>();
            const shown = { id };
            let last: failure.Failure | undefined;
            for (;;) {
                const found = await placing.selectEndpoint(mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && statements.canRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.retryPauseMs);
                        continue;
                    }
                    return refuse(last ?? found.error, shown, context);
                }
                tried.add(found.value.endpoint);
                const opened = await open(id, readOnly, found.value, context);
                if (opened.isOk()) {
                    return neverthrow.ok(opened.value);
                }
                last = opened.error;
                if (!statements.canRetry(context, clock)) {
                    return refuse(last, shown, context);
                }
                if (found.value.primary) {
                    await clock.sleep(statements.retryPauseMs);
                }
            }
        },
        async run(transaction, statement, context) {
            const { connection: lease, endpoint } = transaction;
            const { group } = context;
            const preparedMs = clock.now();
            if (!await statements.setUpConnection(lease, context, statement, clock)) {
                lease.discard();
                group.recordFailure(endpoint, preparedMs, {
                    timedOut: true,
                    message: "the session's values were not taken",
                });
                return refuse(statements.rolledBack(endpoint, "the endpoint was lost"), statement, context);
            }
            for (;;) {
                const askedMs = clock.now();
                const limitMs = Math.max(1, statements.remainingMs(context, clock));
                const answered = await lease.connection.run(
                    statement.id,
                    statements.command(lease, statement),
                    limitMs,
                );
                if (answered.isErr()) {
                    lease.discard();
                    group.recordFailure(endpoint, askedMs, answered.error);
                    return refuse(statements.rolledBack(endpoint, answered.error.message), statement, context);
                }
                const reply = answered.value;
                const ran = reply.outcome.kind === "done";
                group.recordReply(endpoint, reply, askedMs, { executed: ran, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    transaction.wrote ||= statement.mode === "write";
                    return neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                const patient = refusal === "busy" && reply.state === "transaction";
                if (!patient || !statements.canRetry(context, clock)) {
                    return refuse(statements.fromRefusal(refusal, endpoint, text), statement, context);
                }
                await clock.sleep(statements.retryPauseMs);
            }
        },
        async commit(transaction, id, context) {
            const { connection: lease, endpoint } = transaction;
            const { group } = context;
            const shown = { id };
            for (;;) {
                if (transaction.wrote && !group.isPrimary(endpoint)) {
                    lease.discard();
                    return refuse(statements.rolledBack(endpoint, "the primary is being replaced"), shown, context);
                }
                const askedMs = clock.now();
                const leave = group.beginWork(endpoint);
                const answered = await lease.connection.run(
                    id,
                    { kind: "commit" },
                    Math.max(1, statements.remainingMs(context, clock)),
                );
                const confirmed = !transaction.wrote || group.mayAcknowledge(endpoint);
                leave();
                if (answered.isErr()) {
                    lease.discard();
                    group.recordFailure(endpoint, askedMs, answered.error);
                    const { sent, message } = answered.error;
                    const cause = sent
                        ? statements.outcomeUnknown(endpoint, message)
                        : statements.rolledBack(endpoint, message);
                    return refuse(cause, shown, context);
                }
                const reply = answered.value;
                const ran = reply.outcome.kind === "done";
                group.recordReply(endpoint, reply, askedMs, { executed: ran, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    lease.release();
                    return !confirmed
                        ? refuse(statements.outcomeUnknown(endpoint, "the primary can't be confirmed"), shown, context)
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
                lease.discard();
                const cause = connections.withoutEffect.has(refusal)
                    ? statements.fromRefusal(refusal, endpoint, text)
                    : statements.outcomeUnknown(endpoint, text);
                return refuse(cause, shown, context);
            }
        },
        rollback(transaction) {
            const { connection: lease } = transaction;
            if (!lease.connection.isOpen()) {
                lease.discard();
                return;
            }
            void lease.connection.run("-", { kind: "rollback" }, statements.setupTimeoutMs).then(answered => {
                if (answered.isOk() && answered.value.state === "idle") {
                    lease.release();
                }
                else {
                    lease.discard();
                }
            });
        },
    };
}
