/** The users' three measures, worked out from the log lines of all hosts. */
import * as z from "zod";
import * as intervals from "../proxy/activity.js";
import type * as tracing from "./trace.js";

const record = z.looseObject({ group: z.string(), epoch: z.number(), changing: z.boolean() });
const suspicion = z.looseObject({ group: z.string(), primary: z.string(), reason: z.string(), epoch: z.number() });
const loss = z.looseObject({ group: z.string(), endpoint: z.string(), sinceMs: z.number() });

/** One change of primary. */
export interface Change {
    readonly group: string;
    readonly reason: string;
    /** From the first host that noticed the failure to the record that names the new primary, in milliseconds. */
    readonly gapMs: number;
}

/** How one organisation was served. */
export interface Organisation {
    readonly name: string;
    readonly admitted: number;
    readonly beyond: number;
    readonly failed: number;
    /** Refused for the limit though all hosts together admitted less than the rate allows, at the least. */
    readonly wrongful: number;
    /** Part of what it asked within its limit that was neither refused nor failed. */
    readonly share: number;
}

/** The measures. */
export interface Report {
    /** Part of the reads that may miss commits that replicas served; undefined without any. */
    readonly replicaShare: number | undefined;
    readonly changes: readonly Change[];
    readonly medianGapMs: number | undefined;
    readonly worstGapMs: number | undefined;
    /** The worst served first. */
    readonly organisations: readonly Organisation[];
}

/** Time in which the hosts' lines are added up before they are compared with a rate, in milliseconds. */
const windowMs = 5_000;
/** Time before a suspicion in which the loss of the primary belongs to it, in milliseconds. */
const noticedMs = 3_000;

const named = (lines: readonly tracing.Line[], event: string): readonly tracing.Line[] =>
    lines.filter(line => line.event === event);

function changesOf(lines: readonly tracing.Line[]): readonly Change[] {
    const settled = named(lines, "tenureChanged").flatMap(line => {
        const parsed = record.safeParse(line);
        return parsed.success && !parsed.data.changing
            ? [{ ...parsed.data, host: line.host, at: Date.parse(line.time) }]
            : [];
    });
    const lost = named(lines, "endpointLost").flatMap(line => {
        const parsed = loss.safeParse(line);
        return parsed.success ? [{ ...parsed.data, at: Date.parse(line.time) - parsed.data.sinceMs }] : [];
    });
    return named(lines, "primarySuspected").flatMap(line => {
        const parsed = suspicion.safeParse(line);
        if (!parsed.success) {
            return [];
        }
        const { group, primary, reason, epoch } = parsed.data;
        const suspectedAt = Date.parse(line.time);
        // The settled record is read from the same host's lines; the loss may come from a host whose clock differs.
        const end = settled.find(entry => entry.group === group && entry.epoch > epoch && entry.host === line.host);
        const noticed = lost.filter(entry =>
            entry.group === group && entry.endpoint === primary
            && entry.at <= suspectedAt && suspectedAt - entry.at <= noticedMs
        );
        const startAt = Math.min(suspectedAt, ...noticed.map(entry => entry.at));
        return end === undefined ? [] : [{ group, reason, gapMs: Math.round(end.at - startAt) }];
    });
}

/** A line about an interval, and when it was written. */
interface Measured extends intervals.Report {
    readonly at: number;
}

function measuredOf(lines: readonly tracing.Line[]): readonly Measured[] {
    return named(lines, "measured").flatMap(line => {
        const parsed = intervals.schema.safeParse(line);
        return parsed.success ? [{ ...parsed.data, at: Date.parse(line.time) }] : [];
    });
}

function organisationsOf(measured: readonly Measured[]): readonly Organisation[] {
    const windows = new Map<
        string,
        { readonly name: string; admitted: number; beyond: number; failed: number; rate: number }
    >();
    for (const { at, organisations } of measured) {
        for (const [name, entry] of Object.entries(organisations)) {
            const key = `${Math.floor(at / windowMs)} ${name}`;
            const known = windows.get(key) ?? { name, admitted: 0, beyond: 0, failed: 0, rate: entry.ratePerSecond };
            known.admitted += entry.admitted;
            known.beyond += entry.beyond;
            known.failed += entry.failed;
            windows.set(key, known);
        }
    }
    const totals = new Map<string, { admitted: number; beyond: number; failed: number; wrongful: number }>();
    for (const window of windows.values()) {
        const known = totals.get(window.name) ?? { admitted: 0, beyond: 0, failed: 0, wrongful: 0 };
        known.admitted += window.admitted;
        known.beyond += window.beyond;
        known.failed += window.failed;
        known.wrongful += Math.min(window.beyond, Math.max(0, window.rate * windowMs / 1_000 - window.admitted));
        totals.set(window.name, known);
    }
    const organisations = [...totals].map(([name, total]) => {
        const asked = total.admitted + total.wrongful;
        const share = asked === 0 ? 1 : Math.max(0, total.admitted - total.failed) / asked;
        return { name, ...total, wrongful: Math.round(total.wrongful), share };
    });
    return organisations.sort((left, right) => left.share - right.share);
}

/** Works the measures out. */
export function measure(lines: readonly tracing.Line[]): Report {
    const measured = measuredOf(lines);
    const replicas = measured.reduce((sum, entry) => sum + entry.replicaReads, 0);
    const all = measured.reduce((sum, entry) => sum + entry.primaryReads, replicas);
    const changes = changesOf(lines);
    const gaps = changes.map(change => change.gapMs).sort((left, right) => left - right);
    return {
        replicaShare: all === 0 ? undefined : replicas / all,
        changes,
        medianGapMs: gaps[Math.floor(gaps.length / 2)],
        worstGapMs: gaps[gaps.length - 1],
        organisations: organisationsOf(measured),
    };
}

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

/** The measures as text, with the worst served organisations. */
export function print(report: Report): string {
    const worst = report.organisations.slice(0, 5).map(entry =>
        `  ${entry.name}: served ${
            percent(entry.share)
        }, admitted ${entry.admitted}, refused beyond the limit ${entry.beyond}`
        + ` (wrongfully ${entry.wrongful}), failed ${entry.failed}`
    );
    return [
        `Reads by replicas: ${report.replicaShare === undefined ? "none" : percent(report.replicaShare)}`,
        `Changes of primary: ${report.changes.length}`
        + (report.changes.length === 0 ? "" : `, gap median ${report.medianGapMs} ms, worst ${report.worstGapMs} ms`),
        ...report.changes.map(change => `  ${change.group} (${change.reason}): ${change.gapMs} ms`),
        "Worst served organisations:",
        ...worst,
    ].join("\n");
}
