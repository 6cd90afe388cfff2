/** Whether this host can serve callers, with a log line at each change. */
import type * as events from "./events.js";

/** Settings of the readiness. */
export interface Options {
    readonly events: () => events.EventLog;
    stopping(): boolean;
    /** What the host must know before it serves; a name for each condition, for the log. */
    conditions(): Readonly<Record<string, boolean>>;
    /** False while the host is out of rotation because it lacks room for new callers. */
    hasRoom(): boolean;
}

/** Readiness of one host. */
export interface Readiness {
    ready(): boolean;
    /** True if the host could serve new callers if it had room for them. */
    otherwiseReady(): boolean;
    /** Logs a change since the last call. */
    report(): void;
}

/** Creates the readiness of a host that isn't ready yet. */
export function createReadiness(options: Options): Readiness {
    let wasReady = false;
    const missing = (): readonly string[] =>
        Object.entries(options.conditions()).filter(([, holds]) => !holds).map(([name]) => name);
    const otherwiseReady = (): boolean => !options.stopping() && missing().length === 0;
    const ready = (): boolean => otherwiseReady() && options.hasRoom();
    return {
        ready,
        otherwiseReady,
        report() {
            const isReady = ready();
            if (isReady !== wasReady) {
                wasReady = isReady;
                const stopping = options.stopping();
                options.events().emit("readinessChanged", {
                    ready: isReady,
                    stopping,
                    missing: options.hasRoom() ? missing() : [...missing(), "room"],
                });
            }
        },
    };
}
