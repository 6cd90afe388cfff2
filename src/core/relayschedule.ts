/** When a host reports its usage to relays, and to which ones. */

/** The schedule of one host. */
export interface Schedule {
    /**
     * The relay to report to now; undefined if none is due. `ranked` are the hosts that could be relays, the strongest
     * first; `hasDemand` tells whether callers have asked for anything lately.
     */
    next(ranked: readonly string[], intervalMs: number, hasDemand: boolean, nowMs: number): string | undefined;
    /** Takes in that a relay didn't answer in time; it is left out for a while. */
    failed(relay: string, nowMs: number): void;
    /** Takes in that a relay answered. */
    answered(relay: string): void;
    /** True for some time after the start. */
    introduces(nowMs: number): boolean;
}

/** Relays at a time: one can fail, or answer late, without a gap. */
export const relayCount = 2;
/** Time for which a relay that didn't answer is left out, in milliseconds. */
const leaveOutMs = 2_000;

/**
 * Creates the schedule of a host that has just started. For some time, it reports without demand too, so that all hosts
 * learn of each other.
 */
export function createSchedule(introductionMs: number, startedMs: number): Schedule {
    const failedMs = new Map<string, number>();
    const inFlight = new Set<string>();
    let lastSentMs = -Infinity;
    let previous: string | undefined;
    let hadDemand = false;
    const introduces = (nowMs: number): boolean => nowMs - startedMs < introductionMs;
    return {
        introduces,
        next(ranked, intervalMs, hasDemand, nowMs) {
            const begins = hasDemand && !hadDemand;
            hadDemand = hasDemand;
            if (!hasDemand && !introduces(nowMs)) {
                return undefined;
            }
            if (nowMs - lastSentMs < intervalMs && !begins) {
                return undefined;
            }
            const relays = ranked.filter(id => nowMs - (failedMs.get(id) ?? -Infinity) >= leaveOutMs)
                .slice(0, relayCount);
            const free = relays.filter(id => !inFlight.has(id));
            const relay = free.find(id => id !== previous) ?? free[0];
            if (relay !== undefined) {
                lastSentMs = nowMs;
                previous = relay;
                inFlight.add(relay);
            }
            return relay;
        },
        failed(relay, nowMs) {
            inFlight.delete(relay);
            failedMs.set(relay, nowMs);
        },
        answered(relay) {
            inFlight.delete(relay);
            failedMs.delete(relay);
        },
    };
}
