/** Requests that wait until the primary of a group is known. */
import type * as runtime from "../ports/runtime.js";

/** Waits for a primary. */
export interface Waiters {
    /** Resolves to true once a primary is known, or to false at the deadline. */
    wait(deadlineMs: number): Promise<boolean>;
    /** Ends the waits if a primary is known. */
    notify(): void;
}

/** Creates waiters without any wait. */
export function createWaiters(clock: runtime.HostClock, hasPrimary: () => boolean): Waiters {
    const waiters = new Set<() => void>();
    return {
        async wait(deadlineMs) {
            while (!hasPrimary() && clock.now() < deadlineMs) {
                await new Promise<void>(resolve => {
                    const finish = (): void => {
                        waiters.delete(finish);
                        stop();
                        resolve();
                    };
                    const stop = clock.after(deadlineMs - clock.now(), finish);
                    waiters.add(finish);
                });
            }
            return hasPrimary();
        },
        notify() {
            if (hasPrimary()) {
                [...waiters].forEach(finish => finish());
            }
        },
    };
}
