/** The summaries of the other cells, from their delegates or forwarded by the delegates of this host's own cell. */
import * as admissions from "../core/admissions.js";
import * as evidence from "../core/evidence.js";
import type * as leadership from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import * as lookup from "../core/lookup.js";
import * as mergedCounters from "../core/mergedcounter.js";
import type * as messages from "./messages.js";

/** The other cells, as seen in their summaries. */
export interface RemoteCells {
    /**
     * Merges a summary that the process with the number `sender` sent. `requestedAtMs` is when this host asked for it;
     * undefined if it came unasked. `isForwarded` tells that the sender belongs to another cell than the summarised one.
     */
    merge(
        sender: number,
        summary: messages.CellSummary,
        receivedAtMs: number,
        requestedAtMs: number | undefined,
        isForwarded?: boolean,
    ): void;
    /**
     * The newest summary of each cell, with ages as of now, to be forwarded. Polls and proofs are only those that hosts of
     * the cell have reported: two hosts would otherwise return a proof to each other after it has expired.
     */
    summaries(nowMs: number): readonly messages.CellSummary[];
    /** The usage report of each cell. */
    usageReports(nowMs: number): readonly limiters.UsageReport[];
    /** Age of a cell's newest summary; infinite without one that is recent enough. */
    summaryAgeMs(cell: string, nowMs: number): number;
    /** Number of suspected hosts of a cell; all registered ones if no summary is recent enough. */
    suspectedHosts(cell: string, registeredHosts: number, nowMs: number): number;
    /** Age of the newest proof among a cell's hosts, and of the last poll of all of them. */
    peerProof(cell: string, nowMs: number): leadership.PeerProof;
    /** Statements and connections of all other cells at an endpoint. */
    endpointUsage(endpoint: string, nowMs: number): readonly [load: number, connections: number];
    /** Outcomes of recent statements of all other cells at an endpoint. */
    endpointOutcomes(endpoint: string, nowMs: number): evidence.Outcomes;
    /** Rooms of the hosts of a cell, and their age; undefined without a summary that is recent enough. */
    rooms(cell: string, nowMs: number): { readonly rooms: messages.CellRooms; readonly ageMs: number } | undefined;
    /** Discards all cells but these, and outdated summaries. */
    retain(cells: ReadonlySet<string>, nowMs: number): void;
}

/** Age up to which a summary is used: it takes three exchanges to arrive, and one of them may be lost. */
const maxSummaryAgeMs = 4_000;

/** A cell's summary as received from one process. */
interface ReceivedSummary {
    readonly summary: messages.CellSummary;
    /** Mean time of the digests that are summarised. */
    readonly observedAtMs: number;
    /** Every host of the cell was polled at this time or later; -Infinity if that is not known. */
    readonly polledAtMs: number;
    readonly isForwarded: boolean;
    /** Age of the newest proof reported since `polledAtMs` was last updated; undefined without a proof. */
    readonly proofAgeMs: number | undefined;
}

interface RemoteCell {
    readonly summaryBySender: Map<number, ReceivedSummary>;
    readonly admissionCounter: mergedCounters.MergedCounter;
}

/** Creates a view without any cells. */
export function createRemoteCells(): RemoteCells {
    const cells = new Map<string, RemoteCell>();

    const isFresh = (entry: ReceivedSummary, nowMs: number): boolean => nowMs - entry.observedAtMs <= maxSummaryAgeMs;

    function newestSummary(cell: string, nowMs: number): ReceivedSummary | undefined {
        return [...cells.get(cell)?.summaryBySender.values() ?? []].reduce<ReceivedSummary | undefined>(
            (
                newest,
                entry,
            ) => (!isFresh(entry, nowMs) || entry.observedAtMs <= (newest?.observedAtMs ?? -Infinity) ? newest : entry),
            undefined,
        );
    }

    function proofOf(cell: string, nowMs: number, includesForwarded: boolean): leadership.PeerProof {
        const fresh = [...cells.get(cell)?.summaryBySender.values() ?? []].filter(entry =>
            isFresh(entry, nowMs) && (includesForwarded || !entry.isForwarded)
        );
        // A later poll of all hosts of the cell supersedes the earlier ones.
        const lastPolled = fresh.reduce<ReceivedSummary | undefined>(
            (newest, entry) => (newest === undefined || entry.polledAtMs > newest.polledAtMs ? entry : newest),
            undefined,
        );
        return {
            pollAgeMs: nowMs - (lastPolled?.polledAtMs ?? -Infinity),
            proofAgeMs: lastPolled?.proofAgeMs,
        };
    }

    return {
        peerProof: (cell, nowMs) => proofOf(cell, nowMs, true),
        merge(sender, summary, receivedAtMs, requestedAtMs, isForwarded = false) {
            const cell = cells.get(summary.cell)
                ?? {
                    summaryBySender: new Map<number, ReceivedSummary>(),
                    admissionCounter: mergedCounters.createMergedCounter(),
                };
            cells.set(summary.cell, cell);
            const previous = cell.summaryBySender.get(sender);
            const hasPollTime = requestedAtMs !== undefined && summary.pollAgeMs !== undefined;
            const proofAges = [summary.proofAgeMs, hasPollTime ? undefined : previous?.proofAgeMs].flatMap(age =>
                age ?? []
            );
            cell.admissionCounter.observe(summary.baselineId, admissions.countsOf(summary.organisationUsage));
            cell.summaryBySender.set(sender, {
                summary,
                observedAtMs: Math.max(receivedAtMs - summary.ageMs, previous?.observedAtMs ?? -Infinity),
                polledAtMs: hasPollTime ? requestedAtMs - (summary.pollAgeMs ?? 0) : previous?.polledAtMs ?? -Infinity,
                isForwarded,
                proofAgeMs: proofAges.length === 0 ? undefined : Math.min(...proofAges),
            });
        },
        summaries: nowMs =>
            [...cells.keys()].flatMap(cell => {
                const entry = newestSummary(cell, nowMs);
                const { pollAgeMs, proofAgeMs } = proofOf(cell, nowMs, false);
                return entry === undefined ? [] : [{
                    ...entry.summary,
                    ageMs: Math.ceil(nowMs - entry.observedAtMs),
                    pollAgeMs: Number.isFinite(pollAgeMs) ? Math.ceil(pollAgeMs) : undefined,
                    proofAgeMs,
                }];
            }),
        usageReports: nowMs =>
            [...cells].flatMap(([cell, { admissionCounter }]) => {
                const entry = newestSummary(cell, nowMs);
                const totals = admissionCounter.totals();
                const usage = Object.entries(entry?.summary.organisationUsage ?? {}).map(([organisation, cellUsage]) =>
                    [organisation, { ...cellUsage, admittedCount: lookup.find(totals, organisation) ?? 0 }] as const
                );
                return entry === undefined ? [] : [{
                    id: cell,
                    usage: Object.fromEntries(usage),
                    hostCount: entry.summary.liveHosts,
                    ageMs: nowMs - entry.observedAtMs,
                }];
            }),
        summaryAgeMs: (cell, nowMs) => nowMs - (newestSummary(cell, nowMs)?.observedAtMs ?? -Infinity),
        suspectedHosts: (cell, registeredHosts, nowMs) =>
            newestSummary(cell, nowMs)?.summary.suspectedHosts ?? registeredHosts,
        endpointUsage(endpoint, nowMs) {
            let [load, connections] = [0, 0];
            for (const cell of cells.keys()) {
                const usage = lookup.find(newestSummary(cell, nowMs)?.summary.endpointUsage ?? {}, endpoint);
                load += usage?.[0] ?? 0;
                connections += usage?.[1] ?? 0;
            }
            return [load, connections];
        },
        endpointOutcomes(endpoint, nowMs) {
            let total = evidence.none;
            for (const cell of cells.keys()) {
                const newest = newestSummary(cell, nowMs);
                const outcomes = lookup.find(newest?.summary.endpointOutcomes ?? {}, endpoint);
                if (newest !== undefined && outcomes !== undefined) {
                    total = evidence.add(total, evidence.aged(outcomes, nowMs - newest.observedAtMs));
                }
            }
            return total;
        },
        rooms(cell, nowMs) {
            const newest = newestSummary(cell, nowMs);
            return newest?.summary.rooms === undefined
                ? undefined
                : { rooms: newest.summary.rooms, ageMs: nowMs - newest.observedAtMs };
        },
        retain(names, nowMs) {
            for (const [name, { summaryBySender }] of cells) {
                if (!names.has(name)) {
                    cells.delete(name);
                }
                for (const [sender, entry] of summaryBySender) {
                    if (!isFresh(entry, nowMs)) {
                        summaryBySender.delete(sender);
                    }
                }
            }
        },
    };
}
