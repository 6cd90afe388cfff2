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

/** Time until the platform stops routing callers to a host that is not ready: two failed readiness checks. */
const rotationTimeoutMs = 2_300;
const pollIntervalMs = 50;
/** Part of the grace that is reserved for closing and writing the last log lines. */
const exitMarginMs = 700;

/** Resolves when all callers are gone, or when the grace is nearly over. */
export async function drain(options: Options): Promise<void> {
    const { clock, graceMs } = options;
    const startMs = clock.now();
    options.onStart();
    await clock.sleep(Math.min(rotationTimeoutMs, graceMs / 3));
    options.refuseLogins();
    while (clock.now() < startMs + graceMs - exitMarginMs) {
        const callers = options.callers();
        callers?.closeIdle();
        const pastHalf = clock.now() >= startMs + graceMs / 2;
        if ((callers?.count() ?? 0) === 0 || (pastHalf && (callers?.busy() ?? 0) === 0)) {
            return;
        }
        await clock.sleep(pollIntervalMs);
    }
}
