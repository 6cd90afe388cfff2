/** How well the hosts reach the primaries, by what their digests report. */
import type * as leadership from "../core/leadership.js";
import type * as promotion from "../core/promotion.js";
import type * as fleets from "./fleet.js";

/** How well hosts reach the primary of a record, by their digests. */
export function contactsWithPrimary(
    hosts: readonly fleets.Peer[],
    record: leadership.Record,
    nowMs: number,
): readonly promotion.Contact[] {
    return hosts.flatMap(peer => {
        const contact = peer.digest?.primaryContacts.find(candidate =>
            candidate.group === record.group && candidate.epoch === record.epoch
        );
        if (contact === undefined) {
            return [];
        }
        // The time since the digest arrived is added to the age of the last answer, but not to the duration of a failure,
        // which is known only up to the digest.
        const { answerAgeMs, failingForMs } = contact;
        return [{
            answerAgeMs: answerAgeMs === undefined ? undefined : answerAgeMs + nowMs - peer.lastHeardMs,
            failingForMs,
        }];
    });
}
