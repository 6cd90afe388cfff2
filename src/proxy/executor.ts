/** Runs statements outside transactions: placed, tried again where that is safe, and reads hedged. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import * as placing from "./selection.js";
import * as statements from "./statement.js";

/** Settings of a runner. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Runs statements outside transactions. */
export interface Executor {
    run(statement: statements.Statement, context: statements.Context): Promise<Result<statements.EndpointReply>>;
}

/** A read is sent to a second endpoint once the first takes this many times as long as expected. */
const hedgeFactor = 6;
/** Shortest time before a second endpoint is asked, in milliseconds. */
const hedgeFloorMs = 120;

/** A failed attempt: whether another may follow. */
interface Miss {
    readonly cause: failure.Failure;
    readonly again: boolean;
}

/** Creates a runner. */
export function createExecutor(options: Options): Executor {
    const { clock, events } = options;

    function lostRead(endpoint: string, message: string): failure.Failure {
        const text = `The read has no answer: ${message}`;
        return failure.create(failure.Code.readLost, endpoint, text, statements.retryAfterMs);
    }

    /** One attempt of a statement outside a transaction at one endpoint. */
    async function attempt(
        statement: statements.Statement,
        place: groups.Placement,
        context: statements.Context,
    ): Promise<neverthrow.Result<statements.EndpointReply, Miss>> {
        const { group } = context;
        const { endpoint } = place;
        const lease = await placing.acquireConnection(place, context);
        if (lease.isErr()) {
            return neverthrow.err({ cause: lease.error, again: true });
        }
        const write = statement.mode === "write";
        const needsLead = write || place.minPosition === undefined;
        const preparedMs = clock.now();
        if (!await statements.setUpConnection(lease.value, context, statement, clock)) {
            lease.value.discard();
            const message = `Endpoint ${endpoint} did not take the session's values.`;
            group.recordFailure(endpoint, preparedMs, { timedOut: true, message });
            const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, statements.retryAfterMs);
            return neverthrow.err({ cause, again: true });
        }
        if (needsLead && !group.isPrimary(endpoint)) {
            lease.value.release();
            return neverthrow.err({ cause: statements.primaryUnconfirmed(endpoint), again: true });
        }
        const askedMs = clock.now();
        const text = statements.command(lease.value, statement, place.minPosition);
        const leave = group.beginWork(endpoint);
        const answered = await lease.value.connection.run(
            statement.id,
            text,
            Math.max(1, statements.remainingMs(context, clock)),
        );
        const confirmed = !needsLead || group.mayAcknowledge(endpoint);
        leave();
        if (answered.isErr()) {
            lease.value.discard();
            const { sent, message } = answered.error;
            group.recordFailure(endpoint, askedMs, answered.error);
            if (!sent) {
                const cause = failure.create(
                    failure.Code.endpointUnreachable,
                    endpoint,
                    message,
                    statements.retryAfterMs,
                );
                return neverthrow.err({ cause, again: true });
            }
            return neverthrow.err(
                write
                    ? { cause: statements.outcomeUnknown(endpoint, message), again: false }
                    : { cause: lostRead(endpoint, message), again: true },
            );
        }
        const reply = answered.value;
        lease.value.release();
        const ran = reply.outcome.kind === "done";
        const floorAgeMs = place.minPosition === undefined ? undefined : place.sampleAgeMs;
        group.recordReply(endpoint, reply, askedMs, { executed: ran, floorAgeMs });
        if (reply.outcome.kind === "refused") {
            const { refusal } = reply.outcome;
            if (refusal === "unknownStatement") {
                lease.value.prepared.clear();
            }
            const cause = statements.fromRefusal(refusal, endpoint, reply.outcome.text);
            const again = connections.withoutEffect.has(refusal) || (!write && refusal !== "timeout");
            return neverthrow.err({ cause, again });
        }
        if (!confirmed) {
            return neverthrow.err(
                write
                    ? { cause: statements.outcomeUnknown(endpoint, "the primary can't be confirmed"), again: false }
                    : { cause: statements.primaryUnconfirmed(endpoint), again: true },
            );
        }
        return neverthrow.ok({ reply, endpoint, primary: place.primary });
    }

    /** Runs a read at one endpoint, and at a second one as well when the first is slow. */
    async function hedged(
        statement: statements.Statement,
        first: groups.Placement,
        context: statements.Context,
        tried: Set<string>,
    ): Promise<neverthrow.Result<statements.EndpointReply, Miss>> {
        const running = attempt(statement, first, context);
        if (first.minPosition === undefined) {
            return running;
        }
        const waitMs = Math.max(hedgeFloorMs, first.expectedMs * hedgeFactor);
        if (waitMs >= statements.remainingMs(context, clock) - statements.minAttemptMs) {
            return running;
        }
        const early = await Promise.race([running, clock.sleep(waitMs)]);
        if (early !== undefined) {
            return early;
        }
        const second = await placing.selectEndpoint(statement.mode, context, tried);
        if (second.isErr()) {
            return running;
        }
        tried.add(second.value.endpoint);
        events.emit("statementRetried", {
            request: statement.id,
            group: context.group.name,
            endpoint: second.value.endpoint,
            reason: `no answer from ${first.endpoint} after ${Math.round(waitMs)} ms`,
        });
        const other = attempt(statement, second.value, context);
        const winner = await Promise.race([running, other]);
        if (winner.isOk()) {
            return winner;
        }
        const [one, two] = await Promise.all([running, other]);
        return one.isOk() ? one : two;
    }

    return {
        async run(statement, context) {
            const tried = new Set<string>();
            let last: failure.Failure | undefined;
            for (;;) {
                const found = await placing.selectEndpoint(statement.mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && statements.canRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.retryPauseMs);
                        continue;
                    }
                    return neverthrow.err(statements.reportFailure(last ?? found.error, statement, context, options));
                }
                const { endpoint, minPosition: after, sampleAgeMs, rejected } = found.value;
                tried.add(endpoint);
                const outcome = statement.mode === "read"
                    ? await hedged(statement, found.value, context, tried)
                    : await attempt(statement, found.value, context);
                if (outcome.isOk()) {
                    events.emit("statementServed", {
                        request: statement.id,
                        organisation: context.organisation,
                        group: context.group.name,
                        endpoint: outcome.value.endpoint,
                        primary: outcome.value.primary,
                        floor: after,
                        sampleAgeMs,
                        rejected,
                        elapsedMs: Math.round(clock.now() - context.arrivedMs),
                    });
                    return neverthrow.ok(outcome.value);
                }
                last = outcome.error.cause;
                if (!outcome.error.again || !statements.canRetry(context, clock)) {
                    return neverthrow.err(statements.reportFailure(last, statement, context, options));
                }
                events.emit("statementRetried", {
                    request: statement.id,
                    group: context.group.name,
                    endpoint,
                    code: last.code,
                    reason: last.message,
                });
                if (found.value.primary) {
                    await clock.sleep(statements.retryPauseMs);
                }
            }
        },
    };
}
