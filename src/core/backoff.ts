/**
 * Exponential backoff with jitter, for calls that many hosts make over a shared slow link: repeated at a fixed interval,
 * the calls that time out would keep the link full, and none would ever succeed.
 */

/** Limits of a backoff. */
export interface Options {
    /** Pause after the first failure, in milliseconds; doubled with each further one. */
    readonly firstMs: number;
    readonly maxMs: number;
}

/** Pauses after failed calls. */
export interface Backoff {
    /** Records a failure; returns the pause before the next call. `random` is in [0, 1). */
    fail(random: number): number;
    succeed(): void;
    /** Number of failures since the last success. */
    failures(): number;
}

/** Creates a backoff without failures. */
export function createBackoff(options: Options): Backoff {
    let failures = 0;
    return {
        fail(random) {
            const pauseMs = Math.min(options.maxMs, options.firstMs * 2 ** failures);
            failures += 1;
            return pauseMs * (0.5 + random);
        },
        succeed() {
            failures = 0;
        },
        failures: () => failures,
    };
}
