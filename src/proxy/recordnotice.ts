/** Tells all hosts of a changed record of a primary, and collects their confirmations. */
import * as failure from "../core/failure.js";
import type * as leadership from "../core/leadership.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** Collaborators of the notice. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly peers: Pick<gossip.Peers, "all" | "call">;
}

/** Sends records to the other hosts. */
export interface RecordNotice {
    /**
     * Sends a record to all peers, again to those that don't answer. Resolves to true as soon as every peer that is running
     * has confirmed it, or to false at the deadline.
     */
    confirmAll(record: leadership.Record, deadlineMs: number): Promise<boolean>;
}

/** Time limit for one attempt: a peer lets its statements at the old primary finish before it confirms. */
const attemptTimeoutMs = 250;
/** Pause before the next attempt at a peer that answered with an error. */
const retryPauseMs = 20;

/** Creates a notice. */
export function createRecordNotice({ clock, peers }: Options): RecordNotice {
    async function confirm(peer: fleets.Peer, record: leadership.Record, deadlineMs: number): Promise<boolean> {
        for (let leftMs = deadlineMs - clock.now(); leftMs > 0; leftMs = deadlineMs - clock.now()) {
            const timeoutMs = Math.min(attemptTimeoutMs, leftMs);
            const reply = await peers.call(peer.member, messages.peer.record, record, timeoutMs);
            // A refused connection means that no host runs there; one that starts later reads the new record.
            if (reply.isOk() || reply.error.code === failure.Code.ownerUnreachable) {
                return true;
            }
            await clock.sleep(retryPauseMs);
        }
        return false;
    }

    return {
        async confirmAll(record, deadlineMs) {
            const confirmed = await Promise.all(peers.all().map(peer => confirm(peer, record, deadlineMs)));
            return confirmed.every(value => value);
        },
    };
}
