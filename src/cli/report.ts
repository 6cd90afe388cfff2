/**
 * Computes the service figures of a fleet from the log lines of all its hosts: the share of reads served by replicas,
 * the length of each change of primary, and how well each organisation was served.
 */
import * as z from "zod";
import * as activity from "../proxy/activity.js";
import type * as tracing from "./trace.js";

const leadershipSchema = z.looseObject({ group: z.string(), epoch: z.number(), changing: z.boolean() });
const suspicionSchema = z.looseObject({
    group: z.string(),
    primary: z.string(),
    reason: z.string(),
    epoch: z.number(),
});
const lossSchema = z.looseObject({ group: z.string(), endpoint: z.string(), sinceMs: z.number() });

/** One change of primary. */
export interface PrimaryChange {
    readonly group: string;
    /** Why the old primary was suspected. */
    readonly reason: string;
    /** From when the first host lost contact with the old primary to the record that names the new one. */
    readonly gapMs: number;
}

/** How one organisation was served. */
export interface OrganisationSummary {
    readonly name: string;
    /** Operations admitted within the rate limit. */
    readonly admitted: number;
    /** Operations refused as over the rate limit. */
    readonly beyond: number;
    /** Statements refused or failed for any other reason. */
    readonly failed: number;
    /** Operations refused although the hosts together admitted fewer than the rate allows (a lower bound). */
    readonly wrongful: number;
    /** Share of the operations requested within the rate limit that were neither refused nor failed. */
    readonly share: number;
}

/** Service figures of a fleet. */
export interface Report {
    /** Replicas' share of the reads that are allowed to return stale data; undefined when there were no such reads. */
    readonly replicaShare: number | undefined;
    readonly changes: readonly PrimaryChange[];
    readonly medianGapMs: number | undefined;
    readonly worstGapMs: number | undefined;
    /** In ascending order of `share`, so the worst served comes first. */
    readonly organisations: readonly OrganisationSummary[];
}

/** Window over which the counts of all hosts are added up before they are compared with the rate limit. */
const windowMs = 5_000;
/** A loss of the primary belongs to a suspicion that follows it within this time. */
const lossToSuspicionMs = 3_000;

const filterEvent = (lines: readonly tracing.LogLine[], event: string): readonly tracing.LogLine[] =>
    lines.filter(line => line.event === event);

function findPrimaryChanges(lines: readonly tracing.LogLine[]): readonly PrimaryChange[] {
    const completed = filterEvent(lines, "tenureChanged").flatMap(line => {
        const parsed = leadershipSchema.safeParse(line);
        return parsed.success && !parsed.data.changing
            ? [{ ...parsed.data, host: line.host, atMs: Date.parse(line.time) }]
            : [];
    });
    const losses = filterEvent(lines, "endpointLost").flatMap(line => {
        const parsed = lossSchema.safeParse(line);
        return parsed.success ? [{ ...parsed.data, atMs: Date.parse(line.time) - parsed.data.sinceMs }] : [];
    });
    return filterEvent(lines, "primarySuspected").flatMap(line => {
        const parsed = suspicionSchema.safeParse(line);
        if (!parsed.success) {
            return [];
        }
        const { group, primary, reason, epoch } = parsed.data;
        const suspectedAtMs = Date.parse(line.time);
        // The suspicion and the end are read from the log of one host, and so from one clock.
        // The loss of the primary may be logged by another host, whose clock may differ.
        const end = completed.find(entry => entry.group === group && entry.epoch > epoch && entry.host === line.host);
        const relatedLosses = losses.filter(entry =>
            entry.group === group && entry.endpoint === primary
            && entry.atMs <= suspectedAtMs && suspectedAtMs - entry.atMs <= lossToSuspicionMs
        );
        const startAtMs = Math.min(suspectedAtMs, ...relatedLosses.map(entry => entry.atMs));
        return end === undefined ? [] : [{ group, reason, gapMs: Math.round(end.atMs - startAtMs) }];
    });
}

/** Activity of a host in one interval, and when it was logged. */
interface Interval extends activity.Report {
    readonly atMs: number;
}

function parseIntervals(lines: readonly tracing.LogLine[]): readonly Interval[] {
    return filterEvent(lines, "measured").flatMap(line => {
        const parsed = activity.schema.safeParse(line);
        return parsed.success ? [{ ...parsed.data, atMs: Date.parse(line.time) }] : [];
    });
}

function summariseOrganisations(intervals: readonly Interval[]): readonly OrganisationSummary[] {
    const windows = new Map<
        string,
        { readonly name: string; admitted: number; beyond: number; failed: number; ratePerSecond: number }
    >();
    for (const { atMs, organisations } of intervals) {
        for (const [name, entry] of Object.entries(organisations)) {
            const key = `${Math.floor(atMs / windowMs)} ${name}`;
            const window = windows.get(key)
                ?? { name, admitted: 0, beyond: 0, failed: 0, ratePerSecond: entry.ratePerSecond };
            window.admitted += entry.admitted;
            window.beyond += entry.beyond;
            window.failed += entry.failed;
            windows.set(key, window);
        }
    }
    const totals = new Map<string, { admitted: number; beyond: number; failed: number; wrongful: number }>();
    for (const window of windows.values()) {
        const total = totals.get(window.name) ?? { admitted: 0, beyond: 0, failed: 0, wrongful: 0 };
        total.admitted += window.admitted;
        total.beyond += window.beyond;
        total.failed += window.failed;
        total.wrongful += Math.min(
            window.beyond,
            Math.max(0, window.ratePerSecond * windowMs / 1_000 - window.admitted),
        );
        totals.set(window.name, total);
    }
    const organisations = [...totals].map(([name, total]) => {
        const requested = total.admitted + total.wrongful;
        const share = requested === 0 ? 1 : Math.max(0, total.admitted - total.failed) / requested;
        return { name, ...total, wrongful: Math.round(total.wrongful), share };
    });
    return organisations.sort((left, right) => left.share - right.share);
}

/** Computes the service figures from the log lines of all hosts. */
export function compute(lines: readonly tracing.LogLine[]): Report {
    const intervals = parseIntervals(lines);
    const replicaReads = intervals.reduce((sum, entry) => sum + entry.replicaReads, 0);
    const reads = intervals.reduce((sum, entry) => sum + entry.primaryReads, replicaReads);
    const changes = findPrimaryChanges(lines);
    const gapsMs = changes.map(change => change.gapMs).sort((left, right) => left - right);
    return {
        replicaShare: reads === 0 ? undefined : replicaReads / reads,
        changes,
        medianGapMs: gapsMs[Math.floor(gapsMs.length / 2)],
        worstGapMs: gapsMs[gapsMs.length - 1],
        organisations: summariseOrganisations(intervals),
    };
}

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** Formats the figures as text, with the five worst served organisations. */
export function format(report: Report): string {
    const worst = report.organisations.slice(0, 5).map(entry =>
        `  ${entry.name}: served ${
            formatPercent(entry.share)
        }, admitted ${entry.admitted}, refused beyond the limit ${entry.beyond}`
        + ` (wrongfully ${entry.wrongful}), failed ${entry.failed}`
    );
    return [
        `Reads by replicas: ${report.replicaShare === undefined ? "none" : formatPercent(report.replicaShare)}`,
        `Changes of primary: ${report.changes.length}`
        + (report.changes.length === 0 ? "" : `, gap median ${report.medianGapMs} ms, worst ${report.worstGapMs} ms`),
        ...report.changes.map(change => `  ${change.group} (${change.reason}): ${change.gapMs} ms`),
        "Worst served organisations:",
        ...worst,
    ].join("\n");
}
