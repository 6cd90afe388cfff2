/** One caller's session: who it is, its values and prepared names, and its transaction. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as allowances from "../core/limiter.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import * as access from "./access.js";
import type * as events from "./events.js";
import type * as runners from "./executor.js";
import type * as groups from "./group.js";
import type * as statements from "./statement.js";
import type * as transactions from "./transactions.js";

/** Settings that all sessions of a host share. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly metrics: RequestMetrics;
    readonly executor: runners.Executor;
    readonly transactions: transactions.Transactions;
    readonly limiter: allowances.Limiter;
    policy(): policies.Policy;
    group(name: string): groups.Group;
    /** Called before anything that rests on ages. */
    checkSuspension(): void;
}

/** Counts what sessions did. */
export interface RequestMetrics {
    /** An operation of an organisation is within its limit. */
    admitted(organisation: string): void;
    served(route: string, organisation: string, primary: boolean, mode: caller.Mode, elapsedMs: number): void;
    refused(route: string, organisation: string, code: failure.Code, elapsedMs: number): void;
}

interface Prepared {
    readonly mode: caller.Mode;
    readonly shape: string;
}

/** A transaction from its BEGIN on; it opens at an endpoint with its first statement. */
interface Block {
    readonly id: string;
    readonly readOnly: boolean;
    readonly arrivedMs: number;
    readonly route: policies.Route;
    opened: transactions.Transaction | undefined;
    failed: boolean;
    stopIdle: (() => void) | undefined;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Creates the session of a caller that was let in. */
export function createSession(options: Options, database: string, key: string): caller.Session {
    const { clock, executor: runner, transactions: blocks } = options;
    const values = new Map<string, string>();
    const prepared = new Map<string, Prepared>();
    let block: Block | undefined;
    let own: (groups.Commit & { readonly group: string }) | undefined;
    let closed = false;
    let running = false;

    function state(): caller.State {
        return block === undefined ? "idle" : block.failed ? "failed" : "transaction";
    }

    function give(
        result: Result<caller.Success>,
        position: positions.Position | undefined,
        last = false,
    ): caller.Response {
        return { result, state: state(), position, closeConnection: last };
    }

    function acknowledge(): caller.Response {
        return give(neverthrow.ok({ rows: [], signature: undefined }), undefined);
    }

    function refuse(cause: failure.Failure, last = false): caller.Response {
        return give(neverthrow.err(cause), undefined, last);
    }

    function context(
        admitted: access.Authorisation,
        route: policies.Route,
        arrivedMs: number,
        nowMs: number,
    ): statements.Context {
        return {
            group: options.group(route.group),
            route,
            organisation: admitted.organisation,
            variables: values,
            lastCommit: own?.group === route.group ? own : undefined,
            arrivedMs,
            deadlineMs: nowMs + route.statementTimeoutMs,
        };
    }

    function admit(id: string, admitted: access.Authorisation, nowMs: number): failure.Failure | undefined {
        if (admitted.organisation === access.anonymous) {
            return undefined;
        }
        const decision = options.limiter.admit(admitted.organisation, nowMs);
        if (decision.admitted) {
            options.metrics.admitted(admitted.organisation);
            return undefined;
        }
        const cause = allowances.limitExceeded(admitted.organisation, decision.retryAfterMs);
        options.events.emit("operationRefused", {
            request: id,
            organisation: admitted.organisation,
            database,
            code: cause.code,
            reason: cause.message,
            retryAfterMs: cause.retryAfterMs,
            ...decision.state,
        });
        options.metrics.refused(database, admitted.organisation, cause.code, 0);
        return cause;
    }

    function endBlock(): void {
        block?.stopIdle?.();
        if (block?.opened !== undefined) {
            blocks.rollback(block.opened);
            block.opened = undefined;
        }
        block = undefined;
    }

    /** Rolls an idle transaction back; the caller learns of it with its next request. */
    function watchIdle(current: Block): void {
        const idleMs = options.policy().transactionIdleMs;
        if (idleMs > 0) {
            current.stopIdle = clock.after(idleMs, () => {
                options.events.emit("transactionLost", { database, request: current.id, reason: "idle", idleMs });
                fail(current);
            });
        }
    }

    /** Gives a failed transaction's connection back; only the caller can end the transaction. */
    function fail(current: Block): void {
        current.failed = true;
        if (current.opened !== undefined) {
            blocks.rollback(current.opened);
            current.opened = undefined;
        }
    }

    /** Notes the position of a commit, which the session's later reads have to see. */
    function remember(served: Result<statements.EndpointReply>, route: policies.Route, wrote: boolean): void {
        if (served.isOk() && wrote && served.value.reply.position !== undefined) {
            own = { group: route.group, position: served.value.reply.position, committedMs: clock.now() };
        }
    }

    function report(
        served: Result<statements.EndpointReply>,
        admitted: access.Authorisation,
        mode: caller.Mode,
        startMs: number,
    ): caller.Response {
        const elapsedMs = clock.now() - startMs;
        if (served.isErr()) {
            options.metrics.refused(database, admitted.organisation, served.error.code, elapsedMs);
            return refuse(served.error);
        }
        const { reply, primary } = served.value;
        options.metrics.served(database, admitted.organisation, primary, mode, elapsedMs);
        return give(neverthrow.ok({ rows: reply.rows, signature: signature(reply) }), reply.position);
    }

    async function single(
        statement: statements.Statement,
        admitted: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        const over = admit(statement.id, admitted, nowMs);
        if (over !== undefined) {
            return refuse(over);
        }
        const served = await runner.run(statement, context(admitted, admitted.route, nowMs, nowMs));
        remember(served, admitted.route, statement.mode === "write");
        return report(served, admitted, statement.mode, nowMs);
    }

    async function within(
        current: Block,
        statement: statements.Statement,
        admitted: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        const surroundings = context(admitted, current.route, current.arrivedMs, nowMs);
        const opened = await enter(current, surroundings);
        if (opened.isErr()) {
            current.failed = true;
            options.metrics.refused(database, admitted.organisation, opened.error.code, clock.now() - nowMs);
            return refuse(opened.error);
        }
        const served = await blocks.run(opened.value, statement, surroundings);
        if (served.isErr()) {
            fail(current);
        }
        else if (!closed) {
            watchIdle(current);
        }
        return report(served, admitted, statement.mode, nowMs);
    }

    async function enter(current: Block, surroundings: statements.Context): Promise<Result<transactions.Transaction>> {
        if (current.opened !== undefined) {
            return neverthrow.ok(current.opened);
        }
        const opened = await blocks.begin("-", current.readOnly, surroundings);
        if (opened.isOk()) {
            current.opened = opened.value;
            if (closed) {
                blocks.rollback(opened.value);
                return neverthrow.err(lost("the caller has left"));
            }
        }
        return opened;
    }

    function lost(why: string): failure.Failure {
        const message = `The transaction is rolled back: ${why}.`;
        return failure.create(failure.Code.transactionLost, database, message, 0);
    }

    async function run(
        statement: statements.Statement,
        admitted: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        if (block === undefined) {
            return single(statement, admitted, nowMs);
        }
        if (block.failed) {
            return refuse(invalid("The transaction has failed and can only be ended."));
        }
        if (block.readOnly && statement.mode === "write") {
            const cause = failure.create(failure.Code.readOnly, database, "The transaction only reads.", 0);
            fail(block);
            return refuse(cause);
        }
        return within(block, statement, admitted, nowMs);
    }

    async function commit(id: string, admitted: access.Authorisation, nowMs: number): Promise<caller.Response> {
        const current = block;
        if (current === undefined) {
            return refuse(invalid("No transaction is open."));
        }
        if (current.failed) {
            endBlock();
            return refuse(lost("a statement in it failed"));
        }
        const surroundings = context(admitted, current.route, current.arrivedMs, nowMs);
        const opened = await enter(current, surroundings);
        block = undefined;
        if (opened.isErr()) {
            return refuse(opened.error);
        }
        const served = await blocks.commit(opened.value, id, surroundings);
        remember(served, current.route, opened.value.wrote);
        return report(served, admitted, opened.value.wrote ? "write" : "read", nowMs);
    }

    function begin(id: string, readOnly: boolean, admitted: access.Authorisation, nowMs: number): caller.Response {
        if (block !== undefined) {
            return refuse(invalid("A transaction is open already."));
        }
        const over = admit(id, admitted, nowMs);
        if (over !== undefined) {
            return refuse(over);
        }
        block = {
            id,
            readOnly,
            arrivedMs: nowMs,
            route: admitted.route,
            opened: undefined,
            failed: false,
            stopIdle: undefined,
        };
        watchIdle(block);
        return acknowledge();
    }

    function dispatch(
        id: string,
        request: caller.Request,
        admitted: access.Authorisation,
        nowMs: number,
    ): caller.Response | Promise<caller.Response> {
        if (block?.failed === true && request.kind !== "commit" && request.kind !== "rollback") {
            return refuse(invalid("The transaction has failed and can only be ended."));
        }
        switch (request.kind) {
            case "set":
                values.set(request.name, request.value);
                return acknowledge();
            case "prepare":
                prepared.set(request.name, { mode: request.mode, shape: request.template });
                return acknowledge();
            case "deallocate":
                return prepared.delete(request.name) ? acknowledge() : refuse(unprepared(request.name));
            case "begin":
                return begin(id, request.readOnly, admitted, nowMs);
            case "commit":
                return commit(id, admitted, nowMs);
            case "rollback":
                endBlock();
                return acknowledge();
            case "statement":
                return run({ id, mode: request.mode, body: { kind: "text", text: request.text } }, admitted, nowMs);
            case "execute": {
                const known = prepared.get(request.name);
                if (known === undefined) {
                    return refuse(unprepared(request.name));
                }
                const { parameters } = request;
                const body = { kind: "prepared" as const, shape: known.shape, parameters };
                return run({ id, mode: known.mode, body }, admitted, nowMs);
            }
        }
    }

    return {
        async handle(id, request) {
            running = true;
            block?.stopIdle?.();
            options.checkSuspension();
            const admitted = access.authorise(options.policy(), database, key);
            if (admitted.isErr()) {
                endBlock();
                options.events.emit("keyWithdrawn", { database, request: id, code: admitted.error.code });
                running = false;
                return refuse(admitted.error, true);
            }
            const answer = await dispatch(id, request, admitted.value, clock.now());
            running = false;
            // A caller that left during the request leaves nothing open.
            if (closed) {
                endBlock();
            }
            return answer;
        },
        idle: () => block === undefined,
        close() {
            closed = true;
            // A rollback sent while a statement is on its way would let the statement run outside the transaction.
            if (!running) {
                endBlock();
            }
        },
    };
}

function signature(reply: connections.Reply): string | undefined {
    return reply.outcome.kind === "done" ? reply.outcome.signature : undefined;
}

function invalid(message: string): failure.Failure {
    return failure.create(failure.Code.statementInvalid, "request", message);
}

function unprepared(name: string): failure.Failure {
    return failure.create(failure.Code.statementUnknown, name, `No statement is prepared as ${name}.`);
}
