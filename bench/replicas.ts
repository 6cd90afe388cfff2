/** Share of reads served by replicas under read-your-writes consistency, by replication lag and share of writes. */
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const runMs = 4_000;
const sessionCount = 32;
/** Pause of a session between two statements. */
const pauseMs = 4;
const lagsMs = [10, 50, 200] as const;
const writePercents = [1, 10, 30] as const;
const organisation = "cluj";

/** A kind of session. */
interface Mode {
    readonly name: string;
    readonly route: string;
    /** Whether sessions have names, and each statement goes to a host drawn at random. */
    readonly roaming: boolean;
}

const modes: readonly Mode[] = [
    { name: "one connection per session", route: "orders", roaming: false },
    { name: "named sessions that change hosts", route: "orders", roaming: true },
    { name: "bounded staleness, read-only sessions", route: "orders-relaxed", roaming: false },
];

/** Reads served so far by replicas and by primaries, summed over all hosts. */
async function countReads(cluster: clusters.Cluster): Promise<{ readonly replica: number; readonly primary: number }> {
    const totals = { replica: 0, primary: 0 };
    for (const host of cluster.hosts) {
        const text = await host.parts.measures.print();
        for (const match of text.matchAll(/^hyssophatch_reads_total\{.*role="(replica|primary)"\} (\d+)/gm)) {
            totals[match[1] as "replica" | "primary"] += Number(match[2]);
        }
    }
    return totals;
}

/** Runs one session; returns how many reads missed the last write of the session. */
async function runSession(
    cluster: clusters.Cluster,
    mode: Mode,
    index: number,
    writePercent: number,
    lagMs: number,
): Promise<number> {
    const connections = await Promise.all(cluster.hosts.map(host => cluster.connect(host, organisation, mode.route)));
    const rng = generators.xoroshiro128plus(lagMs * 1_000 + index);
    const sessionHint = mode.roaming ? `/* hyssophatch session=s${lagMs}-${writePercent}-${index} */ ` : "";
    const startMs = performance.now();
    let staleReads = 0;
    let lastWrittenId: string | undefined;
    for (let turn = 0; performance.now() - startMs < runMs; turn += 1) {
        const connection =
            connections[mode.roaming ? random.uniformInt(rng, 0, connections.length - 1) : index % connections.length];
        const isWrite = mode.route === "orders" && random.uniformInt(rng, 0, 99) < writePercent;
        const id = `${mode.name}-${lagMs}-${writePercent}-${index}-${turn}`;
        const sql = isWrite
            ? `${sessionHint}INSERT INTO bench (id) VALUES ('${id}')`
            : `${sessionHint}SELECT id FROM bench WHERE id = '${lastWrittenId ?? "none"}'`;
        const rows = await connection?.query(sql).then(([value]) => value, () => undefined);
        lastWrittenId = isWrite && rows !== undefined ? id : lastWrittenId;
        staleReads += !isWrite && lastWrittenId !== undefined && Array.isArray(rows) && rows.length === 0 ? 1 : 0;
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    connections.forEach(connection => connection.destroy());
    return staleReads;
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
    /** Replica shares by name of the mode, lag and percentage of writes. */
    const shares = new Map<string, number>();
    let totalStaleReads = 0;
    for (const mode of modes) {
        for (const lagMs of lagsMs) {
            for (const writePercent of mode.route === "orders" ? writePercents : [0]) {
                cluster.world.group("orders").lag(lagMs);
                const before = await countReads(cluster);
                const staleReads = await Promise.all(
                    Array.from(
                        { length: sessionCount },
                        (_, index) => runSession(cluster, mode, index, writePercent, lagMs),
                    ),
                );
                const after = await countReads(cluster);
                const replicaReads = after.replica - before.replica;
                const replicaShare = replicaReads / Math.max(1, replicaReads + after.primary - before.primary);
                totalStaleReads += staleReads.reduce((sum, count) => sum + count, 0);
                shares.set(`${mode.name}/${lagMs}/${writePercent}`, replicaShare);
                rows.push({
                    sessions: mode.name,
                    lagMs,
                    writePercent,
                    reads: replicaReads + after.primary - before.primary,
                    replicaShare: reports.round(replicaShare),
                });
            }
        }
    }
    await cluster.close();
    const shareOf = (name: string): number => shares.get(name) ?? 0;
    return {
        bench: "replicas",
        rows,
        targets: [
            reports.atLeast(
                "replica share, one connection per session, 50 ms lag, 10% writes",
                shareOf("one connection per session/50/10"),
                0.95,
            ),
            reports.atLeast(
                "replica share, sessions that change hosts, 50 ms lag, 10% writes",
                shareOf("named sessions that change hosts/50/10"),
                0.95,
            ),
            reports.atLeast(
                "replica share, bounded staleness, 50 ms lag",
                shareOf("bounded staleness, read-only sessions/50/0"),
                1,
            ),
            reports.atMost("stale reads", totalStaleReads, 0),
        ],
    };
}
