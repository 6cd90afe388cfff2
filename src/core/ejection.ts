/**
 * Keeps failing endpoints of a group out of reads (outlier ejection). An endpoint that failed is tried again after a
 * while, with a growing part of the reads; the time grows with each relapse, so that an endpoint that goes down and up by
 * turns is left alone. Less than half of a group's endpoints are kept out at once: if all seem to fail, the fault is
 * more likely elsewhere, and somebody has to serve.
 */
import * as evidence from "./evidence.js";
import * as rations from "./ration.js";

/** An endpoint and what is known of its statements, from all hosts. */
export interface Observation {
    readonly endpoint: string;
    readonly outcomes: evidence.Outcomes;
}

/** Why the trust in an endpoint changed. */
export interface Change {
    readonly endpoint: string;
    readonly ejected: boolean;
    /** Probability of failure when it was ejected. */
    readonly failureRate: number;
    /** Time for which it is kept out. */
    readonly periodMs: number;
}

/** Ejection of the endpoints of one group. */
export interface Ejector {
    /** Applies the newest observations of all endpoints of the group, and returns what changed. */
    update(observations: readonly Observation[], nowMs: number): readonly Change[];
    /** Part of the reads that the endpoint may get, from 0 while it is kept out to 1 when it is trusted. */
    trust(endpoint: string, nowMs: number): number;
    /** True if the endpoint may get the next read, given its trust: with a trust of 0.25 every fourth call is true. */
    mayServe(endpoint: string, nowMs: number): boolean;
    /** Starts over with the endpoint, as its process is a new one. */
    forget(endpoint: string): void;
}

/** Probability of failure from which an endpoint is kept out. */
const ejectionRate = 0.3;
/** Statements that the evidence must rest on. */
const minVolume = 6;
/** Time for which an endpoint is kept out the first time, and at most. */
const firstPeriodMs = 1_000;
const maxPeriodMs = 8_000;
/** Time in which the trust in an endpoint that was kept out grows back. */
const rampMs = 2_000;
/** Trust at the start of the ramp: some statements are needed to see whether the endpoint serves. */
const initialTrust = 0.1;
/** Time without a relapse after which the next ejection is short again. */
const forgivenessMs = 20_000;

interface State {
    ejectedAtMs: number;
    periodMs: number;
    /** The part of the reads that the trust lets through. */
    readonly ration: rations.Ration;
}

/** Creates an ejector that trusts every endpoint. */
export function createEjector(): Ejector {
    const states = new Map<string, State>();

    function trust(endpoint: string, nowMs: number): number {
        const state = states.get(endpoint);
        if (state === undefined) {
            return 1;
        }
        const sinceReturnMs = nowMs - state.ejectedAtMs - state.periodMs;
        return sinceReturnMs < 0 ? 0 : Math.min(1, initialTrust + (1 - initialTrust) * sinceReturnMs / rampMs);
    }

    function eject(endpoint: string, failureRate: number, nowMs: number): Change {
        const previous = states.get(endpoint);
        const relapsed = previous !== undefined && nowMs - previous.ejectedAtMs < previous.periodMs + forgivenessMs;
        const periodMs = relapsed ? Math.min(maxPeriodMs, previous.periodMs * 2) : firstPeriodMs;
        states.set(endpoint, { ejectedAtMs: nowMs, periodMs, ration: rations.createRation() });
        return { endpoint, ejected: true, failureRate, periodMs };
    }

    return {
        trust,
        update(observations, nowMs) {
            const changes: Change[] = [];
            const maxEjected = Math.floor((observations.length - 1) / 2);
            let ejectedCount = observations.filter(({ endpoint }) => trust(endpoint, nowMs) < 1).length;
            const failing = observations
                .map(({ endpoint, outcomes }) => ({
                    endpoint,
                    failureRate: evidence.failureRate(outcomes),
                    volume: evidence.volume(outcomes),
                }))
                .filter(entry => entry.failureRate >= ejectionRate && entry.volume >= minVolume)
                .sort((left, right) => right.failureRate - left.failureRate);
            for (const entry of failing) {
                const current = trust(entry.endpoint, nowMs);
                // What an endpoint failed before it was kept out doesn't count against it again.
                const state = states.get(entry.endpoint);
                const onRamp = state !== undefined && current > 0 && current < 1;
                const countsAgain = state !== undefined && nowMs - state.ejectedAtMs - state.periodMs > rampMs / 2;
                if (current === 0 || (onRamp && !countsAgain) || (!onRamp && ejectedCount >= maxEjected)) {
                    continue;
                }
                ejectedCount += onRamp ? 0 : 1;
                changes.push(eject(entry.endpoint, entry.failureRate, nowMs));
            }
            return changes;
        },
        mayServe(endpoint, nowMs) {
            const state = states.get(endpoint);
            const current = trust(endpoint, nowMs);
            if (state === undefined || current >= 1) {
                return true;
            }
            return state.ration.grants(current);
        },
        forget: endpoint => void states.delete(endpoint),
    };
}
