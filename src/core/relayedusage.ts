/**
 * Combines the usage reports of the gossip with what relays passed on. The gossip tells of all hosts, but late; relays
 * tell of those that report to them, early. Both count only operations that were admitted, so the larger of the two is
 * the better count, and no operation is counted twice.
 */
import type * as bounds from "./limits.js";
import * as relays from "./usagerelay.js";

/** What relays told this host about the others. */
export interface RelayedUsage {
    /** Takes in the answer to a report that was sent at `requestedAtMs`. */
    merge(reports: readonly relays.RelayedReport[], requestedAtMs: number, nowMs: number): void;
    /** True if a relay answered lately, so that usage is known early. */
    isFresh(nowMs: number): boolean;
    /** Replaces the usage in the gossip's reports by newer usage. `cellOf` names the cell of a host. */
    combine(
        gossip: bounds.UsageReports,
        cellOf: (host: string) => string,
        ownCell: string,
        nowMs: number,
    ): bounds.UsageReports;
}

/** Age up to which an answer is used, in milliseconds: two intervals of reports, and an answer that is late. */
const maxAnswerAgeMs = 1_000;
/** Median age of usage up to which it counts as early, in milliseconds: that of two late relays is larger. */
const maxMedianAgeMs = 800;
/** Time for which the last counts of a process are kept, in milliseconds. */
const keepCountsMs = 60_000;

interface Process {
    readonly host: string;
    /** When its newest usage was read. */
    readMs: number;
    usage: relays.RecentUsageByOrganisation;
    /** Largest count by organisation. */
    readonly counts: Map<string, number>;
    /** Operations by organisation that are not yet part of its cell's counts. */
    readonly gains: Map<string, number>;
}

/** Creates an instance that has heard nothing. */
export function createRelayedUsage(): RelayedUsage {
    const processes = new Map<string, Process>();
    /** Operations by cell and organisation, as counted so far. */
    const cellCounts = new Map<string, Map<string, number>>();
    /** Mean age of the gossip's report of a cell. */
    const cellAges = new Map<string, number>();
    let answeredMs = -Infinity;
    /** Median time at which the usage of the processes in the newest answer was read. */
    let medianReadMs = -Infinity;

    const isFresh = (nowMs: number): boolean =>
        nowMs - answeredMs <= maxAnswerAgeMs && nowMs - medianReadMs <= maxMedianAgeMs;
    const isLive = (process: Process, nowMs: number): boolean => nowMs - process.readMs <= relays.maxReportAgeMs;

    /** The usage of a cell, with the counts of the relays where these are larger. */
    function combineCell(
        cell: string,
        report: bounds.UsageReport | undefined,
        members: readonly Process[],
        nowMs: number,
    ): bounds.UsageByOrganisation {
        const counts = cellCounts.get(cell) ?? new Map<string, number>();
        cellCounts.set(cell, counts);
        const usage: Record<string, bounds.Usage> = { ...report?.usage };
        const gains = new Map<string, number>();
        for (const process of members) {
            process.gains.forEach((gain, organisation) =>
                gains.set(organisation, (gains.get(organisation) ?? 0) + gain)
            );
            process.gains.clear();
        }
        for (const organisation of new Set([...Object.keys(usage), ...gains.keys()])) {
            const known = counts.get(organisation);
            const gossiped = report?.usage[organisation]?.admittedCount ?? 0;
            counts.set(organisation, Math.max(gossiped, (known ?? gossiped) + (gains.get(organisation) ?? 0)));
        }
        const live = members.filter(process => isLive(process, nowMs));
        for (const [organisation, count] of counts) {
            const active = live.flatMap(process => process.usage[organisation] ?? []);
            const gossiped = usage[organisation];
            if (active.length > 0) {
                usage[organisation] = {
                    demandPerSecond: active.reduce((sum, entry) => sum + entry.demandPerSecond, 0),
                    remaining: active.reduce((least, entry) => Math.min(least, entry.remaining), Infinity),
                    admittedCount: count,
                    activeHosts: active.length,
                };
            }
            else if (gossiped !== undefined) {
                usage[organisation] = { ...gossiped, admittedCount: count };
            }
        }
        return usage;
    }

    return {
        isFresh,
        merge(reports, requestedAtMs, nowMs) {
            answeredMs = Math.max(answeredMs, requestedAtMs);
            for (const { host, process: id, usage, ageMs } of reports) {
                const known = processes.get(id);
                const process = known ?? { host, readMs: -Infinity, usage: {}, counts: new Map(), gains: new Map() };
                processes.set(id, process);
                for (const [organisation, { admittedCount, recentCount }] of Object.entries(usage)) {
                    const previous = process.counts.get(organisation);
                    // The gossip has already told of older operations, so the recent ones count in part.
                    const gossipAgeMs = Math.min(relays.recentMs, cellAges.get(host) ?? 0);
                    const gain = previous === undefined
                        ? Math.floor(recentCount * gossipAgeMs / relays.recentMs)
                        : Math.max(0, admittedCount - previous);
                    process.gains.set(organisation, (process.gains.get(organisation) ?? 0) + gain);
                    process.counts.set(organisation, Math.max(previous ?? 0, admittedCount));
                }
                // An answer that overtook another one may hold older usage.
                const readMs = requestedAtMs - ageMs;
                if (readMs >= process.readMs) {
                    process.readMs = readMs;
                    process.usage = usage;
                }
            }
            const readMs = reports.map(report => processes.get(report.process)?.readMs ?? -Infinity)
                .sort((left, right) => right - left);
            medianReadMs = readMs[Math.floor((readMs.length - 1) / 2)] ?? answeredMs;
            processes.forEach((process, id) => {
                if (nowMs - process.readMs > keepCountsMs) {
                    processes.delete(id);
                }
            });
        },
        combine({ reports, suspectedHosts }, cellOf, ownCell, nowMs) {
            const fresh = isFresh(nowMs);
            const heard = new Set(reports.map(report => report.id));
            const members = new Map<string, Process[]>();
            for (const [id, process] of processes) {
                // The reports of hosts in this host's cell are those of their processes.
                const cell = cellOf(process.host);
                if (cell === ownCell) {
                    members.set(id, [process]);
                }
                else {
                    members.set(cell, [...members.get(cell) ?? [], process]);
                }
            }
            const combined = reports.map(report => {
                const known = members.get(report.id) ?? [];
                known.forEach(process => cellAges.set(process.host, report.ageMs));
                const usage = combineCell(report.id, report, known, nowMs);
                if (!fresh) {
                    return { ...report, usage };
                }
                const live = known.filter(process => isLive(process, nowMs));
                const ageMs = live.length === 0
                    ? nowMs - answeredMs
                    : live.reduce((sum, process) => sum + nowMs - process.readMs, 0) / live.length;
                return { ...report, usage, ageMs: Math.min(report.ageMs, ageMs) };
            });
            // Hosts of which only relays have told so far, as after a common start.
            const early = [...members].flatMap(([id, known]): readonly bounds.UsageReport[] => {
                const live = known.filter(process => isLive(process, nowMs));
                return heard.has(id) || live.length === 0 ? [] : [{
                    id: `relayed ${id}`,
                    usage: combineCell(`relayed ${id}`, undefined, live, nowMs),
                    hostCount: live.length,
                    ageMs: live.reduce((sum, process) => sum + nowMs - process.readMs, 0) / live.length,
                }];
            });
            for (const id of cellCounts.keys()) {
                if (!heard.has(id) && !early.some(report => report.id === id)) {
                    cellCounts.delete(id);
                }
            }
            const earlyHosts = early.reduce((sum, report) => sum + report.hostCount, 0);
            return {
                reports: [...combined, ...early],
                suspectedHosts: Math.max(0, suspectedHosts - earlyHosts),
            };
        },
    };
}
