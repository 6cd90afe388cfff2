/** This product's own keys in the store: hosts, records of primaries, and the duty to replace them. */
import * as z from "zod";
import * as decode from "../core/decode.js";
import * as tenure from "../core/tenure.js";
import type * as store from "../ports/store.js";
import * as messages from "./messages.js";

/** Prefix of all keys. */
export const prefix = "hyssophatch/";
const hostsPrefix = `${prefix}hosts/`;
const primariesPrefix = `${prefix}primaries/`;
/** Key of the host that replaces primaries. */
export const dutyKey = `${prefix}duty/promotion`;

/** Key of a host. */
export function hostKey(id: string): string {
    return `${hostsPrefix}${id}`;
}

/** Key of a group's record. */
export function primaryKey(group: string): string {
    return `${primariesPrefix}${group}`;
}

const duty = z.object({ holder: z.string(), incarnation: z.string() }).readonly();

/** The host that replaces primaries. */
export interface Duty {
    readonly holder: string;
    readonly incarnation: string;
    /** Grows with each change of the holder. */
    readonly token: number;
}

/** A record with the revision that a change of it has to name. */
export interface Stored {
    readonly record: tenure.Record;
    readonly revision: number;
}

/** Everything under the prefix. */
export interface Contents {
    readonly hosts: readonly messages.Member[];
    readonly records: readonly Stored[];
    readonly duty: Duty | undefined;
    /** Keys whose values can't be read. */
    readonly corrupt: readonly string[];
}

/** Reads the holder of the duty. */
function readDuty(item: store.Item): Duty | undefined {
    const parsed = decode.json(duty, item.value);
    return parsed.isOk() ? { ...parsed.value, token: item.revision } : undefined;
}

/** Sorts the items under the prefix. */
export function read(items: readonly store.Item[]): Contents {
    const hosts: messages.Member[] = [];
    const records: Stored[] = [];
    const corrupt: string[] = [];
    let holder: Duty | undefined;
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
        else if (item.key === dutyKey) {
            holder = readDuty(item);
            if (holder === undefined) {
                corrupt.push(item.key);
            }
        }
    }
    return { hosts, records, duty: holder, corrupt };
}
