/** Checks operations against the rate limits of their organisations. */
import type * as failure from "../core/failure.js";
import * as limiters from "../core/limiter.js";
import * as access from "./access.js";
import type * as events from "./events.js";
import type * as sessions from "./session.js";

/** Collaborators of the check. */
export interface Options {
    readonly events: events.EventLog;
    readonly metrics: Pick<sessions.RequestMetrics, "admitted" | "refused">;
    readonly limiter: limiters.Limiter;
}

/** The check of the operations on one database. */
export interface RateCheck {
    /** Returns the failure if the organisation exceeds its rate limit; anonymous callers have no limit. */
    check(id: string, authorisation: access.Authorisation, nowMs: number): failure.Failure | undefined;
}

/** Creates the check of a session. */
export function createRateCheck(options: Options, database: string): RateCheck {
    return {
        check(id, { organisation }, nowMs) {
            if (organisation === access.anonymous) {
                return undefined;
            }
            const decision = options.limiter.admit(organisation, nowMs);
            if (decision.admitted) {
                options.metrics.admitted(organisation);
                return undefined;
            }
            const cause = limiters.limitExceeded(organisation, decision.retryAfterMs);
            options.events.emit("operationRefused", {
                request: id,
                organisation,
                database,
                code: cause.code,
                reason: cause.message,
                retryAfterMs: cause.retryAfterMs,
                ...decision.state,
            });
            options.metrics.refused(database, organisation, cause.code, 0);
            return cause;
        },
    };
}
