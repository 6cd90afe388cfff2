/**
 * Permits for requests to cold endpoints. Any second holds at most the stated number of requests from all hosts together.
 * The host with the failover lock issues permits that end soon; it counts each until a second after its end, so that
 * permits which are used late, or not at all, never add up to more.
 */

/** Bound on the requests to one cold endpoint. */
export interface Bound {
    /** Requests a second that the configuration allows a cold endpoint. */
    readonly perSecond: number;
    /** Factor on that. */
    readonly overage: number;
    /** Requests a second beyond that. */
    readonly slack: number;
}

/** Requests that an operation makes at an endpoint. */
export interface Request {
    /** Requests that are sent at once. */
    readonly immediate: number;
    /** Requests that are sent later: the end of a transaction, which must not wait. */
    readonly held: number;
}

/** Whether permits were issued, and after which time to ask again if not. */
export interface Decision {
    readonly granted: boolean;
    readonly retryAfterMs: number;
}

/** The permits of one endpoint that count at the moment. */
export interface Window {
    /** Time until the permits would be issued, in milliseconds; 0 if they would be now. */
    roomInMs(request: Request, limit: number, nowMs: number): number;
    /** Issues permits that are valid for that time, if they fit into the limit. */
    issue(request: Request, limit: number, validMs: number, nowMs: number): Decision;
}

/** Time after the request for them in which permits for immediate use are valid. */
export const immediateMs = 300;
/** Time after the request for them in which permits for the end of a transaction are valid. */
export const heldMs = 3_000;
/** Length of the windows that the bound applies to. */
const windowMs = 1_000;
/** Time in which permits of an earlier holder of the failover lock may be used, and count in a window. */
export const takeoverMs = heldMs + windowMs;
/** Status queries a second by the host with the failover lock, which count as requests. */
const probesPerSecond = 8;
/** Part of the limit that only transactions use. */
const transactionFraction = 1 / 3;
/** Delay suggested for a request that never fits. */
const neverRetryAfterMs = 1_000;

/** Requests a second that hosts may make at a cold endpoint beside status queries. */
export function limitOf({ perSecond, overage, slack }: Bound): number {
    return Math.max(0, Math.floor(perSecond * overage + slack) - probesPerSecond);
}

/**
 * Part of the limit that each host may use without a permit, so that hosts which reach nobody need none. It is the same
 * for all, and so small that twice as many hosts as this one knows stay within half of the limit.
 */
export function ownPart(limit: number, hostCount: number): number {
    return Math.floor(Math.floor(limit / 2) / (2 * Math.max(1, hostCount)));
}

/** Part of the limit for which permits are issued. A host that knows half as many hosts may still have an own part. */
export function issuedPart(limit: number, hostCount: number): number {
    return ownPart(limit, Math.ceil(hostCount / 2)) > 0 ? limit - Math.floor(limit / 2) : limit;
}

/** Creates a window without permits. */
export function createWindow(): Window {
    let counted: { readonly count: number; readonly untilMs: number }[] = [];

    function roomInMs({ immediate, held }: Request, limit: number, nowMs: number): number {
        counted = counted.filter(entry => entry.untilMs > nowMs);
        // Transactions need several permits at once, so single requests leave them a part.
        const usable = held > 0 ? limit : limit - Math.floor(limit * transactionFraction);
        const wanted = immediate + held;
        let used = counted.reduce((sum, entry) => sum + entry.count, 0);
        if (used + wanted <= usable) {
            return 0;
        }
        for (const entry of [...counted].sort((left, right) => left.untilMs - right.untilMs)) {
            used -= entry.count;
            if (used + wanted <= usable) {
                return entry.untilMs - nowMs;
            }
        }
        return neverRetryAfterMs;
    }

    return {
        roomInMs,
        issue(request, limit, validMs, nowMs) {
            const retryAfterMs = roomInMs(request, limit, nowMs);
            if (retryAfterMs > 0) {
                return { granted: false, retryAfterMs };
            }
            counted.push({ count: request.immediate, untilMs: nowMs + validMs + windowMs });
            if (request.held > 0) {
                counted.push({ count: request.held, untilMs: nowMs + heldMs + windowMs });
            }
            return { granted: true, retryAfterMs: 0 };
        },
    };
}

/** Issues permits for all endpoints while this host holds the failover lock. */
export interface Issuer {
    /** Issues permits if the host holds the lock with that token; undefined stands for not holding it. */
    issue(endpoint: string, request: Request, limit: number, token: number | undefined, nowMs: number): Decision;
}

/** Creates an issuer that has issued nothing. */
export function createIssuer(): Issuer {
    const windows = new Map<string, Window>();
    let held: { readonly token: number; readonly fromMs: number } | undefined;
    return {
        issue(endpoint, request, limit, token, nowMs) {
            if (token === undefined) {
                return { granted: false, retryAfterMs: neverRetryAfterMs };
            }
            if (held?.token !== token) {
                held = { token, fromMs: nowMs + takeoverMs };
                windows.clear();
            }
            if (nowMs < held.fromMs) {
                return { granted: false, retryAfterMs: held.fromMs - nowMs };
            }
            const window = windows.get(endpoint) ?? createWindow();
            windows.set(endpoint, window);
            return window.issue(request, limit, immediateMs, nowMs);
        },
    };
}
