/** Writes the records of primaries into a new era of the store, which may have come back without the newest ones. */
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import * as decisions from "../core/restoration.js";
import * as storeEra from "../core/storeera.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as probers from "./prober.js";
import * as registry from "./registry.js";

/** Settings of a restorer. */
export interface Options {
    readonly store: store.Store;
    readonly era: store.Era;
    readonly events: events.EventLog;
    readonly leadership: leadership.Leadership;
    readonly prober: probers.Prober;
    /** Fencing token of the failover lock; undefined unless this host holds it. */
    fencingToken(): number | undefined;
    endpoints(group: string): readonly directory.Endpoint[];
}

/** Restores the records; only the holder of the failover lock may call it. */
export interface Restorer {
    /**
     * Writes the records that the current era lacks, and marks the era as settled. Resolves to false when the attempt
     * failed and has to be repeated.
     */
    restore(): Promise<boolean>;
}

/** Entries of one transaction; the store accepts at most 32. */
const maxEntries = 30;

/** Creates a restorer. */
export function createRestorer(options: Options): Restorer {
    const { era: eras, events, leadership, prober } = options;

    async function recordFor(
        group: string,
        remains: readonly leadership.Record[],
        era: number,
    ): Promise<leadership.Record | undefined> {
        const endpoints = options.endpoints(group);
        const statuses = await prober.statuses(endpoints);
        return decisions.restore({
            stored: remains.filter(record => record.group === group),
            remembered: leadership.find(group),
            endpoints: [...statuses.values()],
            allAnswered: statuses.size === endpoints.length,
        }, era);
    }

    async function change(
        token: number,
        era: number,
        edit: Pick<store.Change, "writes" | "deletes">,
    ): Promise<boolean> {
        if (options.fencingToken() !== token) {
            return false;
        }
        const key = registry.failoverLockKey(era);
        const conditions = [{ key, revision: storeEra.numberOf(token) }];
        return (await options.store.change({ conditions, ...edit })).isOk();
    }

    return {
        async restore() {
            const [era, token] = [eras.current(), options.fencingToken()];
            if (era === undefined || token === undefined) {
                return false;
            }
            const range = await options.store.range(registry.rootPrefix);
            if (range.isErr() || options.fencingToken() !== token) {
                return false;
            }
            const { items } = range.value;
            const remains = registry.parseRemains(era, items);
            if (remains.hasOldVersion) {
                return false;
            }
            const existing = new Set(registry.parse(era, items).records.map(stored => stored.record.group));
            const groups = new Set([...remains.records, ...leadership.all()].map(record => record.group));
            const missing = [...groups].filter(group => !existing.has(group));
            const records = (await Promise.all(missing.map(group => recordFor(group, remains.records, era)))).flatMap(
                record => record ?? [],
            );
            for (let start = 0; start < records.length; start += maxEntries) {
                const writes = records.slice(start, start + maxEntries).map(record => ({
                    key: registry.recordKey(era, record.group),
                    value: JSON.stringify(record),
                }));
                if (!await change(token, era, { writes, deletes: [] })) {
                    return false;
                }
            }
            if (!await change(token, era, { writes: [{ key: registry.settledKey(era), value: "" }], deletes: [] })) {
                return false;
            }
            events.emit("recordsRestored", {
                era,
                restored: records.map(({ group, epoch, primary, changing }) => ({ group, epoch, primary, changing })),
            });
            for (let start = 0; start < remains.keys.length; start += maxEntries) {
                await change(token, era, { writes: [], deletes: remains.keys.slice(start, start + maxEntries) });
            }
            return true;
        },
    };
}
