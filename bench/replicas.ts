/** The share of reads that replicas serve while every session reads its own writes, by lag and write share. */
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const runMs = 4_000;
const sessions = 32;
const restMs = 4;
const lags = [10, 50, 200] as const;
const writeShares = [1, 10, 30] as const;
const organisation = "cluj";

/** How sessions behave. */
interface Mode {
    readonly name: string;
    readonly route: string;
    /** Sessions carry a name and move between hosts. */
    readonly roaming: boolean;
}

const modes: readonly Mode[] = [
    { name: "one connection a session", route: "orders", roaming: false },
    { name: "named sessions that roam", route: "orders", roaming: true },
    { name: "stated age, sessions that do not write", route: "orders-relaxed", roaming: false },
];

async function countReads(cluster: clusters.Cluster): Promise<{ readonly replica: number; readonly primary: number }> {
    const totals = { replica: 0, primary: 0 };
    for (const host of cluster.hosts) {
        const text = await host.parts.measures.print();
        for (const found of text.matchAll(/^hyssophatch_reads_total\{.*role="(replica|primary)"\} (\d+)/gm)) {
            totals[found[1] as "replica" | "primary"] += Number(found[2]);
        }
    }
    return totals;
}

async function runSession(
    cluster: clusters.Cluster,
    mode: Mode,
    index: number,
    writeShare: number,
    lag: number,
): Promise<number> {
    const connections = await Promise.all(cluster.hosts.map(host => cluster.connect(host, organisation, mode.route)));
    const rng = generators.xoroshiro128plus(lag * 1_000 + index);
    const hint = mode.roaming ? `/* hyssophatch session=s${lag}-${writeShare}-${index} */ ` : "";
    const startMs = performance.now();
    let stale = 0;
    let last: string | undefined;
    for (let turn = 0; performance.now() - startMs < runMs; turn += 1) {
        const connection =
            connections[mode.roaming ? random.uniformInt(rng, 0, connections.length - 1) : index % connections.length];
        const writes = mode.route === "orders" && random.uniformInt(rng, 0, 99) < writeShare;
        const id = `${mode.name}-${lag}-${writeShare}-${index}-${turn}`;
        const sql = writes
            ? `${hint}INSERT INTO bench (id) VALUES ('${id}')`
            : `${hint}SELECT id FROM bench WHERE id = '${last ?? "none"}'`;
        const rows = await connection?.query(sql).then(([value]) => value, () => undefined);
        last = writes && rows !== undefined ? id : last;
        stale += !writes && last !== undefined && Array.isArray(rows) && rows.length === 0 ? 1 : 0;
        await new Promise(resolve => setTimeout(resolve, restMs));
    }
    connections.forEach(connection => connection.destroy());
    return stale;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const topology = {
        ...worlds.fraser,
        ...{ organisations: [organisation, ...worlds.fraser.organisations], databases: ["orders"] },
    };
    const cluster = await clusters.createCluster({
        topology: { ...topology, ratePerSecond: 100_000, burst: 100_000 },
        hosts: 3,
        seed: 5,
    });
    const [host] = cluster.hosts;
    const setup = await cluster.connect(host as NonNullable<typeof host>, organisation, "orders");
    await setup.query("CREATE TABLE bench (id VARCHAR(64) PRIMARY KEY)");
    const rows: reports.Row[] = [];
    const shares = new Map<string, number>();
    let allStale = 0;
    for (const mode of modes) {
        for (const lag of lags) {
            for (const writeShare of mode.route === "orders" ? writeShares : [0]) {
                cluster.world.group("orders").lag(lag);
                const before = await countReads(cluster);
                const stale = await Promise.all(
                    Array.from({ length: sessions }, (_, index) => runSession(cluster, mode, index, writeShare, lag)),
                );
                const after = await countReads(cluster);
                const replica = after.replica - before.replica;
                const share = replica / Math.max(1, replica + after.primary - before.primary);
                allStale += stale.reduce((sum, count) => sum + count, 0);
                shares.set(`${mode.name}/${lag}/${writeShare}`, share);
                rows.push({
                    sessions: mode.name,
                    lagMs: lag,
                    writePercent: writeShare,
                    reads: replica + after.primary - before.primary,
                    replicaShare: reports.round(share),
                });
            }
        }
    }
    await cluster.close();
    const figure = (name: string): number => shares.get(name) ?? 0;
    return {
        bench: "replicas",
        rows,
        targets: [
            reports.atLeast(
                "replica share, connections, 50 ms lag, 10% writes",
                figure("one connection a session/50/10"),
                0.95,
            ),
            reports.atLeast(
                "replica share, roaming, 50 ms lag, 10% writes",
                figure("named sessions that roam/50/10"),
                0.95,
            ),
            reports.atLeast(
                "replica share with a stated age, 50 ms lag",
                figure("stated age, sessions that do not write/50/0"),
                1,
            ),
            reports.atMost("stale reads", allStale, 0),
        ],
    };
}
