/** Clock, log and metrics of the process. */
import bunyan from "bunyan";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import * as prometheus from "prom-client";
import type * as runtime from "../ports/runtime.js";

/** Creates a monotonic clock. */
export function createClock(): runtime.Clock {
    return {
        now: () => performance.now(),
        async sleep(ms) {
            await delay(ms);
        },
        every(ms, action) {
            const timer = setInterval(action, ms);
            return () => clearInterval(timer);
        },
    };
}

/** Creates a log that writes JSON lines to standard output. */
export function createLog(host: string, level: bunyan.LogLevelString): runtime.Log {
    return bunyan.createLogger({ name: "hyssophatchd", host, level });
}

/** Log that discards everything. */
export const silent: runtime.Log = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

/** Sampling interval of the event-loop delay; a shorter one wakes an idle process needlessly. */
const eventLoopSamplingMs = 200;
const latencyBucketsMs = [0.5, 1, 2, 5, 10, 25, 50, 100, 250, 1000, 5000];

/** Creates the Prometheus metrics of one host. */
export function createMetrics(): runtime.Metrics {
    const registry = new prometheus.Registry();
    const registers = [registry];
    const reads = new prometheus.Counter({
        name: "hyssophatch_reads_total",
        help: "Reads served, by the role of the endpoint.",
        labelNames: ["organisation", "role"],
        registers,
    });
    const statements = new prometheus.Counter({
        name: "hyssophatch_statements_total",
        help: "Statements ended, by result code; 0 is success.",
        labelNames: ["organisation", "code"],
        registers,
    });
    const latency = new prometheus.Histogram({
        name: "hyssophatch_statement_milliseconds",
        help: "Time from receipt to answer.",
        labelNames: ["organisation"],
        buckets: latencyBucketsMs,
        registers,
    });
    const failovers = new prometheus.Histogram({
        name: "hyssophatch_failover_gap_milliseconds",
        help: "Time without a known primary.",
        labelNames: ["database"],
        buckets: [250, 500, 1000, 2000, 5000, 10_000, 17_000],
        registers,
    });
    const gauges = new prometheus.Gauge({
        name: "hyssophatch_level",
        help: "Current levels: queue, links, sessions, configurationRevision, tokens, callers.",
        labelNames: ["name", "label"],
        registers,
    });
    const regionBytes = new prometheus.Counter({
        name: "hyssophatch_region_bytes_total",
        help: "Bytes sent to other regions.",
        registers,
    });
    const messages = new prometheus.Counter({
        name: "hyssophatch_messages_total",
        help: "Messages to peers and the platform.",
        labelNames: ["method"],
        registers,
    });
    const messageBytes = new prometheus.Counter({
        name: "hyssophatch_message_bytes_total",
        help: "Bytes of messages to peers and the platform, answers included.",
        labelNames: ["method"],
        registers,
    });
    prometheus.collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: eventLoopSamplingMs });
    return {
        read(organisation, replica) {
            reads.inc({ organisation, role: replica ? "replica" : "primary" });
        },
        statement(organisation, code, elapsedMs) {
            statements.inc({ organisation, code: String(code) });
            latency.observe({ organisation }, elapsedMs);
        },
        failover(database, gapMs) {
            failovers.observe({ database }, gapMs);
        },
        gauge(name, label, value) {
            gauges.set({ name, label }, value);
        },
        message(method, bytes) {
            messages.inc({ method });
            messageBytes.inc({ method }, bytes);
        },
        regionBytes(bytes) {
            regionBytes.inc(bytes);
        },
        print: () => registry.metrics(),
    };
}
