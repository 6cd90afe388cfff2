/** Transactions: each runs on one connection from its first statement to its end. */
import * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import * as placing from "./placing.js";
import type * as pools from "./pool.js";
import * as statements from "./statement.js";

/** An open transaction on one connection. */
export interface Transaction {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly lease: pools.Lease;
    wrote: boolean;
}

/** Settings of transactions. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.Events;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Runs transactions. */
export interface Transactions {
    /** Opens a transaction at an endpoint that suits it. */
    begin(id: string, readOnly: boolean, context: statements.Context): Promise<Result<Transaction>>;
    /** Runs a statement inside a transaction. */
    within(
        transaction: Transaction,
        statement: statements.Statement,
        context: statements.Context,
    ): Promise<Result<statements.Served>>;
    commit(transaction: Transaction, id: string, context: statements.Context): Promise<Result<statements.Served>>;
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
        return neverthrow.err(statements.refuse(cause, request, context, options));
    }

    async function open(
        id: string,
        readOnly: boolean,
        found: groups.Place,
        context: statements.Context,
    ): Promise<Result<Transaction>> {
        const { group } = context;
        const { endpoint, after, primary } = found;
        const acquired = await placing.acquire(found, context);
        if (acquired.isErr()) {
            return neverthrow.err(acquired.error);
        }
        const lease = acquired.value;
        const preparedMs = clock.now();
        if (!await statements.prepare(lease, context, undefined, clock)) {
            lease.discard();
            group.lost(endpoint, preparedMs, { late: true, message: "the session's values were not taken" });
            return neverthrow.err(statements.changed(endpoint));
        }
        const askedMs = clock.now();
        const begun = await lease.connection.run(
            id,
            { kind: "begin", readOnly, after },
            Math.max(1, statements.left(context, clock)),
        );
        if (begun.isErr()) {
            lease.discard();
            group.lost(endpoint, askedMs, begun.error);
            return neverthrow.err(statements.changed(endpoint));
        }
        const { outcome, state } = begun.value;
        const floorAgeMs = after === undefined ? undefined : found.sampleAgeMs;
        group.observe(endpoint, begun.value, askedMs, { ran: false, floorAgeMs });
        if (outcome.kind === "refused" || state !== "transaction") {
            if (state === "idle") {
                lease.release();
            }
            else {
                lease.discard();
            }
            const refusal = outcome.kind === "refused" ? outcome.refusal : "other";
            return neverthrow.err(
                statements.translate(refusal, endpoint, outcome.kind === "refused" ? outcome.text : ""),
            );
        }
        const transaction = { endpoint, primary, lease, wrote: false };
        if (after === undefined && !group.leads(endpoint)) {
            lease.discard();
            return neverthrow.err(statements.changed(endpoint));
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
                const found = await placing.find(mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && statements.mayRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.pauseMs);
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
                if (!statements.mayRetry(context, clock)) {
                    return refuse(last, shown, context);
                }
                if (found.value.primary) {
                    await clock.sleep(statements.pauseMs);
                }
            }
        },
        async within(transaction, statement, context) {
            const { lease, endpoint } = transaction;
            const { group } = context;
            const preparedMs = clock.now();
            if (!await statements.prepare(lease, context, statement, clock)) {
                lease.discard();
                group.lost(endpoint, preparedMs, { late: true, message: "the session's values were not taken" });
                return refuse(statements.aborted(endpoint, "the endpoint was lost"), statement, context);
            }
            for (;;) {
                const askedMs = clock.now();
                const limitMs = Math.max(1, statements.left(context, clock));
                const answered = await lease.connection.run(
                    statement.id,
                    statements.command(lease, statement),
                    limitMs,
                );
                if (answered.isErr()) {
                    lease.discard();
                    group.lost(endpoint, askedMs, answered.error);
                    return refuse(statements.aborted(endpoint, answered.error.message), statement, context);
                }
                const reply = answered.value;
                const ran = reply.outcome.kind === "done";
                group.observe(endpoint, reply, askedMs, { ran, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    transaction.wrote ||= statement.mode === "write";
                    return neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                const patient = refusal === "busy" && reply.state === "transaction";
                if (!patient || !statements.mayRetry(context, clock)) {
                    return refuse(statements.translate(refusal, endpoint, text), statement, context);
                }
                await clock.sleep(statements.pauseMs);
            }
        },
        async commit(transaction, id, context) {
            const { lease, endpoint } = transaction;
            const { group } = context;
            const shown = { id };
            for (;;) {
                if (transaction.wrote && !group.leads(endpoint)) {
                    lease.discard();
                    return refuse(statements.aborted(endpoint, "the primary is being replaced"), shown, context);
                }
                const askedMs = clock.now();
                const leave = group.enter(endpoint);
                const answered = await lease.connection.run(
                    id,
                    { kind: "commit" },
                    Math.max(1, statements.left(context, clock)),
                );
                const confirmed = !transaction.wrote || group.acknowledges(endpoint);
                leave();
                if (answered.isErr()) {
                    lease.discard();
                    group.lost(endpoint, askedMs, answered.error);
                    const { sent, message } = answered.error;
                    const cause = sent ? statements.unknown(endpoint, message) : statements.aborted(endpoint, message);
                    return refuse(cause, shown, context);
                }
                const reply = answered.value;
                const ran = reply.outcome.kind === "done";
                group.observe(endpoint, reply, askedMs, { ran, floorAgeMs: undefined });
                if (reply.outcome.kind === "done") {
                    lease.release();
                    return !confirmed
                        ? refuse(statements.unknown(endpoint, "the primary can't be confirmed"), shown, context)
                        : neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                if (
                    refusal === "busy" && reply.state === "transaction"
                    && statements.mayRetry(context, clock)
                ) {
                    await clock.sleep(statements.pauseMs);
                    continue;
                }
                lease.discard();
                const cause = connections.notRun.has(refusal)
                    ? statements.translate(refusal, endpoint, text)
                    : statements.unknown(endpoint, text);
                return refuse(cause, shown, context);
            }
        },
        rollback(transaction) {
            const { lease } = transaction;
            if (!lease.connection.open()) {
                lease.discard();
                return;
            }
            void lease.connection.run("-", { kind: "rollback" }, statements.preludeMs).then(answered => {
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
