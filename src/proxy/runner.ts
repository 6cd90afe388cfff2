/** Runs statements outside transactions: placed, tried again where that is safe, and reads hedged. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import * as placing from "./placing.js";
import * as statements from "./statement.js";

/** Settings of a runner. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.Events;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Runs statements outside transactions. */
export interface Runner {
    run(statement: statements.Statement, context: statements.Context): Promise<Result<statements.Served>>;
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
export function createRunner(options: Options): Runner {
    const { clock, events } = options;

    function lostRead(endpoint: string, message: string): failure.Failure {
        const text = `The read has no answer: ${message}`;
        return failure.create(failure.Code.readLost, endpoint, text, statements.retryMs);
    }

    /** One attempt of a statement outside a transaction at one endpoint. */
    async function attempt(
        statement: statements.Statement,
        place: groups.Place,
        context: statements.Context,
    ): Promise<neverthrow.Result<statements.Served, Miss>> {
        const { group } = context;
        const { endpoint } = place;
        const lease = await placing.acquire(place, context);
        if (lease.isErr()) {
            return neverthrow.err({ cause: lease.error, again: true });
        }
        const write = statement.mode === "write";
        const needsLead = write || place.after === undefined;
        const preparedMs = clock.now();
        if (!await statements.prepare(lease.value, context, statement, clock)) {
            lease.value.discard();
            const message = `Endpoint ${endpoint} did not take the session's values.`;
            group.lost(endpoint, preparedMs, { late: true, message });
            const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, statements.retryMs);
            return neverthrow.err({ cause, again: true });
        }
        if (needsLead && !group.leads(endpoint)) {
            lease.value.release();
            return neverthrow.err({ cause: statements.changed(endpoint), again: true });
        }
        const askedMs = clock.now();
        const text = statements.command(lease.value, statement, place.after);
        const leave = group.enter(endpoint);
        const answered = await lease.value.connection.run(
            statement.id,
            text,
            Math.max(1, statements.left(context, clock)),
        );
        const confirmed = !needsLead || group.acknowledges(endpoint);
        leave();
        if (answered.isErr()) {
            lease.value.discard();
            const { sent, message } = answered.error;
            group.lost(endpoint, askedMs, answered.error);
            if (!sent) {
                const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, statements.retryMs);
                return neverthrow.err({ cause, again: true });
            }
            return neverthrow.err(
                write
                    ? { cause: statements.unknown(endpoint, message), again: false }
                    : { cause: lostRead(endpoint, message), again: true },
            );
        }
        const reply = answered.value;
        lease.value.release();
        const ran = reply.outcome.kind === "done";
        const floorAgeMs = place.after === undefined ? undefined : place.sampleAgeMs;
        group.observe(endpoint, reply, askedMs, { ran, floorAgeMs });
        if (reply.outcome.kind === "refused") {
            const { refusal } = reply.outcome;
            if (refusal === "unknownStatement") {
                lease.value.prepared.clear();
            }
            const cause = statements.translate(refusal, endpoint, reply.outcome.text);
            const again = connections.notRun.has(refusal) || (!write && refusal !== "timeout");
            return neverthrow.err({ cause, again });
        }
        if (!confirmed) {
            return neverthrow.err(
                write
                    ? { cause: statements.unknown(endpoint, "the primary can't be confirmed"), again: false }
                    : { cause: statements.changed(endpoint), again: true },
            );
        }
        return neverthrow.ok({ reply, endpoint, primary: place.primary });
    }

    /** Runs a read at one endpoint, and at a second one as well when the first is slow. */
    async function hedged(
        statement: statements.Statement,
        first: groups.Place,
        context: statements.Context,
        tried: Set<string>,
    ): Promise<neverthrow.Result<statements.Served, Miss>> {
        const running = attempt(statement, first, context);
        if (first.after === undefined) {
            return running;
        }
        const waitMs = Math.max(hedgeFloorMs, first.expectedMs * hedgeFactor);
        if (waitMs >= statements.left(context, clock) - statements.leastMs) {
            return running;
        }
        const early = await Promise.race([running, clock.sleep(waitMs)]);
        if (early !== undefined) {
            return early;
        }
        const second = await placing.find(statement.mode, context, tried);
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
                const found = await placing.find(statement.mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && statements.mayRetry(context, clock)) {
                        tried.clear();
                        await clock.sleep(statements.pauseMs);
                        continue;
                    }
                    return neverthrow.err(statements.refuse(last ?? found.error, statement, context, options));
                }
                const { endpoint, after, sampleAgeMs, rejected } = found.value;
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
                if (!outcome.error.again || !statements.mayRetry(context, clock)) {
                    return neverthrow.err(statements.refuse(last, statement, context, options));
                }
                events.emit("statementRetried", {
                    request: statement.id,
                    group: context.group.name,
                    endpoint,
                    code: last.code,
                    reason: last.message,
                });
                if (found.value.primary) {
                    await clock.sleep(statements.pauseMs);
                }
            }
        },
    };
}
