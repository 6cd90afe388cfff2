/** A host as its process sees it: what it needs, and how it is run. */
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as eventLogs from "./events.js";
import type * as platforms from "./platform.js";
import type * as processorMeters from "./processormeter.js";
import type * as settingsFile from "./settings.js";

/** What the host needs from its process. */
export interface Environment {
    readonly settings: settingsFile.Settings;
    readonly clock: runtime.HostClock;
    readonly log: runtime.Log;
    /** Creates the platform, which reports the result of every call to `count`, and the era of the store to `era`. */
    platform(count: (kind: string, result: string) => void, era: store.Era): platforms.Platform;
    random(): number;
    /** What the process has used; absent where several hosts share a process. */
    readonly processUsage?: (() => runtime.ProcessUsage) | undefined;
    /** Measures what the processor time is used for; the other fields are measured already. */
    readonly meter: processorMeters.Meter;
    /** Identifies this process; a restarted host has another value. */
    readonly incarnation: string;
}

/** An assembled host. */
export interface Host {
    start(): Promise<void>;
    /** Drains callers, deregisters from the store, and closes. */
    stop(): Promise<void>;
    close(): Promise<void>;
    ready(): boolean;
    readonly events: eventLogs.EventLog;
}
