/**
 * Decides whether a host without room leaves rotation, so that the platform sends new callers to other hosts of its
 * failure domain; its open connections stay. The platform spreads callers by a hash, so some hosts get more than they can
 * serve while their neighbours have room.
 *
 * Hosts decide by themselves on digests that are up to a second or two old. They don't leave together: a host claims to leave for as long as
 * news of it takes before it leaves, those whose claim states the highest load go first, at most a quarter of the cell's
 * hosts in the failure domain are out of rotation for whatever reason, and only if the others have room for the callers.
 * Cells lie within failure domains in a large fleet, so the quarter holds for each failure domain as a whole.
 */

/** Another host of the same cell and failure domain. */
export interface Neighbour {
    readonly id: string;
    /** Its load, from 0 to 1; undefined if the host doesn't report it. */
    readonly load: number | undefined;
    /** Load that its claim to leave rotation states, from 0 to 1; undefined without a claim. */
    readonly claim: number | undefined;
    /** False while it accepts no new callers, for whatever reason. */
    readonly inRotation: boolean;
    /** Age of what is known of it, in milliseconds; Infinity if it has not been heard. */
    readonly ageMs: number;
}

/** What the decision depends on. */
export interface Situation {
    readonly nowMs: number;
    readonly id: string;
    /** Load of this host, from 0 to 1; undefined while it isn't known. */
    readonly load: number | undefined;
    /** True if this host is ready apart from its room. */
    readonly otherwiseReady: boolean;
    /** All registered hosts of the cell and the failure domain but this one. */
    readonly neighbours: readonly Neighbour[];
}

/** Decides for one host. */
export interface Rotation {
    /** Re-evaluates and returns whether the host is in rotation. To be called several times a second. */
    decide(situation: Situation): boolean;
    inRotation(): boolean;
    /** The claim to leave rotation that the host announces: its load at the beginning of the claim, from 0 to 1. */
    claim(): number | undefined;
    /** Why the host is in rotation or out of it. */
    reason(): string;
}

/** Load from which a host lacks room for new callers, and up to which it accepts them again. */
const fullLoad = 0.9;
const relievedLoad = 0.7;
/**
 * Time for which a host claims to leave before it leaves: twice the time in which its neighbours hear of a claim. A host that
 * claims later with a higher load then either is heard of in time, or hears that the first one has left.
 */
const claimMs = 3_500;
/** Time after which a claim without effect is made anew, with the load of then. */
const claimLifeMs = 7_000;
/** Largest part of the hosts of a failure domain that may be out of rotation, whatever the reason. */
const maxOutPart = 0.25;
/** Mean load of the neighbours in rotation up to which they have room for this host's callers. */
const maxNeighbourLoad = 0.75;
/**
 * Age of what is known of a neighbour from which it counts as out of rotation: it may have left, or claim to leave. Less than
 * half of the duration of a claim by the time that digests need on their way, and by the interval of decisions.
 */
const maxViewAgeMs = 1_250;
/** Shortest time out of rotation. The platform needs two checks, a second apart, to notice. */
const minOutMs = 4_000;
/** Longest random addition, and the delay for each host out of rotation that has a lower load: hosts return one by one. */
const maxReturnJitterMs = 1_000;
const returnRankDelayMs = 1_500;
/**
 * Time that a host may spend out of rotation: it grows while the host is in rotation, up to a limit. In the long run a host
 * is out for less than a tenth of its time, as the platform expects hosts to be ready for seven eighths of it.
 */
const allowanceGrowth = 0.1;
const maxAllowanceMs = 8_000;
const initialAllowanceMs = 6_000;

/** Creates the decision of a host that is in rotation. */
export function createRotation(options: { random(): number }): Rotation {
    let inRotation = true;
    let reason = "has room";
    let changedMs = -Infinity;
    let claimed: { readonly load: number; readonly atMs: number } | undefined;
    let relievedSinceMs: number | undefined;
    let allowanceMs = initialAllowanceMs;
    let updatedMs: number | undefined;
    let jitterMs = 0;

    function set(next: boolean, nowMs: number): void {
        inRotation = next;
        changedMs = nowMs;
        claimed = undefined;
        relievedSinceMs = undefined;
        jitterMs = options.random() * maxReturnJitterMs;
    }

    /** The obstacle to leaving rotation; undefined if there is none. */
    function obstacle({ neighbours, id }: Situation, claimedLoad: number): string | undefined {
        const staying = neighbours.filter(other => other.inRotation && other.ageMs <= maxViewAgeMs);
        const outCount = neighbours.length - staying.length;
        const maxOutCount = Math.floor((neighbours.length + 1) * maxOutPart);
        if (outCount >= maxOutCount) {
            return "enough hosts are out or silent";
        }
        const loads = staying.map(other => other.load ?? maxNeighbourLoad);
        if (loads.reduce((sum, next) => sum + next, 0) > maxNeighbourLoad * loads.length) {
            return "neighbours are busy";
        }
        // Claims don't change while they last, so that neighbours agree on their order however late they hear of them.
        const ahead = staying.filter(({ claim, id: otherId }) =>
            claim !== undefined && (claim > claimedLoad || (claim === claimedLoad && otherId < id))
        );
        if (outCount + ahead.length >= maxOutCount) {
            return "neighbours are fuller";
        }
        return allowanceMs < minOutMs ? "was out for long" : undefined;
    }

    function considerLeaving(situation: Situation, load: number): void {
        const { nowMs } = situation;
        if (load < fullLoad) {
            claimed = undefined;
            reason = "has room";
            return;
        }
        if (claimed === undefined || nowMs - claimed.atMs > claimLifeMs) {
            claimed = { load, atMs: nowMs };
        }
        const against = nowMs - claimed.atMs < claimMs ? "full for a moment" : obstacle(situation, claimed.load);
        reason = against ?? "full";
        if (against === undefined) {
            set(false, nowMs);
        }
    }

    function considerReturning(situation: Situation, load: number): void {
        const { nowMs, neighbours, id } = situation;
        const waitedMs = nowMs - changedMs;
        relievedSinceMs = load <= relievedLoad ? relievedSinceMs ?? nowMs : undefined;
        const ahead = neighbours.filter(other =>
            !other.inRotation && other.load !== undefined && other.load <= relievedLoad
            && (other.load < load || (other.load === load && other.id < id))
        );
        const turnMs = jitterMs + ahead.length * returnRankDelayMs;
        if (allowanceMs <= 0) {
            reason = "was out for long";
            set(true, nowMs);
        }
        else if (waitedMs >= minOutMs && relievedSinceMs !== undefined && nowMs - relievedSinceMs >= turnMs) {
            reason = "has room again";
            set(true, nowMs);
        }
    }

    return {
        decide(situation) {
            const { nowMs, load } = situation;
            const elapsedMs = nowMs - (updatedMs ?? nowMs);
            updatedMs = nowMs;
            allowanceMs = Math.min(maxAllowanceMs, allowanceMs + elapsedMs * (inRotation ? allowanceGrowth : -1));
            if (!situation.otherwiseReady || load === undefined) {
                reason = "not ready";
                set(true, nowMs);
            }
            else if (inRotation) {
                considerLeaving(situation, load);
            }
            else {
                considerReturning(situation, load);
            }
            return inRotation;
        },
        inRotation: () => inRotation,
        claim: () => claimed?.load,
        reason: () => reason,
    };
}
