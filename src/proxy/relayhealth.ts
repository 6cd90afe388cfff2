/** How well this host reaches the hosts that hold connections for it: measured by the statements relayed to them. */
import type * as decisions from "../core/connectionholders.js";
import type * as runtime from "../ports/runtime.js";

/** How a relayed statement ended: no reply, declined, declined as the host leaves, or the time for which the host held it. */
export type Ending = "failed" | "declined" | "leaving" | { readonly heldMs: number };

/** State of the ways to other hosts. */
export interface PeerHealth {
    /** Notes that a statement is sent; the returned function notes its end. */
    begin(host: string): (ending: Ending) => void;
    /** Why a host is passed over at the moment; undefined if it is not. */
    reasonAgainst(host: string): decisions.PassedOver | undefined;
    /** Recent round trip to a host beyond what it held the statement for, in milliseconds; 0 while unknown. */
    roundTripMs(host: string): number;
}

interface Way {
    readonly pending: Set<{ readonly sentMs: number }>;
    roundTripMs: number;
    lastReplyMs: number;
    passedOver: { readonly reason: decisions.PassedOver; readonly untilMs: number } | undefined;
}

/** Time for which a host is passed over after it said that it leaves, was silent, or was slow. */
const passOverMs: Readonly<Record<decisions.PassedOver, number>> = { leaving: 2_000, silent: 2_000, slow: 2_000 };
/** Age of a statement without a reply, and of the last reply, from which a host counts as silent. */
const silentAfterMs = 600;
/** Round trip from which a host is slow: over twice that between regions. */
const slowMs = 60;
/** Weight of a new observation in the moving average of the round trip. */
const smoothing = 0.2;

/** Creates the state of a host that has sent nothing yet. */
export function createPeerHealth(clock: runtime.Clock): PeerHealth {
    const ways = new Map<string, Way>();

    function wayTo(host: string): Way {
        const way = ways.get(host)
            ?? { pending: new Set(), roundTripMs: 0, lastReplyMs: -Infinity, passedOver: undefined };
        ways.set(host, way);
        return way;
    }

    function passOver(way: Way, reason: decisions.PassedOver): void {
        way.passedOver = { reason, untilMs: clock.now() + passOverMs[reason] };
    }

    function isSilent(way: Way): boolean {
        const oldestMs = Math.min(...[...way.pending].map(entry => entry.sentMs));
        return clock.now() - oldestMs > silentAfterMs && clock.now() - way.lastReplyMs > silentAfterMs;
    }

    return {
        begin(host) {
            const way = wayTo(host);
            const entry = { sentMs: clock.now() };
            way.pending.add(entry);
            return ending => {
                way.pending.delete(entry);
                if (ending === "failed") {
                    passOver(way, "silent");
                    return;
                }
                way.lastReplyMs = clock.now();
                if (ending === "declined") {
                    return;
                }
                if (ending === "leaving") {
                    passOver(way, "leaving");
                    return;
                }
                const observedMs = Math.max(0, clock.now() - entry.sentMs - ending.heldMs);
                way.roundTripMs += (observedMs - way.roundTripMs) * smoothing;
                if (way.roundTripMs > slowMs) {
                    passOver(way, "slow");
                    way.roundTripMs = 0;
                }
            };
        },
        reasonAgainst(host) {
            const way = ways.get(host);
            if (way === undefined) {
                return undefined;
            }
            if (way.passedOver !== undefined && clock.now() < way.passedOver.untilMs) {
                return way.passedOver.reason;
            }
            return isSilent(way) ? "silent" : undefined;
        },
        roundTripMs: host => ways.get(host)?.roundTripMs ?? 0,
    };
}
