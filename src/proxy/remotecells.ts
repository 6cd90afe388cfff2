/** What this host hears of other cells than its own, from their speakers or through those of its own cell. */
import * as tallies from "../core/admissions.js";
import type * as tenure from "../core/leadership.js";
import type * as allowances from "../core/limiter.js";
import * as counts from "../core/mergedcounter.js";
import type * as messages from "./messages.js";

/** The other cells, as heard. */
export interface RemoteCells {
    /** Takes in a summary that a process told at the moment; with when it was asked for, absent when it came unasked. */
    merge(sender: number, summary: messages.CellSummary, toldMs: number, askedMs: number | undefined): void;
    /** Each cell, as this host passes it on. */
    summaries(nowMs: number): readonly messages.CellSummary[];
    usageReports(nowMs: number): readonly allowances.UsageReport[];
    /** Hosts of one cell that exist but are not heard; all of them without a young summary. */
    suspectedHosts(cell: string, hosts: number, nowMs: number): number;
    /** Witness of one cell's hosts together. */
    peerProof(cell: string, nowMs: number): tenure.PeerProof;
    /** Statements and connections of all other cells at an endpoint. */
    endpointUsage(endpoint: string, nowMs: number): readonly [load: number, open: number];
    /** Forgets the cells that are not among these, and what no longer counts of the others. */
    retain(cells: ReadonlySet<string>, nowMs: number): void;
}

/** Age from which a summary no longer counts, in milliseconds: three exchanges on its way, one of them lost. */
const staleMs = 4_000;

/** What one process told of a cell. */
interface Entry {
    readonly summary: messages.CellSummary;
    /** When the cell's hosts told what is summed up. */
    readonly atMs: number;
    /** Moment after which each host of the cell was asked for its proof, and the youngest proof told since. */
    readonly witnessedMs: number;
    readonly proofAgeMs: number | undefined;
}

interface Cell {
    readonly entries: Map<number, Entry>;
    readonly admitted: counts.MergedCounter;
}

/** Creates a view in which no cell was heard of. */
export function createRemoteCells(): RemoteCells {
    const cells = new Map<string, Cell>();

    const young = (entry: Entry, nowMs: number): boolean => nowMs - entry.atMs <= staleMs;

    function youngest(cell: string, nowMs: number): Entry | undefined {
        return [...cells.get(cell)?.entries.values() ?? []].reduce<Entry | undefined>(
            (best, entry) => (!young(entry, nowMs) || entry.atMs <= (best?.atMs ?? -Infinity) ? best : entry),
            undefined,
        );
    }

    function witness(cell: string, nowMs: number): tenure.PeerProof {
        const entries = [...cells.get(cell)?.entries.values() ?? []].filter(entry => young(entry, nowMs));
        const proofs = entries.flatMap(entry => entry.proofAgeMs ?? []);
        return {
            pollAgeMs: nowMs - Math.max(-Infinity, ...entries.map(entry => entry.witnessedMs)),
            proofAgeMs: proofs.length === 0 ? undefined : Math.min(...proofs),
        };
    }

    return {
        peerProof: witness,
        merge(sender, summary, toldMs, askedMs) {
            const known = cells.get(summary.cell)
                ?? { entries: new Map<number, Entry>(), admitted: counts.createMergedCounter() };
            cells.set(summary.cell, known);
            const before = known.entries.get(sender);
            const witnessed = askedMs !== undefined && summary.pollAgeMs !== undefined;
            const proofs = [summary.proofAgeMs, witnessed ? undefined : before?.proofAgeMs].flatMap(age => age ?? []);
            known.admitted.observe(summary.baselineId, tallies.countsOf(summary.organisationUsage));
            known.entries.set(sender, {
                summary,
                atMs: Math.max(toldMs - summary.ageMs, before?.atMs ?? -Infinity),
                witnessedMs: witnessed ? askedMs - (summary.pollAgeMs ?? 0) : before?.witnessedMs ?? -Infinity,
                proofAgeMs: proofs.length === 0 ? undefined : Math.min(...proofs),
            });
        },
        summaries: nowMs =>
            [...cells.keys()].flatMap(cell => {
                const entry = youngest(cell, nowMs);
                const { pollAgeMs: heardMs, proofAgeMs } = witness(cell, nowMs);
                return entry === undefined ? [] : [{
                    ...entry.summary,
                    ageMs: Math.ceil(nowMs - entry.atMs),
                    pollAgeMs: Number.isFinite(heardMs) ? Math.ceil(heardMs) : undefined,
                    proofAgeMs,
                }];
            }),
        usageReports: nowMs =>
            [...cells].flatMap(([cell, { admitted }]) => {
                const entry = youngest(cell, nowMs);
                const totals = admitted.totals();
                const account = Object.entries(entry?.summary.organisationUsage ?? {}).map(([organisation, usage]) =>
                    [organisation, { ...usage, admittedCount: totals[organisation] ?? 0 }] as const
                );
                return entry === undefined ? [] : [{
                    id: cell,
                    usage: Object.fromEntries(account),
                    hostCount: entry.summary.liveHosts,
                    ageMs: nowMs - entry.atMs,
                }];
            }),
        suspectedHosts: (cell, hosts, nowMs) => youngest(cell, nowMs)?.summary.suspectedHosts ?? hosts,
        endpointUsage(endpoint, nowMs) {
            let [load, open] = [0, 0];
            for (const cell of cells.keys()) {
                const used = youngest(cell, nowMs)?.summary.endpointUsage[endpoint];
                load += used?.[0] ?? 0;
                open += used?.[1] ?? 0;
            }
            return [load, open];
        },
        retain(names, nowMs) {
            for (const [name, { entries }] of cells) {
                if (!names.has(name)) {
                    cells.delete(name);
                }
                for (const [sender, entry] of entries) {
                    if (!young(entry, nowMs)) {
                        entries.delete(sender);
                    }
                }
            }
        },
    };
}
