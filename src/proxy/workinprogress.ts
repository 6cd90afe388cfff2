/** Operations in progress at the endpoints of a group. */
import type * as runtime from "../ports/runtime.js";

/** Counts operations by endpoint. */
export interface WorkInProgress {
    /** Counts an operation at the endpoint as in progress until the returned function is called. */
    begin(endpoint: string): () => void;
    /** Resolves once no operation is in progress at the endpoint, or after the time-out. */
    waitUntilIdle(endpoint: string, timeoutMs: number): Promise<void>;
}

/** Interval at which `waitUntilIdle` checks for operations in progress. */
const idlePollMs = 5;

/** Creates a counter of operations without any. */
export function createWorkInProgress(clock: runtime.HostClock): WorkInProgress {
    const counts = new Map<string, number>();
    return {
        begin(endpoint) {
            counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
            return () => {
                counts.set(endpoint, (counts.get(endpoint) ?? 1) - 1);
            };
        },
        async waitUntilIdle(endpoint, timeoutMs) {
            const deadlineMs = clock.now() + timeoutMs;
            while ((counts.get(endpoint) ?? 0) > 0 && clock.now() < deadlineMs) {
                await clock.sleep(idlePollMs);
            }
        },
    };
}
