/**
 * Decides which record of a group's primary is written into a new era of the store, after the store came back from an
 * older copy that may lack the newest record. Until that is done for all groups, no host may rely on the store's records.
 */
import type * as leadership from "./leadership.js";
import * as storeEra from "./storeera.js";

/** What is known of a group's primary when a new era of the store begins. */
export interface Evidence {
    /** Records found in the store, of whatever era. */
    readonly stored: readonly leadership.Record[];
    /** The record that live hosts remember; undefined if none does. */
    readonly remembered: leadership.Record | undefined;
    /** Roles and terms of the group's endpoints that answered. */
    readonly endpoints: readonly { readonly primary: boolean; readonly term: number }[];
    /** True if every listed endpoint of the group answered. */
    readonly allAnswered: boolean;
}

/**
 * The record for the new era; undefined if no record is known. It is marked as changing if a change of primary may have
 * been lost, so that the failover coordinator fences the old primary before anybody relies on the new record.
 */
export function restore(evidence: Evidence, era: number): leadership.Record | undefined {
    const known = evidence.remembered === undefined ? evidence.stored : [...evidence.stored, evidence.remembered];
    const newest = known.reduce<leadership.Record | undefined>(
        (best, record) => (best === undefined || record.epoch > best.epoch ? record : best),
        undefined,
    );
    if (newest === undefined) {
        return undefined;
    }
    const laterTerm = evidence.endpoints.some(endpoint => endpoint.primary && endpoint.term > newest.term);
    const uncertain = evidence.remembered === undefined && !evidence.allAnswered;
    const changing = newest.changing || laterTerm || uncertain;
    return { ...newest, epoch: storeEra.next(newest.epoch, era), changing };
}
