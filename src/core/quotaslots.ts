/**
 * Assigns the quota slots to processes, each of which accrues tokens for its slots. The assignment is a small table in
 * the platform's store that changes when hosts join and leave.
 */
import * as z from "zod";

/** Schema of the table as stored. */
export const schema = z.object({
    slots: z.array(
        z.object({
            /** Id of the holding process's host. */
            host: z.string(),
            /** Start time of the host's process: a restarted host is a different holder. */
            incarnation: z.number(),
            /** True if another process held the slot before and may still be using it for a while. */
            inherited: z.boolean(),
            /** Sequence of the table that granted the slot: a slot that was lost and regained has a different grant. */
            grant: z.number(),
        }).readonly(),
    ).readonly(),
    /** Incremented with every change of the table. */
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

/** Parses a stored table of `count` slots. For a corrupt one, returns a table in which every slot may be in use. */
export function parse(value: string | undefined, count: number): Table {
    if (value === undefined) {
        return empty;
    }
    const unknownHolder = { host: "", incarnation: 0, inherited: true, grant: 0 };
    const corrupt = { slots: Array.from({ length: count }, () => unknownHolder), sequence: 0 };
    try {
        const parsed = schema.safeParse(JSON.parse(value));
        return parsed.success ? parsed.data : corrupt;
    }
    catch {
        return corrupt;
    }
}

function isSame(left: Holder, right: Holder): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}

/** Processes among which the slots are divided. */
export interface Processes {
    /** Processes that may be given slots. */
    readonly live: readonly Holder[];
    /** Processes that keep their slots until they hand them over, but get no others. */
    readonly leaving: readonly Holder[];
    /** A process that has stopped using its slots, so that their next holders need not wait. */
    readonly stopped?: Holder;
}

/**
 * The next table of `count` slots for the processes. A slot moves only if its holder is gone or holds more than an even share. Returns
 * undefined if nothing has to change.
 */
export function plan(table: Table, processes: Processes, count: number): Table | undefined {
    if (processes.live.length === 0) {
        return undefined;
    }
    const maxSlots = Math.ceil(count / processes.live.length);
    const loads = processes.live.map(holder => ({ holder, load: 0 }));
    const unmoved = Array.from({ length: count }, (_, slot) => {
        const current = table.slots[slot];
        const holderLoad = current === undefined ? undefined : loads.find(entry => isSame(entry.holder, current));
        if (current !== undefined && processes.leaving.some(holder => isSame(holder, current))) {
            return current;
        }
        if (current === undefined || holderLoad === undefined || holderLoad.load >= maxSlots) {
            return undefined;
        }
        holderLoad.load += 1;
        return current;
    });
    const sequence = table.sequence + 1;
    const slots = unmoved.map((entry, slot) => {
        if (entry !== undefined) {
            return entry;
        }
        const previous = table.slots[slot];
        const hasStopped = previous !== undefined && processes.stopped !== undefined
            && isSame(previous, processes.stopped);
        const leastLoaded = loads.reduce((best, next) => (next.load < best.load ? next : best));
        leastLoaded.load += 1;
        return { ...leastLoaded.holder, inherited: previous !== undefined && !hasStopped, grant: sequence };
    });
    const changed = slots.some((entry, slot) => entry !== table.slots[slot]);
    return changed ? { slots, sequence } : undefined;
}

/**
 * True if the live processes may change the table: they run on a majority of the hosts that it names, or on half of
 * them including the first. Otherwise hosts that reach the store, but are partitioned from each other, would take the
 * slots from each other in turn.
 */
export function hasQuorum(table: Table, live: readonly Holder[]): boolean {
    const named = [...new Set(table.slots.map(entry => entry.host).filter(host => host !== ""))];
    const present = named.filter(host => live.some(holder => holder.host === host));
    const half = present.length * 2 === named.length;
    return present.length * 2 > named.length || (half && present[0] === named[0]);
}

/** A slot that a process holds; see `schema`. */
export interface Grant {
    readonly slot: number;
    readonly inherited: boolean;
    readonly grant: number;
}

/** The slots that the process holds. */
export function grantsOf(table: Table, holder: Holder): readonly Grant[] {
    return table.slots.flatMap((entry, slot) =>
        isSame(entry, holder) ? [{ slot, inherited: entry.inherited, grant: entry.grant }] : []
    );
}
