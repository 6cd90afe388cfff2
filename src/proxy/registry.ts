/** This product's keys in the store: registered hosts, the records of primaries, and the failover lock. */
import * as z from "zod";
import * as decode from "../core/decode.js";
import * as leadership from "../core/leadership.js";
import type * as store from "../ports/store.js";
import * as messages from "./messages.js";

/** Prefix of all of this product's keys. */
export const prefix = "hyssophatch/";
const hostsPrefix = `${prefix}hosts/`;
const primariesPrefix = `${prefix}primaries/`;
/** Key of the failover lock, which names the host that replaces primaries. */
export const failoverLockKey = `${prefix}duty/promotion`;

/** Key of a host's registration. */
export function hostKey(id: string): string {
    return `${hostsPrefix}${id}`;
}

/** Key of the record that names a group's primary. */
export function recordKey(group: string): string {
    return `${primariesPrefix}${group}`;
}

const lockSchema = z.object({ holder: z.string(), incarnation: z.string() }).readonly();

/** The failover lock and the host that holds it. */
export interface FailoverLock {
    readonly holder: string;
    readonly incarnation: string;
    /** Increases each time the lock is acquired. */
    readonly fencingToken: number;
}

/** A record with its revision in the store, the condition for the next change. */
export interface StoredRecord {
    readonly record: leadership.Record;
    readonly revision: number;
}

/** The parsed contents of the key prefix. */
export interface Snapshot {
    readonly hosts: readonly messages.Member[];
    readonly records: readonly StoredRecord[];
    readonly failoverLock: FailoverLock | undefined;
    /** Keys whose values can't be parsed. */
    readonly corruptKeys: readonly string[];
}

function parseLock(item: store.Item): FailoverLock | undefined {
    const parsed = decode.json(lockSchema, item.value);
    return parsed.isOk() ? { ...parsed.value, fencingToken: item.revision } : undefined;
}

/** Parses the items below the prefix; an item that can't be parsed is reported in `corruptKeys`. */
export function parse(items: readonly store.Item[]): Snapshot {
    const hosts: messages.Member[] = [];
    const records: StoredRecord[] = [];
    const corruptKeys: string[] = [];
    let failoverLock: FailoverLock | undefined;
    for (const item of items) {
        if (item.key.startsWith(hostsPrefix)) {
            const parsed = decode.json(messages.member, item.value);
            parsed.match(value => void hosts.push(value), () => void corruptKeys.push(item.key));
        }
        else if (item.key.startsWith(primariesPrefix)) {
            const parsed = decode.json(leadership.schema, item.value);
            parsed.match(
                record => void records.push({ record, revision: item.revision }),
                () => void corruptKeys.push(item.key),
            );
        }
        else if (item.key === failoverLockKey) {
            failoverLock = parseLock(item);
            if (failoverLock === undefined) {
                corruptKeys.push(item.key);
            }
        }
    }
    return { hosts, records, failoverLock, corruptKeys };
}
