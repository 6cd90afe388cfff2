/**
 * Leadership of the database groups: the primary of each group as recorded in the store, and whether this host may
 * still rely on the record. A host relies on a record while it holds a proof, no older than a limit, that the record
 * was in force. A host that replaces a primary first changes the record in the store, and then waits until every
 * other host has confirmed the change or its proof has expired.
 */
import * as z from "zod";
import * as replicaSet from "./replicaset.js";

/** Schema of a record in the store. */
export const schema = z.object({
    group: z.string(),
    /** Incremented with each change of the record. */
    epoch: z.number().int().min(1),
    /** True while the primary is being replaced: from before the promotion until the new primary has taken over. */
    changing: z.boolean(),
    /** Endpoint id of the primary; empty while the group has none. */
    primary: z.string(),
    /** Replication term of the primary. */
    term: z.number().int().min(0),
    /** Endpoints that may hold acknowledged commits; absent in a group that never had synchronous replicas. */
    replicas: z.array(replicaSet.schema).readonly().optional(),
}).readonly();

/** The primary of one database group, with the epoch of the record and the term of the primary. */
export type Record = z.infer<typeof schema>;

/** Limits on how long records are relied on. */
export interface Options {
    /** Age at which a proof expires, in milliseconds. */
    readonly maxProofAgeMs: number;
    /** Time for which statements in flight at a primary that is being replaced may be acknowledged, in milliseconds. */
    readonly graceMs: number;
}

/** Whether another host holds a proof, as last polled. */
export interface PeerProof {
    /** Time since the last poll that the host answered, in milliseconds. */
    readonly pollAgeMs: number;
    /** Age of the host's proof, in milliseconds; undefined when it has none. */
    readonly proofAgeMs: number | undefined;
}

/** The records known to this host. */
export interface Leadership {
    /** Stores a record if its epoch is higher than that of the known one. Returns whether it was stored. */
    apply(record: Record, nowMs: number): boolean;
    find(group: string): Record | undefined;
    all(): readonly Record[];
    /** Notes that all known records were in force at the given time. */
    renewProof(validAtMs: number): void;
    /** Age of the newest proof, in milliseconds; infinite without one. */
    proofAgeMs(nowMs: number): number;
    /**
     * Extends the trust in the records while the store is unreachable from every host, because no record can change
     * then. That takes a recent poll of every other host, and no host may hold a proof.
     */
    assessOutage(others: readonly PeerProof[], nowMs: number): void;
    /** True while the records may be relied on: with a proof, or in an outage of the store for all hosts. */
    isTrusted(nowMs: number): boolean;
    /** Evidence on which the records are relied on; undefined while they may not be. */
    basis(nowMs: number): "proof" | "outage" | undefined;
    /** True while the endpoint is known to be primary of the group, so that new statements may be sent to it. */
    isPrimary(group: string, endpoint: string, nowMs: number): boolean;
    /** True while a statement that the endpoint has just run may be acknowledged to its caller. */
    mayAcknowledge(group: string, endpoint: string, nowMs: number): boolean;
    /**
     * Ends the grace of the primary being replaced. Called before this host confirms the change, because the host that
     * replaces the primary takes a confirmation to mean that the grace has ended.
     */
    endGrace(group: string): void;
    /** Drops the proof, the outage and all graces. */
    dropProof(): void;
}

interface Entry {
    readonly record: Record;
    /** Time until which statements in flight at the primary being replaced may be acknowledged. */
    graceUntilMs: number;
}

/** Creates an instance without records. */
export function createLeadership(options: Options): Leadership {
    const entries = new Map<string, Entry>();
    let proofAtMs = -Infinity;
    let outageUntilMs = -Infinity;

    function basis(nowMs: number): ReturnType<Leadership["basis"]> {
        return nowMs - proofAtMs <= options.maxProofAgeMs ? "proof" : nowMs <= outageUntilMs ? "outage" : undefined;
    }

    const isTrusted = (nowMs: number): boolean => basis(nowMs) !== undefined;

    return {
        isTrusted,
        basis,
        apply(record, nowMs) {
            const known = entries.get(record.group);
            if (known !== undefined && record.epoch <= known.record.epoch) {
                return false;
            }
            const wasPrimary = known !== undefined && !known.record.changing && known.record.primary === record.primary;
            // The host that replaces the primary waits only until the proof held before the change has expired, so the
            // grace must not outlast it.
            const graceUntilMs = wasPrimary && record.changing && isTrusted(nowMs)
                ? Math.min(nowMs + options.graceMs, Math.max(proofAtMs + options.maxProofAgeMs, outageUntilMs))
                : -Infinity;
            entries.set(record.group, { record, graceUntilMs });
            return true;
        },
        find: group => entries.get(group)?.record,
        all: () => [...entries.values()].map(entry => entry.record),
        renewProof(validAtMs) {
            proofAtMs = Math.max(proofAtMs, validAtMs);
        },
        proofAgeMs: nowMs => nowMs - proofAtMs,
        assessOutage(others, nowMs) {
            const oldestPollAgeMs = Math.max(0, ...others.map(other => other.pollAgeMs));
            const peerHasProof = others.some(other => (other.proofAgeMs ?? Infinity) <= options.maxProofAgeMs);
            // Without any other host, an outage can't be told from a network partition of this host.
            const outage = others.length > 0 && !peerHasProof;
            // A host may regain the store just after its poll and change a record. It then waits until proofs expire,
            // so trust ends one proof age after the oldest poll.
            outageUntilMs = outage ? nowMs - oldestPollAgeMs + options.maxProofAgeMs : -Infinity;
        },
        isPrimary(group, endpoint, nowMs) {
            const record = entries.get(group)?.record;
            return record !== undefined && !record.changing && record.primary === endpoint && isTrusted(nowMs);
        },
        mayAcknowledge(group, endpoint, nowMs) {
            const entry = entries.get(group);
            if (entry === undefined || entry.record.primary !== endpoint) {
                return false;
            }
            return entry.record.changing ? nowMs <= entry.graceUntilMs : isTrusted(nowMs);
        },
        endGrace(group) {
            const entry = entries.get(group);
            if (entry !== undefined) {
                entry.graceUntilMs = -Infinity;
            }
        },
        dropProof() {
            proofAtMs = -Infinity;
            outageUntilMs = -Infinity;
            entries.forEach(entry => {
                entry.graceUntilMs = -Infinity;
            });
        },
    };
}
