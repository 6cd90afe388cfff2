/** The gap in service when a primary is killed, cut from its replicas, or frozen, at both users' sizes and delays. */
import type mysql from "mysql2/promise";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const roundsPerUser = 10;
const retryMs = 20;
const quietMs = 2_500;
const limitMs = 17_000;
const aimMs = 2_000;
const modes = ["kill", "cut", "freeze"] as const;

/** Writes without pause until stopped; returns when each write was acknowledged. */
function write(connection: mysql.Connection, times: number[]): { stop(): Promise<void> } {
    let stopped = false;
    const running = (async () => {
        for (let order = 0; !stopped; order += 1) {
            const sql = `INSERT INTO bench (id, organisation) VALUES ('${order}', 'x')`;
            const good = await connection.query(sql).then(() => true, () => false);
            if (good) {
                times.push(performance.now());
            }
            await new Promise(resolve => setTimeout(resolve, good ? 1 : retryMs));
        }
    })();
    return {
        stop() {
            stopped = true;
            return running;
        },
    };
}

async function measureRound(
    cluster: clusters.Cluster,
    database: string,
    mode: typeof modes[number],
    times: number[],
): Promise<number> {
    const group = cluster.world.group(database);
    const primary = group.members.find(member => member.replica.isPrimary() && member.alive());
    if (primary === undefined) {
        throw new Error(`Database ${database} has no primary.`);
    }
    const from = times.length - 1;
    if (mode === "kill") {
        primary.kill();
    }
    if (mode === "cut") {
        group.cut(primary.id, true);
    }
    if (mode === "freeze") {
        primary.freeze(true);
    }
    const brokenMs = performance.now();
    await clusters.eventually("writes go on", limitMs * 2, () => (times[times.length - 1] ?? 0) > brokenMs + aimMs / 4);
    await new Promise(resolve => setTimeout(resolve, quietMs / 2));
    const seen = times.slice(Math.max(0, from));
    const gap = Math.max(...seen.slice(1).map((time, index) => time - (seen[index] ?? time)));
    primary.freeze(false);
    group.cut(primary.id, false);
    if (!primary.alive()) {
        await primary.revive();
    }
    await new Promise(resolve => setTimeout(resolve, quietMs));
    return gap;
}

async function measureUser(topology: worlds.Topology, rows: reports.Row[]): Promise<readonly number[]> {
    const cluster = await clusters.createCluster({
        topology: { ...topology, ratePerSecond: 10_000, burst: 10_000 },
        hosts: 6,
        delays: true,
        seed: 3,
    });
    const database = topology.databases[0] ?? "";
    const entry = cluster.hosts.find(host => host.id !== cluster.owner(database)?.id) ?? cluster.hosts[0];
    const connection = await cluster.connect(
        entry as NonNullable<typeof entry>,
        topology.organisations[0] ?? "",
        database,
    );
    await clusters.eventually(
        "the table exists",
        limitMs,
        () =>
            connection.query("CREATE TABLE IF NOT EXISTS bench (id VARCHAR(64), organisation VARCHAR(32))").then(
                () => true,
                () => false,
            ),
    );
    const times: number[] = [];
    const writer = write(connection, times);
    await new Promise(resolve => setTimeout(resolve, quietMs));
    const gaps: number[] = [];
    for (let round = 0; round < roundsPerUser; round += 1) {
        const mode = modes[round % modes.length] ?? "kill";
        const gapMs = await measureRound(cluster, database, mode, times);
        rows.push({ user: topology.storeRegion, mode, gapMs: Math.round(gapMs) });
        gaps.push(gapMs);
    }
    await writer.stop();
    await cluster.close();
    return gaps;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    const gaps = [...await measureUser(worlds.roata, rows), ...await measureUser(worlds.fraser, rows)];
    return {
        bench: "failover",
        rows,
        targets: [
            reports.atMost("median gap of 20, ms", reports.quantile(gaps, 0.5), aimMs),
            reports.atMost("worst gap of 20 against the aim, ms", Math.max(...gaps), aimMs),
            reports.atMost("worst gap of 20 against the limit, ms", Math.max(...gaps), limitMs),
        ],
    };
}
