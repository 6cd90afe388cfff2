/**
 * Decides when a read leaves its failure domain or region. Traffic between failure domains is slower and costs money,
 * yet the endpoints at hand are sometimes too few. A read stays as long as it is expected to be answered well within its
 * latency target; when it isn't, a growing part of the reads leaves, for an endpoint that answers clearly earlier.
 *
 * Hosts see each other's load late. If all of them left at once, the endpoints elsewhere would be overloaded, and all would
 * return at once. So the part that leaves follows the pressure slowly, doesn't grow on an old view, and reads only leave
 * for a gain that exceeds what distance costs; two failure domains that are equally busy keep their work.
 */

import type { Distance } from "./distance.js";
import * as rations from "./ration.js";

/** An endpoint that can serve the read. */
export interface Option {
    readonly endpoint: string;
    readonly distance: Distance;
    /** Time in which the endpoint is expected to answer, in milliseconds. */
    readonly expectedMs: number;
    /** Time by which an endpoint is less welcome than others at the same distance, in milliseconds. */
    readonly penaltyMs: number;
}

/** What the decision depends on, beside the options. */
export interface Situation {
    /** Time that the read may be expected to take where it is, in milliseconds. */
    readonly budgetMs: number;
    /** Age of what this host knows of the other hosts' load, in milliseconds. */
    readonly viewAgeMs: number;
    readonly nowMs: number;
}

/** The chosen endpoint, and the decision about leaving. */
export interface Decision {
    readonly option: Option;
    /** Distance that the read was to be kept within, if it left it. */
    readonly left: Distance | undefined;
    /** Part of the reads that leave it at the moment, from 0 to 1. */
    readonly share: number;
    /** Expected time of the best endpoint within that distance, or of the chosen one, in milliseconds. */
    readonly stayMs: number;
}

/** Limits that an operator may set. */
export interface Options {
    /** Largest part of the reads that may leave while an endpoint within the distance can serve them, from 0 to 1. */
    readonly maxShare: number;
}

/** Decides for the reads of one group at one host. */
export interface Spillover {
    /** Chooses an endpoint; undefined without options. */
    choose(options: readonly Option[], situation: Situation): Decision | undefined;
    /** The part of the reads that leaves the failure domain and the region. */
    shares(): Readonly<Record<"domain" | "region", number>>;
}

/** Gain in time that a read must make by leaving: what distance costs beyond its delay, which is in the expected time. */
const minGainMs = { domain: 4, region: 25 } as const;
/** The same as a part of the expected time: of two long queues, known late, neither is certain to be the shorter one. */
const minGainPart = 0.25;
/**
 * Part of the reads that leaves at once for each time by which the expected time exceeds the budget. A larger one makes
 * hosts that see each other's load a second late send too many and too few by turns.
 */
const proportionalGain = 0.12;
/** Largest excess over the budget that counts, as a multiple of the budget. */
const maxExcess = 4;
/** Growth a second of the part that leaves lastingly, for each time by which the expected time exceeds the budget. */
const integralGainPerSecond = 0.05;
/** Decrease a second of the part that leaves lastingly, once the expected time is well within the budget. */
const shrinkPerSecond = 0.04;
/** Fraction of the budget below which the expected time is well within it. */
const relief = 0.6;
/** Age of the view of the fleet from which the share no longer grows. */
const maxViewAgeMs = 4_000;
/** Longest time by which one decision changes the share. */
const maxStepMs = 500;

interface Level {
    share: number;
    /** Part that leaves lastingly. */
    integral: number;
    /** The part of the reads that leaves. */
    readonly ration: rations.Ration;
    updatedMs: number | undefined;
}

const order: readonly Distance[] = ["domain", "region", "remote"];

function best(options: readonly Option[]): Option | undefined {
    return options.reduce<Option | undefined>(
        (found, next) =>
            found === undefined || next.expectedMs + next.penaltyMs < found.expectedMs + found.penaltyMs ? next : found,
        undefined,
    );
}

/** Creates a decision-maker that keeps all reads. */
export function createSpillover(limits: Options): Spillover {
    const levels = { domain: createLevel(), region: createLevel() };

    function createLevel(): Level {
        return { share: 0, integral: 0, ration: rations.createRation(), updatedMs: undefined };
    }

    function updateShare(level: Level, stayMs: number, gainful: boolean, situation: Situation): void {
        const { budgetMs, nowMs, viewAgeMs } = situation;
        const elapsedS = Math.min(maxStepMs, nowMs - (level.updatedMs ?? nowMs)) / 1_000;
        level.updatedMs = nowMs;
        const excess = gainful ? Math.max(0, Math.min(maxExcess, stayMs / Math.max(1, budgetMs) - 1)) : 0;
        const limit = viewAgeMs <= maxViewAgeMs ? limits.maxShare : Math.min(limits.maxShare, level.share);
        if (excess > 0) {
            level.integral += excess * integralGainPerSecond * elapsedS;
        }
        else if (!gainful || stayMs < budgetMs * relief) {
            level.integral -= shrinkPerSecond * elapsedS;
        }
        level.integral = Math.max(0, Math.min(limit, level.integral));
        level.share = Math.min(limit, excess * proportionalGain + level.integral);
    }

    return {
        choose(options, situation) {
            let reachable = options;
            for (const distance of ["region", "domain"] as const) {
                const limit = order.indexOf(distance);
                const within = reachable.filter(option => order.indexOf(option.distance) <= limit);
                const near = best(within);
                const away = best(reachable.filter(option => order.indexOf(option.distance) > limit));
                if (near === undefined || away === undefined) {
                    continue;
                }
                const level = levels[distance];
                const gainful = near.expectedMs - away.expectedMs
                    > minGainMs[distance] + minGainPart * near.expectedMs;
                updateShare(level, near.expectedMs, gainful, situation);
                if (gainful && near.expectedMs > situation.budgetMs && level.ration.grants(level.share)) {
                    return { option: away, left: distance, share: level.share, stayMs: near.expectedMs };
                }
                reachable = within;
            }
            const option = best(reachable);
            return option === undefined ? undefined : { option, left: undefined, share: 0, stayMs: option.expectedMs };
        },
        shares: () => ({ domain: levels.domain.share, region: levels.region.share }),
    };
}
