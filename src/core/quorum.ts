/**
 * What the status reports of a group's endpoints prove together: which writes a majority holds,
 * and a position that no acknowledged write can be beyond.
 */
import * as positions from "./position.js";

/** One endpoint's report. */
export interface Report {
    readonly endpoint: string;
    /** Identity of the endpoint's process; a new one voids what the old one reported. */
    readonly bootId: string;
    /** Term that the endpoint has promised; it takes nothing from a lower one. */
    readonly term: number;
    readonly primary: boolean;
    readonly draining: boolean;
    readonly received: positions.Position;
    readonly applied: positions.Position;
    /** When the report was asked for, in monotonic milliseconds. */
    readonly requestedAtMs: number;
}

/** Position that covers every write acknowledged before `sinceMs`. */
export interface Sample {
    readonly requestedAtMs: number;
    readonly position: positions.Position;
}

/** Reports of one group's endpoints, the newest of each. */
export interface Quorum {
    /** Takes in a report. */
    update(report: Report): void;
    /** Forgets an endpoint's report. */
    remove(endpoint: string): void;
    find(endpoint: string): Report | undefined;
    /** True when a majority holds the entry and has promised no term later than the entry's own. */
    holds(position: positions.Position): boolean;
    /** The newest sample that a majority's reports prove. */
    newestSample(): Sample | undefined;
    /** Upper bound of an endpoint's staleness, in milliseconds; undefined when unknown. */
    stalenessMs(endpoint: string, nowMs: number): number | undefined;
    /** The endpoint that is primary in the highest term reported. */
    primary(): Report | undefined;
    /** Highest term that any endpoint has promised. */
    term(): number;
}

const maxSamples = 256;

/** Creates an empty quorum over a group of the given number of endpoints. */
export function createQuorum(size: number): Quorum {
    const reports = new Map<string, Report>();
    const majority = Math.floor(size / 2) + 1;
    let samples: readonly Sample[] = [];

    function sample(): Sample | undefined {
        const newest = [...reports.values()].sort((left, right) => right.requestedAtMs - left.requestedAtMs).slice(
            0,
            majority,
        );
        const oldest = newest[majority - 1];
        if (oldest === undefined) {
            return undefined;
        }
        const position = newest.map(entry => entry.received).reduce(positions.max, positions.zero);
        return { requestedAtMs: oldest.requestedAtMs, position };
    }

    function remember(next: Sample | undefined): void {
        const last = samples[samples.length - 1];
        if (next === undefined || (last !== undefined && next.requestedAtMs <= last.requestedAtMs)) {
            return;
        }
        const same = last !== undefined && positions.compare(last.position, next.position) === 0;
        const kept = same ? samples.slice(0, -1) : samples;
        samples = [...kept.slice(-maxSamples + 1), next];
    }

    return {
        newestSample: sample,
        update(next) {
            const known = reports.get(next.endpoint);
            if (known === undefined || known.bootId !== next.bootId || next.requestedAtMs >= known.requestedAtMs) {
                reports.set(next.endpoint, next);
            }
            remember(sample());
        },
        remove(endpoint) {
            reports.delete(endpoint);
        },
        find(endpoint) {
            return reports.get(endpoint);
        },
        holds(position) {
            const holders = [...reports.values()].filter(entry =>
                entry.term === position.term
                && entry.received.term === position.term
                && entry.received.index >= position.index
            );
            return holders.length >= majority;
        },
        stalenessMs(endpoint, nowMs) {
            const applied = reports.get(endpoint)?.applied;
            const passed = applied === undefined
                ? undefined
                : samples.filter(entry => positions.covers(applied, entry.position)).pop();
            return passed === undefined ? undefined : nowMs - passed.requestedAtMs;
        },
        primary() {
            return [...reports.values()]
                .filter(entry => entry.primary)
                .reduce<Report | undefined>(
                    (best, entry) => (best === undefined || entry.term > best.term ? entry : best),
                    undefined,
                );
        },
        term() {
            return Math.max(0, ...[...reports.values()].map(entry => entry.term));
        },
    };
}
