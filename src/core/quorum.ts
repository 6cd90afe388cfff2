/**
 * Combines the status reports of a group's endpoints: which log entries a majority holds, and an upper bound of the
 * positions of all acknowledged writes.
 */
import * as positions from "./position.js";

/** Status report of one endpoint. */
export interface Report {
    readonly endpoint: string;
    /** Identity of the endpoint's process. A report with another id replaces the known one, whatever their times. */
    readonly bootId: string;
    /** Highest term that the endpoint has promised; it accepts nothing from a lower one. */
    readonly term: number;
    /** Whether the endpoint considers itself primary. */
    readonly primary: boolean;
    readonly draining: boolean;
    /** Last log entry received. */
    readonly received: positions.Position;
    /** Last log entry applied, and so visible to reads. */
    readonly applied: positions.Position;
    /** Time of the request for the report, on the monotonic clock, in milliseconds. */
    readonly requestedAtMs: number;
}

/** A position that covers every write acknowledged before `requestedAtMs`. */
export interface Sample {
    readonly requestedAtMs: number;
    readonly position: positions.Position;
}

/** The newest report of each endpoint of one group. */
export interface Quorum {
    /** Adds a report, unless the known one of the same process was requested later. */
    update(report: Report): void;
    /** Removes the report of an endpoint. */
    remove(endpoint: string): void;
    find(endpoint: string): Report | undefined;
    /** True when a majority has received the entry and has promised no term after that of the entry. */
    holds(position: positions.Position): boolean;
    /** The newest sample that follows from the reports of a majority; undefined without a majority. */
    newestSample(): Sample | undefined;
    /** Upper bound of the staleness of reads at an endpoint, in milliseconds; undefined when unknown. */
    stalenessMs(endpoint: string, nowMs: number): number | undefined;
    /** The report of the primary with the highest term. */
    primary(): Report | undefined;
    /** Highest term that any endpoint has promised; 0 without reports. */
    term(): number;
}

/** Number of samples kept to determine the staleness of endpoints. */
const maxSamples = 256;

/** Creates a quorum without reports for a group with the given number of endpoints. */
export function createQuorum(size: number): Quorum {
    const reports = new Map<string, Report>();
    const majority = Math.floor(size / 2) + 1;
    let samples: readonly Sample[] = [];

    function sampleMajority(): Sample | undefined {
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

    function storeSample(next: Sample | undefined): void {
        const last = samples[samples.length - 1];
        if (next === undefined || (last !== undefined && next.requestedAtMs <= last.requestedAtMs)) {
            return;
        }
        const samePosition = last !== undefined && positions.compare(last.position, next.position) === 0;
        const kept = samePosition ? samples.slice(0, -1) : samples;
        samples = [...kept.slice(-maxSamples + 1), next];
    }

    return {
        newestSample: sampleMajority,
        update(next) {
            const known = reports.get(next.endpoint);
            if (known === undefined || known.bootId !== next.bootId || next.requestedAtMs >= known.requestedAtMs) {
                reports.set(next.endpoint, next);
            }
            storeSample(sampleMajority());
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
            const reached = applied === undefined
                ? undefined
                : samples.filter(entry => positions.covers(applied, entry.position)).pop();
            return reached === undefined ? undefined : nowMs - reached.requestedAtMs;
        },
        primary() {
            return [...reports.values()]
                .filter(entry => entry.primary)
                .reduce<Report | undefined>(
                    (highest, entry) => (highest === undefined || entry.term > highest.term ? entry : highest),
                    undefined,
                );
        },
        term() {
            return Math.max(0, ...[...reports.values()].map(entry => entry.term));
        },
    };
}
