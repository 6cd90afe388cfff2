/**
 * Notices that this host was suspended. The steady clock stands still meanwhile, so ages measured on it are
 * too young afterwards; the time of day goes on. A step of the time of day looks the same and is taken as a
 * suspension too, which costs fresh measurements and no promise.
 */

/** Difference between the two clocks that is taken as a step, in milliseconds; well above timer jitter. */
const stepMs = 40;

/** Watches two clocks of one host. */
export interface Detector {
    /** True when one clock moved without the other since the last call. */
    detect(steadyMs: number, dayMs: number): boolean;
}

/** Creates a watch that has seen neither clock. */
export function createDetector(): Detector {
    let offsetMs: number | undefined;
    return {
        detect(steadyMs, dayMs) {
            const next = dayMs - steadyMs;
            const stepped = offsetMs !== undefined && Math.abs(next - offsetMs) > stepMs;
            // Slow drift within the tolerance accumulates unless the reference follows it.
            offsetMs = next;
            return stepped;
        },
    };
}
