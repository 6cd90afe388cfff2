/**
 * Runs statements for other hosts on connections that this host holds. A transaction keeps its connection under a handle,
 * until it ends or its host has not been heard of for the time of a lease.
 */
import type * as directories from "../core/directory.js";
import * as failure from "../core/failure.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as messages from "./relaymessages.js";
import * as statements from "./statement.js";

/** Settings and collaborators of the service. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly directory: Pick<directories.Directory, "find">;
    group(name: string): groups.Group;
    /** True once this host has begun to shut down. */
    isLeaving(): boolean;
    /** Limits the time for which a connection of this host stays idle, where other hosts hold the connections. */
    limit(endpoint: string, pooled: pools.PooledConnection): pools.PooledConnection;
    /** Detects a suspension or clock jump of this host; called before anything that relies on ages. */
    checkSuspension(): void;
    random(): number;
}

/** The service. */
export interface RelayService {
    /** Runs a statement or opens a transaction. `forSelf` is true for one of this host's own callers. */
    run(request: messages.Statement, forSelf?: boolean): Promise<messages.Reply>;
    /** Runs a further command in a transaction. */
    continue(request: messages.Continuation): Promise<messages.Reply>;
    /** Renews the leases of transactions, and closes the connections of others. */
    upkeep(request: messages.Upkeep): void;
    /** Transactions that are open. */
    openTransactions(): number;
    /** Rolls back the transactions whose lease has run out; to be called at short intervals. */
    sweep(): void;
}

/** An open transaction. */
interface Open {
    readonly endpoint: string;
    readonly group: groups.Group;
    readonly pooled: pools.PooledConnection;
    lastUsedMs: number;
    running: number;
}

/** Time since its host was last heard of after which a transaction is rolled back. Its host renews it each second. */
export const leaseMs = 3_000;
const handleRange = 2 ** 48;

/** Creates the service. */
export function createRelayService(options: Options): RelayService {
    const { clock, events } = options;
    const open = new Map<string, Open>();
    /** Distinguishes the handles of this process from those of an earlier one at the same address. */
    const prefix = Math.floor(options.random() * handleRange).toString(36);
    let opened = 0;

    function finish(
        startedMs: number,
        outcome: messages.Result,
        executionMs = 0,
        handle: string | null = null,
    ): messages.Reply {
        return [outcome, clock.now() - startedMs, executionMs, handle];
    }

    function discard(handle: string): void {
        open.get(handle)?.pooled.discard();
        open.delete(handle);
    }

    /** Why a statement may not run here; undefined if it may. */
    function reasonAgainst(endpoint: string, born: number, forSelf: boolean): string | undefined {
        const listed = options.directory.find(endpoint);
        return !forSelf && options.isLeaving()
            ? "the host is leaving"
            : listed === undefined || listed.born !== born
            ? "the endpoint is not known, or has started anew"
            : undefined;
    }

    /** The statement of a command, and the command to send. */
    function prepare(id: string, command: messages.Command): statements.Statement | undefined {
        return command[0] === "prepared"
            ? {
                id,
                mode: command[1],
                body: { kind: "prepared", template: command[2], parameters: command[3] },
            }
            : command[0] === "text"
            ? { id, mode: "read", body: { kind: "text", text: command[1] } }
            : undefined;
    }

    function build(
        pooled: pools.PooledConnection,
        statement: statements.Statement | undefined,
        command: messages.Command,
    ): connections.Command {
        switch (command[0]) {
            case "begin":
                return { kind: "begin", readOnly: command[1], after: messages.decodePosition(command[2]) };
            case "text":
                return { kind: "statement", text: command[1], after: messages.decodePosition(command[2]) };
            case "prepared":
                return statement === undefined
                    ? { kind: "rollback" }
                    : statements.buildCommand(pooled, statement, messages.decodePosition(command[4]));
            default:
                return { kind: command[0] };
        }
    }

    /** Runs a request on a connection, and notes what it shows of the endpoint. */
    async function send(
        group: groups.Group,
        endpoint: string,
        pooled: pools.PooledConnection,
        id: string,
        command: connections.Command,
        deadlineMs: number,
    ): ReturnType<connections.Connection["run"]> {
        const sentMs = clock.now();
        const result = await pooled.connection.run(id, command, Math.max(1, deadlineMs - sentMs));
        if (result.isErr()) {
            group.recordFailure(endpoint, sentMs, result.error);
        }
        else {
            group.recordAnswer(endpoint);
            if (result.value.outcome.kind === "refused" && result.value.outcome.refusal === "unknownStatement") {
                pooled.prepared.clear();
            }
        }
        return result;
    }

    async function run(request: messages.Statement, forSelf = false): Promise<messages.Reply> {
        const [endpoint, born, organisation, flat, id, command, needsPrimary, leftMs, targetMs, priority] = request;
        const startedMs = clock.now();
        const deadlineMs = startedMs + leftMs;
        const listed = options.directory.find(endpoint);
        const reason = reasonAgainst(endpoint, born, forSelf);
        if (listed === undefined || reason !== undefined) {
            return finish(startedMs, ["declined", reason ?? "", options.isLeaving() ? "leaving" : "other"]);
        }
        const group = options.group(listed.group);
        const variables = messages.decodeVariables(flat);
        const acquired = await group.pool(endpoint)?.acquire({
            organisation,
            variables,
            deadlineMs: deadlineMs - group.minStatementMs(endpoint),
            targetMs: startedMs + targetMs,
            priority,
        });
        if (acquired === undefined || acquired.isErr()) {
            const isOverloaded = acquired?.error.code === failure.Code.overloaded;
            const message = acquired?.error.message ?? "the endpoint may not be used";
            return finish(startedMs, ["declined", message, isOverloaded ? "overloaded" : "other"]);
        }
        if (group.isLeaving(endpoint)) {
            acquired.value.release();
            return finish(startedMs, ["declined", "the endpoint is shutting down", "other"]);
        }
        const pooled = options.limit(endpoint, acquired.value);
        const statement = prepare(id, command);
        const setUpMs = clock.now();
        if (!await statements.setUpConnection(pooled, { variables, deadlineMs }, statement, clock)) {
            pooled.discard();
            group.recordFailure(endpoint, setUpMs, { timedOut: true, message: "setting up the session failed" });
            return finish(startedMs, ["declined", "setting up the session failed", "other"]);
        }
        options.checkSuspension();
        if (needsPrimary && !group.isPrimary(endpoint)) {
            pooled.release();
            return finish(startedMs, ["declined", "the endpoint can't be confirmed as primary", "other"]);
        }
        const endWork = group.beginWork(endpoint);
        const sentMs = clock.now();
        const result = await send(group, endpoint, pooled, id, build(pooled, statement, command), deadlineMs);
        endWork();
        const executionMs = clock.now() - sentMs;
        if (command[0] === "begin" && result.isOk() && result.value.state === "transaction") {
            opened += 1;
            const handle = `${prefix}-${opened}`;
            open.set(handle, { endpoint, group, pooled, lastUsedMs: clock.now(), running: 0 });
            return finish(startedMs, messages.encodeResult(result), executionMs, handle);
        }
        if (result.isErr() || result.value.state !== "idle") {
            pooled.discard();
        }
        else {
            pooled.release();
        }
        return finish(startedMs, messages.encodeResult(result), executionMs);
    }

    /** A transaction that is no longer open was rolled back, so the command has had no effect. */
    const notOpen = (reason: string): messages.Result => ["failed", false, false, reason];

    async function runIn(
        handle: string,
        entry: Open,
        [, flat, id, command, leftMs]: messages.Continuation,
    ): Promise<messages.Reply> {
        const startedMs = clock.now();
        const { endpoint, group, pooled } = entry;
        const deadlineMs = startedMs + leftMs;
        const variables = messages.decodeVariables(flat);
        const statement = prepare(id, command);
        if (!group.mayContinue(endpoint)) {
            discard(handle);
            return finish(startedMs, notOpen("the endpoint's failure domain is evacuated"));
        }
        if (
            statement !== undefined
            && !await statements.setUpConnection(pooled, { variables, deadlineMs }, statement, clock)
        ) {
            discard(handle);
            group.recordFailure(endpoint, startedMs, { timedOut: true, message: "setting up the session failed" });
            return finish(startedMs, notOpen("setting up the session failed"));
        }
        const sentMs = clock.now();
        const result = await send(group, endpoint, pooled, id, build(pooled, statement, command), deadlineMs);
        const executionMs = clock.now() - sentMs;
        if (result.isErr() || (command[0] === "rollback" && result.value.state !== "idle")) {
            discard(handle);
        }
        else if (result.value.state === "idle") {
            open.delete(handle);
            pooled.release();
        }
        return finish(startedMs, messages.encodeResult(result), executionMs);
    }

    return {
        run,
        async continue(request) {
            const [handle] = request;
            const entry = open.get(handle);
            if (entry === undefined) {
                return finish(clock.now(), notOpen("the transaction is not open any longer"));
            }
            entry.running += 1;
            const reply = await runIn(handle, entry, request);
            entry.running -= 1;
            entry.lastUsedMs = clock.now();
            return reply;
        },
        upkeep([kept, closed]) {
            closed.forEach(discard);
            for (const handle of kept) {
                const entry = open.get(handle);
                if (entry !== undefined) {
                    entry.lastUsedMs = clock.now();
                }
            }
        },
        openTransactions: () => open.size,
        sweep() {
            for (const [handle, entry] of open) {
                const idleMs = clock.now() - entry.lastUsedMs;
                if (entry.running === 0 && idleMs > leaseMs) {
                    events.emit("relayExpired", { endpoint: entry.endpoint, handle, idleMs: Math.round(idleMs) });
                    discard(handle);
                }
            }
        },
    };
}
