/**
 * Decides who reads the store in a fleet of several cells. One host reads it for all: the holder of the failover lock, or
 * the first host of the first cell while nobody is known to hold it. Each other host asks one that is nearer to the
 * reader, and the answer is held back until there is something new. A host whose newest reading grows old asks further
 * hosts as well, and at last reads the store itself, in the order of its rank.
 */

/** The hosts of a fleet as one of them sees them; lists leave out those that are known to be unavailable. */
export interface Layout {
    readonly self: string;
    /** Hosts of the own cell in the order in which they act for it, this one included. */
    readonly ownCell: readonly string[];
    /** The first host of each cell, the own one included, in the order of the cells. */
    readonly firstOfCells: readonly string[];
    /** Holder of the failover lock; undefined if none is known. */
    readonly lockHolder: string | undefined;
}

/** Where a host stands among those that read the store. */
export interface Place {
    /** Hosts that may have a newer reading, the best one first. */
    readonly sources: readonly string[];
    /** Number of those, from the first, that read the store before this host does. */
    readonly precedingCount: number;
    /** Rank in the order in which hosts take over the reading. */
    readonly rank: number;
    /** Delay of a takeover, in milliseconds, so that a reading of a host of lower rank arrives first. */
    readonly takeoverDelayMs: number;
}

/** Number of hosts of its own cell that a host asks before it asks the readers. */
const cellSourceCount = 2;
/** Delay for each rank, up to `maxDelayedRank`, among the holder of the lock and the first hosts of the cells. */
const rankDelayMs = 40;
const maxDelayedRank = 4;
/** Delay of the hosts that aren't the first ones of their cells, and for each rank within the cell. */
const memberDelayMs = 150;
const memberRankDelayMs = 30;
const maxDelayedMemberRank = 5;

/** The place of a host in a fleet. */
export function placeOf(layout: Layout): Place {
    const { self, ownCell, lockHolder } = layout;
    const readers = [...new Set(lockHolder === undefined ? layout.firstOfCells : [lockHolder, ...layout.firstOfCells])];
    const readerRank = readers.indexOf(self);
    if (readerRank >= 0) {
        return {
            sources: unique([...readers, ...ownCell], self),
            precedingCount: readerRank,
            rank: readerRank,
            takeoverDelayMs: rankDelayMs * Math.min(readerRank, maxDelayedRank),
        };
    }
    const position = ownCell.indexOf(self);
    const cellRank = position < 0 ? ownCell.length : position;
    const preceding = unique([...ownCell.slice(0, Math.min(cellRank, cellSourceCount)), ...readers], self);
    return {
        sources: unique([...preceding, ...ownCell], self),
        precedingCount: preceding.length,
        rank: readers.length + cellRank,
        takeoverDelayMs: memberDelayMs + memberRankDelayMs * Math.min(cellRank, maxDelayedMemberRank),
    };
}

function unique(ids: readonly string[], self: string): readonly string[] {
    return [...new Set(ids)].filter(id => id !== self);
}

/** What a host knows when it decides. */
export interface State {
    readonly nowMs: number;
    readonly place: Place;
    readonly holdsLock: boolean;
    /** Age of the newest reading of the store, this host's own or another's; Infinity without any. */
    readonly readingAgeMs: number;
    /** Time since this host itself last requested the keys; Infinity if it never did. */
    readonly sinceOwnReadMs: number;
    /** True if that request failed. */
    readonly ownReadFailed: boolean;
    /** False until the records of earlier eras have been written again, for which all hosts wait. */
    readonly settled: boolean;
}

/** Interval at which the reader reads the keys: half of the maximum age of a proof, less the way to the other hosts. */
export const readIntervalMs = 700;
/** The same while the era isn't settled. */
const unsettledIntervalMs = 250;
/** Age of the newest reading from which a host asks further hosts, one more for each `askStaggerMs`. */
const askAgeMs = 900;
const askStaggerMs = 60;
const maxAskCount = 5;
/** Age of the newest reading at which the host of rank 0 takes over. */
const takeoverAgeMs = 1_000;
/**
 * Interval between two attempts of a host of rank 0 to take over, and what each further rank adds to it, so that not all
 * hosts call a store that is away for everyone.
 */
const retryIntervalMs = 1_000;
const retryRankDelayMs = 250;
const maxRetryRank = 8;
/** Longest random delay of a takeover. */
const maxJitterMs = 30;
/** Time for which a host that gave no answer is not asked again; it doubles with each failure in a row. */
const firstPauseMs = 500;
const maxPauseMs = 8_000;
/** Duration of a question that another host has answered first, from which it counts as failed. */
const overdueMs = 600;

/** Chooses the hosts to ask, and the moments at which this host reads the store. */
export interface Planner {
    /** Hosts to ask now; those asked already are left out. */
    hostsToAsk(state: State): readonly string[];
    /** True when this host should read the store now. */
    isReadDue(state: State): boolean;
    /** True if no host that reads before this one is available, so that this host reads for the others. */
    isReader(state: Pick<State, "nowMs" | "place">): boolean;
    /** Number of available hosts that read the store before this one. */
    availablePreceding(state: Pick<State, "nowMs" | "place">): number;
    /** Notes a question to a host. */
    asked(id: string, nowMs: number): void;
    /** Notes the answer, and whether it brought a newer reading. */
    answered(id: string, brought: boolean, nowMs: number): void;
    /** Notes that a host gave no answer. */
    failed(id: string, nowMs: number): void;
}

/** Creates a planner that has asked nobody yet. */
export function createPlanner(options: { random(): number }): Planner {
    const askedAtMs = new Map<string, number>();
    const pauses = new Map<string, { readonly untilMs: number; readonly failureCount: number }>();
    let jitterMs = options.random() * maxJitterMs;

    const isAvailable = (id: string, nowMs: number): boolean => nowMs >= (pauses.get(id)?.untilMs ?? -Infinity);

    function availablePreceding({ nowMs, place }: Pick<State, "nowMs" | "place">): number {
        return place.sources.slice(0, place.precedingCount).filter(id => isAvailable(id, nowMs)).length;
    }

    function failed(id: string, nowMs: number): void {
        const failureCount = (pauses.get(id)?.failureCount ?? 0) + 1;
        askedAtMs.delete(id);
        pauses.set(id, {
            untilMs: nowMs + Math.min(maxPauseMs, firstPauseMs * 2 ** (failureCount - 1)),
            failureCount,
        });
    }

    return {
        hostsToAsk(state) {
            const standingCount = state.holdsLock || availablePreceding(state) === 0 ? 0 : 1;
            const extraCount = Math.ceil(Math.max(0, state.readingAgeMs - askAgeMs) / askStaggerMs);
            const count = Math.min(standingCount + extraCount, maxAskCount) - askedAtMs.size;
            const eligible = state.place.sources.filter(id => !askedAtMs.has(id) && isAvailable(id, state.nowMs));
            return eligible.slice(0, Math.max(0, count));
        },
        isReadDue(state) {
            const intervalMs = state.settled ? readIntervalMs : unsettledIntervalMs;
            if (state.holdsLock) {
                return state.sinceOwnReadMs >= intervalMs;
            }
            if (availablePreceding(state) === 0) {
                return state.readingAgeMs >= intervalMs;
            }
            const { rank, takeoverDelayMs } = state.place;
            const retryMs = retryIntervalMs + retryRankDelayMs * Math.min(rank, maxRetryRank);
            const mayRetry = !state.ownReadFailed || state.sinceOwnReadMs >= retryMs;
            return mayRetry && state.readingAgeMs >= takeoverAgeMs + takeoverDelayMs + jitterMs;
        },
        isReader: state => availablePreceding(state) === 0,
        availablePreceding,
        asked(id, nowMs) {
            askedAtMs.set(id, nowMs);
        },
        answered(id, brought, nowMs) {
            askedAtMs.delete(id);
            pauses.delete(id);
            if (brought) {
                jitterMs = options.random() * maxJitterMs;
                askedAtMs.forEach((sinceMs, other) => {
                    if (nowMs - sinceMs >= overdueMs) {
                        failed(other, nowMs);
                    }
                });
            }
        },
        failed,
    };
}
