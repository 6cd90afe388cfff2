/** Latency and throughput through the proxy, compared with direct connections to an endpoint in the same run. */
import * as hdr from "hdr-histogram-js";
import mysql from "mysql2/promise";
import * as grpc from "../src/adapters/grpc.js";
import * as messages from "../src/ports/messages.js";
import * as fleets from "../standins/fleet.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const runMs = 4_000;
const warmUpMs = 1_000;
const microsecondsPerMillisecond = 1_000;
/** Length of the result code that an error message starts with, in characters. */
const resultCodeLength = 6;
const connectionCounts = [1, 64, 1_000] as const;
const database = "orders";
const locations = [
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

/** Where and as whom to connect; the connections are spread evenly over the ports. */
interface Login {
    readonly ports: readonly number[];
    readonly user: string;
    readonly password: string;
    readonly database: string | undefined;
}

interface Measurement {
    readonly perSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly errors: number;
}

/** Runs statements on the number of connections, each sending its next one when the last was answered. */
async function measure(login: Login, count: number): Promise<Measurement> {
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
    let completed = 0;
    await Promise.all(connections.map(async connection => {
        while (performance.now() - startMs < warmUpMs + runMs) {
            const sentMs = performance.now();
            const failure = await connection.query("SELECT 1 AS one").then(
                () => undefined,
                (thrown: Error) => thrown.message.slice(0, resultCodeLength),
            );
            if (failure !== undefined) {
                failures.set(failure, (failures.get(failure) ?? 0) + 1);
                await new Promise(resolve => setTimeout(resolve, 1));
            }
            if (sentMs - startMs >= warmUpMs) {
                histogram.recordValue(
                    Math.max(1, Math.round((performance.now() - sentMs) * microsecondsPerMillisecond)),
                );
                completed += failure === undefined ? 1 : 0;
            }
        }
    }));
    connections.forEach(connection => connection.destroy());
    failures.forEach((count, message) => console.error(`${count} statements failed: ${message}`));
    const errors = [...failures.values()].reduce((sum, count) => sum + count, 0);
    return {
        perSecond: Math.round(completed * 1_000 / runMs),
        p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
        p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
        errors,
    };
}

/** Port of a replica of the database; 0 if there is none. */
async function findReplicaPort(platform: string): Promise<number> {
    const network = grpc.createNetwork();
    const reply = await network.openChannel(platform).call(messages.platform.groups, { after: 0, waitMs: 0 }, runMs);
    network.close();
    const group = reply._unsafeUnwrap().groups.find(entry => entry.database === database);
    return group?.endpoints.find(endpoint => endpoint.id !== group.primary)?.port ?? 0;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    const comparisons: { p50: number; p99: number; perHost: number }[] = [];
    for (const hosts of [1, 3]) {
        const settings = { logLevel: "warn" };
        const fleet = await fleets.createFleet({
            user: "roata",
            topology,
            places: locations.slice(0, hosts),
            settings,
        });
        const replicaPort = await findReplicaPort(fleet.platform);
        await new Promise(resolve => setTimeout(resolve, warmUpMs * 8));
        for (const connections of connectionCounts) {
            const direct = await measure({ ports: [replicaPort], ...worlds.account, database: undefined }, connections);
            const ports = fleet.hosts.map(host => host.callersPort);
            const proxied = await measure({ ports, user: "cluj", password: worlds.key("cluj"), database }, connections);
            rows.push({ hosts, connections, via: "direct", ...direct }, {
                hosts,
                connections,
                via: "proxy",
                ...proxied,
            });
            comparisons.push({
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
            reports.atMost("p50 added at 1 connection, 1 host, ms", comparisons[0]?.p50 ?? Infinity, 1),
            reports.atMost("p99 added at 1 connection, 1 host, ms", comparisons[0]?.p99 ?? Infinity, 5),
            reports.atLeast(
                "statements/s per host, best of all runs",
                Math.max(...comparisons.map(entry => entry.perHost)),
                12_000,
            ),
        ],
    };
}
