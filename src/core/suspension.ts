/**
 * Detects that this host was suspended. The monotonic clock stops during a suspension while the wall clock goes on, so
 * ages measured on the monotonic clock are too low afterwards. A jump of the wall clock looks the same and counts as a
 * suspension too: valid measurements are then discarded, but no guarantee is broken.
 */

/** Change in the offset between the clocks that counts as a jump, in milliseconds; well above timer jitter. */
const minJumpMs = 40;

/** Compares the two clocks of one host. */
export interface Detector {
    /** True when one clock has jumped against the other since the last call. */
    detect(monotonicMs: number, wallClockMs: number): boolean;
}

/** Creates a detector; its first call only sets the reference. */
export function createDetector(): Detector {
    let offsetMs: number | undefined;
    return {
        detect(monotonicMs, wallClockMs) {
            const nextOffsetMs = wallClockMs - monotonicMs;
            const jumped = offsetMs !== undefined && Math.abs(nextOffsetMs - offsetMs) > minJumpMs;
            // Follows slow drift, which would otherwise add up to a jump.
            offsetMs = nextOffsetMs;
            return jumped;
        },
    };
}
