/** Callers: who they are, what they may use, and the session that each connection carries. */
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as mysqlserver from "../adapters/mysqlserver.js";
import type * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import type * as freshness from "../core/freshness.js";
import * as positions from "../core/position.js";
import * as statements from "../core/statement.js";
import type * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import type * as dispatches from "./dispatch.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of the entry. */
export interface Options {
    readonly host: string;
    readonly port: number;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Metrics;
    readonly dispatch: dispatches.Dispatch;
    configuration(): configuration.Configuration;
    judge(): freshness.Decision;
    admit(organisation: string): Promise<Result<void>>;
}

/** The callers of one host. */
export interface Entry {
    readonly port: number;
    /** Ends the connections whose key is no longer in force. */
    sweep(): void;
    /** Refuses new connections and statements; open transactions may end. */
    drain(): void;
    /** Connections with a statement running or a transaction open. */
    busy(): number;
    callers(): number;
    close(): void;
}

/** A connection's caller, fixed at login. */
interface Identity {
    readonly organisation: string;
    readonly keyId: string | undefined;
    readonly route: string;
}

interface Connection {
    readonly identity: Identity;
    readonly end: () => void;
    busy: boolean;
    held: dispatches.Held | undefined;
}

const openOrganisation = "open";
const unlimitedTimeoutMs = 5_000;
const drainRetryMs = 500;
const staleRetryMs = 1_000;
const boundaryTimeoutMs = 2_000;
const empty: messages.Answer = { columns: [], rows: [], affectedRows: 0, insertId: 0 };

function findKey(document: configuration.Document, caller: mysqlserver.Caller): string | undefined {
    const owned = Object.entries(document.keys).filter(([, key]) => key.organisation === caller.user);
    return owned.find(([, key]) => caller.provesKey(key.doubleSha1))?.[0];
}

/** Decides whether a caller may use a route. */
export function authorise(document: configuration.Document, caller: mysqlserver.Caller): Result<Identity> {
    const route = Object.hasOwn(document.routes, caller.database) ? document.routes[caller.database] : undefined;
    if (route === undefined) {
        const known = Object.keys(document.routes).join(", ") || "none";
        const message = `Route ${caller.database || "(none)"} does not exist; the routes are: ${known}.`;
        return neverthrow.err(failure.create(failure.Code.routeUnknown, caller.database, message));
    }
    const keyId = findKey(document, caller);
    if (keyId === undefined && !route.open) {
        const message = `Organisation ${caller.user} and its key are not known.`;
        return neverthrow.err(failure.create(failure.Code.accessDenied, caller.user, message));
    }
    if (!route.open && !route.organisations.includes(caller.user)) {
        const message = `Organisation ${caller.user} may not use route ${caller.database}.`;
        return neverthrow.err(failure.create(failure.Code.routeForbidden, caller.database, message));
    }
    const organisation = keyId === undefined ? openOrganisation : caller.user;
    return neverthrow.ok({ organisation, keyId, route: caller.database });
}

/** True while the identity of an open connection is still allowed. */
function allowed(document: configuration.Document, identity: Identity): Result<configuration.Route> {
    const { organisation, keyId } = identity;
    if (keyId !== undefined && document.keys[keyId]?.organisation !== organisation) {
        const message = `The key of organisation ${organisation} was withdrawn.`;
        return neverthrow.err(failure.create(failure.Code.keyWithdrawn, organisation, message));
    }
    const route = Object.hasOwn(document.routes, identity.route) ? document.routes[identity.route] : undefined;
    if (route === undefined) {
        return neverthrow.err(
            failure.create(failure.Code.routeUnknown, identity.route, `Route ${identity.route} was removed.`),
        );
    }
    if (!route.open && !route.organisations.includes(organisation)) {
        const message = `Organisation ${organisation} may no longer use route ${identity.route}.`;
        return neverthrow.err(failure.create(failure.Code.routeForbidden, identity.route, message));
    }
    return neverthrow.ok(route);
}

function refuse(cause: failure.Failure): mysqlserver.Refusal {
    return { errno: cause.endpointErrno ?? failure.describe(cause.code).errno, message: failure.format(cause) };
}

/** Starts to listen for callers. */
export async function createEntry(options: Options): Promise<Entry> {
    const { clock, log, measures, dispatch } = options;
    const connections = new Set<Connection>();
    let draining = false;

    const stopping = failure.create(failure.Code.draining, "host", "This host is stopping.", drainRetryMs);

    function mayServe(): Result<void> {
        if (draining) {
            return neverthrow.err(stopping);
        }
        const verdict = options.judge();
        if (verdict.serve) {
            return neverthrow.ok(undefined);
        }
        const message = `The configuration here may be out of date: ${verdict.reason}.`;
        return neverthrow.err(failure.create(failure.Code.configurationStale, "configuration", message, staleRetryMs));
    }

    function createSession(identity: Identity, end: () => void): mysqlserver.Session {
        const connection: Connection = { identity, end, busy: false, held: undefined };
        let session: string | undefined;
        let pendingId: string | undefined;
        let written: positions.Position | undefined;
        connections.add(connection);

        function boundary(request: string): messages.TransactionBoundary {
            const { organisation } = identity;
            const database = options.configuration().document.routes[identity.route]?.database ?? "";
            const named = session === undefined ? undefined : `${organisation}/${session}`;
            return { request, organisation, database, session: named, timeoutMs: boundaryTimeoutMs };
        }

        function note(answer: messages.Answer): messages.Answer {
            if (answer.position !== undefined) {
                written = positions.max(written ?? positions.zero, answer.position);
            }
            return answer;
        }

        async function begin(request: string): Promise<Result<messages.Answer>> {
            if (connection.held !== undefined) {
                return neverthrow.err(
                    failure.create(failure.Code.notSupported, "transaction", "A transaction is open already."),
                );
            }
            const held = await dispatch.begin(boundary(request));
            connection.held = held.isOk() ? held.value : undefined;
            return held.map(() => empty);
        }

        async function finish(request: string, commit: boolean): Promise<Result<messages.Answer>> {
            const held = connection.held;
            connection.held = undefined;
            if (held === undefined) {
                return neverthrow.ok(empty);
            }
            return (await dispatch.end(held, boundary(request), commit)).map(note);
        }

        async function execute(request: string, statement: statements.Statement): Promise<Result<messages.Answer>> {
            const { document } = options.configuration();
            const route = document.routes[identity.route];
            const { organisation } = identity;
            const named = statement.hint.session ?? session;
            const idempotencyId = statement.hint.request ?? pendingId;
            pendingId = undefined;
            if (route === undefined) {
                return neverthrow.err(
                    failure.create(failure.Code.routeUnknown, identity.route, "The route was removed."),
                );
            }
            if (
                idempotencyId !== undefined && (connection.held !== undefined || statement.commitsImplicitly === true)
            ) {
                const message = "A request id goes with one INSERT, UPDATE, DELETE or REPLACE outside a transaction.";
                return neverthrow.err(failure.create(failure.Code.notSupported, "request", message));
            }
            if (connection.held !== undefined && statement.commitsImplicitly === true) {
                const message = "A statement that commits by itself is not supported inside a transaction.";
                return neverthrow.err(failure.create(failure.Code.notSupported, "transaction", message));
            }
            const database = document.databases[route.database];
            const execution: messages.Execution = {
                request,
                organisation,
                database: route.database,
                text: statement.text,
                kind: statement.kind === "read" ? "read" : "write",
                session: named === undefined ? undefined : `${organisation}/${named}`,
                idempotencyId: statement.kind === "read" ? undefined : idempotencyId,
                floor: written,
                maxAgeMs: document.tolerances[route.tolerance ?? ""]?.maxAgeMs,
                timeoutMs: database?.statementTimeoutMs ?? unlimitedTimeoutMs,
            };
            if (connection.held === undefined) {
                return (await dispatch.execute(execution)).map(note);
            }
            const outcome = await dispatch.within(connection.held, execution);
            if (outcome.isErr() && outcome.error.code === failure.Code.transactionLost) {
                connection.held = undefined;
            }
            return outcome;
        }

        function set(setting: statements.Setting | undefined): Result<messages.Answer> {
            if (setting?.name === "session") {
                session = setting.value;
            }
            if (setting?.name === "request") {
                pendingId = setting.value;
            }
            return neverthrow.ok(empty);
        }

        async function run(request: string, statement: statements.Statement): Promise<Result<messages.Answer>> {
            switch (statement.kind) {
                case "setting":
                    return set(statement.setting);
                case "begin":
                    return begin(request);
                case "commit":
                    return finish(request, true);
                case "rollback":
                    return finish(request, false);
                default: {
                    const admitted = identity.keyId !== undefined
                        ? await options.admit(identity.organisation)
                        : neverthrow.ok(undefined);
                    return admitted.isErr() ? neverthrow.err(admitted.error) : execute(request, statement);
                }
            }
        }

        async function answer(text: string): Promise<Result<messages.Answer>> {
            const request = crypto.randomUUID();
            const serving = connection.held === undefined ? mayServe() : neverthrow.ok(undefined);
            const permitted = serving.andThen(() => allowed(options.configuration().document, identity));
            if (permitted.isErr()) {
                return neverthrow.err(permitted.error);
            }
            const statement = statements.classify(text);
            return statement.isErr() ? neverthrow.err(statement.error) : run(request, statement.value);
        }

        return {
            async query(text) {
                const startMs = clock.now();
                connection.busy = true;
                const outcome = await answer(text);
                connection.busy = false;
                const code = outcome.isOk() ? 0 : outcome.error.code;
                measures.statement(identity.organisation, code, clock.now() - startMs);
                if (outcome.isErr() && outcome.error.code === failure.Code.keyWithdrawn) {
                    setImmediate(end);
                }
                return outcome.map(value => [value]).mapErr(refuse);
            },
            ended() {
                connections.delete(connection);
                if (connection.held !== undefined) {
                    void finish(crypto.randomUUID(), false);
                }
            },
        };
    }

    const listener = await mysqlserver.listen({
        host: options.host,
        port: options.port,
        async accept(caller, end) {
            const identity = mayServe().andThen(() => authorise(options.configuration().document, caller));
            if (identity.isErr()) {
                log.info(
                    { organisation: caller.user, route: caller.database, cause: identity.error },
                    "Caller refused.",
                );
                return neverthrow.err(refuse(identity.error));
            }
            return neverthrow.ok(createSession(identity.value, end));
        },
    });

    return {
        port: listener.port,
        sweep() {
            const { document } = options.configuration();
            for (const connection of connections) {
                const permitted = allowed(document, connection.identity);
                if (permitted.isErr()) {
                    log.info(
                        { organisation: connection.identity.organisation, cause: permitted.error },
                        "Connection ended.",
                    );
                    connection.end();
                }
            }
        },
        drain() {
            draining = true;
            listener.stop();
        },
        busy: () => [...connections].filter(connection => connection.busy || connection.held !== undefined).length,
        callers: () => connections.size,
        close() {
            if (draining) {
                listener.shutDown(refuse(stopping));
                return;
            }
            listener.close();
        },
    };
}
