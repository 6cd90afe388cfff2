/**
 * Endpoints as the platform lists them. The list lags and loses entries while the store is away, so an entry
 * that goes missing is kept for a while, and as long as the store has not answered steadily.
 */

/** One endpoint. */
export interface Endpoint {
    readonly id: string;
    readonly group: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Statements that the endpoint runs at once. */
    readonly slots: number;
    readonly draining: boolean;
    /** What the endpoint believes of itself. */
    readonly primary: boolean;
    /** Start of the endpoint's process: another one under the same id holds nothing of before. */
    readonly born: number;
}

/** All endpoints known. */
export interface Directory {
    /** Takes in a whole listing, asked for at the given moment. */
    replace(listed: readonly Endpoint[], askedMs: number): void;
    find(id: string): Endpoint | undefined;
    inGroup(group: string): readonly Endpoint[];
    all(): readonly Endpoint[];
}

/** Settings of a directory. */
export interface Options {
    /** Time for which a missing entry is kept while the store answers, in milliseconds. */
    readonly missingGraceMs: number;
    /** Gap between two listings that shows that the store was away, in milliseconds. */
    readonly outageGapMs: number;
}

interface Entry {
    readonly endpoint: Endpoint;
    /** When the entry was first missing from a listing of a store that was not away. */
    readonly missingMs: number | undefined;
}

/** Creates an empty directory. */
export function createDirectory(options: Options): Directory {
    let entries = new Map<string, Entry>();
    let lastMs = -Infinity;
    return {
        replace(listed, askedMs) {
            const returned = askedMs - lastMs > options.outageGapMs;
            const next = new Map<string, Entry>(
                listed.map(endpoint => [endpoint.id, { endpoint, missingMs: undefined }]),
            );
            for (const [id, entry] of entries) {
                if (next.has(id)) {
                    continue;
                }
                const missingMs = returned ? askedMs : entry.missingMs ?? askedMs;
                if (askedMs - missingMs < options.missingGraceMs) {
                    next.set(id, { endpoint: entry.endpoint, missingMs });
                }
            }
            lastMs = askedMs;
            entries = next;
        },
        find: id => entries.get(id)?.endpoint,
        inGroup: group => [...entries.values()].map(entry => entry.endpoint).filter(entry => entry.group === group),
        all: () => [...entries.values()].map(entry => entry.endpoint),
    };
}
