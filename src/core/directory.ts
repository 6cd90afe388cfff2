/**
 * Endpoints as listed by the platform. The list lags, and loses entries during an outage of the store. A missing entry
 * is therefore kept for a grace period, which starts anew when the store returns from an outage.
 */

/** An endpoint as listed. */
export interface Endpoint {
    readonly id: string;
    readonly group: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Number of statements that the endpoint runs concurrently. */
    readonly slots: number;
    readonly draining: boolean;
    /** Whether the endpoint considers itself primary. */
    readonly primary: boolean;
    /** Start time of the endpoint's process. Another start time means a new process, without the earlier state. */
    readonly born: number;
}

/** All known endpoints. */
export interface Directory {
    /** Replaces the entries by a complete listing, requested at the given time. */
    replace(listed: readonly Endpoint[], requestedAtMs: number): void;
    find(id: string): Endpoint | undefined;
    inGroup(group: string): readonly Endpoint[];
    all(): readonly Endpoint[];
}

/** Limits of a directory. */
export interface Options {
    /** Time for which a missing entry is kept while the store responds, in milliseconds. */
    readonly missingGraceMs: number;
    /** Time between two listings above which the store counts as having been down, in milliseconds. */
    readonly outageGapMs: number;
}

interface Entry {
    readonly endpoint: Endpoint;
    /** When the entry first went missing, or the end of a later outage; undefined while it is listed. */
    readonly missingSinceMs: number | undefined;
}

/** Creates an empty directory. */
export function createDirectory(options: Options): Directory {
    let entries = new Map<string, Entry>();
    let lastListingMs = -Infinity;
    return {
        replace(listed, requestedAtMs) {
            const afterOutage = requestedAtMs - lastListingMs > options.outageGapMs;
            const next = new Map<string, Entry>(
                listed.map(endpoint => [endpoint.id, { endpoint, missingSinceMs: undefined }]),
            );
            for (const [id, entry] of entries) {
                if (next.has(id)) {
                    continue;
                }
                const missingSinceMs = afterOutage ? requestedAtMs : entry.missingSinceMs ?? requestedAtMs;
                if (requestedAtMs - missingSinceMs < options.missingGraceMs) {
                    next.set(id, { endpoint: entry.endpoint, missingSinceMs });
                }
            }
            lastListingMs = requestedAtMs;
            entries = next;
        },
        find: id => entries.get(id)?.endpoint,
        inGroup: group =>
            [...entries.values()].map(entry => entry.endpoint).filter(endpoint => endpoint.group === group),
        all: () => [...entries.values()].map(entry => entry.endpoint),
    };
}
