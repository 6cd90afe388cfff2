/**
 * Who is primary of each database group, as recorded in the store, and whether this host may still rely on
 * the record. A host relies on it while it holds proof, no older than a limit, that the record was in force;
 * whoever replaces a primary first changes the record and then waits until every other host has confirmed the
 * change or has lost its proof.
 */
import * as z from "zod";

/** Schema of a record as stored. */
export const schema = z.object({
    group: z.string(),
    /** Grows with each change of the record. */
    epoch: z.number().int().min(1),
    /** True from before a promotion until the new primary leads. */
    changing: z.boolean(),
    /** Empty while a group has none. */
    primary: z.string(),
    term: z.number().int().min(0),
}).readonly();

/** Who leads one database group. */
export type Record = z.infer<typeof schema>;

/** Settings of a register of records. */
export interface Options {
    /** Age up to which a proof counts, in milliseconds. */
    readonly maxProofAgeMs: number;
    /** Time for which statements under way at a primary that is being replaced may still be acknowledged. */
    readonly graceMs: number;
}

/** What another host shows of the store. */
export interface PeerProof {
    /** Time since it was asked and answered, or refused a connection, in milliseconds. */
    readonly pollAgeMs: number;
    /** Age of its proof; undefined when it has none. */
    readonly proofAgeMs: number | undefined;
}

/** The records that this host knows. */
export interface Leadership {
    /** Takes in a record; an older one than known changes nothing. True when it was news. */
    apply(record: Record, nowMs: number): boolean;
    find(group: string): Record | undefined;
    all(): readonly Record[];
    /** Notes that everything known was in force at the moment. */
    renewProof(momentMs: number): void;
    /** Age of the newest proof, in milliseconds. */
    proofAgeMs(nowMs: number): number;
    /**
     * Weighs whether the store is away for every host: then no record can change. All hosts that exist have to
     * be heard, and none may have proof.
     */
    assessOutage(others: readonly PeerProof[], nowMs: number): void;
    /** True while the records may be relied on. */
    isTrusted(nowMs: number): boolean;
    /** True while the endpoint is known to lead its group, for new work. */
    isPrimary(group: string, endpoint: string, nowMs: number): boolean;
    /** True while what the endpoint has just done may be acknowledged. */
    mayAcknowledge(group: string, endpoint: string, nowMs: number): boolean;
    /** Ends the acknowledgement of work under way at a replaced primary; confirmed to whoever replaces it. */
    endGrace(group: string): void;
    /** Drops all proof. */
    dropProof(): void;
}

interface Entry {
    readonly record: Record;
    /** Until when work under way at the replaced primary may be acknowledged. */
    graceUntilMs: number;
}

/** Creates a register that knows nothing. */
export function createLeadership(options: Options): Leadership {
    const entries = new Map<string, Entry>();
    let provenMs = -Infinity;
    let outageUntilMs = -Infinity;

    const proven = (nowMs: number): boolean => nowMs - provenMs <= options.maxProofAgeMs || nowMs <= outageUntilMs;

    return {
        isTrusted: proven,
        apply(record, nowMs) {
            const known = entries.get(record.group);
            if (known !== undefined && record.epoch <= known.record.epoch) {
                return false;
            }
            const led = known !== undefined && !known.record.changing && known.record.primary === record.primary;
            // Only a proof from before the change counts, so the wait of whoever changed it covers the grace.
            const untilMs = led && record.changing && proven(nowMs)
                ? Math.min(nowMs + options.graceMs, Math.max(provenMs + options.maxProofAgeMs, outageUntilMs))
                : -Infinity;
            entries.set(record.group, { record, graceUntilMs: untilMs });
            return true;
        },
        find: group => entries.get(group)?.record,
        all: () => [...entries.values()].map(entry => entry.record),
        renewProof(momentMs) {
            provenMs = Math.max(provenMs, momentMs);
        },
        proofAgeMs: nowMs => nowMs - provenMs,
        assessOutage(others, nowMs) {
            const oldestMs = Math.max(0, ...others.map(other => other.pollAgeMs));
            const someProof = others.some(other => (other.proofAgeMs ?? Infinity) <= options.maxProofAgeMs);
            // Without any other host nothing tells an outage from being cut off.
            const outage = others.length > 0 && !someProof;
            // A host that reaches the store again after it was asked changes a record and waits for the proofs to end.
            outageUntilMs = outage ? nowMs - oldestMs + options.maxProofAgeMs : -Infinity;
        },
        isPrimary(group, endpoint, nowMs) {
            const record = entries.get(group)?.record;
            return record !== undefined && !record.changing && record.primary === endpoint && proven(nowMs);
        },
        mayAcknowledge(group, endpoint, nowMs) {
            const entry = entries.get(group);
            if (entry === undefined || entry.record.primary !== endpoint) {
                return false;
            }
            return entry.record.changing ? nowMs <= entry.graceUntilMs : proven(nowMs);
        },
        endGrace(group) {
            const entry = entries.get(group);
            if (entry !== undefined) {
                entry.graceUntilMs = -Infinity;
            }
        },
        dropProof() {
            provenMs = -Infinity;
            outageUntilMs = -Infinity;
            entries.forEach(entry => {
                entry.graceUntilMs = -Infinity;
            });
        },
    };
}
