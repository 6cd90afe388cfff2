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
            /** Sequence of the table that gave the slot: given away and back, it is another grant. */
            grant: z.number(),
        }).readonly(),
    ).readonly(),
    sequence: z.number(),
}).readonly();

/** The holder of each slot, by slot number. */
export type Table = z.infer<typeof schema>;

/** A process that may hold slots. */
export interface Holder {
    readonly host: string;
    readonly incarnation: number;
}

/** A table without holders. */
export const empty: Table = { slots: [], sequence: 0 };

/** Reads a table as stored. Of a corrupt one nothing is known but that each slot may be in use. */
export function parse(value: string | undefined, count: number): Table {
    if (value === undefined) {
        return empty;
    }
    const unknown = { host: "", incarnation: 0, inherited: true, grant: 0 };
    const corrupt = { slots: Array.from({ length: count }, () => unknown), sequence: 0 };
    try {
        const parsed = schema.safeParse(JSON.parse(value));
        return parsed.success ? parsed.data : corrupt;
    }
    catch {
        return corrupt;
    }
}

function same(left: Holder, right: Holder): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}

/** Processes that a plan is made for. */
export interface Processes {
    /** Processes that take slots. */
    readonly live: readonly Holder[];
    /** Processes that keep the slots they hold until they hand them over. */
    readonly leaving: readonly Holder[];
    /** A process that has stopped to use its slots; its successors need not wait. */
    readonly stopped?: Holder;
}

/**
 * The table for a fleet: slots move only from processes that are gone or hold more than an even share.
 * Undefined when nothing has to change.
 */
export function plan(table: Table, fleet: Processes, count: number): Table | undefined {
    if (fleet.live.length === 0) {
        return undefined;
    }
    const most = Math.ceil(count / fleet.live.length);
    const loads = fleet.live.map(holder => ({ holder, load: 0 }));
    const kept = Array.from({ length: count }, (_, slot) => {
        const current = table.slots[slot];
        const load = current === undefined ? undefined : loads.find(entry => same(entry.holder, current));
        if (current !== undefined && fleet.leaving.some(holder => same(holder, current))) {
            return current;
        }
        if (current === undefined || load === undefined || load.load >= most) {
            return undefined;
        }
        load.load += 1;
        return current;
    });
    const sequence = table.sequence + 1;
    const slots = kept.map((entry, slot) => {
        if (entry !== undefined) {
            return entry;
        }
        const former = table.slots[slot];
        const ended = former !== undefined && fleet.stopped !== undefined && same(former, fleet.stopped);
        const least = loads.reduce((best, next) => (next.load < best.load ? next : best));
        least.load += 1;
        return { ...least.holder, inherited: former !== undefined && !ended, grant: sequence };
    });
    const changed = slots.some((entry, slot) => entry !== table.slots[slot]);
    return changed ? { slots, sequence } : undefined;
}

/**
 * Whether those live may change the table: a majority of the hosts it names, or half of them with the first.
 * Hosts that are cut from each other but not from the store would otherwise take the slots from each other in turn.
 */
export function hasQuorum(table: Table, live: readonly Holder[]): boolean {
    const named = [...new Set(table.slots.map(entry => entry.host).filter(host => host !== ""))];
    const present = named.filter(host => live.some(holder => holder.host === host));
    const half = present.length * 2 === named.length;
    return present.length * 2 > named.length || (half && present[0] === named[0]);
}

/** A slot that a process holds. */
export interface Grant {
    readonly slot: number;
    readonly inherited: boolean;
    readonly grant: number;
}

/** Slots that the process holds. */
export function grantsOf(table: Table, holder: Holder): readonly Grant[] {
    return table.slots.flatMap((entry, slot) =>
        same(entry, holder) ? [{ slot, inherited: entry.inherited, grant: entry.grant }] : []
    );
}
