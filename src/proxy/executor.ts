/**
 * Executes statements outside transactions: selects an endpoint, retries where that is safe, and hedges reads, that
 * is, sends a slow read to a second endpoint as well.
 */
import * as neverthrow from "neverthrow";
import * as eligibility from "../core/eligibility.js";
import * as failure from "../core/failure.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import * as selection from "./selection.js";
import * as statements from "./statement.js";

/** Options of an executor. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Executes statements outside transactions. */
export interface Executor {
    /** Retries transient failures until the deadline, but never a write that may have taken effect. */
    run(statement: statements.Statement, context: statements.Context): Promise<Result<statements.EndpointReply>>;
}

/** A read is hedged once the first endpoint takes this many times its expected time. */
const hedgeDelayFactor = 6;
/** Minimum time before a read is hedged. */
const minHedgeDelayMs = 120;

/** A failed attempt to execute a statement at one endpoint. */
interface FailedAttempt {
    readonly cause: failure.Failure;
    readonly retryable: boolean;
}

/** Creates an executor. */
export function createExecutor(options: Options): Executor {
    const { clock, events } = options;

    function readLost(endpoint: string, message: string): failure.Failure {
        const text = `No reply to the read: ${message}`;
        return failure.create(failure.Code.readLost, endpoint, text, statements.retryAfterMs);
    }

    /** Makes one attempt to execute a statement at the selected endpoint. */
    async function attempt(
        statement: statements.Statement,
        placement: groups.Placement,
        context: statements.Context,
    ): Promise<neverthrow.Result<statements.EndpointReply, FailedAttempt>> {
        const { group } = context;
        const { endpoint } = placement;
        const acquired = await selection.acquireConnection(statement.mode, placement, context);
        if (acquired.isErr()) {
            return neverthrow.err({ cause: acquired.error, retryable: true });
        }
        const write = statement.mode === "write";
        const needsPrimary = write || placement.minPosition === undefined;
        const setupStartedMs = clock.now();
        if (!await statements.setUpConnection(acquired.value, context, statement, clock)) {
            acquired.value.discard();
            const message = `Setting up the session at endpoint ${endpoint} failed.`;
            group.recordFailure(endpoint, setupStartedMs, { timedOut: true, message });
            const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, statements.retryAfterMs);
            return neverthrow.err({ cause, retryable: true });
        }
        if (needsPrimary && !group.isPrimary(endpoint)) {
            acquired.value.release();
            return neverthrow.err({ cause: statements.primaryUnconfirmed(endpoint), retryable: true });
        }
        const sentMs = clock.now();
        const command = statements.buildCommand(acquired.value, statement, placement.minPosition);
        const endWork = group.beginWork(endpoint);
        const result = await acquired.value.connection.run(
            statement.id,
            command,
            Math.max(1, statements.remainingMs(context, clock)),
        );
        const confirmed = !needsPrimary || group.mayAcknowledge(endpoint);
        endWork();
        if (result.isErr()) {
            acquired.value.discard();
            const { sent, message } = result.error;
            group.recordFailure(endpoint, sentMs, result.error);
            if (!sent) {
                const cause = failure.create(
                    failure.Code.endpointUnreachable,
                    endpoint,
                    message,
                    statements.retryAfterMs,
                );
                return neverthrow.err({ cause, retryable: true });
            }
            return neverthrow.err(
                write
                    ? { cause: statements.outcomeUnknown(endpoint, message), retryable: false }
                    : { cause: readLost(endpoint, message), retryable: true },
            );
        }
        const reply = result.value;
        acquired.value.release();
        const executed = reply.outcome.kind === "done";
        const floorAgeMs = placement.minPosition === undefined ? undefined : placement.sampleAgeMs;
        group.recordReply(endpoint, reply, sentMs, { executed, floorAgeMs });
        if (reply.outcome.kind === "refused") {
            const { refusal } = reply.outcome;
            if (refusal === "unknownStatement") {
                acquired.value.prepared.clear();
            }
            const cause = statements.fromRefusal(refusal, endpoint, reply.outcome.text);
            const retryable = connections.withoutEffect.has(refusal) || (!write && refusal !== "timeout");
            return neverthrow.err({ cause, retryable });
        }
        if (!confirmed) {
            return neverthrow.err(
                write
                    ? { cause: statements.outcomeUnknown(endpoint, "the primary can't be confirmed"), retryable: false }
                    : { cause: statements.primaryUnconfirmed(endpoint), retryable: true },
            );
        }
        return neverthrow.ok({ reply, endpoint, primary: placement.primary });
    }

    /** Executes a read; if the first endpoint is slow, a second one gets the read as well and the first success counts. */
    async function runHedged(
        statement: statements.Statement,
        first: groups.Placement,
        context: statements.Context,
        tried: Set<string>,
    ): Promise<neverthrow.Result<statements.EndpointReply, FailedAttempt>> {
        const firstAttempt = attempt(statement, first, context);
        if (first.minPosition === undefined) {
            return firstAttempt;
        }
        const hedgeDelayMs = Math.max(minHedgeDelayMs, first.expectedMs * hedgeDelayFactor);
        if (hedgeDelayMs >= statements.remainingMs(context, clock) - statements.minAttemptMs) {
            return firstAttempt;
        }
        const firstResult = await Promise.race([firstAttempt, clock.sleep(hedgeDelayMs)]);
        if (firstResult !== undefined) {
            return firstResult;
        }
        const second = await selection.selectEndpoint(statement.mode, context, tried);
        if (second.isErr()) {
            return firstAttempt;
        }
        tried.add(second.value.endpoint);
        events.emit("statementRetried", {
            request: statement.id,
            group: context.group.name,
            endpoint: second.value.endpoint,
            reason: `no reply from ${first.endpoint} after ${Math.round(hedgeDelayMs)} ms`,
        });
        const secondAttempt = attempt(statement, second.value, context);
        const fastest = await Promise.race([firstAttempt, secondAttempt]);
        if (fastest.isOk()) {
            return fastest;
        }
        const [firstOutcome, secondOutcome] = await Promise.all([firstAttempt, secondAttempt]);
        return firstOutcome.isOk() ? firstOutcome : secondOutcome;
    }

    return {
        async run(statement, context) {
            const tried = new Set<string>();
            let lastFailure: failure.Failure | undefined;
            for (;;) {
                const selected = await selection.selectEndpoint(statement.mode, context, tried);
                if (selected.isErr()) {
                    // No endpoint is left to try; after a pause, those already tried are eligible again.
                    const isFinal = eligibility.isFinal(selected.error);
                    if (!isFinal && tried.size > 0 && statements.canRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.retryPauseMs);
                        continue;
                    }
                    const cause = isFinal ? selected.error : lastFailure ?? selected.error;
                    return neverthrow.err(statements.reportFailure(cause, statement, context, options));
                }
                const { endpoint, minPosition, sampleAgeMs, left, rejected } = selected.value;
                tried.add(endpoint);
                const outcome = statement.mode === "read"
                    ? await runHedged(statement, selected.value, context, tried)
                    : await attempt(statement, selected.value, context);
                if (outcome.isOk()) {
                    events.emit("statementServed", {
                        request: statement.id,
                        organisation: context.organisation,
                        group: context.group.name,
                        endpoint: outcome.value.endpoint,
                        primary: outcome.value.primary,
                        floor: minPosition,
                        sampleAgeMs,
                        left,
                        rejected,
                        elapsedMs: Math.round(clock.now() - context.arrivedMs),
                    });
                    return neverthrow.ok(outcome.value);
                }
                lastFailure = outcome.error.cause;
                if (!outcome.error.retryable || !statements.canRetry(context, clock)) {
                    return neverthrow.err(statements.reportFailure(lastFailure, statement, context, options));
                }
                events.emit("statementRetried", {
                    request: statement.id,
                    group: context.group.name,
                    endpoint,
                    code: lastFailure.code,
                    reason: lastFailure.message,
                });
                if (selected.value.primary) {
                    await clock.sleep(statements.retryPauseMs);
                }
            }
        },
    };
}
