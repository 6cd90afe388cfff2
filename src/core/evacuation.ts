/**
 * Failure domains that the operators have evacuated, as this host knows them. Operators mark a domain in the store; from
 * a bound after the store's acknowledgement on, nothing may be sent to its endpoints until the mark is removed. The phases
 * of an evacuation are counted from the moment at which this host learns of it, and leave part of the bound for that.
 */
import * as storeEras from "./storeera.js";

/** The evacuated failure domains at some revision of the store. */
export interface EvacuationSet {
    /** Revision of the store, in the order of eras (`storeera.order`). */
    readonly revision: number;
    readonly failureDomains: readonly string[];
}

/**
 * What endpoints of a failure domain may be sent: everything; the rest of open transactions; only orders about their role;
 * or nothing.
 */
export type Phase = "open" | "leaving" | "ending" | "closed";

/** Settings of the evacuations. */
export interface Options {
    /** Time from the acknowledgement of an evacuation to the moment from which nothing may be sent, in milliseconds. */
    readonly boundMs: number;
}

/** The known evacuations. */
export interface Evacuations {
    /** True once a set was offered. */
    known(): boolean;
    /** Takes a set if its revision is higher than that of the known one. Returns whether the evacuated domains changed. */
    offer(set: EvacuationSet, nowMs: number): boolean;
    /** The set to announce to other hosts; it changes only when they may need it. */
    announced(): EvacuationSet | undefined;
    phase(failureDomain: string, nowMs: number): Phase;
    /** Share of its usual work that a domain may take after its evacuation was taken back; 1 for every other domain. */
    returnShare(failureDomain: string, nowMs: number): number;
    /** Domains whose phase isn't "open". */
    evacuated(nowMs: number): readonly string[];
}

/** Parts of the bound after which open transactions are rolled back, and after which no order is sent either. */
const leavingShare = 0.4;
const endingShare = 0.7;
/** Time in which a domain that was taken back returns to its usual share of the work, in milliseconds. */
const returnMs = 5_000;
/** Share of the usual work with which a domain begins to return. */
const initialReturnShare = 0.1;
/** Time for which domains that a restored store lacks stay evacuated, until operators have marked them again. */
const restoreGraceMs = 10_000;

interface Entry {
    /** When this host learned of the evacuation. */
    readonly sinceMs: number;
    /** When it was taken back; infinite while it is in force. */
    readonly untilMs: number;
}

/** Creates evacuations of which nothing is known. */
export function createEvacuations(options: Options): Evacuations {
    const entries = new Map<string, Entry>();
    let current: EvacuationSet | undefined;
    let announced: EvacuationSet | undefined;

    /** The evacuation that is in force in the domain, if any. */
    function inForce(failureDomain: string, nowMs: number): Entry | undefined {
        const entry = entries.get(failureDomain);
        return entry !== undefined && nowMs < entry.untilMs ? entry : undefined;
    }

    function sameDomains(left: EvacuationSet | undefined, right: EvacuationSet): boolean {
        return left !== undefined && left.failureDomains.length === right.failureDomains.length
            && left.failureDomains.every((domain, index) => domain === right.failureDomains[index]);
    }

    function apply(set: EvacuationSet, isRestored: boolean, nowMs: number): void {
        for (const domain of set.failureDomains) {
            entries.set(domain, { sinceMs: inForce(domain, nowMs)?.sinceMs ?? nowMs, untilMs: Infinity });
        }
        for (const [domain, { sinceMs, untilMs }] of entries) {
            if (untilMs === Infinity && !set.failureDomains.includes(domain)) {
                entries.set(domain, { sinceMs, untilMs: isRestored ? nowMs + restoreGraceMs : nowMs });
            }
        }
    }

    return {
        known: () => current !== undefined,
        announced: () => announced,
        offer(offered, nowMs) {
            const set = { ...offered, failureDomains: [...new Set(offered.failureDomains)].sort() };
            const isSame = sameDomains(current, set);
            if (current !== undefined && set.revision <= current.revision) {
                // The other host has a set that was replaced by the one that was in force before it.
                if (!isSame && set.revision > (announced?.revision ?? 0)) {
                    announced = current;
                }
                return false;
            }
            const isRestored = current !== undefined
                && storeEras.eraOf(set.revision) > storeEras.eraOf(current.revision);
            current = set;
            if (isSame) {
                return false;
            }
            announced = set;
            apply(set, isRestored, nowMs);
            return true;
        },
        phase(failureDomain, nowMs) {
            const entry = inForce(failureDomain, nowMs);
            if (entry === undefined) {
                return "open";
            }
            const elapsedMs = nowMs - entry.sinceMs;
            if (elapsedMs < options.boundMs * leavingShare) {
                return "leaving";
            }
            return elapsedMs < options.boundMs * endingShare ? "ending" : "closed";
        },
        returnShare(failureDomain, nowMs) {
            const entry = entries.get(failureDomain);
            if (entry === undefined || nowMs < entry.untilMs) {
                return 1;
            }
            const progress = Math.min(1, (nowMs - entry.untilMs) / returnMs);
            return initialReturnShare + (1 - initialReturnShare) * progress;
        },
        evacuated: nowMs => [...entries.keys()].filter(domain => inForce(domain, nowMs) !== undefined),
    };
}
