/** Latency and throughput through the proxy, against straight to the endpoint in the same run. */
import * as hdr from "hdr-histogram-js";
import mysql from "mysql2/promise";
import * as grpc from "../src/adapters/grpc.js";
import * as messages from "../src/ports/messages.js";
import * as fleets from "../standins/fleet.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const runMs = 4_000;
const warmMs = 1_000;
const microseconds = 1_000;
/** Length of a result code at the start of a message. */
const codeLength = 6;
const connectionCounts = [1, 64, 1_000] as const;
const database = "orders";
const places = [
    { region: "ro-nord", failureDomain: "cluj-a" },
    { region: "ro-nord", failureDomain: "cluj-b" },
    { region: "ro-sud", failureDomain: "buc-a" },
];
const topology = {
    slots: 64,
    connections: 2_400,
    connectMs: 0,
    lagMs: 0,
    nearMs: 0,
    farMs: 0,
    ratePerSecond: 1_000_000,
    burst: 1_000_000,
};

interface Login {
    readonly ports: readonly number[];
    readonly user: string;
    readonly password: string;
    readonly database: string | undefined;
}

interface Measured {
    readonly perSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly errors: number;
}

async function measure(login: Login, count: number): Promise<Measured> {
    const connections = await Promise.all(Array.from({ length: count }, (_, index) =>
        mysql.createConnection({
            host: "127.0.0.1",
            port: login.ports[index % login.ports.length],
            user: login.user,
            password: login.password,
            database: login.database,
        })));
    const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
    const startMs = performance.now();
    const failures = new Map<string, number>();
    let done = 0;
    await Promise.all(connections.map(async connection => {
        while (performance.now() - startMs < warmMs + runMs) {
            const fromMs = performance.now();
            const failure = await connection.query("SELECT 1 AS one").then(
                () => undefined,
                (thrown: Error) => thrown.message.slice(0, codeLength),
            );
            if (failure !== undefined) {
                failures.set(failure, (failures.get(failure) ?? 0) + 1);
                await new Promise(resolve => setTimeout(resolve, 1));
            }
            if (fromMs - startMs >= warmMs) {
                histogram.recordValue(Math.max(1, Math.round((performance.now() - fromMs) * microseconds)));
                done += failure === undefined ? 1 : 0;
            }
        }
    }));
    connections.forEach(connection => connection.destroy());
    failures.forEach((count, message) => console.error(`${count} times: ${message}`));
    const errors = [...failures.values()].reduce((sum, count) => sum + count, 0);
    return {
        perSecond: Math.round(done * 1_000 / runMs),
        p50Ms: histogram.getValueAtPercentile(50) / microseconds,
        p99Ms: histogram.getValueAtPercentile(99) / microseconds,
        errors,
    };
}

async function findEndpoint(platform: string): Promise<number> {
    const network = grpc.createNetwork();
    const reply = await network.openChannel(platform).call(messages.platform.groups, { after: 0, waitMs: 0 }, runMs);
    network.close();
    const group = reply._unsafeUnwrap().groups.find(entry => entry.database === database);
    return group?.endpoints.find(endpoint => endpoint.id !== group.primary)?.port ?? 0;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    const added: { p50: number; p99: number; perHost: number }[] = [];
    for (const hosts of [1, 3]) {
        const settings = { logLevel: "warn" };
        const fleet = await fleets.createFleet({ user: "roata", topology, places: places.slice(0, hosts), settings });
        const endpoint = await findEndpoint(fleet.platform);
        await new Promise(resolve => setTimeout(resolve, warmMs * 8));
        for (const connections of connectionCounts) {
            const direct = await measure({ ports: [endpoint], ...worlds.account, database: undefined }, connections);
            const ports = fleet.hosts.map(host => host.callersPort);
            const proxied = await measure({ ports, user: "cluj", password: worlds.key("cluj"), database }, connections);
            rows.push({ hosts, connections, via: "direct", ...direct }, {
                hosts,
                connections,
                via: "proxy",
                ...proxied,
            });
            added.push({
                p50: proxied.p50Ms - direct.p50Ms,
                p99: proxied.p99Ms - direct.p99Ms,
                perHost: proxied.perSecond / hosts,
            });
        }
        await fleet.stop();
    }
    return {
        bench: "path",
        rows,
        targets: [
            reports.atMost("p50 added at 1 connection, 1 host, ms", added[0]?.p50 ?? Infinity, 1),
            reports.atMost("p99 added at 1 connection, 1 host, ms", added[0]?.p99 ?? Infinity, 5),
            reports.atLeast(
                "statements/s a host, the best of the runs",
                Math.max(...added.map(entry => entry.perHost)),
                12_000,
            ),
        ],
    };
}
