/** Ends the work of sessions on a host that stops, with an answer to each request. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as policies from "../core/policy.js";
import type * as caller from "../ports/caller.js";
import type * as runtime from "../ports/runtime.js";
import * as callerDrain from "./callerdrain.js";
import type * as events from "./events.js";

/** Collaborators of the sessions. */
export interface Options {
    readonly clock: runtime.Clock;
    /** Time from the begin of a stop until the process is killed, in milliseconds. */
    readonly graceMs: number;
    events(): events.EventLog;
    policy(): policies.Policy;
}

/** The sessions of a host that may stop. */
export interface StoppingSessions {
    /** Notes that the host's stop begins now. */
    begin(): void;
    /** The limits of the stop; undefined unless the host stops. */
    limits(): callerDrain.Limits | undefined;
    /** Refuses new sessions from now on. */
    refuseLogins(): void;
    refusesLogins(): boolean;
    /**
     * Wraps a session. Once half of the grace is over, it refuses a request whose time limit ends after the stop, rolls its
     * transaction back, and closes the connection.
     */
    wrap(session: caller.Session, database: string): caller.Session;
    /** Answers the requests that are still running, as their connections are about to close. */
    endRequests(): void;
}

/** Time for which the callers are to stay away: none, as other hosts serve them. */
const retryAfterMs = 0;
const reason = "this host is shutting down";

/** Creates the sessions of a host. */
export function createStoppingSessions(options: Options): StoppingSessions {
    const { clock } = options;
    const endRunning = new Set<() => void>();
    let limits: callerDrain.Limits | undefined;
    let refusesLogins = false;

    function isTooLate(request: caller.Request, database: string): boolean {
        const timeoutMs = options.policy().routes.get(database)?.statementTimeoutMs ?? 0;
        return limits !== undefined && request.kind !== "rollback"
            && clock.now() >= limits.transactionsUntilMs && clock.now() + timeoutMs > limits.closesAtMs;
    }

    /** Rolls back an open transaction; a request that is running ends its transaction itself. */
    function end(session: caller.Session, id: string, cause: failure.Failure): caller.Response {
        options.events().emit("operationRefused", { request: id, code: cause.code, reason: cause.message });
        session.close();
        return { result: neverthrow.err(cause), state: "idle", position: undefined, closeConnection: true };
    }

    const transactionLost = (database: string): failure.Failure =>
        failure.create(
            failure.Code.transactionLost,
            database,
            `The transaction was rolled back: ${reason}.`,
            retryAfterMs,
        );

    /** What is certain of a request that was running when the host closed. */
    function lost(session: caller.Session, request: caller.Request, database: string): failure.Failure {
        if (!session.idle()) {
            return transactionLost(database);
        }
        return request.kind === "statement" && request.mode === "read"
            ? failure.create(failure.Code.readLost, database, `No reply to the read: ${reason}.`, retryAfterMs)
            : failure.create(
                failure.Code.outcomeUnknown,
                database,
                `The statement's outcome is unknown: ${reason}.`,
            );
    }

    return {
        begin() {
            limits = callerDrain.limitsOf(clock.now(), options.graceMs);
        },
        limits: () => limits,
        refuseLogins() {
            refusesLogins = true;
        },
        refusesLogins: () => refusesLogins,
        endRequests: () => endRunning.forEach(endOne => endOne()),
        wrap: (session, database) => ({
            ...session,
            async handle(id, request) {
                if (isTooLate(request, database)) {
                    const cause = session.idle()
                        ? failure.create(failure.Code.draining, database, "This host is shutting down.", retryAfterMs)
                        : transactionLost(database);
                    return end(session, id, cause);
                }
                let endOne: () => void = () => undefined;
                const ended = new Promise<caller.Response>(resolve => {
                    endOne = () => resolve(end(session, id, lost(session, request, database)));
                });
                endRunning.add(endOne);
                try {
                    return await Promise.race([session.handle(id, request), ended]);
                }
                finally {
                    endRunning.delete(endOne);
                }
            },
        }),
    };
}
