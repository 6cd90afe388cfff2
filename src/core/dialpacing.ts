/**
 * Paces the connections that a host opens to an endpoint. After a loss of power the endpoint still counts the connections
 * of before, refuses new ones, and then has room for all at once, while each handshake takes some of its time. So after
 * the start, and after a refusal, a host opens one at a time, and twice as many with each round that succeeds.
 */

/** Paces the connections to one endpoint. */
export interface DialPacing {
    /** Number of connections that may be begun now. */
    room(nowMs: number): number;
    /** Time until one may be begun, apart from those that are being opened, in milliseconds. */
    pauseMs(nowMs: number): number;
    /** Records that a connection is begun. */
    begin(): void;
    /** Records how it ended. `pausePart`, from 0 to 1, differs from host to host, so that hosts don't ask together. */
    end(result: "opened" | "full" | "failed", nowMs: number, pausePart: number): void;
}

/** Connections begun at once after the start of the host. */
const initialWindow = 2;
/** Largest number of connections begun at once. */
const maxWindow = 32;
/** Shortest and longest pause after a refusal. */
const minPauseMs = 75;
const maxPauseMs = 225;

/** Creates the pacing of a host that has just started. */
export function createDialPacing(): DialPacing {
    let window = initialWindow;
    let opening = 0;
    let pausedUntilMs = -Infinity;
    return {
        room: nowMs => nowMs < pausedUntilMs ? 0 : Math.max(0, window - opening),
        pauseMs: nowMs => Math.max(0, pausedUntilMs - nowMs),
        begin() {
            opening += 1;
        },
        end(result, nowMs, pausePart) {
            opening -= 1;
            if (result === "opened") {
                window = Math.min(maxWindow, window + 1);
            }
            else if (result === "full") {
                window = 1;
                pausedUntilMs = nowMs + minPauseMs + (maxPauseMs - minPauseMs) * pausePart;
            }
        },
    };
}
