/** Ports to the process itself: time, log and measures. */

/** Monotonic time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    now(): number;
    /** Resolves after the given time. */
    sleep(ms: number): Promise<void>;
    /** Calls again and again until the returned function is called. */
    every(ms: number, action: () => void): () => void;
}

/** Both clocks of a host: only together do they show that it was suspended. */
export interface HostClock extends Clock {
    /** Time of day in milliseconds; it may jump and serves no other purpose than to notice suspensions. */
    wallClockMs(): number;
    /** Calls once after the given time, unless the returned function is called before. */
    after(ms: number, action: () => void): () => void;
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

/** Counters and gauges that the daemon reports. */
export interface Metrics {
    /** A read served, by a replica or by the primary. */
    read(organisation: string, replica: boolean): void;
    /** A statement ended; code 0 is success. */
    statement(organisation: string, code: number, elapsedMs: number): void;
    /** A primary was replaced after this gap. */
    failover(database: string, gapMs: number): void;
    gauge(
        name: "queue" | "links" | "sessions" | "configurationRevision" | "tokens" | "callers",
        label: string,
        value: number,
    ): void;
    /** A message to a peer or the platform, and the bytes of it and its answer. */
    message(method: string, bytes: number): void;
    /** Bytes sent to another region. */
    regionBytes(bytes: number): void;
    /** Text in the Prometheus format. */
    print(): Promise<string>;
}
