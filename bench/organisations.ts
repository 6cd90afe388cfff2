/**
 * Isolation between organisations: latency and refusals of the others while one sends five times its rate, with load
 * spread unevenly over the hosts, and while a host is stopped.
 */
import type mysql from "mysql2/promise";
import * as clusters from "../standins/cluster.js";
import * as worlds from "../standins/world.js";
import * as reports from "./report.js";

const hosts = 9;
const ratePerSecond = 60;
const burst = 60;
/** Share of its rate that an organisation sends under normal load. */
const normalLoadShare = 0.8;
const overloadFactor = 5;
const phaseMs = 10_000;
const sendIntervalMs = 10;
/** Result code of a statement refused because its organisation exceeds its rate. */
const rateExceededCode = "HP1101";

/** Results of the statements of one organisation in one phase. */
interface Outcome {
    /** Time from the start of the phase until the last statement was answered. */
    elapsedMs: number;
    sent: number;
    /** Statements refused because the organisation exceeded its rate. */
    refused: number;
    /** Statements that failed for any other reason. */
    failed: number;
    /** Latencies of the served statements, in milliseconds. */
    readonly latencies: number[];
}

/** An organisation with one connection to each host that it uses. */
interface Client {
    readonly organisation: string;
    readonly connections: readonly mysql.Connection[];
}

/** Sends one statement over a connection drawn from the sequence number; the first hosts are drawn most often. */
async function send(client: Client, sequence: number, outcome: Outcome): Promise<void> {
    const index = Math.floor(client.connections.length * ((sequence * 7_919 % 1_000) / 1_000) ** 2);
    const connection = client.connections[index];
    const startMs = performance.now();
    outcome.sent += 1;
    const failure = await connection?.query("SELECT 1").then(() => undefined, (thrown: Error) => thrown.message);
    if (failure === undefined) {
        outcome.latencies.push(performance.now() - startMs);
    }
    else if (failure.includes(rateExceededCode)) {
        outcome.refused += 1;
    }
    else {
        outcome.failed += 1;
    }
}

/** Lets all clients send at their rates for one phase, with a fault injected meanwhile if one is given. */
async function runPhase(
    clients: readonly Client[],
    rate: (organisation: string) => number,
    injectFault?: () => Promise<void>,
): Promise<ReadonlyMap<string, Outcome>> {
    const outcomes = new Map(
        clients.map(
            client => [client.organisation, { elapsedMs: 0, sent: 0, refused: 0, failed: 0, latencies: [] } as Outcome],
        ),
    );
    const pending: Promise<void>[] = [];
    const startMs = performance.now();
    const faultInjected = injectFault?.();
    while (performance.now() - startMs < phaseMs) {
        for (const client of clients) {
            const outcome = outcomes.get(client.organisation) as Outcome;
            const due = (performance.now() - startMs) * rate(client.organisation) / 1_000;
            while (outcome.sent < due) {
                pending.push(send(client, outcome.sent, outcome));
            }
        }
        await new Promise(resolve => setTimeout(resolve, sendIntervalMs));
    }
    await Promise.all(pending);
    outcomes.forEach(outcome => {
        outcome.elapsedMs = performance.now() - startMs;
    });
    await faultInjected;
    return outcomes;
}

/**
 * Summarises a phase. `wrongful` counts refusals of organisations that stayed within their rates, `excess` the
 * statements served to the noisy organisation beyond its rate and burst.
 */
function summarise(
    phase: string,
    outcomes: ReadonlyMap<string, Outcome>,
    noisyOrganisation: string,
): reports.Row & { readonly worstP99Ms: number; readonly wrongful: number; readonly excess: number } {
    const others = [...outcomes].filter(([organisation]) => organisation !== noisyOrganisation).map(([, outcome]) =>
        outcome
    );
    const noisy = outcomes.get(noisyOrganisation) as Outcome;
    return {
        phase,
        worstP99Ms: reports.round(Math.max(...others.map(outcome => reports.quantile(outcome.latencies, 0.99)))),
        worstSuccess: reports.round(Math.min(...others.map(outcome => outcome.latencies.length / outcome.sent))),
        wrongful: others.reduce((sum, outcome) => sum + outcome.refused, 0),
        failed: others.reduce((sum, outcome) => sum + outcome.failed, 0),
        noisySent: noisy.sent,
        noisyServed: noisy.latencies.length,
        excess: Math.max(0, noisy.latencies.length - burst - ratePerSecond * noisy.elapsedMs / 1_000),
    };
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const topology = { ...worlds.fraser, ratePerSecond, burst };
    const cluster = await clusters.createCluster({ topology, hosts, seed: 9 });
    await new Promise(resolve => setTimeout(resolve, 3_000));
    const database = topology.databases[0] ?? "";
    const [noisyOrganisation] = topology.organisations;
    const clients = await Promise.all(topology.organisations.map(async organisation => ({
        organisation,
        connections: await Promise.all(
            // The last host is stopped in the last phase.
            cluster.hosts.slice(0, hosts - 1).map(host => cluster.connect(host, organisation, database)),
        ),
    })));
    const normalRate = (): number => ratePerSecond * normalLoadShare;
    const overloadRate = (organisation: string): number =>
        ratePerSecond * (organisation === noisyOrganisation ? overloadFactor : normalLoadShare);
    await runPhase(clients, normalRate);
    const rows = [
        summarise("normal load", await runPhase(clients, normalRate), noisyOrganisation ?? ""),
        summarise(
            "one organisation at five times its rate",
            await runPhase(clients, overloadRate),
            noisyOrganisation ?? "",
        ),
        summarise(
            "one organisation at five times its rate, a host stopped",
            await runPhase(clients, overloadRate, async () => {
                await new Promise(resolve => setTimeout(resolve, phaseMs / 4));
                await cluster.hosts.pop()?.close();
            }),
            noisyOrganisation ?? "",
        ),
    ];
    await cluster.close();
    const [normal, overloaded, hostStopped] = rows;
    return {
        bench: "organisations",
        rows,
        targets: [
            reports.atMost(
                "statements served beyond rate and burst of the noisy organisation",
                Math.max(...rows.map(row => row.excess)),
                0,
            ),
            reports.atMost(
                "refusals of organisations within their rates, all hosts up",
                (normal?.wrongful ?? 0) + (overloaded?.wrongful ?? 0),
                0,
            ),
            reports.atMost(
                "refusals of organisations within their rates, a host stopped",
                hostStopped?.wrongful ?? Infinity,
                0,
            ),
            reports.atMost(
                "p99 of the other organisations, ratio to normal load",
                (overloaded?.worstP99Ms ?? Infinity) / Math.max(1e-3, normal?.worstP99Ms ?? 0),
                1.5,
            ),
        ],
    };
}
