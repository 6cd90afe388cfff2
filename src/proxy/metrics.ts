/** Counters, gauges and latency histograms of one host, in the Prometheus text format. */
import * as http from "node:http";
import * as prometheus from "prom-client";
import type * as failure from "../core/failure.js";
import type * as rooms from "../core/room.js";
import type * as caller from "../ports/caller.js";
import type * as coldGates from "./coldgate.js";
import type * as endpoints from "./endpoint.js";
import type * as relays from "./relay.js";
import type * as sessions from "./session.js";

/** Values of the gauges about what this host has learnt from the store. */
export interface ReadingGauges {
    /** True if this host has read the newest reading of the store itself. */
    readonly readsStoreForOthers: boolean;
    /** Age of the newest reading of the store, this host's own or another's; infinite without one. */
    readonly storeReadingAgeMs: number;
    /** Age of the endpoint listing; infinite without one. */
    readonly listingAgeMs: number;
}

/** Values of the gauges, read each time the metrics are rendered. */
export interface Gauges extends ReadingGauges {
    /** Statements running and queued. */
    readonly loadByEndpoint: Readonly<Record<string, number>>;
    readonly connectionsByEndpoint: Readonly<Record<string, number>>;
    /** Part of the reads that leave the failure domain and the region, by group. */
    readonly spilloverShares: Readonly<Record<string, Readonly<Record<"domain" | "region", number>>>>;
    /** Open connections of callers. */
    readonly callers: number;
    /** Parts of the host's capacity in use; undefined while they aren't known. */
    readonly load: rooms.Load | undefined;
    /** True while other hosts take over this host's duties because it lacks room. */
    readonly strained: boolean;
    /** False while the host accepts no new callers because it lacks room. */
    readonly inRotation: boolean;
    readonly configurationVersion: number;
    /** The newest known era of the store; undefined if none. */
    readonly storeEra: number | undefined;
    /** Age of the proof that the records of primaries are current; infinite without one. */
    readonly proofAgeMs: number;
    readonly holdsFailoverLock: boolean;
    readonly evacuatedFailureDomains: readonly string[];
    /** Processor time by activity, in milliseconds; empty unless it is measured. */
    readonly processorMs: Readonly<Record<string, number>>;
}

/** Metrics of one host. */
export interface Metrics
    extends sessions.RequestMetrics, coldGates.PermitMetrics, endpoints.AdmissionMetrics, relays.RelayMetrics {
    /** Counts a call to the platform. */
    countPlatformCall(kind: string, result: string): void;
    /** Counts that the store came back from an older copy. */
    countStoreRestoration(): void;
    /** Counts a question to another host for what it has learnt from the store. */
    countNews(result: string): void;
    /** All metrics in the Prometheus text format. */
    render(): Promise<string>;
}

/** Upper bounds of the latency buckets, in seconds. */
const buckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6];

/** Creates metrics with zeroed counters. */
export function createMetrics(readGauges: () => Gauges): Metrics {
    const registry = new prometheus.Registry();
    const registers = [registry];
    const served = new prometheus.Counter({
        name: "hyssophatch_statements_served_total",
        help: "Statements served, by mode and by the role of the endpoint.",
        labelNames: ["organisation", "mode", "role"],
        registers,
    });
    const admitted = new prometheus.Counter({
        name: "hyssophatch_operations_admitted_total",
        help: "Operations within the limit of their organisation.",
        labelNames: ["organisation"],
        registers,
    });
    const refused = new prometheus.Counter({
        name: "hyssophatch_statements_refused_total",
        help: "Statements and operations not served, by result code.",
        labelNames: ["organisation", "code"],
        registers,
    });
    const latency = new prometheus.Histogram({
        name: "hyssophatch_statement_seconds",
        help: "Time from receipt to answer.",
        labelNames: ["database", "outcome"],
        buckets,
        registers,
    });
    const calls = new prometheus.Counter({
        name: "hyssophatch_platform_calls_total",
        help: "Calls to the platform, by kind and result.",
        labelNames: ["kind", "result"],
        registers,
    });
    const permits = new prometheus.Counter({
        name: "hyssophatch_permits_total",
        help: "Requests for permits to send to cold endpoints, by result.",
        labelNames: ["result"],
        registers,
    });
    const inversions = new prometheus.Counter({
        name: "hyssophatch_queue_inversions_total",
        help: "Statements served while a more urgent one that could meet its target waited at this host.",
        registers,
    });
    const abandoned = new prometheus.Counter({
        name: "hyssophatch_queue_abandoned_total",
        help: "Waiting statements that were dropped because their caller had left.",
        registers,
    });
    const restorations = new prometheus.Counter({
        name: "hyssophatch_store_restorations_total",
        help: "Times that the store came back from an older copy of its data.",
        registers,
    });
    const news = new prometheus.Counter({
        name: "hyssophatch_store_news_total",
        help: "Questions to other hosts for what they have learnt from the store, by result.",
        labelNames: ["result"],
        registers,
    });
    const relayed = new prometheus.Counter({
        name: "hyssophatch_statements_relayed_total",
        help: "Statements passed to a host that holds connections to the endpoint, by result.",
        labelNames: ["result"],
        registers,
    });
    const processor = new prometheus.Counter({
        name: "hyssophatch_processor_seconds_total",
        help: "Processor time by what it was used for, if that is measured.",
        labelNames: ["activity"],
        registers,
    });
    const load = gauge("hyssophatch_endpoint_load", "Statements running and waiting.", ["endpoint"]);
    const open = gauge("hyssophatch_endpoint_connections", "Open connections.", ["endpoint"]);
    const spillover = gauge(
        "hyssophatch_spillover_share",
        "Part of the reads that leave the failure domain or the region although an endpoint there could serve them.",
        ["group", "distance"],
    );
    const callers = gauge("hyssophatch_callers", "Connections of callers.", []);
    const hostLoad = gauge("hyssophatch_host_load", "Part of the host's capacity in use, from 0 to 1.", ["part"]);
    const strained = gauge("hyssophatch_host_strained", "1 while others take over duties as this host lacks room.", []);
    const rotation = gauge("hyssophatch_host_in_rotation", "0 while this host lacks room for new callers.", []);
    const version = gauge("hyssophatch_configuration_version", "Version of the configuration in force.", []);
    const storeEra = gauge("hyssophatch_store_era", "Era of the store: rises when it comes back from a copy.", []);
    const proof = gauge("hyssophatch_record_proof_age_seconds", "Age of the proof of the records.", []);
    const failoverLock = gauge("hyssophatch_promotion_duty", "1 on the host that replaces primaries.", []);

    const reader = gauge("hyssophatch_store_reader", "1 if this host read the newest reading of the store itself.", []);
    const readingAge = gauge("hyssophatch_store_reading_age_seconds", "Age of the newest reading of the store.", []);
    const listingAge = gauge("hyssophatch_endpoint_listing_age_seconds", "Age of the endpoint listing.", []);
    const seconds = (ms: number): number => Math.min(ms, Number.MAX_SAFE_INTEGER) / 1_000;
    const evacuated = gauge("hyssophatch_evacuated", "1 for each evacuated failure domain.", ["failure_domain"]);

    function gauge(name: string, help: string, labelNames: readonly string[]): prometheus.Gauge {
        return new prometheus.Gauge({ name, help, labelNames: [...labelNames], registers });
    }

    return {
        admitted: organisation => admitted.inc({ organisation }),
        served(database, organisation, primary, mode: caller.Mode, elapsedMs) {
            served.inc({ organisation, mode, role: primary ? "primary" : "replica" });
            latency.observe({ database, outcome: "served" }, elapsedMs / 1_000);
        },
        refused(database, organisation, code: failure.Code, elapsedMs) {
            refused.inc({ organisation, code: String(code) });
            latency.observe({ database, outcome: "refused" }, elapsedMs / 1_000);
        },
        inverted: () => inversions.inc(),
        abandoned: () => abandoned.inc(),
        permitAsked: result => permits.inc({ result }),
        relayed: result => relayed.inc({ result }),
        countPlatformCall: (kind, result) => calls.inc({ kind, result }),
        countStoreRestoration: () => restorations.inc(),
        countNews: result => news.inc({ result }),
        render() {
            const gauges = readGauges();
            load.reset();
            open.reset();
            Object.entries(gauges.loadByEndpoint).forEach(([endpoint, value]) => load.set({ endpoint }, value));
            Object.entries(gauges.connectionsByEndpoint).forEach(([endpoint, value]) => open.set({ endpoint }, value));
            Object.entries(gauges.spilloverShares).forEach(([group, shares]) =>
                Object.entries(shares).forEach(([distance, value]) => spillover.set({ group, distance }, value))
            );
            callers.set(gauges.callers);
            Object.entries(gauges.load ?? {}).forEach(([part, value]: [string, number]) =>
                hostLoad.set({ part }, value)
            );
            strained.set(gauges.strained ? 1 : 0);
            rotation.set(gauges.inRotation ? 1 : 0);
            version.set(gauges.configurationVersion);
            storeEra.set(gauges.storeEra ?? 0);
            proof.set(seconds(gauges.proofAgeMs));
            reader.set(gauges.readsStoreForOthers ? 1 : 0);
            readingAge.set(seconds(gauges.storeReadingAgeMs));
            listingAge.set(seconds(gauges.listingAgeMs));
            evacuated.reset();
            gauges.evacuatedFailureDomains.forEach(domain => evacuated.set({ failure_domain: domain }, 1));
            processor.reset();
            Object.entries(gauges.processorMs).forEach(([activity, ms]) => processor.inc({ activity }, seconds(ms)));
            failoverLock.set(gauges.holdsFailoverLock ? 1 : 0);
            return registry.metrics();
        },
    };
}

/** Serves the metrics over HTTP at `/metrics`; resolves once the server listens, and rejects when it can't. */
export async function listen(host: string, port: number, metrics: Metrics): Promise<http.Server> {
    const server = http.createServer((request, response) => {
        if (request.url !== "/metrics") {
            response.writeHead(404).end();
            return;
        }
        metrics.render().then(
            text => response.writeHead(200, { "content-type": prometheus.prometheusContentType }).end(text),
            (thrown: unknown) => response.writeHead(500).end(String(thrown)),
        );
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return server;
}
