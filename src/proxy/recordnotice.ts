/** Tells all hosts of a changed record of a primary, and collects their confirmations. */
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
     * Sends a record to all peers, again to those that don't answer. Resolves as soon as every peer has confirmed it, at the
     * latest at the deadline, to the peers that have not. Only an answer confirms: a peer whose connections are refused may
     * run behind a network partition, and still rely on the previous record.
     */
    confirmAll(record: leadership.Record, deadlineMs: number): Promise<readonly Unconfirmed[]>;
}

/** A peer that has not confirmed a record. */
export interface Unconfirmed {
    readonly peer: string;
    /** Why the last attempt failed; undefined without one. */
    readonly reason: string | undefined;
}

/** Time limit for one attempt: a peer lets its statements at the old primary finish before it confirms. */
const attemptTimeoutMs = 250;
/** Pause before the next attempt at a peer that answered with an error. */
const retryPauseMs = 20;

/** Creates a notice. */
export function createRecordNotice({ clock, peers }: Options): RecordNotice {
    async function confirm(
        peer: fleets.Peer,
        record: leadership.Record,
        deadlineMs: number,
    ): Promise<Unconfirmed | undefined> {
        let reason: string | undefined;
        for (let leftMs = deadlineMs - clock.now(); leftMs > 0; leftMs = deadlineMs - clock.now()) {
            const timeoutMs = Math.min(attemptTimeoutMs, leftMs);
            const reply = await peers.call(peer.member, messages.peer.record, record, timeoutMs);
            if (reply.isOk()) {
                return undefined;
            }
            reason = reply.error.message;
            await clock.sleep(retryPauseMs);
        }
        return { peer: peer.member.id, reason };
    }

    return {
        async confirmAll(record, deadlineMs) {
            const results = await Promise.all(peers.all().map(peer => confirm(peer, record, deadlineMs)));
            return results.flatMap(result => result ?? []);
        },
    };
}
