/** This product's keys in the store: registered hosts, the records of primaries, and the failover lock. */
import type * as neverthrow from "neverthrow";
import * as z from "zod";
import * as decode from "../core/decode.js";
import * as leadership from "../core/leadership.js";
import * as storeEra from "../core/storeera.js";
import type * as store from "../ports/store.js";
import * as messages from "./messages.js";

/** Prefix of this product's keys of all eras. */
export const rootPrefix = "hyssophatch/";

/**
 * Prefix of this product's keys in one era of the store. Because it names the era, a call that was sent in another era
 * can't change them.
 */
export function prefix(era: number): string {
    return `${rootPrefix}${era}/`;
}

/** Key of the failover lock, which names the host that replaces primaries. */
export function failoverLockKey(era: number): string {
    return `${prefix(era)}duty/promotion`;
}

/** Key that exists once the records of earlier eras have been written again, so that a snapshot can prove them. */
export function settledKey(era: number): string {
    return `${prefix(era)}settled`;
}

/** Key of a host's registration. */
export function hostKey(era: number, id: string): string {
    return `${prefix(era)}hosts/${id}`;
}

/** Key of the record that names a group's primary. */
export function recordKey(era: number, group: string): string {
    return `${prefix(era)}primaries/${group}`;
}

const lockSchema = z.object({ holder: z.string(), incarnation: z.string() }).readonly();

/** The failover lock and the host that holds it. */
export interface FailoverLock {
    readonly holder: string;
    readonly incarnation: string;
    /** Increases each time the lock is acquired, in whatever era. */
    readonly fencingToken: number;
    /** Lease with which the lock ends. */
    readonly lease: number;
}

/** A record with its revision in the store, the condition for the next change. */
export interface StoredRecord {
    readonly record: leadership.Record;
    readonly revision: number;
}

/** The parsed contents of one era's key prefix. */
export interface Snapshot {
    readonly era: number;
    /** True once the records of earlier eras have been written again. */
    readonly settled: boolean;
    readonly hosts: readonly messages.Member[];
    readonly records: readonly StoredRecord[];
    readonly failoverLock: FailoverLock | undefined;
    /** Keys whose values can't be parsed. */
    readonly corruptKeys: readonly string[];
}

function parseLock(item: store.Item, era: number): FailoverLock | undefined {
    const parsed = decode.json(lockSchema, item.value);
    return parsed.isOk()
        ? { ...parsed.value, fencingToken: storeEra.order(era, item.revision), lease: item.lease }
        : undefined;
}

/** Creates a function like `parse` that parses only those registrations again that differ from the previous call. */
export function createParser(): typeof parse {
    let known = new Map<string, { readonly text: string; readonly host: ParsedHost }>();
    return (era, items) => {
        const next: typeof known = new Map();
        const snapshot = parse(era, items, item => {
            const previous = known.get(item.key);
            const host = previous?.text === item.value ? previous.host : parseHost(item);
            next.set(item.key, { text: item.value, host });
            return host;
        });
        known = next;
        return snapshot;
    };
}

type ParsedHost = ReturnType<typeof parseHost>;

function parseHost(item: store.Item): neverthrow.Result<messages.Member, string> {
    return decode.json(messages.member, item.value);
}

/** Parses the items below the prefix of an era; an item that can't be parsed is reported in `corruptKeys`. */
export function parse(
    era: number,
    items: readonly store.Item[],
    hostOf: (item: store.Item) => ParsedHost = parseHost,
): Snapshot {
    const hosts: messages.Member[] = [];
    const records: StoredRecord[] = [];
    const corruptKeys: string[] = [];
    let failoverLock: FailoverLock | undefined;
    for (const item of items) {
        if (item.key.startsWith(hostKey(era, ""))) {
            hostOf(item).match(value => void hosts.push(value), () => void corruptKeys.push(item.key));
        }
        else if (item.key.startsWith(recordKey(era, ""))) {
            const parsed = decode.json(leadership.schema, item.value);
            parsed.match(
                record => void records.push({ record, revision: item.revision }),
                () => void corruptKeys.push(item.key),
            );
        }
        else if (item.key === failoverLockKey(era)) {
            failoverLock = parseLock(item, era);
            if (failoverLock === undefined) {
                corruptKeys.push(item.key);
            }
        }
    }
    const settled = items.some(item => item.key === settledKey(era));
    return { era, settled, hosts, records, failoverLock, corruptKeys };
}

/** What the keys of earlier eras hold. */
export interface Remains {
    readonly records: readonly leadership.Record[];
    /** Keys that no host uses any longer. */
    readonly keys: readonly string[];
    /** True while a host is registered that runs a version without eras in its keys. */
    readonly hasOldVersion: boolean;
}

const eraOfKey = /^hyssophatch\/(?:(\d+)\/)?(\w+)/;

/** Parses the keys of the eras before the given one, and those without an era. */
export function parseRemains(era: number, items: readonly store.Item[]): Remains {
    const parts = items.map(item => ({ item, match: eraOfKey.exec(item.key) }));
    const earlier = parts.filter(({ match }) => match?.[1] === undefined || Number(match[1]) < era);
    return {
        records: earlier.filter(({ match }) => match?.[2] === "primaries").flatMap(({ item }) => {
            const parsed = decode.json(leadership.schema, item.value);
            return parsed.isOk() ? [parsed.value] : [];
        }),
        keys: earlier.map(({ item }) => item.key),
        hasOldVersion: earlier.some(({ match }) => match?.[1] === undefined && match?.[2] === "hosts"),
    };
}
