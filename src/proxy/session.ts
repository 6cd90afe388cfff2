/** One caller's session: its session variables, prepared statements and transaction. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as homes from "../core/homes.js";
import type * as limiters from "../core/limiter.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as readPositions from "../core/readposition.js";
import type * as caller from "../ports/caller.js";
import type * as runtime from "../ports/runtime.js";
import * as access from "./access.js";
import type * as events from "./events.js";
import type * as executors from "./executor.js";
import type * as groups from "./group.js";
import * as rateChecks from "./ratecheck.js";
import * as responses from "./responses.js";
import type * as statements from "./statement.js";
import type * as transactions from "./transactions.js";

/** Options that all sessions of a host share. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly metrics: RequestMetrics;
    readonly executor: executors.Executor;
    readonly transactions: transactions.Transactions;
    readonly limiter: limiters.Limiter;
    policy(): policies.Policy;
    group(name: string): groups.Group;
    /**
     * Detects a suspension or clock jump of this host; called before anything that relies on the age of a sample or
     * proof.
     */
    checkSuspension(): void;
}

/** Counters of the requests that sessions handle. */
export interface RequestMetrics {
    /** Counts an operation that the organisation's rate limit admitted. */
    admitted(organisation: string): void;
    /** Counts a request that an endpoint served; `primary` tells whether that endpoint was the primary. */
    served(database: string, organisation: string, primary: boolean, mode: caller.Mode, elapsedMs: number): void;
    /** Counts a request that failed or was refused. */
    refused(database: string, organisation: string, code: failure.Code, elapsedMs: number): void;
}

interface PreparedStatement {
    readonly mode: caller.Mode;
    readonly template: string;
}

/** A caller's transaction, from its BEGIN on. The transaction at the endpoint begins with the first statement. */
interface TransactionBlock {
    readonly id: string;
    readonly readOnly: boolean;
    readonly arrivedMs: number;
    /** Route, organisation and regions of the transaction, as of its BEGIN. */
    readonly route: policies.Route;
    readonly organisation: string;
    readonly homes: homes.Homes;
    transaction: transactions.Transaction | undefined;
    failed: boolean;
    cancelIdleTimeout: (() => void) | undefined;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Creates the session of an authorised caller. The key is checked again on every request. */
export function createSession(options: Options, database: string, key: string | undefined): caller.Session {
    const { clock, executor, transactions: transactionExecutor } = options;
    const rateCheck = rateChecks.createRateCheck(options, database);
    /** Replaced by each SET and never changed: requests that are still running keep the values that they were sent with. */
    let variables: ReadonlyMap<string, string> = new Map();
    const prepared = new Map<string, PreparedStatement>();
    let block: TransactionBlock | undefined;
    let lastCommit: (readPositions.Commit & { readonly group: string }) | undefined;
    let closed = false;
    let handling = false;

    function state(): caller.State {
        return block === undefined ? "idle" : block.failed ? "failed" : "transaction";
    }

    function respond(
        result: Result<caller.Success>,
        position: positions.Position | undefined,
        closeConnection = false,
    ): caller.Response {
        return { result, state: state(), position, closeConnection };
    }

    function acknowledge(): caller.Response {
        return respond(neverthrow.ok({ rows: [], signature: undefined }), undefined);
    }

    function refuse(cause: failure.Failure, closeConnection = false): caller.Response {
        return respond(neverthrow.err(cause), undefined, closeConnection);
    }

    function createContext(
        authorisation: access.Authorisation,
        { route, homes, arrivedMs }: Pick<TransactionBlock, "arrivedMs" | "homes" | "route">,
        nowMs: number,
    ): statements.Context {
        return {
            group: options.group(route.group),
            route,
            organisation: authorisation.organisation,
            homes,
            variables,
            lastCommit: lastCommit?.group === route.group ? lastCommit : undefined,
            arrivedMs,
            deadlineMs: nowMs + route.statementTimeoutMs,
            isAbandoned: () => closed,
        };
    }

    /** Ends the transaction for the caller; rolls it back at the endpoint if it is still open there. */
    function endTransaction(): void {
        block?.cancelIdleTimeout?.();
        if (block?.transaction !== undefined) {
            transactionExecutor.rollback(block.transaction);
            block.transaction = undefined;
        }
        block = undefined;
    }

    /** Rolls the transaction back if it stays idle too long; the caller's next request reports that. */
    function startIdleTimeout(current: TransactionBlock): void {
        const idleMs = options.policy().transactionIdleMs;
        if (idleMs > 0) {
            current.cancelIdleTimeout = clock.after(idleMs, () => {
                options.events.emit("transactionLost", { database, request: current.id, reason: "idle", idleMs });
                failTransaction(current);
            });
        }
    }

    /** Rolls a failed transaction back at the endpoint; for the caller it stays open until COMMIT or ROLLBACK. */
    function failTransaction(current: TransactionBlock): void {
        current.failed = true;
        if (current.transaction !== undefined) {
            transactionExecutor.rollback(current.transaction);
            current.transaction = undefined;
        }
    }

    /**
     * Rolls the transaction back if the key belongs to another organisation than at its BEGIN, on whose behalf nothing more
     * may run. Returns the answer to the request, unless that is the same as in any failed transaction.
     */
    function loseForeignTransaction(
        id: string,
        request: caller.Request,
        { organisation }: access.Authorisation,
    ): caller.Response | undefined {
        if (block === undefined || block.failed || block.organisation === organisation) {
            return undefined;
        }
        const reason = "its key belongs to another organisation now";
        options.events.emit("transactionLost", {
            database,
            request: id,
            reason,
            organisation: block.organisation,
            holder: organisation,
        });
        failTransaction(block);
        if (request.kind === "rollback") {
            return undefined;
        }
        if (request.kind === "commit") {
            endTransaction();
        }
        return refuse(transactionLost(reason));
    }

    /** Records the position of a commit, so that later reads of this session see it (read-your-writes). */
    function recordCommit(result: Result<statements.EndpointReply>, route: policies.Route, wrote: boolean): void {
        if (result.isOk() && wrote && result.value.reply.position !== undefined) {
            lastCommit = { group: route.group, position: result.value.reply.position, committedMs: clock.now() };
        }
    }

    /** Counts a request that was executed or failed, and converts its result to the response. */
    function finishRequest(
        result: Result<statements.EndpointReply>,
        authorisation: access.Authorisation,
        mode: caller.Mode,
        startMs: number,
    ): caller.Response {
        const elapsedMs = clock.now() - startMs;
        if (result.isErr()) {
            options.metrics.refused(database, authorisation.organisation, result.error.code, elapsedMs);
            return refuse(result.error);
        }
        const { reply, primary } = result.value;
        options.metrics.served(database, authorisation.organisation, primary, mode, elapsedMs);
        return respond(neverthrow.ok({ rows: reply.rows, signature: responses.signature(reply) }), reply.position);
    }

    async function runOutsideTransaction(
        statement: statements.Statement,
        authorisation: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        const limitFailure = rateCheck.check(statement.id, authorisation, nowMs);
        if (limitFailure !== undefined) {
            return refuse(limitFailure);
        }
        const result = await executor.run(
            statement,
            createContext(authorisation, { ...authorisation, arrivedMs: nowMs }, nowMs),
        );
        recordCommit(result, authorisation.route, statement.mode === "write");
        return finishRequest(result, authorisation, statement.mode, nowMs);
    }

    async function runInTransaction(
        current: TransactionBlock,
        statement: statements.Statement,
        authorisation: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        const context = createContext(authorisation, current, nowMs);
        const begun = await ensureBegun(current, context);
        if (begun.isErr()) {
            current.failed = true;
            options.metrics.refused(database, authorisation.organisation, begun.error.code, clock.now() - nowMs);
            return refuse(begun.error);
        }
        const result = await transactionExecutor.run(begun.value, statement, context);
        if (result.isErr()) {
            failTransaction(current);
        }
        else if (!closed) {
            startIdleTimeout(current);
        }
        return finishRequest(result, authorisation, statement.mode, nowMs);
    }

    /** Begins the transaction at an endpoint, unless an earlier statement has done so. */
    async function ensureBegun(
        current: TransactionBlock,
        context: statements.Context,
    ): Promise<Result<transactions.Transaction>> {
        if (current.transaction !== undefined) {
            return neverthrow.ok(current.transaction);
        }
        const begun = await transactionExecutor.begin("-", current.readOnly, context);
        if (begun.isOk()) {
            current.transaction = begun.value;
            if (closed) {
                transactionExecutor.rollback(begun.value);
                return neverthrow.err(transactionLost("the caller disconnected"));
            }
        }
        return begun;
    }

    function transactionLost(reason: string): failure.Failure {
        const message = `The transaction was rolled back: ${reason}.`;
        return failure.create(failure.Code.transactionLost, database, message, 0);
    }

    async function run(
        statement: statements.Statement,
        authorisation: access.Authorisation,
        nowMs: number,
    ): Promise<caller.Response> {
        if (block === undefined) {
            return runOutsideTransaction(statement, authorisation, nowMs);
        }
        if (block.failed) {
            return refuse(responses.invalidRequest("The transaction has failed; only COMMIT or ROLLBACK is accepted."));
        }
        if (block.readOnly && statement.mode === "write") {
            const cause = failure.create(failure.Code.readOnly, database, "The transaction is read-only.", 0);
            failTransaction(block);
            return refuse(cause);
        }
        return runInTransaction(block, statement, authorisation, nowMs);
    }

    async function commit(id: string, authorisation: access.Authorisation, nowMs: number): Promise<caller.Response> {
        const current = block;
        if (current === undefined) {
            return refuse(responses.invalidRequest("No transaction is open."));
        }
        if (current.failed) {
            endTransaction();
            return refuse(transactionLost("a statement in it failed"));
        }
        const context = createContext(authorisation, current, nowMs);
        const begun = await ensureBegun(current, context);
        block = undefined;
        if (begun.isErr()) {
            return refuse(begun.error);
        }
        const result = await transactionExecutor.commit(begun.value, id, context);
        recordCommit(result, current.route, begun.value.wrote);
        return finishRequest(result, authorisation, begun.value.wrote ? "write" : "read", nowMs);
    }

    function begin(id: string, readOnly: boolean, authorisation: access.Authorisation, nowMs: number): caller.Response {
        if (block !== undefined) {
            return refuse(responses.invalidRequest("A transaction is already open."));
        }
        const limitFailure = rateCheck.check(id, authorisation, nowMs);
        if (limitFailure !== undefined) {
            return refuse(limitFailure);
        }
        block = {
            id,
            readOnly,
            arrivedMs: nowMs,
            ...authorisation,
            transaction: undefined,
            failed: false,
            cancelIdleTimeout: undefined,
        };
        startIdleTimeout(block);
        return acknowledge();
    }

    function dispatch(
        id: string,
        request: caller.Request,
        authorisation: access.Authorisation,
        nowMs: number,
    ): caller.Response | Promise<caller.Response> {
        if (block?.failed === true && request.kind !== "commit" && request.kind !== "rollback") {
            return refuse(responses.invalidRequest("The transaction has failed; only COMMIT or ROLLBACK is accepted."));
        }
        switch (request.kind) {
            case "set":
                variables = new Map([...variables, [request.name, request.value]]);
                return acknowledge();
            case "prepare":
                prepared.set(request.name, { mode: request.mode, template: request.template });
                return acknowledge();
            case "deallocate":
                return prepared.delete(request.name) ? acknowledge() : refuse(responses.notPrepared(request.name));
            case "begin":
                return begin(id, request.readOnly, authorisation, nowMs);
            case "commit":
                return commit(id, authorisation, nowMs);
            case "rollback":
                endTransaction();
                return acknowledge();
            case "statement":
                return run(
                    { id, mode: request.mode, body: { kind: "text", text: request.text } },
                    authorisation,
                    nowMs,
                );
            case "execute": {
                const statement = prepared.get(request.name);
                if (statement === undefined) {
                    return refuse(responses.notPrepared(request.name));
                }
                const { parameters } = request;
                const body = { kind: "prepared" as const, template: statement.template, parameters };
                return run({ id, mode: statement.mode, body }, authorisation, nowMs);
            }
        }
    }

    return {
        async handle(id, request) {
            handling = true;
            block?.cancelIdleTimeout?.();
            options.checkSuspension();
            const authorised = access.authorise(options.policy(), database, key);
            if (authorised.isErr()) {
                endTransaction();
                options.events.emit("keyWithdrawn", { database, request: id, code: authorised.error.code });
                handling = false;
                return refuse(authorised.error, true);
            }
            const lost = loseForeignTransaction(id, request, authorised.value);
            const response = lost ?? await dispatch(id, request, authorised.value, clock.now());
            handling = false;
            // The caller disconnected during the request.
            if (closed) {
                endTransaction();
            }
            return response;
        },
        idle: () => block === undefined,
        close() {
            closed = true;
            // If a ROLLBACK overtook a statement that is still in flight, the statement would run outside the transaction.
            if (!handling) {
                endTransaction();
            }
        },
    };
}
