/** Runs single statements and the statements of transactions on a group's endpoints. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as caller from "../ports/caller.js";
import * as connections from "../ports/connection.js";
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
    readonly values: pools.Values;
    readonly own: positions.Position | undefined;
    readonly arrivedMs: number;
    readonly deadlineMs: number;
}

/** A whole answer, and where it came from. */
export interface Served {
    readonly reply: connections.Reply;
    readonly endpoint: string;
    readonly primary: boolean;
}

/** An open transaction on one connection. */
export interface Transaction {
    readonly endpoint: string;
    readonly primary: boolean;
    readonly lease: pools.Lease;
    wrote: boolean;
}

/** Settings of a runner. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.Events;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Runs statements. */
export interface Runner {
    /** Runs a statement outside any transaction. */
    single(statement: Statement, context: Context): Promise<Result<Served>>;
    /** Opens a transaction at an endpoint that suits it. */
    begin(id: string, readOnly: boolean, context: Context): Promise<Result<Transaction>>;
    /** Runs a statement inside a transaction. */
    within(transaction: Transaction, statement: Statement, context: Context): Promise<Result<Served>>;
    commit(transaction: Transaction, id: string, context: Context): Promise<Result<Served>>;
    rollback(transaction: Transaction): void;
}

/** Pause before a busy or changed endpoint is asked again, in milliseconds. */
const pauseMs = 15;
const retryMs = 100;
/** Time limit of the requests that prepare a connection, in milliseconds. */
const preludeMs = 1_000;
/** Least time left for which another attempt is worth making, in milliseconds. */
const leastMs = 20;
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

    function left(context: Context): number {
        return context.deadlineMs - clock.now();
    }

    function unknown(endpoint: string, message: string): failure.Failure {
        return failure.create(failure.Code.outcomeUnknown, endpoint, `The statement's outcome is unknown: ${message}`);
    }

    function lostRead(endpoint: string, message: string): failure.Failure {
        return failure.create(failure.Code.readLost, endpoint, `The read has no answer: ${message}`, retryMs);
    }

    /** Brings a connection to the session's values and the statement it needs. */
    async function prepare(lease: pools.Lease, context: Context, statement: Statement | undefined): Promise<boolean> {
        const commands: connections.Command[] = [];
        const foreign = [...lease.values.keys()].some(name => !context.values.has(name));
        if (foreign) {
            commands.push({ kind: "reset" });
            lease.values.clear();
            lease.prepared.clear();
        }
        for (const [name, value] of context.values) {
            if (lease.values.get(name) !== value) {
                commands.push({ kind: "set", name, value });
            }
        }
        const body = statement?.body;
        const key = body?.kind === "prepared" ? `${statement?.mode} ${body.shape}` : undefined;
        if (body?.kind === "prepared" && key !== undefined && !lease.prepared.has(key)) {
            const handle = `h${lease.prepared.size}`;
            commands.push({ kind: "prepare", handle, mode: statement?.mode ?? "read", shape: body.shape });
        }
        const replies = await Promise.all(
            commands.map(command =>
                lease.connection.run("-", command, Math.min(preludeMs, Math.max(1, left(context))))
            ),
        );
        if (!replies.every(reply => reply.isOk() && reply.value.outcome.kind === "done")) {
            return false;
        }
        context.values.forEach((value, name) => lease.values.set(name, value));
        if (key !== undefined && !lease.prepared.has(key)) {
            lease.prepared.set(key, `h${lease.prepared.size}`);
        }
        return true;
    }

    function command(lease: pools.Lease, statement: Statement, after?: positions.Position): connections.Command {
        const { body } = statement;
        if (body.kind === "text") {
            return { kind: "statement", text: body.text, after };
        }
        const handle = lease.prepared.get(`${statement.mode} ${body.shape}`) ?? "";
        return { kind: "execute", handle, parameters: body.parameters, after };
    }

    async function acquire(place: groups.Place, context: Context): Promise<Result<pools.Lease>> {
        const pool = context.group.pool(place.endpoint);
        if (pool === undefined) {
            const message = `Endpoint ${place.endpoint} is gone.`;
            return neverthrow.err(failure.create(failure.Code.endpointUnreachable, place.endpoint, message, retryMs));
        }
        const { organisation, values, deadlineMs } = context;
        return pool.acquire({ organisation, values, deadlineMs });
    }

    function translate(refusal: connections.Refusal, endpoint: string, text: string): failure.Failure {
        const make = (code: failure.Code, message: string): failure.Failure =>
            failure.create(code, endpoint, `Endpoint ${endpoint} ${message}.`, retryMs);
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
                return failure.create(
                    failure.Code.statementTimeout,
                    endpoint,
                    `Endpoint ${endpoint} timed out: ${text}.`,
                );
            default:
                return failure.create(failure.Code.endpointError, endpoint, `Endpoint ${endpoint} failed: ${text}.`);
        }
    }

    /** One attempt of a statement outside a transaction at one endpoint. */
    async function attempt(
        statement: Statement,
        place: groups.Place,
        context: Context,
    ): Promise<neverthrow.Result<Served, Miss>> {
        const { group } = context;
        const { endpoint } = place;
        const lease = await acquire(place, context);
        if (lease.isErr()) {
            return neverthrow.err({ cause: lease.error, again: true });
        }
        const write = statement.mode === "write";
        const needsLead = write || place.after === undefined;
        if (!await prepare(lease.value, context, statement)) {
            lease.value.discard();
            group.lost(endpoint);
            const message = `Endpoint ${endpoint} did not take the session's values.`;
            const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, retryMs);
            return neverthrow.err({ cause, again: true });
        }
        if (needsLead && !group.leads(endpoint)) {
            lease.value.release();
            return neverthrow.err({ cause: changed(endpoint), again: true });
        }
        const askedMs = clock.now();
        const text = command(lease.value, statement, place.after);
        const leave = group.enter(endpoint);
        const answered = await lease.value.connection.run(statement.id, text, Math.max(1, left(context)));
        const confirmed = !needsLead || group.acknowledges(endpoint);
        leave();
        if (answered.isErr()) {
            lease.value.discard();
            group.lost(endpoint);
            const { sent, message } = answered.error;
            if (!sent) {
                const cause = failure.create(failure.Code.endpointUnreachable, endpoint, message, retryMs);
                return neverthrow.err({ cause, again: true });
            }
            return neverthrow.err(
                write
                    ? { cause: unknown(endpoint, message), again: false }
                    : { cause: lostRead(endpoint, message), again: true },
            );
        }
        const reply = answered.value;
        lease.value.release();
        group.observe(endpoint, reply, askedMs, reply.outcome.kind === "done");
        if (reply.outcome.kind === "refused") {
            const { refusal } = reply.outcome;
            if (refusal === "unknownStatement") {
                lease.value.prepared.clear();
            }
            const cause = translate(refusal, endpoint, reply.outcome.text);
            const again = connections.notRun.has(refusal) || (!write && refusal !== "timeout");
            return neverthrow.err({ cause, again });
        }
        if (!confirmed) {
            return neverthrow.err(
                write
                    ? { cause: unknown(endpoint, "the primary can't be confirmed"), again: false }
                    : { cause: changed(endpoint), again: true },
            );
        }
        return neverthrow.ok({ reply, endpoint, primary: place.primary });
    }

    function changed(endpoint: string): failure.Failure {
        const message = `Endpoint ${endpoint} can't be confirmed as primary.`;
        return failure.create(failure.Code.noPrimary, endpoint, message, retryMs);
    }

    /** Finds a place, waiting for a primary if the statement needs one. */
    async function place(
        mode: caller.Mode,
        context: Context,
        tried: ReadonlySet<string>,
    ): Promise<Result<groups.Place>> {
        const { group, route, own, organisation, arrivedMs } = context;
        const need = {
            consistency: route.consistency,
            write: mode === "write",
            arrivedMs,
            own,
            organisation,
            tried,
        };
        const found = group.place(need);
        if (found.isOk() || found.error.code !== failure.Code.noPrimary) {
            return found;
        }
        await group.untilLed(context.deadlineMs - leastMs);
        return group.place(need);
    }

    /** Runs a read at one endpoint, and at a second one as well when the first is slow. */
    async function hedged(
        statement: Statement,
        first: groups.Place,
        context: Context,
        tried: Set<string>,
    ): Promise<neverthrow.Result<Served, Miss>> {
        const running = attempt(statement, first, context);
        if (first.after === undefined) {
            return running;
        }
        const waitMs = Math.max(hedgeFloorMs, first.expectedMs * hedgeFactor);
        if (waitMs >= left(context) - leastMs) {
            return running;
        }
        const early = await Promise.race([running, clock.sleep(waitMs)]);
        if (early !== undefined) {
            return early;
        }
        const second = await place(statement.mode, context, tried);
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

    function refuse(cause: failure.Failure, statement: Statement, context: Context): failure.Failure {
        const kind = cause.code === failure.Code.outcomeUnknown
            ? "outcomeUnknown"
            : failure.isNotRun(cause)
            ? "operationRefused"
            : "statementFailed";
        events.emit(kind, {
            request: statement.id,
            organisation: context.organisation,
            group: context.group.name,
            code: cause.code,
            reason: cause.message,
            waitedMs: Math.round(clock.now() - context.arrivedMs),
        });
        return cause;
    }

    return {
        async single(statement, context) {
            const tried = new Set<string>();
            let last: failure.Failure | undefined;
            for (;;) {
                const found = await place(statement.mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && left(context) > pauseMs + leastMs) {
                        tried.clear();
                        await clock.sleep(pauseMs);
                        continue;
                    }
                    return neverthrow.err(refuse(last ?? found.error, statement, context));
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
                if (!outcome.error.again || left(context) <= pauseMs + leastMs) {
                    return neverthrow.err(refuse(last, statement, context));
                }
                events.emit("statementRetried", {
                    request: statement.id,
                    group: context.group.name,
                    endpoint,
                    code: last.code,
                    reason: last.message,
                });
                if (found.value.primary) {
                    await clock.sleep(pauseMs);
                }
            }
        },
        async begin(id, readOnly, context) {
            const mode: caller.Mode = readOnly ? "read" : "write";
            const tried = new Set<string>();
            const shown: Statement = { id, mode, body: { kind: "text", text: "" } };
            let last: failure.Failure | undefined;
            for (;;) {
                const found = await place(mode, context, tried);
                if (found.isErr()) {
                    if (tried.size > 0 && left(context) > pauseMs + leastMs) {
                        tried.clear();
                        await clock.sleep(pauseMs);
                        continue;
                    }
                    return neverthrow.err(refuse(last ?? found.error, shown, context));
                }
                tried.add(found.value.endpoint);
                const opened = await open(id, readOnly, found.value, context);
                if (opened.isOk()) {
                    return neverthrow.ok(opened.value);
                }
                last = opened.error;
                if (left(context) <= pauseMs + leastMs) {
                    return neverthrow.err(refuse(last, shown, context));
                }
                if (found.value.primary) {
                    await clock.sleep(pauseMs);
                }
            }
        },
        async within(transaction, statement, context) {
            const { lease, endpoint } = transaction;
            const { group } = context;
            if (!await prepare(lease, context, statement)) {
                lease.discard();
                group.lost(endpoint);
                return neverthrow.err(refuse(aborted(endpoint, "the endpoint was lost"), statement, context));
            }
            for (;;) {
                const askedMs = clock.now();
                const limitMs = Math.max(1, left(context));
                const answered = await lease.connection.run(statement.id, command(lease, statement), limitMs);
                if (answered.isErr()) {
                    lease.discard();
                    group.lost(endpoint);
                    return neverthrow.err(refuse(aborted(endpoint, answered.error.message), statement, context));
                }
                const reply = answered.value;
                group.observe(endpoint, reply, askedMs, reply.outcome.kind === "done");
                if (reply.outcome.kind === "done") {
                    transaction.wrote ||= statement.mode === "write";
                    return neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                const patient = refusal === "busy" && reply.state === "transaction";
                if (!patient || left(context) <= pauseMs + leastMs) {
                    return neverthrow.err(refuse(translate(refusal, endpoint, text), statement, context));
                }
                await clock.sleep(pauseMs);
            }
        },
        async commit(transaction, id, context) {
            const { lease, endpoint } = transaction;
            const { group } = context;
            const shown: Statement = { id, mode: "write", body: { kind: "text", text: "" } };
            for (;;) {
                if (transaction.wrote && !group.leads(endpoint)) {
                    lease.discard();
                    return neverthrow.err(refuse(aborted(endpoint, "the primary is being replaced"), shown, context));
                }
                const askedMs = clock.now();
                const leave = group.enter(endpoint);
                const answered = await lease.connection.run(id, { kind: "commit" }, Math.max(1, left(context)));
                const confirmed = !transaction.wrote || group.acknowledges(endpoint);
                leave();
                if (answered.isErr()) {
                    lease.discard();
                    group.lost(endpoint);
                    return neverthrow.err(refuse(unknown(endpoint, answered.error.message), shown, context));
                }
                const reply = answered.value;
                group.observe(endpoint, reply, askedMs, reply.outcome.kind === "done");
                if (reply.outcome.kind === "done") {
                    lease.release();
                    return !confirmed
                        ? neverthrow.err(refuse(unknown(endpoint, "the primary can't be confirmed"), shown, context))
                        : neverthrow.ok({ reply, endpoint, primary: transaction.primary });
                }
                const { refusal, text } = reply.outcome;
                if (refusal === "busy" && reply.state === "transaction" && left(context) > pauseMs + leastMs) {
                    await clock.sleep(pauseMs);
                    continue;
                }
                lease.discard();
                const cause = connections.notRun.has(refusal)
                    ? translate(refusal, endpoint, text)
                    : unknown(endpoint, text);
                return neverthrow.err(refuse(cause, shown, context));
            }
        },
        rollback(transaction) {
            const { lease } = transaction;
            if (!lease.connection.open()) {
                lease.discard();
                return;
            }
            void lease.connection.run("-", { kind: "rollback" }, preludeMs).then(answered => {
                if (answered.isOk() && answered.value.state === "idle") {
                    lease.release();
                }
                else {
                    lease.discard();
                }
            });
        },
    };

    function aborted(endpoint: string, message: string): failure.Failure {
        const text = `The transaction at ${endpoint} is rolled back: ${message}`;
        return failure.create(failure.Code.transactionLost, endpoint, text, retryMs);
    }

    async function open(
        id: string,
        readOnly: boolean,
        found: groups.Place,
        context: Context,
    ): Promise<Result<Transaction>> {
        const { group } = context;
        const { endpoint, after, primary } = found;
        const acquired = await acquire(found, context);
        if (acquired.isErr()) {
            return neverthrow.err(acquired.error);
        }
        const lease = acquired.value;
        if (!await prepare(lease, context, undefined)) {
            lease.discard();
            group.lost(endpoint);
            return neverthrow.err(changed(endpoint));
        }
        const askedMs = clock.now();
        const begun = await lease.connection.run(id, { kind: "begin", readOnly, after }, Math.max(1, left(context)));
        if (begun.isErr()) {
            lease.discard();
            group.lost(endpoint);
            return neverthrow.err(changed(endpoint));
        }
        const { outcome, state } = begun.value;
        group.observe(endpoint, begun.value, askedMs, false);
        if (outcome.kind === "refused" || state !== "transaction") {
            if (state === "idle") {
                lease.release();
            }
            else {
                lease.discard();
            }
            const refusal = outcome.kind === "refused" ? outcome.refusal : "other";
            return neverthrow.err(translate(refusal, endpoint, outcome.kind === "refused" ? outcome.text : ""));
        }
        const transaction = { endpoint, primary, lease, wrote: false };
        if (after === undefined && !group.leads(endpoint)) {
            lease.discard();
            return neverthrow.err(changed(endpoint));
        }
        return neverthrow.ok(transaction);
    }
}
