/**
 * Processor time of hosts by their age and by the size of the fleet, without statements: one process a host, over the
 * stand-ins of a platform whose database groups have terms. `HOSTS=8,24 PROFILE=1 npm run bench -- hosts` sets the sizes,
 * and writes a processor profile of one host of each size; `ACTIVITIES=1` adds the mean by activity, whose measuring costs a little.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as registry from "../src/proxy/registry.js";
import * as endpoints from "../standins/groups/endpoint.js";
import * as stores from "../standins/groups/store.js";
import * as reports from "./report.js";

const program = path.resolve("target/hyssophatchd.cjs");
const defaultSizes = "3,8,24";
const groups = ["ledger-1", "ledger-2", "ledger-3", "ledger-4", "ledger-5", "ledger-6"];
const replicaCount = 2;
const failureDomainCount = 6;
const organisationCount = 75;
const firstPort = 24_000;
const portsPerHost = 4;
/** End of the start, and end of the time for which code is still being compiled, since the process was started. */
const ages = [{ name: "start", untilMs: 1_500 }, { name: "warming", untilMs: 8_000 }, {
    name: "idle",
    untilMs: 20_000,
}] as const;
/** Processor time of a host without work, in milliseconds a second, at any size of the fleet. */
const idleTargetMs = 8;
const startTargetMs = 150;

interface Process {
    readonly pid: number;
    readonly child: childProcess.ChildProcess;
}

/** User and system time of a process so far, in milliseconds. */
function processorMs(pid: number): number {
    const text = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticksPerSecond = 100;
    return (Number(fields[11]) + Number(fields[12])) * 1_000 / ticksPerSecond;
}

function settings(number: number, store: string): object {
    const port = (offset: number): number => firstPort + number * portsPerHost + offset;
    const failureDomains = Object.fromEntries(
        Array.from({ length: failureDomainCount }, (_, index) => [`zone-${index}`, `region-${index % 2}`]),
    );
    const failureDomain = `zone-${number % failureDomainCount}`;
    return {
        id: `host-${String(number).padStart(3, "0")}`,
        region: failureDomains[failureDomain],
        failureDomain,
        failureDomains,
        callers: `127.0.0.1:${port(0)}`,
        readiness: `127.0.0.1:${port(1)}`,
        peers: `127.0.0.1:${port(2)}`,
        metricsPort: port(3),
        store,
        promotions: store,
        graceMs: 1_500,
        measureProcessor: process.env["ACTIVITIES"] === "1",
    };
}

function configuration(): object {
    const route = { prefix: "/", kind: "primary", timeout_ms: 800, target_latency_ms: 300, priority: 1, public: false };
    return {
        version: 1,
        routes: groups.map(service => ({ ...route, name: service, hostname: service, service })),
        services: groups.map(name => ({ name, max_connections: 64, sync_replicas: 0 })),
        limits: { tx_idle_ms: 1_000 },
        tenants: Array.from({ length: organisationCount }, (_, index) => ({
            name: `organisation-${index}`,
            api_keys: [`key-${index}`],
            rate_per_s: 50,
            burst: 50,
        })),
    };
}

async function startGroup(group: string): Promise<readonly endpoints.Endpoint[]> {
    const members: endpoints.Endpoint[] = [];
    for (let index = 0; index <= replicaCount; index += 1) {
        const id = `${group}-${index}`;
        members.push(await endpoints.start({ id, group, maxConnections: 64, workMs: 2, lagMs: 10 }));
    }
    members[0]?.lead(1, members.slice(1));
    return members;
}

/** Lists an endpoint in the store, as the endpoint does itself. */
function list(store: stores.Store, group: string, member: endpoints.Endpoint, failureDomain: string): void {
    const entry = {
        service: group,
        address: member.address,
        zone: failureDomain,
        slots: 4,
        state: "ready",
        db_role: member.primary() ? "primary" : "replica",
        born: 1,
        sequence: 1,
    };
    store.put(`servers/${member.id}`, JSON.stringify(entry));
}

/** Milliseconds of processor time by activity, added up over the hosts; empty unless they measure it. */
async function activities(hostCount: number): Promise<ReadonlyMap<string, number>> {
    const total = new Map<string, number>();
    const numbers = process.env["ACTIVITIES"] === "1" ? Array.from({ length: hostCount }, (_, number) => number) : [];
    for (const number of numbers) {
        const response = await fetch(`http://127.0.0.1:${firstPort + number * portsPerHost + 3}/metrics`);
        for (const match of (await response.text()).matchAll(/processor_seconds_total\{activity="(\w+)"\} (\S+)/g)) {
            const [, name = "", seconds = ""] = match;
            total.set(name, (total.get(name) ?? 0) + Number(seconds) * 1_000);
        }
    }
    return total;
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

async function measure(hostCount: number, directory: string, profile: boolean): Promise<readonly reports.Row[]> {
    const store = await stores.start(() => true);
    const members: endpoints.Endpoint[] = [];
    store.put(registry.settledKey(store.era()), "");
    store.put("op/config", JSON.stringify(configuration()));
    for (const group of groups) {
        const started = await startGroup(group);
        members.push(...started);
        started.forEach((member, index) => list(store, group, member, `zone-${index}`));
    }
    const startMs = performance.now();
    const processes = Array.from({ length: hostCount }, (_, number): Process => {
        const file = path.join(directory, `host-${number}.json`);
        fs.writeFileSync(file, JSON.stringify(settings(number, store.address)));
        const flags = profile && number === hostCount - 1 ? ["--cpu-prof", `--cpu-prof-dir=${directory}`] : [];
        const child = childProcess.spawn(process.execPath, [...flags, program, file], {
            stdio: ["ignore", "ignore", "inherit"],
        });
        return { pid: child.pid ?? 0, child };
    });
    const rows: reports.Row[] = [];
    let previousMs = 0;
    let previous = processes.map(() => 0);
    let previousCalls = 0;
    let previousActivities: ReadonlyMap<string, number> = new Map();
    for (const age of ages) {
        await pause(age.untilMs - (performance.now() - startMs));
        const now = processes.map(entry => processorMs(entry.pid));
        const used = now.map((ms, index) => ms - (previous[index] ?? 0)).sort((left, right) => left - right);
        const seconds = (age.untilMs - previousMs) / 1_000;
        const calls = [...store.calls.values()].reduce((sum, count) => sum + count, 0);
        const perSecond = age.name === "start" ? 1 : seconds;
        const byActivity = await activities(hostCount);
        const round = (ms: number): number => Math.round(ms / perSecond * 100) / 100;
        rows.push({
            hosts: hostCount,
            age: age.name,
            medianMs: Math.round((used[Math.floor(used.length / 2)] ?? 0) / perSecond * 10) / 10,
            mostMs: Math.round((used[used.length - 1] ?? 0) / perSecond * 10) / 10,
            storeCallsPerHostSecond: Math.round((calls - previousCalls) / seconds / hostCount * 100) / 100,
            ...Object.fromEntries(
                [...byActivity].map((
                    [name, ms],
                ) => [name, round((ms - (previousActivities.get(name) ?? 0)) / hostCount)]),
            ),
        });
        previousActivities = byActivity;
        previousMs = age.untilMs;
        previous = now;
        previousCalls = calls;
    }
    await Promise.all(processes.map(({ child }) =>
        new Promise(resolve => {
            child.once("exit", resolve);
            child.kill("SIGTERM");
        })
    ));
    await Promise.all(members.map(member => member.crash()));
    await store.close();
    return rows;
}

/** Runs the bench. Rows hold milliseconds of processor time a second, and for the start the whole of it. */
export async function run(): Promise<reports.Report> {
    childProcess.execFileSync(process.execPath, ["tools/bundle.js", path.dirname(program)]);
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "hyssophatch-hosts-"));
    const profile = process.env["PROFILE"] === "1";
    const rows: reports.Row[] = [];
    for (const size of (process.env["HOSTS"] ?? defaultSizes).split(",").map(Number)) {
        rows.push(...await measure(size, directory, profile));
    }
    if (profile) {
        console.log(`Profiles: ${directory}`);
    }
    const worst = (age: string): number =>
        Math.max(...rows.filter(row => row["age"] === age).map(row => Number(row["medianMs"])));
    return {
        bench: "hosts",
        rows,
        targets: [
            reports.atMost("idle host, ms of processor time a second", worst("idle"), idleTargetMs),
            reports.atMost("start, ms of processor time", worst("start"), startTargetMs),
        ],
    };
}
