/**
 * Relays usage between the hosts of a fleet of several cells. Hosts with recent demand report to two relays in turn; a
 * relay answers each report with the newest ones of the other hosts that have the same organisations. It decides
 * nothing: without a relay, hosts know the usage of others from the gossip alone, only later.
 */
import type * as bounds from "./limits.js";

/** Recent use of one organisation's limit by one process. */
export interface RecentUsage extends bounds.Usage {
    /** Operations admitted in the `recentMs` before the report. */
    readonly recentCount: number;
}

/** Recent use by name of the organisations that callers have asked for lately. */
export type RecentUsageByOrganisation = Readonly<Record<string, RecentUsage>>;

/** What a process reports to a relay. */
export interface Report {
    /** Id of the host. */
    readonly host: string;
    /** Identifies the process, as in the usage reports of the gossip. */
    readonly process: string;
    readonly usage: RecentUsageByOrganisation;
    /** Time that the report has probably taken to the relay, in milliseconds. */
    readonly transitMs: number;
    /** True if the process needs to learn which other ones run, with or without common organisations. */
    readonly wantsAll: boolean;
}

/** The report of another process, as a relay passes it on. */
export interface RelayedReport {
    readonly host: string;
    readonly process: string;
    /** Usage of those organisations that the receiver reported too. */
    readonly usage: RecentUsageByOrganisation;
    /** Time since the usage was read, in milliseconds. */
    readonly ageMs: number;
}

/** The reports that one relay received. */
export interface Relay {
    /** Takes in a report, and returns those of the other processes. */
    exchange(report: Report, nowMs: number): readonly RelayedReport[];
}

/** Span of `recentCount`, in milliseconds. */
export const recentMs = 4_000;
/** Time for which a report is passed on, in milliseconds: several intervals of reports. */
export const maxReportAgeMs = 2_500;

interface Received {
    readonly report: Report;
    readonly readMs: number;
}

/** Creates a relay that has received nothing. */
export function createRelay(): Relay {
    const byHost = new Map<string, Received>();
    return {
        exchange(report, nowMs) {
            byHost.set(report.host, { report, readMs: nowMs - report.transitMs });
            const relayed: RelayedReport[] = [];
            for (const [host, { report: { process, usage }, readMs }] of byHost) {
                if (nowMs - readMs > maxReportAgeMs) {
                    byHost.delete(host);
                    continue;
                }
                if (host === report.host) {
                    continue;
                }
                const common = Object.entries(usage).filter(([organisation]) => organisation in report.usage);
                if (common.length > 0 || report.wantsAll) {
                    relayed.push({ host, process, usage: Object.fromEntries(common), ageMs: nowMs - readMs });
                }
            }
            return relayed;
        },
    };
}
