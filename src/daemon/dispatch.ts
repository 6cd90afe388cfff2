/** Sends a statement to the host that owns its database, and retries what is safe to retry. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as memberships from "../core/membership.js";
import * as budgets from "../core/retrybudget.js";
import * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";
import type * as owners from "./owner.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of a dispatcher. */
export interface Options {
    readonly id: string;
    readonly region: string;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Metrics;
    readonly fleet: fleets.Fleet;
    readonly owner: owners.Owner;
    group(database: string): messages.Group | undefined;
}

/** A transaction and the host that holds it. */
export interface Held {
    readonly transaction: string;
    readonly host: memberships.Member;
}

/** Sends statements. */
export interface Dispatch {
    execute(execution: messages.Execution): Promise<Result<messages.Answer>>;
    begin(boundary: messages.TransactionBoundary): Promise<Result<Held>>;
    within(held: Held, execution: messages.Execution): Promise<Result<messages.Answer>>;
    end(held: Held, boundary: messages.TransactionBoundary, commit: boolean): Promise<Result<messages.Answer>>;
    /** Attempts sent, per request received. */
    amplification(): number;
}

const retryShare = 0.1;
const retryReserve = 20;
const maxRetries = 3;
const pauseMs = 50;
const graceMs = 100;
const passing: ReadonlySet<failure.Code> = new Set<failure.Code>([
    failure.Code.ownerUnreachable,
    failure.Code.notOwner,
    failure.Code.noPrimary,
    failure.Code.endpointUnreachable,
    failure.Code.draining,
]);

/** Creates a dispatcher. */
export function createDispatch(options: Options): Dispatch {
    const { clock, fleet, owner } = options;
    const budget = budgets.createRetryBudget({ retriesPerRequest: retryShare, maxBalance: retryReserve });
    let requests = 0;
    let attempts = 0;

    function unowned(database: string): failure.Failure {
        const message = `No live host owns database ${database}.`;
        return failure.create(failure.Code.ownerUnreachable, database, message, pauseMs);
    }

    /** The region whose owner serves the statement. */
    function region(execution: messages.Execution): string {
        const near = options.group(execution.database)?.endpoints.some(entry => entry.region === options.region)
            ?? false;
        const stays = execution.kind === "read" && execution.onPrimary !== true && near;
        return stays ? options.region : owner.primaryRegion(execution.database) ?? options.region;
    }

    async function send<Request, Reply>(
        host: memberships.Member,
        method: messages.Method<Request, Reply>,
        request: Request & { readonly timeoutMs: number },
        local: () => Promise<Result<Reply>>,
    ): Promise<Result<Reply>> {
        attempts += 1;
        if (host.id === options.id) {
            return local();
        }
        const reply = await fleet.channel(host).call(method, request, request.timeoutMs + graceMs);
        if (reply.isErr() && reply.error.code === failure.Code.ownerUnreachable) {
            fleet.suspect(host.id);
        }
        if (reply.isErr() && reply.error.code === failure.Code.peerUnreachable) {
            fleet.avoid(host.id);
        }
        return reply;
    }

    /** What a caller may conclude when the owner gave no answer. */
    function interpret(cause: failure.Failure, execution: messages.Execution): failure.Failure {
        if (cause.code !== failure.Code.peerUnreachable && cause.code !== failure.Code.messageMalformed) {
            return cause;
        }
        return execution.kind === "read"
            ? failure.create(failure.Code.readLost, cause.subject, cause.message, pauseMs)
            : failure.create(failure.Code.outcomeUnknown, cause.subject, cause.message);
    }

    function repeatable(cause: failure.Failure, execution: messages.Execution): boolean {
        if (passing.has(cause.code)) {
            return true;
        }
        const unanswered = cause.code === failure.Code.outcomeUnknown || cause.code === failure.Code.readLost;
        return unanswered && (execution.kind === "read" || execution.idempotencyId !== undefined);
    }

    async function attempt(execution: messages.Execution): Promise<Result<messages.Answer>> {
        const host = fleet.home(execution.database, region(execution));
        if (host === undefined) {
            return neverthrow.err(unowned(execution.database));
        }
        const { request, database, organisation } = execution;
        options.log.debug(
            { request, database, organisation, host: host.id, reason: "home of the database" },
            "Statement sent.",
        );
        const reply = await send(host, messages.peer.execute, execution, () => owner.execute(execution));
        return reply.mapErr(cause => interpret(cause, execution));
    }

    async function execute(execution: messages.Execution): Promise<Result<messages.Answer>> {
        const deadlineMs = clock.now() + execution.timeoutMs;
        let next = execution;
        budget.recordRequest();
        requests += 1;
        for (let retries = 0;; retries += 1) {
            const outcome = await attempt(next);
            if (outcome.isOk()) {
                return outcome;
            }
            const cause = outcome.error;
            const leftMs = deadlineMs - clock.now() - pauseMs;
            const elsewhere = cause.code === failure.Code.notOwner && next.kind === "read" && next.onPrimary !== true;
            if (
                !repeatable(cause, next) || leftMs <= pauseMs || retries >= maxRetries
                || (!elsewhere && !budget.tryRetry())
            ) {
                return neverthrow.err(cause);
            }
            const { request, organisation } = execution;
            options.log.info({ request, organisation, cause, reason: "safe to repeat" }, "Statement retried.");
            if (!elsewhere) {
                await clock.sleep(Math.min(leftMs, cause.retryAfterMs ?? pauseMs));
            }
            next = {
                ...next,
                onPrimary: next.onPrimary === true || elsewhere || undefined,
                timeoutMs: deadlineMs - clock.now(),
            };
        }
    }

    return {
        execute,
        async begin(boundary) {
            requests += 1;
            const host = fleet.home(boundary.database, owner.primaryRegion(boundary.database) ?? options.region);
            if (host === undefined) {
                return neverthrow.err(unowned(boundary.database));
            }
            const begun = await send(host, messages.peer.begin, boundary, () => owner.begin(boundary));
            return begun.map(value => ({ transaction: value.transaction, host }));
        },
        async within(held, execution) {
            requests += 1;
            const request = { ...execution, transaction: held.transaction };
            const reply = await send(held.host, messages.peer.execute, request, () => owner.execute(request));
            return reply.mapErr(lose);
        },
        async end(held, boundary, commit) {
            requests += 1;
            const request = { ...boundary, transaction: held.transaction };
            const reply = commit
                ? await send(held.host, messages.peer.commit, request, () => owner.commit(request))
                : await send(held.host, messages.peer.rollback, request, () => owner.rollback(request));
            return reply.mapErr(cause => {
                const unanswered = cause.code === failure.Code.peerUnreachable;
                return commit && unanswered
                    ? failure.create(failure.Code.outcomeUnknown, cause.subject, "COMMIT was not confirmed.")
                    : lose(cause);
            });
        },
        amplification: () => (requests === 0 ? 1 : attempts / requests),
    };
}

/** The loss of the host that holds a transaction, as its caller sees it. */
function lose(cause: failure.Failure): failure.Failure {
    const gone = cause.code === failure.Code.peerUnreachable || cause.code === failure.Code.ownerUnreachable;
    const message = "The host that held the transaction is gone; nothing of it was committed.";
    return gone ? failure.create(failure.Code.transactionLost, cause.subject, message, 0) : cause;
}
