/**
 * Control-plane cost of a host: CPU, memory, messages and platform calls, with the numbers of hosts, databases,
 * organisations, sessions and configuration changes each raised on its own.
 */
import mysql from "mysql2/promise";
import * as crypto from "node:crypto";
import * as configstore from "../src/adapters/configstore.js";
import * as grpc from "../src/adapters/grpc.js";
import * as fleets from "../standins/fleet.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const settleMs = 10_000;
const windowMs = 6_000;
const kilobyte = 1_024;
const megabyte = kilobyte * kilobyte;
/** Methods of the control plane; the others serve statements or operators. */
const controlMethods = /^(exchange|configuration|groups|value|watch|read|swap|hosts|change)$/;
const locations = [
    { region: "ro-nord", failureDomain: "cluj-a" },
    { region: "ro-nord", failureDomain: "cluj-b" },
    { region: "ro-sud", failureDomain: "buc-a" },
];

/** One size of the fleet and its load. */
interface Size {
    readonly name: string;
    readonly hosts: number;
    readonly databases: number;
    readonly organisations: number;
    readonly sessions: number;
    /** Configuration changes during the measurement. */
    readonly changes: number;
}

const baseSize: Size = { name: "base", hosts: 3, databases: 3, organisations: 8, sessions: 0, changes: 0 };
const sizes: readonly Size[] = [
    baseSize,
    { ...baseSize, name: "hosts x10", hosts: 30 },
    { ...baseSize, name: "databases x10", databases: 30 },
    { ...baseSize, name: "organisations x10", organisations: 80 },
    { ...baseSize, name: "1,000 idle sessions", sessions: 1_000 },
    { ...baseSize, name: "10 configuration changes", changes: 10 },
];

/** Metrics of one host: its process, and its control messages since it started. */
interface HostMetrics {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    readonly messages: number;
    readonly bytes: number;
}

/** Sums a metric over the methods that the predicate accepts; the method is "" for a metric without that label. */
function sumMetric(text: string, metric: string, accepts: (method: string) => boolean): number {
    const matches = [...text.matchAll(new RegExp(`^${metric}(?:\\{method="(\\w+)"\\})? ([\\d.e+]+)$`, "gm"))];
    return matches.filter(match => accepts(match[1] ?? "")).reduce((total, match) => total + Number(match[2]), 0);
}

async function scrape(host: fleets.Process): Promise<HostMetrics> {
    const text = await fetch(`http://127.0.0.1:${host.operationsPort}/metrics`).then(response => response.text());
    return {
        cpuSeconds: sumMetric(text, "process_cpu_seconds_total", () => true),
        residentBytes: sumMetric(text, "process_resident_memory_bytes", () => true),
        messages: sumMetric(text, "hyssophatch_messages_total", method => controlMethods.test(method)),
        bytes: sumMetric(text, "hyssophatch_message_bytes_total", method => controlMethods.test(method)),
    };
}

async function countPlatformCalls(fleet: fleets.Fleet): Promise<number> {
    const calls = JSON.parse(await fleet.set({ action: "calls", value: 0 })) as Record<string, number>;
    return Object.values(calls).reduce((total, count) => total + count, 0);
}

/** Applies the number of configuration changes, spread over half of the measurement window. */
async function changeConfiguration(fleet: fleets.Fleet, count: number): Promise<void> {
    const network = grpc.createNetwork();
    const platform = network.openChannel(fleet.platform);
    for (let index = 0; index < count; index += 1) {
        const addTolerance = (current: unknown): unknown => ({
            ...current as object,
            [`t${index}`]: { maxAgeMs: 1_000 },
        });
        await configstore.apply(platform, { id: crypto.randomUUID(), section: "tolerances", change: addTolerance });
        await new Promise(resolve => setTimeout(resolve, windowMs / count / 2));
    }
    network.close();
}

function connect(fleet: fleets.Fleet, index: number): Promise<mysql.Connection> {
    const port = fleet.hosts[index % fleet.hosts.length]?.callersPort;
    const organisation = fleet.topology.organisations[0] ?? "";
    return mysql.createConnection({
        host: "127.0.0.1",
        port,
        user: organisation,
        password: worlds.key(organisation),
        database: "orders",
    });
}

/** Measures one size. All figures are means per host, except the platform calls, which are the total of all hosts. */
async function measure(size: Size): Promise<reports.Row> {
    const fleet = await fleets.createFleet({
        user: "roata",
        topology: {
            databases: ["orders", ...Array.from({ length: size.databases - 1 }, (_, index) => `d${index}`)],
            organisations: Array.from({ length: size.organisations }, (_, index) => `o${index}`),
            connections: 60,
        },
        places: Array.from(
            { length: size.hosts },
            (_, index) => locations[index % locations.length] ?? { region: "", failureDomain: "" },
        ),
        settings: { logLevel: "warn" },
    });
    const connections = await Promise.all(Array.from({ length: size.sessions }, (_, index) => connect(fleet, index)));
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const before = await Promise.all(fleet.hosts.map(scrape));
    const callsBefore = await countPlatformCalls(fleet);
    const startedMs = performance.now();
    await Promise.all([
        changeConfiguration(fleet, size.changes),
        new Promise(resolve => setTimeout(resolve, windowMs)),
    ]);
    const seconds = (performance.now() - startedMs) / 1_000;
    const after = await Promise.all(fleet.hosts.map(scrape));
    const calls = await countPlatformCalls(fleet) - callsBefore;
    connections.forEach(connection => connection.destroy());
    await fleet.stop();
    const mean = (select: (metrics: HostMetrics) => number): number =>
        after.reduce((total, metrics) => total + select(metrics), 0) / after.length;
    const increasePerSecond = (select: (metrics: HostMetrics) => number): number =>
        after.reduce((total, metrics, index) => total + select(metrics) - select(before[index] as HostMetrics), 0)
        / after.length / seconds;
    return {
        size: size.name,
        corePercent: reports.round(increasePerSecond(metrics => metrics.cpuSeconds) * 100),
        residentMB: reports.round(mean(metrics => metrics.residentBytes) / megabyte),
        messagesPerSecond: reports.round(increasePerSecond(metrics => metrics.messages)),
        kilobytesPerSecond: reports.round(increasePerSecond(metrics => metrics.bytes) / kilobyte),
        storeCallsPerSecond: reports.round(calls / seconds),
    };
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    for (const size of sizes) {
        rows.push(await measure(size));
    }
    const baseRow = rows[0];
    return {
        bench: "control",
        rows,
        targets: [
            reports.atMost("CPU of a host, % of one core", Number(baseRow?.["corePercent"]), 3),
            reports.atMost("control traffic of a host, KB/s", Number(baseRow?.["kilobytesPerSecond"]), 3),
        ],
    };
}
