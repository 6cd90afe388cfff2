/**
 * Tells which endpoints are cold, that is, still slow after their start. An endpoint's report says for how much longer; it
 * counts down on this host's clock from when the report was requested. An endpoint whose process may have started anew
 * is cold until a report shows otherwise.
 */
import type * as directory from "./directory.js";

/** Which endpoints are cold. */
export interface Coldness {
    /** Takes in a listing that was requested at that time. */
    observe(listed: readonly directory.Endpoint[], requestedAtMs: number): void;
    /** Notes that a connection to the endpoint broke or was refused, so that its process may have ended. */
    suspect(endpoint: string, nowMs: number): void;
    isCold(endpoint: string, nowMs: number): boolean;
}

/** Settings of a coldness. */
export interface Options {
    /** Time for which an endpoint of the group is cold after its start; undefined if the group's endpoints never are. */
    startMs(group: string): number | undefined;
}

interface State {
    readonly group: string;
    born: number;
    sequence: number;
    /** End of the cold time by the reports. */
    coldUntilMs: number;
    /** End of the time that is assumed for a process that was not known before, whatever its first reports say. */
    assumedUntilMs: number;
    /** When a connection last broke; undefined once a later report shows the same process. */
    suspectedAtMs: number | undefined;
    lastListedMs: number;
}

/** Longest time from the request of a listing to its answer, in which an entry in it may have been written. */
const transitMs = 1_000;
/** Time in which a process that started anew reports its start: two of its intervals. */
const reportMs = 2_500;
/** Time for which endpoints that are no longer listed are remembered, to recognise a new process. */
const retentionMs = 120_000;

/** Creates a coldness that knows no endpoint. */
export function createColdness(options: Options): Coldness {
    const states = new Map<string, State>();

    function observeOne(listed: directory.Endpoint, requestedAtMs: number): void {
        const { id, group, born, sequence } = listed;
        const remainingMs = listed.coldRemainingMs ?? 0;
        const reportedUntilMs = remainingMs > 0 ? requestedAtMs + remainingMs + transitMs : -Infinity;
        const known = states.get(id);
        if (known === undefined || known.born !== born || known.group !== group) {
            const startMs = known === undefined ? 0 : options.startMs(group) ?? 0;
            states.set(id, {
                group,
                born,
                sequence,
                coldUntilMs: reportedUntilMs,
                assumedUntilMs: startMs > 0 ? requestedAtMs + startMs + transitMs : -Infinity,
                suspectedAtMs: undefined,
                lastListedMs: requestedAtMs,
            });
            return;
        }
        known.lastListedMs = requestedAtMs;
        if (sequence > known.sequence) {
            known.sequence = sequence;
            known.coldUntilMs = reportedUntilMs;
            known.assumedUntilMs = remainingMs > 0 ? -Infinity : known.assumedUntilMs;
            if (known.suspectedAtMs !== undefined && requestedAtMs >= known.suspectedAtMs + reportMs) {
                known.suspectedAtMs = undefined;
            }
        }
    }

    return {
        observe(listed, requestedAtMs) {
            listed.forEach(endpoint => observeOne(endpoint, requestedAtMs));
            for (const [id, state] of states) {
                if (requestedAtMs - state.lastListedMs > retentionMs) {
                    states.delete(id);
                }
            }
        },
        suspect(endpoint, nowMs) {
            const state = states.get(endpoint);
            if (state !== undefined) {
                state.suspectedAtMs = nowMs;
            }
        },
        isCold(endpoint, nowMs) {
            const state = states.get(endpoint);
            return state !== undefined && options.startMs(state.group) !== undefined
                && (state.suspectedAtMs !== undefined || nowMs < Math.max(state.coldUntilMs, state.assumedUntilMs));
        },
    };
}
