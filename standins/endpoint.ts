/** A database endpoint over MySQL's wire protocol, with limits, freezes, kills and a replicated log. */
import * as neverthrow from "neverthrow";
import type * as sqljs from "sql.js";
import * as mysqlserver from "../src/adapters/mysqlserver.js";
import type * as messages from "../src/ports/messages.js";
import * as replicas from "./replica.js";

/** Settings of one endpoint. */
export interface Options {
    readonly spec: Omit<messages.Endpoint, "port" | "leaving">;
    readonly port: number;
    /** Time to accept a connection, in milliseconds. */
    readonly connectMs: number;
    /** Time that a statement holds a slot, in milliseconds. */
    readonly serviceMs: number;
    /** Told after each commit on this endpoint. */
    readonly committed: () => void;
}

/** A running endpoint and its switches. */
export interface Endpoint {
    readonly id: string;
    readonly replica: replicas.Replica;
    port(): number;
    alive(): boolean;
    frozen(): boolean;
    leaving(): boolean;
    leave(value: boolean): void;
    freeze(value: boolean): void;
    kill(): void;
    revive(): Promise<void>;
    /** Statements that ran here, with their order. */
    ran(): readonly string[];
    /** All bytes received, as Latin-1 text. */
    heard(): string;
    connections(): number;
    peakConnections(): number;
}

interface Waiter {
    readonly ready: () => void;
}

interface Transaction {
    readonly statements: string[];
}

const readOnly: mysqlserver.Refusal = { errno: 1290, message: "The endpoint is read-only." };
const lockTimeout: mysqlserver.Refusal = { errno: 1205, message: "Lock wait timeout exceeded." };
const lockWaitMs = 2_000;
const tooMany: mysqlserver.Refusal = { errno: 1040, message: "Too many connections." };
const done: mysqlserver.StatementResult = { columns: [], rows: [], affectedRows: 0, insertId: 0 };
const positionSuffix = /\n; SELECT @@last_gtid$/;
const maxRecords = 200_000;
const statusColumns = ["boot", "term", "role", "received_term", "received", "applied_term", "applied", "leaving"];

function table(names: readonly string[], row: readonly string[]): mysqlserver.StatementResult {
    return { columns: names.map(name => ({ name, type: 253 })), rows: [row], affectedRows: 0, insertId: 0 };
}

/** Creates a counting lock that hands out its places in order. */
function createGate(places: number): { enter(): Promise<void>; leave(): void } {
    const waiting: Waiter[] = [];
    let free = places;
    return {
        async enter() {
            if (free > 0) {
                free -= 1;
                return;
            }
            await new Promise<void>(ready => waiting.push({ ready }));
        },
        leave() {
            const next = waiting.shift();
            if (next === undefined) {
                free += 1;
            }
            else {
                next.ready();
            }
        },
    };
}

/** Starts an endpoint. */
export async function createEndpoint(loaded: sqljs.SqlJsStatic, options: Options): Promise<Endpoint> {
    const replica = replicas.createReplica(loaded, options.spec.id);
    const thawed: (() => void)[] = [];
    const records: string[] = [];
    const bytes: string[] = [];
    let slots = createGate(options.spec.slots);
    let owner: object | undefined;
    let lockWaiters: (() => void)[] = [];
    let listener: mysqlserver.Listener | undefined;
    let port = options.port;
    let isFrozen = false;
    let isLeaving = false;
    let open = 0;
    let peak = 0;

    async function whileFrozen(): Promise<void> {
        while (isFrozen) {
            await new Promise<void>(resolve => thawed.push(resolve));
        }
    }

    function unlock(holder: object): void {
        if (owner === holder) {
            owner = undefined;
            const waiters = lockWaiters;
            lockWaiters = [];
            waiters.forEach(wake => wake());
        }
    }

    async function free(holder: object): Promise<boolean> {
        const deadline = Date.now() + lockWaitMs;
        while (owner !== undefined && owner !== holder) {
            const left = deadline - Date.now();
            if (left <= 0) {
                return false;
            }
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, left);
                lockWaiters.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        return true;
    }

    function status(): mysqlserver.StatementResult {
        const received = replica.received();
        const applied = replica.applied();
        return table(statusColumns, [
            replica.boot(),
            String(replica.promised()),
            replica.isPrimary() ? "primary" : "replica",
            String(received.term),
            String(received.index),
            String(applied.term),
            String(applied.index),
            isLeaving ? "1" : "0",
        ]);
    }

    function command(sql: string): neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal> | undefined {
        const fence = /^FENCE GROUP TERM (\d+)$/.exec(sql);
        const promote = /^PROMOTE GROUP TERM (\d+)$/.exec(sql);
        if (sql === "SHOW GROUP STATUS") {
            return neverthrow.ok(status());
        }
        if (fence !== null) {
            return replica.fence(Number(fence[1])) ? neverthrow.ok(status()) : neverthrow.err(readOnly);
        }
        if (promote !== null) {
            const promoted = replica.promote(Number(promote[1]));
            options.committed();
            return promoted ? neverthrow.ok(status()) : neverthrow.err(readOnly);
        }
        return undefined;
    }

    function createSession(): mysqlserver.Session {
        const holder = {};
        let transaction: Transaction | undefined;
        let lastPosition = "0-0-0";

        function record(statements: readonly string[]): void {
            const position = replica.append(statements);
            lastPosition = position === undefined ? lastPosition : `${position.term}-0-${position.index}`;
            options.committed();
        }

        function rollback(): void {
            if (owner === holder) {
                replica.database().run("ROLLBACK");
            }
            transaction = undefined;
            unlock(holder);
        }

        function commit(): neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal> {
            const statements = transaction?.statements ?? [];
            if (statements.length > 0 && !replica.isPrimary()) {
                rollback();
                return neverthrow.err(readOnly);
            }
            if (owner === holder) {
                replica.database().run("COMMIT");
            }
            if (statements.length > 0) {
                record(statements);
            }
            transaction = undefined;
            unlock(holder);
            return neverthrow.ok(done);
        }

        async function write(
            sql: string,
        ): Promise<neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal>> {
            if (!await free(holder)) {
                return neverthrow.err(lockTimeout);
            }
            if (!replica.isPrimary()) {
                return neverthrow.err(readOnly);
            }
            if (transaction !== undefined && owner !== holder) {
                owner = holder;
                replica.database().run("BEGIN");
            }
            const outcome = replica.database().run(sql);
            if (outcome.isOk()) {
                if (transaction === undefined) {
                    record([sql]);
                }
                else {
                    transaction.statements.push(sql);
                }
            }
            return outcome;
        }

        async function execute(
            sql: string,
        ): Promise<neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal>> {
            if (sql === "SELECT @@last_gtid") {
                return neverthrow.ok(table(["@@last_gtid"], [lastPosition]));
            }
            if (/^BEGIN$/i.test(sql)) {
                transaction = { statements: [] };
                return neverthrow.ok(done);
            }
            if (/^COMMIT$/i.test(sql)) {
                return commit();
            }
            if (/^ROLLBACK$/i.test(sql)) {
                rollback();
                return neverthrow.ok(done);
            }
            if (/^\s*(\/\*[\s\S]*?\*\/\s*)*(select|with|explain)\b/i.test(sql)) {
                return await free(holder) ? replica.database().run(sql) : neverthrow.err(lockTimeout);
            }
            return write(sql);
        }

        async function serve(
            sql: string,
        ): Promise<neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal>> {
            const gate = slots;
            await gate.enter();
            if (options.serviceMs > 0) {
                await new Promise(resolve => setTimeout(resolve, options.serviceMs));
            }
            gate.leave();
            await whileFrozen();
            records.push(sql);
            if (records.length > maxRecords) {
                records.splice(0, maxRecords / 2);
            }
            return execute(sql);
        }

        return {
            async query(sql) {
                await whileFrozen();
                const commanded = command(sql);
                if (commanded !== undefined) {
                    return commanded.map(outcome => [outcome]);
                }
                const withPosition = positionSuffix.test(sql);
                const outcome = await serve(sql.replace(positionSuffix, ""));
                await whileFrozen();
                const position = table(["@@last_gtid"], [lastPosition]);
                return outcome.map(value => (withPosition ? [value, position] : [value]));
            },
            ended() {
                open -= 1;
                rollback();
            },
        };
    }

    async function start(): Promise<void> {
        listener = await mysqlserver.listen({
            host: options.spec.host,
            port,
            onReceive(chunk) {
                if (bytes.length < maxRecords) {
                    bytes.push(chunk.toString("latin1"));
                }
            },
            async accept() {
                open += 1;
                peak = Math.max(peak, open);
                if (open > options.spec.connections) {
                    open -= 1;
                    return neverthrow.err(tooMany);
                }
                await new Promise(resolve => setTimeout(resolve, options.connectMs));
                return neverthrow.ok(createSession());
            },
        });
        port = listener.port;
    }

    await start();
    return {
        id: options.spec.id,
        replica,
        port: () => port,
        alive: () => listener !== undefined,
        frozen: () => isFrozen,
        leaving: () => isLeaving,
        leave(value) {
            isLeaving = value;
        },
        freeze(value) {
            isFrozen = value;
            thawed.splice(0).forEach(wake => wake());
        },
        kill() {
            listener?.close();
            listener = undefined;
            slots = createGate(options.spec.slots);
        },
        async revive() {
            replica.restart();
            await start();
        },
        ran: () => records,
        heard: () => bytes.join(""),
        connections: () => open,
        peakConnections: () => peak,
    };
}
