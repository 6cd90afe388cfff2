/** Which process accrues for which quota slot: a small table in the platform's store, changed as hosts come and go. */
import * as z from "zod";

/** Schema of the table as stored. */
export const schema = z.object({
    slots: z.array(
        z.object({
            host: z.string(),
            /** Start time of the host's process: a restarted host is another holder. */
            incarnation: z.number(),
            /** True when another process held the slot before and may still use it for a while. */
            inherited: z.boolean(),
        }).readonly(),
    ).readonly(),
}).readonly();

/** The holder of each slot, by slot number. */
export type Table = z.infer<typeof schema>;

/** A process that may hold slots. */
export interface Holder {
    readonly host: string;
    readonly incarnation: number;
}

/** A table without holders. */
export const empty: Table = { slots: [] };

function same(left: Holder, right: Holder): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}

/**
 * The table for the live processes: slots move only from those that are gone or hold more than an even
 * share. Undefined when nothing has to change.
 */
export function plan(table: Table, live: readonly Holder[], count: number): Table | undefined {
    if (live.length === 0) {
        return undefined;
    }
    const most = Math.ceil(count / live.length);
    const loads = live.map(holder => ({ holder, load: 0 }));
    const kept = Array.from({ length: count }, (_, slot) => {
        const current = table.slots[slot];
        const load = current === undefined ? undefined : loads.find(entry => same(entry.holder, current));
        if (current === undefined || load === undefined || load.load >= most) {
            return undefined;
        }
        load.load += 1;
        return current;
    });
    const slots = kept.map((entry, slot) => {
        if (entry !== undefined) {
            return entry;
        }
        const least = loads.reduce((best, next) => (next.load < best.load ? next : best));
        least.load += 1;
        return { ...least.holder, inherited: table.slots[slot] !== undefined };
    });
    const changed = slots.some((entry, slot) => entry !== table.slots[slot]);
    return changed ? { slots } : undefined;
}

/** Slots that the process holds. */
export function held(table: Table, holder: Holder): readonly { readonly slot: number; readonly inherited: boolean }[] {
    return table.slots.flatMap((entry, slot) => (same(entry, holder) ? [{ slot, inherited: entry.inherited }] : []));
}
