/** Whether this host can serve callers, with a log line at each change. */
import type * as events from "./events.js";

/** Settings of the readiness. */
export interface Options {
    readonly events: () => events.EventLog;
    stopping(): boolean;
    /** What the host must know before it serves; a name for each condition, for the log. */
    conditions(): Readonly<Record<string, boolean>>;
}

/** Readiness of one host. */
export interface Readiness {
    ready(): boolean;
    /** Logs a change since the last call. */
    report(): void;
}

/** Creates the readiness of a host that isn't ready yet. */
export function createReadiness(options: Options): Readiness {
    let wasReady = false;
    const missing = (): readonly string[] =>
        Object.entries(options.conditions()).filter(([, holds]) => !holds).map(([name]) => name);
    const ready = (): boolean => !options.stopping() && missing().length === 0;
    return {
        ready,
        report() {
            const isReady = ready();
            if (isReady !== wasReady) {
                wasReady = isReady;
                const stopping = options.stopping();
                options.events().emit("readinessChanged", { ready: isReady, stopping, missing: missing() });
            }
        },
    };
}
