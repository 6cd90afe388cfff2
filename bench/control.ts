/** What control costs a host, as hosts, databases, organisations, sessions and configuration changes each grow alone. */
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
const controlMethods = /^(exchange|configuration|groups|value|watch|read|swap|hosts|change)$/;
const places = [
    { region: "ro-nord", failureDomain: "cluj-a" },
    { region: "ro-nord", failureDomain: "cluj-b" },
    { region: "ro-sud", failureDomain: "buc-a" },
];

interface Size {
    readonly name: string;
    readonly hosts: number;
    readonly databases: number;
    readonly organisations: number;
    readonly sessions: number;
    readonly changes: number;
}

const base: Size = { name: "base", hosts: 3, databases: 3, organisations: 8, sessions: 0, changes: 0 };
const sizes: readonly Size[] = [
    base,
    { ...base, name: "hosts x10", hosts: 30 },
    { ...base, name: "databases x10", databases: 30 },
    { ...base, name: "organisations x10", organisations: 80 },
    { ...base, name: "1,000 idle sessions", sessions: 1_000 },
    { ...base, name: "10 changes", changes: 10 },
];

interface Reading {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    readonly messages: number;
    readonly bytes: number;
}

function sum(text: string, metric: string, keep: (label: string) => boolean): number {
    const found = [...text.matchAll(new RegExp(`^${metric}(?:\\{method="(\\w+)"\\})? ([\\d.e+]+)$`, "gm"))];
    return found.filter(match => keep(match[1] ?? "")).reduce((total, match) => total + Number(match[2]), 0);
}

async function read(host: fleets.Process): Promise<Reading> {
    const text = await fetch(`http://127.0.0.1:${host.operationsPort}/metrics`).then(answer => answer.text());
    return {
        cpuSeconds: sum(text, "process_cpu_seconds_total", () => true),
        residentBytes: sum(text, "process_resident_memory_bytes", () => true),
        messages: sum(text, "hyssophatch_messages_total", label => controlMethods.test(label)),
        bytes: sum(text, "hyssophatch_message_bytes_total", label => controlMethods.test(label)),
    };
}

async function countCalls(fleet: fleets.Fleet): Promise<number> {
    const calls = JSON.parse(await fleet.set({ action: "calls", value: 0 })) as Record<string, number>;
    return Object.values(calls).reduce((total, count) => total + count, 0);
}

async function change(fleet: fleets.Fleet, count: number): Promise<void> {
    const network = grpc.createNetwork();
    const platform = network.openChannel(fleet.platform);
    for (let index = 0; index < count; index += 1) {
        const added = (current: unknown): unknown => ({ ...current as object, [`t${index}`]: { maxAgeMs: 1_000 } });
        await configstore.apply(platform, { id: crypto.randomUUID(), section: "tolerances", change: added });
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
            (_, index) => places[index % places.length] ?? { region: "", failureDomain: "" },
        ),
        settings: { logLevel: "warn" },
    });
    const connections = await Promise.all(Array.from({ length: size.sessions }, (_, index) => connect(fleet, index)));
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const before = await Promise.all(fleet.hosts.map(read));
    const callsBefore = await countCalls(fleet);
    const started = performance.now();
    await Promise.all([change(fleet, size.changes), new Promise(resolve => setTimeout(resolve, windowMs))]);
    const seconds = (performance.now() - started) / 1_000;
    const after = await Promise.all(fleet.hosts.map(read));
    const calls = await countCalls(fleet) - callsBefore;
    connections.forEach(connection => connection.destroy());
    await fleet.stop();
    const mean = (pick: (reading: Reading) => number): number =>
        after.reduce((total, reading) => total + pick(reading), 0) / after.length;
    const grown = (pick: (reading: Reading) => number): number =>
        after.reduce((total, reading, index) => total + pick(reading) - pick(before[index] as Reading), 0)
        / after.length / seconds;
    return {
        size: size.name,
        corePercent: reports.round(grown(reading => reading.cpuSeconds) * 100),
        residentMB: reports.round(mean(reading => reading.residentBytes) / megabyte),
        messagesPerSecond: reports.round(grown(reading => reading.messages)),
        kilobytesPerSecond: reports.round(grown(reading => reading.bytes) / kilobyte),
        storeCallsPerSecond: reports.round(calls / seconds),
    };
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    for (const size of sizes) {
        rows.push(await measure(size));
    }
    const first = rows[0];
    return {
        bench: "control",
        rows,
        targets: [
            reports.atMost("core of a host, %", Number(first?.["corePercent"]), 3),
            reports.atMost("control bytes of a host, KB/s", Number(first?.["kilobytesPerSecond"]), 3),
        ],
    };
}
