/** Limits of organisations over all hosts, and what hosts report to each other about their use. */

/** Limits of one organisation over all hosts. */
export interface Limit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** By how much the operations admitted in a window may exceed the limit, over all hosts together. */
export interface Tolerance {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Fraction of the operations that the limit allows in a window. */
    readonly overage: number;
    /** Operations a window beyond that. */
    readonly slack: number;
}

/** Tolerance of a platform that states none. */
export const noTolerance: Tolerance = { windowMs: 5_000, overage: 0, slack: 0 };

/** Largest number of operations that may be admitted in any window. */
export function windowBound({ ratePerSecond, burst }: Limit, { windowMs, overage, slack }: Tolerance): number {
    return (ratePerSecond * windowMs / 1_000 + burst) * (1 + overage) + slack;
}

/** Operations by which a window may exceed the limit. */
function excessOf(limit: Limit, tolerance: Tolerance): number {
    return windowBound(limit, tolerance) - limit.ratePerSecond * tolerance.windowMs / 1_000 - limit.burst;
}

/** Fraction of the burst that is handed out; the rest covers operations that hosts admit at the same moment. */
const usableBurstFraction = 0.85;
/** Fraction of the tolerated excess that is handed out as well, by a host that has run for a whole window. */
const usableExcessFraction = 0.5;
/** Fraction of the tolerated excess that is handed out at any time. */
const minExcessFraction = 0.125;
/** Tokens of the tolerated excess that may be handed out at any time. */
export function minExcessOf(limit: Limit, tolerance: Tolerance): number {
    return excessOf(limit, tolerance) * minExcessFraction;
}

/**
 * Largest number of tokens that may be handed out at once, over all hosts. `knownFraction` is the part of the last window
 * in which the host that hands them out was running.
 */
export function depthOf(limit: Limit, tolerance: Tolerance, knownFraction: number): number {
    return Math.max(limit.burst * usableBurstFraction, minExcessOf(limit, tolerance))
        + excessOf(limit, tolerance) * usableExcessFraction * knownFraction;
}

/** Settings of a limiter. */
export interface Options {
    /** By how much a window may exceed a limit, over all hosts together. */
    readonly tolerance: Tolerance;
    /** True if the reports of all other hosts come from these directly, and so are at most about a second old. */
    hearsAllDirectly(): boolean;
}

/** Options of a limiter on a platform that states no tolerance. */
export const withoutTolerance: Options = { tolerance: noTolerance, hearsAllDirectly: () => true };

/** What one host reports about one organisation. */
export interface Usage {
    /** Recently requested operations a second, whether admitted or not. */
    readonly demandPerSecond: number;
    /** Operations admitted since the host's process started. */
    readonly admittedCount: number;
    /** Tokens remaining for all hosts together, as the reporting host estimates them. */
    readonly remaining: number;
}

/** Usage by name of the organisations that have recent demand or admitted operations at a host. */
export type UsageByOrganisation = Readonly<Record<string, Usage>>;

/** Usage report of another host, or of several hosts of a cell together. */
export interface UsageReport {
    /** Identifies the reporting process or cell: a restarted host, whose counts start at 0 again, has another id. */
    readonly id: string;
    readonly usage: UsageByOrganisation;
    /** Number of hosts that the report covers. */
    readonly hostCount: number;
    /** Time since the report was made, in milliseconds. */
    readonly ageMs: number;
}

/** The reports of all other hosts. */
export interface UsageReports {
    readonly reports: readonly UsageReport[];
    /** Number of other hosts that are registered but have not reported lately. */
    readonly suspectedHosts: number;
}
