/** Drains the callers of a host that stops: it leaves rotation first, and closes what is idle until all are gone. */
import type * as runtime from "../ports/runtime.js";

/** Listener for callers. */
export interface CallerListener {
    /** Number of open connections. */
    count(): number;
    /** Number of connections with a request in progress or a transaction open. */
    busy(): number;
    /** Bytes received and sent since the start. */
    byteCount(): number;
    /** Closes the connections that are not busy, and from now on each other one as soon as it isn't. */
    closeIdle(): void;
    close(): void;
}

/** What a drain needs of its host. */
export interface Options {
    readonly clock: runtime.Clock;
    /** Time until the process is killed, in milliseconds. */
    readonly graceMs: number;
    callers(): CallerListener | undefined;
    /** Called at once: the host is to report itself as not ready and leaving. */
    onStart(): void;
    /** Called once no new callers should arrive. */
    refuseLogins(): void;
}

/** Moments of a stop, on the monotonic clock of the host. */
export interface Limits {
    /** Until then, transactions go on whatever their time limits. */
    readonly transactionsUntilMs: number;
    /** Connections are closed then, also those with a request in progress. */
    readonly closesAtMs: number;
}

/** Time until the platform stops routing callers to a host that is not ready: two failed readiness checks. */
const rotationTimeoutMs = 2_300;
const pollIntervalMs = 50;
/** Part of the grace that is reserved for closing and writing the last log lines. */
const exitMarginMs = 700;

/** The limits of a stop that began at the given time. */
export function limitsOf(startMs: number, graceMs: number): Limits {
    return { transactionsUntilMs: startMs + graceMs / 2, closesAtMs: startMs + graceMs - exitMarginMs };
}

/** Resolves when all callers are gone, or when the grace is nearly over. */
export async function drain(options: Options): Promise<void> {
    const { clock, graceMs } = options;
    const startMs = clock.now();
    const limits = limitsOf(startMs, graceMs);
    options.onStart();
    await clock.sleep(Math.min(rotationTimeoutMs, graceMs / 3));
    options.refuseLogins();
    while (clock.now() < limits.closesAtMs) {
        const callers = options.callers();
        callers?.closeIdle();
        const pastHalf = clock.now() >= limits.transactionsUntilMs;
        if ((callers?.count() ?? 0) === 0 || (pastHalf && (callers?.busy() ?? 0) === 0)) {
            return;
        }
        await clock.sleep(pollIntervalMs);
    }
}
