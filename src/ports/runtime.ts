/** Ports to the process's own environment: clock, log and metrics. */

/** Monotonic time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    now(): number;
    /** Resolves after the given time in milliseconds. */
    sleep(ms: number): Promise<void>;
    /** Runs the action at a fixed interval; the returned function cancels it. */
    every(ms: number, action: () => void): () => void;
}

/** Monotonic and wall clock of a host. Comparing the two detects that the host was suspended. */
export interface HostClock extends Clock {
    /** Wall-clock time in milliseconds. It may jump, so it is used only to detect suspensions. */
    wallClockMs(): number;
    /** Runs the action once after the given time in milliseconds; the returned function cancels it. */
    after(ms: number, action: () => void): () => void;
}

/** What the process has used since its start. */
export interface ProcessUsage {
    /** Time that the event loop was not idle, in milliseconds. */
    readonly loopBusyMs: number;
    /** Processor time, in milliseconds. */
    readonly processorMs: number;
    /** Memory in use, in bytes. */
    readonly memoryBytes: number;
}

/** Fields of a log line. */
export type Fields = Readonly<Record<string, unknown>>;

/** Structured log. */
export interface Log {
    debug(fields: Fields, message: string): void;
    info(fields: Fields, message: string): void;
    warn(fields: Fields, message: string): void;
    error(fields: Fields, message: string): void;
}

/** Counters, histograms and gauges of the daemon. */
export interface Metrics {
    /** Counts a read served by a replica or by the primary. */
    read(organisation: string, replica: boolean): void;
    /** Records the result code and duration of a statement; code 0 is success. */
    statement(organisation: string, code: number, elapsedMs: number): void;
    /** Records a failover and the time for which no primary was known. */
    failover(database: string, gapMs: number): void;
    /** Sets the current value of a gauge. */
    gauge(
        name: "queue" | "links" | "sessions" | "configurationRevision" | "tokens" | "callers",
        label: string,
        value: number,
    ): void;
    /** Counts a call to a peer or the platform, and the bytes of its request and reply. */
    message(method: string, bytes: number): void;
    /** Counts bytes sent to another region. */
    regionBytes(bytes: number): void;
    /** Returns all metrics in the Prometheus text format. */
    print(): Promise<string>;
}
