/**
 * Endpoints as listed by the platform. The list lags, and loses entries during an outage of the store. A missing entry
 * is therefore kept for a grace period, which starts anew when the store returns from an outage. When the store returns
 * from an older copy, the list goes back until the endpoints have written their entries again.
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
    /** Number of the endpoint's report, which rises as long as the process lives. */
    readonly sequence: number;
    /** How much longer the endpoint stays slow after its start, as of the report; absent if the platform reports none. */
    readonly coldRemainingMs?: number;
}

/** All known endpoints. */
export interface Directory {
    /**
     * Replaces the entries by a complete listing, requested at the given time. Returns true if an endpoint was added or
     * removed, or changed in more than the number of its report.
     */
    replace(listed: readonly Endpoint[], requestedAtMs: number): boolean;
    /**
     * Notes that the store came back from an older copy: entries that it lacks are written again, and for a while entries
     * older than the known ones are ignored.
     */
    storeRestored(nowMs: number): void;
    find(id: string): Endpoint | undefined;
    /** Request time of the last listing in which the endpoint's process did not drain; undefined if there was none. */
    servingAtMs(id: string): number | undefined;
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

/** Time for which entries that are no longer listed are remembered; longer than any copy of the store is old. */
const departedRetentionMs = 120_000;
/** Time in which endpoints write their entries again, or the platform removes those of endpoints that are gone. */
const rewriteTimeoutMs = 10_000;

interface Entry {
    readonly endpoint: Endpoint;
    /** When the entry first went missing, or the end of a later outage; undefined while it is listed. */
    readonly missingSinceMs: number | undefined;
    /** Request time of the last listing in which the process did not drain. */
    readonly servingAtMs: number | undefined;
}

/** The newer of two reports under the same id. An endpoint that drains doesn't stop draining while its process lives. */
function newerReport(known: Endpoint | undefined, listed: Endpoint): Endpoint {
    if (known === undefined || listed.born > known.born) {
        return listed;
    }
    if (listed.born < known.born || listed.sequence < known.sequence) {
        return known;
    }
    return known.draining && !listed.draining ? { ...listed, draining: true } : listed;
}

/** True if two reports of an endpoint differ in more than their number. */
function differs(known: Endpoint | undefined, next: Endpoint): boolean {
    return known !== next
        && (known === undefined || known.group !== next.group || known.address !== next.address
            || known.failureDomain !== next.failureDomain || known.slots !== next.slots
            || known.draining !== next.draining || known.primary !== next.primary || known.born !== next.born);
}

/** Creates an empty directory. */
export function createDirectory(options: Options): Directory {
    let entries = new Map<string, Entry>();
    let endpoints: readonly Endpoint[] = [];
    /** The endpoints of each group, which every statement asks for. */
    let endpointsByGroup = new Map<string, Endpoint[]>();
    const departed = new Map<string, { readonly endpoint: Endpoint; readonly atMs: number }>();
    let lastListingMs = -Infinity;
    let mayGoBackUntilMs = -Infinity;
    return {
        storeRestored(nowMs) {
            lastListingMs = -Infinity;
            mayGoBackUntilMs = nowMs + rewriteTimeoutMs;
        },
        replace(listed, requestedAtMs) {
            const afterOutage = requestedAtMs - lastListingMs > options.outageGapMs;
            const next = new Map<string, Entry>(
                listed.map(endpoint => {
                    const known = entries.get(endpoint.id)?.endpoint ?? departed.get(endpoint.id)?.endpoint;
                    const current = requestedAtMs < mayGoBackUntilMs ? newerReport(known, endpoint) : endpoint;
                    const previous = entries.get(endpoint.id);
                    const servedBeforeMs = previous?.endpoint.born === current.born ? previous.servingAtMs : undefined;
                    const servingAtMs = current.draining ? servedBeforeMs : requestedAtMs;
                    return [endpoint.id, { endpoint: current, missingSinceMs: undefined, servingAtMs }];
                }),
            );
            departed.forEach((entry, id) => {
                if (next.has(id) || requestedAtMs - entry.atMs > departedRetentionMs) {
                    departed.delete(id);
                }
            });
            for (const [id, entry] of entries) {
                if (next.has(id)) {
                    continue;
                }
                const missingSinceMs = afterOutage ? requestedAtMs : entry.missingSinceMs ?? requestedAtMs;
                if (requestedAtMs - missingSinceMs < options.missingGraceMs) {
                    next.set(id, { ...entry, missingSinceMs });
                }
                else {
                    departed.set(id, { endpoint: entry.endpoint, atMs: requestedAtMs });
                }
            }
            const changed = next.size !== entries.size
                || [...next].some(([id, { endpoint }]) => differs(entries.get(id)?.endpoint, endpoint));
            lastListingMs = requestedAtMs;
            entries = next;
            endpoints = [...entries.values()].map(entry => entry.endpoint);
            endpointsByGroup = new Map();
            for (const endpoint of endpoints) {
                const group = endpointsByGroup.get(endpoint.group) ?? [];
                group.push(endpoint);
                endpointsByGroup.set(endpoint.group, group);
            }
            return changed;
        },
        find: id => entries.get(id)?.endpoint,
        servingAtMs: id => entries.get(id)?.servingAtMs,
        inGroup: group => endpointsByGroup.get(group) ?? [],
        all: () => endpoints,
    };
}
