/** The worst-served organisation while one sends five times its rate, arrival is skewed, and hosts are lost. */
import type mysql from "mysql2/promise";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const hosts = 9;
const ratePerSecond = 60;
const burst = 60;
const quietShare = 0.8;
const surgeFactor = 5;
const phaseMs = 10_000;
const tickMs = 10;
const rateCode = "HP1101";

/** What an organisation's statements met, and how long the phase took until the last was answered. */
interface Tally {
    elapsedMs: number;
    sent: number;
    refused: number;
    failed: number;
    readonly latencies: number[];
}

interface Sender {
    readonly organisation: string;
    readonly connections: readonly mysql.Connection[];
}

/** Connections lost with a host are passed over. */
async function send(sender: Sender, sequence: number, tally: Tally): Promise<void> {
    const skewed = Math.floor(sender.connections.length * ((sequence * 7_919 % 1_000) / 1_000) ** 2);
    const connection = sender.connections[skewed];
    const startMs = performance.now();
    tally.sent += 1;
    const failure = await connection?.query("SELECT 1").then(() => undefined, (thrown: Error) => thrown.message);
    if (failure === undefined) {
        tally.latencies.push(performance.now() - startMs);
    }
    else if (failure.includes(rateCode)) {
        tally.refused += 1;
    }
    else {
        tally.failed += 1;
    }
}

async function runPhase(
    senders: readonly Sender[],
    rate: (organisation: string) => number,
    during?: () => Promise<void>,
): Promise<ReadonlyMap<string, Tally>> {
    const tallies = new Map(
        senders.map(
            sender => [sender.organisation, { elapsedMs: 0, sent: 0, refused: 0, failed: 0, latencies: [] } as Tally],
        ),
    );
    const pending: Promise<void>[] = [];
    const startMs = performance.now();
    const disturbance = during?.();
    while (performance.now() - startMs < phaseMs) {
        for (const sender of senders) {
            const tally = tallies.get(sender.organisation) as Tally;
            const due = (performance.now() - startMs) * rate(sender.organisation) / 1_000;
            while (tally.sent < due) {
                pending.push(send(sender, tally.sent, tally));
            }
        }
        await new Promise(resolve => setTimeout(resolve, tickMs));
    }
    await Promise.all(pending);
    tallies.forEach(tally => {
        tally.elapsedMs = performance.now() - startMs;
    });
    await disturbance;
    return tallies;
}

function summarise(
    phase: string,
    tallies: ReadonlyMap<string, Tally>,
    noisy: string,
): reports.Row & { readonly worstP99Ms: number; readonly wrongful: number; readonly excess: number } {
    const quiet = [...tallies].filter(([organisation]) => organisation !== noisy).map(([, tally]) => tally);
    const loud = tallies.get(noisy) as Tally;
    return {
        phase,
        worstP99Ms: reports.round(Math.max(...quiet.map(tally => reports.quantile(tally.latencies, 0.99)))),
        worstSuccess: reports.round(Math.min(...quiet.map(tally => tally.latencies.length / tally.sent))),
        wrongful: quiet.reduce((sum, tally) => sum + tally.refused, 0),
        failed: quiet.reduce((sum, tally) => sum + tally.failed, 0),
        noisySent: loud.sent,
        noisyServed: loud.latencies.length,
        excess: Math.max(0, loud.latencies.length - burst - ratePerSecond * loud.elapsedMs / 1_000),
    };
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const topology = { ...worlds.fraser, ratePerSecond, burst };
    const cluster = await clusters.createCluster({ topology, hosts, seed: 9 });
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const database = topology.databases[0] ?? "";
    const [noisy] = topology.organisations;
    const senders = await Promise.all(topology.organisations.map(async organisation => ({
        organisation,
        connections: await Promise.all(
            cluster.hosts.slice(0, hosts - 1).map(host => cluster.connect(host, organisation, database)),
        ),
    })));
    const calm = (): number => ratePerSecond * quietShare;
    const surge = (organisation: string): number => ratePerSecond * (organisation === noisy ? surgeFactor : quietShare);
    await runPhase(senders, calm);
    const rows = [
        summarise("quiet", await runPhase(senders, calm), noisy ?? ""),
        summarise("one at five times its rate", await runPhase(senders, surge), noisy ?? ""),
        summarise(
            "the same, a host lost",
            await runPhase(senders, surge, async () => {
                await new Promise(resolve => setTimeout(resolve, phaseMs / 4));
                await cluster.hosts.pop()?.close();
            }),
            noisy ?? "",
        ),
    ];
    await cluster.close();
    const [quiet, loud, lossy] = rows;
    return {
        bench: "organisations",
        rows,
        targets: [
            reports.atMost("excess of the noisy organisation, statements", Math.max(...rows.map(row => row.excess)), 0),
            reports.atMost("wrongful refusals, all hosts up", (quiet?.wrongful ?? 0) + (loud?.wrongful ?? 0), 0),
            reports.atMost("wrongful refusals, a host lost", lossy?.wrongful ?? Infinity, 0),
            reports.atMost(
                "others' p99 against quiet",
                (loud?.worstP99Ms ?? Infinity) / Math.max(1e-3, quiet?.worstP99Ms ?? 0),
                1.5,
            ),
        ],
    };
}
