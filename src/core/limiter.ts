/**
 * A distributed rate limiter: enforces each organisation's rate and burst over all hosts without a central counter.
 *
 * Every host keeps a token bucket for the whole limit. It refills at the full rate, and the operations that other hosts
 * admitted are deducted as their usage reports arrive. Between two exchanges of reports a host admits at most its share
 * of the remaining tokens; shares are proportional to demand. Tokens that a host does not use are available to all
 * hosts again after the next exchange.
 */
import * as demands from "./demand.js";
import * as failure from "./failure.js";
import * as bounds from "./limits.js";
import * as lookup from "./lookup.js";

export * from "./limits.js";

/** Whether an operation is admitted, and the state that led to the decision. */
export interface Decision {
    readonly admitted: boolean;
    /** Time after which a refused caller should retry, in milliseconds; 0 when admitted. */
    readonly retryAfterMs: number;
    readonly state: LimiterState;
}

/** State of one organisation's bucket at this host, for log lines. */
export interface LimiterState {
    /** Tokens remaining for all hosts together. */
    readonly left: number;
    /** Operations that this host may admit before the next exchange. */
    readonly credit: number;
    /** This host's share of the limit, from 0 to 1. */
    readonly part: number;
    /** Number of hosts that share the limit. */
    readonly hosts: number;
    /** Fraction of the limit that the reporting hosts may use; the rest is withheld for suspected hosts. */
    readonly reach: number;
}

/** Admits operations within the limits of their organisations. */
export interface Limiter {
    /** Replaces the limits; organisations without one are refused. */
    setLimits(limits: ReadonlyMap<string, bounds.Limit>): void;
    /** Deducts what the other hosts admitted, and sets this host's shares anew. */
    applyReports(reports: bounds.UsageReports, nowMs: number): void;
    /** Admits one operation, or refuses it with the time after which to retry. */
    admit(organisation: string, nowMs: number): Decision;
    /** The usage that this host reports to the others. */
    usage(nowMs: number): bounds.UsageByOrganisation;
}

/** Token bucket of one organisation. */
interface Bucket {
    /** Tokens remaining for the reporting hosts together, by the reports so far; negative when overdrawn. */
    tokens: number;
    /** Operations that the other hosts are expected to have admitted since their reports. */
    unreported: number;
    /** Operations that this host may admit before the next exchange. */
    credit: number;
    /** Operations that this host may admit beyond its credit. */
    reserve: number;
    reserveUpdatedMs: number;
    refilledMs: number;
    /** This host's share of the tokens, from 0 to 1. */
    share: number;
    /** Fraction of the demand on all hosts that the limit lets through. */
    admittedFraction: number;
    readonly demand: demands.Demand;
    admittedCount: number;
    /** Admitted operations in the latest report from each other host, by the report's id. */
    readonly peerCounts: Map<string, number>;
}

/** Added to the demand of every host, so that an idle host keeps a share for its first operation. */
const idleDemandPerSecond = 0.3;
/**
 * A new bucket holds the tokens that accrue in this time, as the host admitted nothing while it was starting, and those
 * that accrued since, as nobody reported to have spent any.
 */
const initialFillMs = 1_000;
/** Number of hosts that a starting host assumes until the first exchange. */
const assumedHostCount = 8;
/**
 * Time after the first exchange during which a bucket is lowered to the tokens that newly discovered hosts
 * report: by then most hosts have been discovered.
 */
const warmUpMs = 2_000;
/**
 * Largest debt of a bucket, as the time that it takes to refill. Partitioned hosts may overspend by more, but a larger
 * debt would penalise the organisation after the partition has healed.
 */
const maxDebtMs = 1_000;
/** Operations by which all hosts together may overdraw their credits between two exchanges. */
const maxOverdraft = 6;
/**
 * Largest reserve of a host beyond its credit, in operations. With few callers to a host, two simultaneous requests
 * would otherwise exceed the host's credit although the bucket is full.
 */
const maxReserve = 4;
/** Initial reserve of a bucket that is created after the first exchange, in operations. */
const initialReserve = 2;
/** Time in which the reserve grows by one operation while the bucket is full: about the time that a report travels. */
const reserveGrowthMs = 600;
/** An organisation with less demand and no admitted operations is left out of usage reports. */
const minReportedDemandPerSecond = 0.1;

/** Creates a limiter without limits, for a host that has had no usage reports yet. */
export function createLimiter(options: bounds.Options = bounds.withoutTolerance): Limiter {
    /** The tolerance covers only what hosts that hear of each other directly don't know of each other. */
    const tolerance = (): bounds.Tolerance => (options.hearsAllDirectly() ? options.tolerance : bounds.noTolerance);
    let limits: ReadonlyMap<string, bounds.Limit> = new Map();
    const buckets = new Map<string, Bucket>();
    let hostCount: number | undefined;
    /** Reports of the previous exchange, by id. */
    let previousReports: ReadonlyMap<string, bounds.UsageReport> = new Map();
    let startedMs: number | undefined;
    /** Fraction of each limit that the reporting hosts may use; the rest is withheld for suspected hosts. */
    let reachableFraction = 1;

    function bucketOf(organisation: string, limit: bounds.Limit, nowMs: number): Bucket {
        const existing = buckets.get(organisation);
        if (existing !== undefined) {
            return existing;
        }
        const fillMs = initialFillMs + nowMs - (startedMs ?? nowMs);
        const fill = Math.max(limit.ratePerSecond * fillMs / 1_000, bounds.minExcessOf(limit, tolerance()));
        const tokens = Math.min(depthOf(limit, nowMs), fill) * reachableFraction;
        const share = 1 / (hostCount ?? assumedHostCount);
        const created: Bucket = {
            tokens,
            unreported: 0,
            credit: tokens * share,
            reserve: hostCount === undefined ? 1 : initialReserve,
            reserveUpdatedMs: nowMs,
            refilledMs: nowMs,
            share,
            admittedFraction: 1,
            demand: demands.createDemand(nowMs),
            admittedCount: 0,
            peerCounts: new Map(),
        };
        buckets.set(organisation, created);
        return created;
    }

    /** Largest number of tokens; it includes unreported operations, which are deducted when they are reported. */
    function capacity(bucket: Bucket, limit: bounds.Limit, nowMs: number): number {
        return depthOf(limit, nowMs) * reachableFraction + bucket.unreported;
    }

    /** Largest number of tokens that may be spent at once, over all hosts. */
    function depthOf(limit: bounds.Limit, nowMs: number): number {
        const runMs = nowMs - (startedMs ?? nowMs);
        return bounds.depthOf(limit, tolerance(), Math.min(1, runMs / options.tolerance.windowMs));
    }

    function refill(bucket: Bucket, limit: bounds.Limit, nowMs: number): void {
        const gained = limit.ratePerSecond * reachableFraction * (nowMs - bucket.refilledMs) / 1_000;
        bucket.tokens = Math.min(capacity(bucket, limit, nowMs), bucket.tokens + gained);
        bucket.credit += gained * bucket.share;
        bucket.refilledMs = nowMs;
    }

    function stateOf(bucket: Bucket | undefined): LimiterState {
        const tenths = (value: number): number => Math.round(value * 10) / 10;
        return {
            left: tenths((bucket?.tokens ?? 0) - (bucket?.unreported ?? 0)),
            credit: tenths(bucket?.credit ?? 0),
            part: Math.round((bucket?.share ?? 0) * 1_000) / 1_000,
            hosts: hostCount ?? assumedHostCount,
            reach: tenths(reachableFraction),
        };
    }

    /** Deducts what the other hosts admitted. */
    function deductPeerUsage(
        bucket: Bucket,
        organisation: string,
        limit: bounds.Limit,
        reports: readonly bounds.UsageReport[],
        nowMs: number,
    ): void {
        const warmingUp = nowMs - (startedMs ?? nowMs) < warmUpMs;
        for (const report of reports) {
            const usage = lookup.find(report.usage, organisation);
            if (usage === undefined) {
                continue;
            }
            if (previousReports.has(report.id)) {
                // An organisation missing from a host's previous report had no admitted operations there.
                bucket.tokens -= usage.admittedCount - (bucket.peerCounts.get(report.id) ?? 0);
            }
            else if (warmingUp) {
                bucket.tokens = Math.min(bucket.tokens, usage.remaining * reachableFraction);
            }
            // What a host admitted while suspected came off the fraction withheld for it, and is not deducted again.
            bucket.peerCounts.set(report.id, usage.admittedCount);
        }
        const reporting = new Set(reports.map(report => report.id));
        for (const [id, previous] of previousReports) {
            // A single host that stops reporting has usually stopped, but a whole cell has more likely been cut off and
            // goes on admitting.
            if (previous.hostCount > 1 && !reporting.has(id)) {
                bucket.tokens -= (lookup.find(previous.usage, organisation)?.demandPerSecond ?? 0)
                    * bucket.admittedFraction
                    * previous.ageMs / 1_000;
            }
        }
        bucket.tokens = Math.max(bucket.tokens, -limit.ratePerSecond * maxDebtMs / 1_000);
    }

    /**
     * Sets this host's share, credit and reserve. The credit leaves out the tokens that other hosts have probably spent
     * since their reports.
     */
    function updateShare(
        bucket: Bucket,
        organisation: string,
        limit: bounds.Limit,
        reports: readonly bounds.UsageReport[],
        nowMs: number,
    ): void {
        const demandOf = (report: bounds.UsageReport): number =>
            lookup.find(report.usage, organisation)?.demandPerSecond ?? 0;
        const reportingHosts = reports.reduce((sum, report) => sum + report.hostCount, 0);
        const meanAgeMs = reports.reduce((sum, report) => sum + report.ageMs * report.hostCount, 0)
            / Math.max(1, reportingHosts);
        // The demand as the others know it, given that this host's reports to them are on average as old as theirs to it:
        // shares that hosts compute from different demand could add up to more than 1.
        const ownDemand = bucket.demand.reportedPerSecond(nowMs - meanAgeMs) + idleDemandPerSecond;
        const totalDemand = reports.reduce(
            (sum, report) => sum + demandOf(report) + idleDemandPerSecond * report.hostCount,
            ownDemand,
        );
        bucket.admittedFraction = Math.min(1, limit.ratePerSecond * reachableFraction / totalDemand);
        bucket.unreported = reports.reduce(
            (sum, report) => sum + demandOf(report) * bucket.admittedFraction * report.ageMs / 1_000,
            0,
        );
        bucket.tokens = Math.min(bucket.tokens, capacity(bucket, limit, nowMs));
        bucket.share = ownDemand / totalDemand;
        // The others don't know what this host admitted beyond their expectation, so it counts against this share alone.
        const oldestAgeMs = reports.reduce((oldest, report) => Math.max(oldest, report.ageMs), 0);
        const admitted = bucket.admittedCount - bucket.demand.admittedBefore(nowMs - oldestAgeMs);
        const unexpected = !options.hearsAllDirectly()
            ? 0
            : Math.max(0, admitted - ownDemand * bucket.admittedFraction * oldestAgeMs / 1_000);
        const remaining = bucket.tokens - bucket.unreported;
        bucket.credit = (remaining + unexpected) * bucket.share - unexpected;
        const fullness = Math.min(1, Math.max(0, remaining) / Math.max(1, depthOf(limit, nowMs) * reachableFraction));
        bucket.reserve = Math.min(
            maxReserve,
            bucket.reserve + fullness * (nowMs - bucket.reserveUpdatedMs) / reserveGrowthMs,
        );
        bucket.reserveUpdatedMs = nowMs;
    }

    return {
        setLimits(next) {
            limits = next;
        },
        applyReports({ reports, suspectedHosts }, nowMs) {
            // Tokens up to now accrue at the fraction that applied until now.
            for (const [organisation, bucket] of buckets) {
                const limit = limits.get(organisation);
                if (limit !== undefined) {
                    refill(bucket, limit, nowMs);
                }
            }
            startedMs ??= nowMs;
            hostCount = reports.reduce((sum, report) => sum + report.hostCount, 1 + suspectedHosts);
            const previousFraction = reachableFraction;
            reachableFraction = 1 - suspectedHosts / hostCount;
            buckets.forEach(bucket => {
                // A host that reports again adds its fraction of the tokens, but does not enlarge a debt.
                bucket.tokens *= bucket.tokens > 0 ? reachableFraction / previousFraction : 1;
            });
            for (const report of reports) {
                for (const organisation of Object.keys(report.usage)) {
                    const limit = limits.get(organisation);
                    if (limit !== undefined) {
                        bucketOf(organisation, limit, nowMs);
                    }
                }
            }
            for (const [organisation, bucket] of buckets) {
                const limit = limits.get(organisation);
                if (limit === undefined) {
                    buckets.delete(organisation);
                    continue;
                }
                deductPeerUsage(bucket, organisation, limit, reports, nowMs);
                updateShare(bucket, organisation, limit, reports, nowMs);
            }
            previousReports = new Map(reports.map(report => [report.id, report]));
        },
        admit(organisation, nowMs) {
            const limit = limits.get(organisation);
            if (limit === undefined) {
                return { admitted: false, retryAfterMs: demands.timeConstantMs, state: stateOf(undefined) };
            }
            const bucket = bucketOf(organisation, limit, nowMs);
            bucket.demand.record(nowMs);
            refill(bucket, limit, nowMs);
            const minCredit = 1 - Math.min(1, maxOverdraft / (hostCount ?? assumedHostCount));
            if (bucket.credit <= minCredit || (bucket.credit < 1 && bucket.tokens < 1)) {
                if (bucket.reserve < 1 || bucket.tokens - bucket.unreported < 1) {
                    const ownRatePerSecond = Math.max(limit.ratePerSecond * bucket.share, Number.EPSILON);
                    const missing = Math.max(0.1, minCredit - bucket.credit, 1 - Math.max(bucket.tokens, 0));
                    const retryAfterMs = Math.min(demands.timeConstantMs, missing * 1_000 / ownRatePerSecond);
                    return { admitted: false, retryAfterMs, state: stateOf(bucket) };
                }
                bucket.reserve -= 1;
            }
            bucket.credit -= 1;
            bucket.tokens -= 1;
            bucket.admittedCount += 1;
            return { admitted: true, retryAfterMs: 0, state: stateOf(bucket) };
        },
        usage(nowMs) {
            const usages = [...buckets].flatMap(
                ([organisation, bucket]): readonly (readonly [string, bounds.Usage])[] => {
                    const demandPerSecond = bucket.demand.report(bucket.admittedCount, nowMs);
                    const remaining = Math.floor((bucket.tokens - bucket.unreported) / reachableFraction);
                    return demandPerSecond < minReportedDemandPerSecond && bucket.admittedCount === 0
                        ? []
                        : [[organisation, {
                            demandPerSecond,
                            admittedCount: bucket.admittedCount,
                            remaining,
                        }]];
                },
            );
            return Object.fromEntries(usages);
        },
    };
}

/** The failure of an operation beyond its organisation's rate limit. */
export function limitExceeded(organisation: string, retryAfterMs: number): failure.Failure {
    const message = `Organisation ${organisation} is at its rate limit.`;
    return failure.create(failure.Code.rateExceeded, organisation, message, Math.ceil(retryAfterMs));
}
