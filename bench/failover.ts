/**
 * Interruption of writes when a primary is killed, partitioned from its replicas, or frozen, with the topologies and
 * network delays of both users.
 */
import type mysql from "mysql2/promise";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const roundsPerTopology = 10;
const retryMs = 20;
const settleMs = 2_500;
const gapLimitMs = 17_000;
const gapTargetMs = 2_000;
const faults = ["kill", "cut", "freeze"] as const;

/** Writes one row after another until stopped; appends the time of each acknowledgement to the list. */
function startWriter(connection: mysql.Connection, acknowledgedMs: number[]): { stop(): Promise<void> } {
    let stopped = false;
    const running = (async () => {
        for (let sequence = 0; !stopped; sequence += 1) {
            const sql = `INSERT INTO bench (id, organisation) VALUES ('${sequence}', 'x')`;
            const acknowledged = await connection.query(sql).then(() => true, () => false);
            if (acknowledged) {
                acknowledgedMs.push(performance.now());
            }
            await new Promise(resolve => setTimeout(resolve, acknowledged ? 1 : retryMs));
        }
    })();
    return {
        stop() {
            stopped = true;
            return running;
        },
    };
}

/** Injects one fault and removes it again; returns the longest time between two acknowledged writes, in ms. */
async function measureRound(
    cluster: clusters.Cluster,
    database: string,
    fault: typeof faults[number],
    acknowledgedMs: number[],
): Promise<number> {
    const group = cluster.world.group(database);
    const primary = group.members.find(member => member.replica.isPrimary() && member.alive());
    if (primary === undefined) {
        throw new Error(`Database ${database} has no running primary.`);
    }
    const lastBeforeFault = acknowledgedMs.length - 1;
    if (fault === "kill") {
        primary.kill();
    }
    if (fault === "cut") {
        group.cut(primary.id, true);
    }
    if (fault === "freeze") {
        primary.freeze(true);
    }
    const faultMs = performance.now();
    await clusters.eventually(
        "writes are acknowledged after the fault",
        gapLimitMs * 2,
        () => (acknowledgedMs[acknowledgedMs.length - 1] ?? 0) > faultMs + gapTargetMs / 4,
    );
    await new Promise(resolve => setTimeout(resolve, settleMs / 2));
    const timesMs = acknowledgedMs.slice(Math.max(0, lastBeforeFault));
    const gapMs = Math.max(...timesMs.slice(1).map((timeMs, index) => timeMs - (timesMs[index] ?? timeMs)));
    primary.freeze(false);
    group.cut(primary.id, false);
    if (!primary.alive()) {
        await primary.revive();
    }
    await new Promise(resolve => setTimeout(resolve, settleMs));
    return gapMs;
}

/** Measures all rounds with one topology; returns the gaps in ms and adds a row for each. */
async function measureTopology(topology: worlds.Topology, rows: reports.Row[]): Promise<readonly number[]> {
    const cluster = await clusters.createCluster({
        topology: { ...topology, ratePerSecond: 10_000, burst: 10_000 },
        hosts: 6,
        delays: true,
        seed: 3,
    });
    const database = topology.databases[0] ?? "";
    // Connects to a host that does not own the database, so that statements are forwarded to the owner.
    const host = cluster.hosts.find(candidate => candidate.id !== cluster.owner(database)?.id) ?? cluster.hosts[0];
    const connection = await cluster.connect(
        host as NonNullable<typeof host>,
        topology.organisations[0] ?? "",
        database,
    );
    await clusters.eventually(
        "the table exists",
        gapLimitMs,
        () =>
            connection.query("CREATE TABLE IF NOT EXISTS bench (id VARCHAR(64), organisation VARCHAR(32))").then(
                () => true,
                () => false,
            ),
    );
    const acknowledgedMs: number[] = [];
    const writer = startWriter(connection, acknowledgedMs);
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const gapsMs: number[] = [];
    for (let round = 0; round < roundsPerTopology; round += 1) {
        const fault = faults[round % faults.length] ?? "kill";
        const gapMs = await measureRound(cluster, database, fault, acknowledgedMs);
        rows.push({ user: topology.storeRegion, mode: fault, gapMs: Math.round(gapMs) });
        gapsMs.push(gapMs);
    }
    await writer.stop();
    await cluster.close();
    return gapsMs;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const rows: reports.Row[] = [];
    const gapsMs = [...await measureTopology(worlds.roata, rows), ...await measureTopology(worlds.fraser, rows)];
    return {
        bench: "failover",
        rows,
        targets: [
            reports.atMost("median gap of 20 failovers, ms", reports.quantile(gapsMs, 0.5), gapTargetMs),
            reports.atMost("longest gap of 20 failovers against the target, ms", Math.max(...gapsMs), gapTargetMs),
            reports.atMost("longest gap of 20 failovers against the limit, ms", Math.max(...gapsMs), gapLimitMs),
        ],
    };
}
