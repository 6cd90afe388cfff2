/** Open transactions: each holds one link to a primary until it ends, goes idle, or its host stops. */
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as failure from "../core/failure.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import type * as databases from "./database.js";
import type * as pools from "./pool.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of the transactions. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly idleMs: number;
}

/** Open transactions of one host. */
export interface Transactions {
    begin(
        database: databases.Database,
        boundary: messages.TransactionBoundary,
    ): Promise<Result<{ readonly transaction: string }>>;
    execute(execution: messages.Execution): Promise<Result<messages.Answer>>;
    commit(boundary: messages.TransactionBoundary): Promise<Result<messages.Answer>>;
    rollback(boundary: messages.TransactionBoundary): Promise<Result<messages.Answer>>;
    count(): number;
    close(): void;
}

interface Open {
    readonly organisation: string;
    readonly database: databases.Database;
    readonly pool: pools.Pool;
    readonly link: endpoint.Connection;
    wrote: boolean;
    usedMs: number;
}

const sweepMs = 250;
const empty: messages.Answer = { columns: [], rows: [], affectedRows: 0, insertId: 0 };

function lost(subject: string): failure.Failure {
    const message = "The transaction is lost; nothing of it was committed.";
    return failure.create(failure.Code.transactionLost, subject, message, 0);
}

/** Creates an empty set of transactions. */
export function createTransactions(options: Options): Transactions {
    const { clock } = options;
    const open = new Map<string, Open>();

    /** Ends a transaction; a link that may hold open state is closed rather than reused. */
    function end(id: string, clean: boolean): void {
        const entry = open.get(id);
        open.delete(id);
        if (entry === undefined) {
            return;
        }
        if (!clean) {
            entry.link.close();
        }
        entry.pool.release(entry.link);
    }

    function find(id: string | undefined, organisation: string): Open | undefined {
        const entry = open.get(id ?? "");
        return entry?.organisation === organisation ? entry : undefined;
    }

    const stop = clock.every(sweepMs, () => {
        for (const [id, entry] of open) {
            if (clock.now() - entry.usedMs > options.idleMs) {
                options.log.warn({ transaction: id, organisation: entry.organisation }, "Idle transaction ended.");
                end(id, false);
            }
        }
    });

    return {
        async begin(database, boundary) {
            const pool = database.primaryPool();
            const link = pool.isOk() ? await pool.value.reserve() : neverthrow.err(pool.error);
            if (pool.isErr() || link.isErr()) {
                return neverthrow.err(link.isErr() ? link.error : lost(boundary.database));
            }
            const begun = await link.value.run("BEGIN", boundary.timeoutMs);
            if (begun.isErr()) {
                link.value.close();
                pool.value.release(link.value);
                return neverthrow.err(lost(boundary.database));
            }
            const transaction = crypto.randomUUID();
            const { organisation } = boundary;
            open.set(transaction, {
                organisation,
                database,
                pool: pool.value,
                link: link.value,
                wrote: false,
                usedMs: clock.now(),
            });
            return neverthrow.ok({ transaction });
        },
        async execute(execution) {
            const id = execution.transaction ?? "";
            const entry = find(id, execution.organisation);
            if (entry === undefined) {
                return neverthrow.err(lost(execution.database));
            }
            entry.usedMs = clock.now();
            entry.wrote ||= execution.kind === "write";
            const reply = await entry.link.run(execution.text, execution.timeoutMs);
            entry.usedMs = clock.now();
            if (reply.isOk()) {
                return neverthrow.ok(reply.value);
            }
            const fault = reply.error;
            if (fault.kind === "refused") {
                const refused = failure.create(failure.Code.endpointError, execution.database, fault.message);
                return neverthrow.err({ ...refused, endpointErrno: fault.errno });
            }
            end(id, false);
            return neverthrow.err(lost(execution.database));
        },
        async commit(boundary) {
            const id = boundary.transaction ?? "";
            const entry = find(id, boundary.organisation);
            if (entry === undefined) {
                return neverthrow.err(lost(boundary.database));
            }
            const deadlineMs = clock.now() + boundary.timeoutMs;
            entry.usedMs = deadlineMs;
            if (!entry.wrote) {
                const ended = await entry.link.run("COMMIT", boundary.timeoutMs);
                end(id, ended.isOk());
                return ended.isOk() ? neverthrow.ok(empty) : neverthrow.err(lost(boundary.database));
            }
            const written = await entry.link.commit("COMMIT", boundary.timeoutMs);
            end(id, written.isOk());
            if (written.isErr()) {
                const unknown = failure.create(
                    failure.Code.outcomeUnknown,
                    boundary.database,
                    "COMMIT was not confirmed.",
                );
                return neverthrow.err(written.error.kind === "unanswered" ? unknown : lost(boundary.database));
            }
            const { position } = written.value;
            const settled = await entry.database.settle(position, boundary.session, deadlineMs);
            return settled.map(() => ({ ...empty, position }));
        },
        async rollback(boundary) {
            const id = boundary.transaction ?? "";
            const entry = find(id, boundary.organisation);
            const ended = await entry?.link.run("ROLLBACK", boundary.timeoutMs);
            end(id, ended?.isOk() === true);
            return neverthrow.ok(empty);
        },
        count() {
            return open.size;
        },
        close() {
            stop();
            [...open.keys()].forEach(id => end(id, false));
        },
    };
}
