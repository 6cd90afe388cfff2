/** This product's own keys in the store: hosts, records of primaries, and the duty to replace them. */
import * as z from "zod";
import * as decode from "../core/decode.js";
import * as tenure from "../core/leadership.js";
import type * as store from "../ports/store.js";
import * as messages from "./messages.js";

/** Prefix of all keys. */
export const prefix = "hyssophatch/";
const hostsPrefix = `${prefix}hosts/`;
const primariesPrefix = `${prefix}primaries/`;
/** Key of the host that replaces primaries. */
export const failoverLockKey = `${prefix}duty/promotion`;

/** Key of a host. */
export function hostKey(id: string): string {
    return `${hostsPrefix}${id}`;
}

/** Key of a group's record. */
export function recordKey(group: string): string {
    return `${primariesPrefix}${group}`;
}

const duty = z.object({ holder: z.string(), incarnation: z.string() }).readonly();

/** The host that replaces primaries. */
export interface FailoverLock {
    readonly holder: string;
    readonly incarnation: string;
    /** Grows with each change of the holder. */
    readonly fencingToken: number;
}

/** A record with the revision that a change of it has to name. */
export interface StoredRecord {
    readonly record: tenure.Record;
    readonly revision: number;
}

/** Everything under the prefix. */
export interface Snapshot {
    readonly hosts: readonly messages.Member[];
    readonly records: readonly StoredRecord[];
    readonly failoverLock: FailoverLock | undefined;
    /** Keys whose values can't be read. */
    readonly corruptKeys: readonly string[];
}

/** Reads the holder of the duty. */
function readDuty(item: store.Item): FailoverLock | undefined {
    const parsed = decode.json(duty, item.value);
    return parsed.isOk() ? { ...parsed.value, fencingToken: item.revision } : undefined;
}

/** Sorts the items under the prefix. */
export function parse(items: readonly store.Item[]): Snapshot {
    const hosts: messages.Member[] = [];
    const records: StoredRecord[] = [];
    const corrupt: string[] = [];
    let holder: FailoverLock | undefined;
    for (const item of items) {
        if (item.key.startsWith(hostsPrefix)) {
            const parsed = decode.json(messages.member, item.value);
            parsed.match(value => void hosts.push(value), () => void corrupt.push(item.key));
        }
        else if (item.key.startsWith(primariesPrefix)) {
            const parsed = decode.json(tenure.schema, item.value);
            parsed.match(
                record => void records.push({ record, revision: item.revision }),
                () => void corrupt.push(item.key),
            );
        }
        else if (item.key === failoverLockKey) {
            holder = readDuty(item);
            if (holder === undefined) {
                corrupt.push(item.key);
            }
        }
    }
    return { hosts, records, failoverLock: holder, corruptKeys: corrupt };
}
