/** Steps that callers take. */
import * as chai from "chai";
import mysql from "mysql2/promise";
import * as loads from "../../standins/load.js";
import * as worlds from "../../standins/world.js";
import * as stages from "../stage.js";

const table = "orders";
const retryMs = 50;
/** Time for the set-up of a scenario, which has no bound of its own. */
const tableBoundMs = 40_000;

async function connect(
    stage: stages.Stage,
    name: string,
    organisation: string,
    key: string,
    route: string,
    port: number,
): Promise<void> {
    const startMs = performance.now();
    try {
        const connection = await mysql.createConnection({
            host: "127.0.0.1",
            port,
            user: organisation,
            password: key,
            database: route,
        });
        connection.on("error", () => undefined);
        stage.connections.set(name, connection);
        stage.closers.push(() => connection.destroy());
        stage.outcomes.set(name, { elapsedMs: performance.now() - startMs });
    }
    catch (thrown) {
        stage.outcomes.set(name, { error: String(thrown), elapsedMs: performance.now() - startMs });
    }
}

function portOf(stage: stages.Stage, host: number): number {
    const found = stage.cluster === undefined
        ? stages.fleetOf(stage).hosts.find(entry => entry.id === `host-${host}` && !entry.exited())?.callersPort
        : stage.cluster.hosts.find(entry => entry.id === `host-${host}`)?.callersPort();
    return found ?? 0;
}

/** Runs a statement on a named connection and keeps its outcome. */
export async function send(stage: stages.Stage, name: string, sql: string): Promise<stages.Outcome> {
    const startMs = performance.now();
    const connection = stage.connections.get(name);
    let outcome: stages.Outcome;
    try {
        const [rows] = await connection?.query(sql) ?? [[]];
        const elapsedMs = performance.now() - startMs;
        outcome = Array.isArray(rows)
            ? { rows: rows as Record<string, unknown>[], elapsedMs }
            : { affectedRows: (rows as mysql.ResultSetHeader).affectedRows, elapsedMs };
    }
    catch (thrown) {
        outcome = {
            error: thrown instanceof Error ? thrown.message : String(thrown),
            elapsedMs: performance.now() - startMs,
        };
    }
    stage.outcomes.set(name, outcome);
    return outcome;
}

/** Sends until it succeeds, as a caller does that heeds "not run". */
async function insist(stage: stages.Stage, name: string, sql: string): Promise<void> {
    const startMs = performance.now();
    for (;;) {
        const outcome = await send(stage, name, sql);
        if (outcome.error === undefined) {
            return;
        }
        if (performance.now() - startMs > tableBoundMs) {
            throw new Error(`${sql}: ${outcome.error}`);
        }
        await new Promise(resolve => setTimeout(resolve, retryMs));
    }
}

async function createTable(stage: stages.Stage, database: string): Promise<void> {
    const organisation = worlds.roata.databases.includes(database) ? "cluj" : "burnaby";
    await connect(stage, "setup", organisation, worlds.key(organisation), database, stages.ports(stage)[0] ?? 0);
    await insist(stage, "setup", `CREATE TABLE IF NOT EXISTS ${table} (id VARCHAR(64), organisation VARCHAR(32))`);
}

function startLoad(stage: stages.Stage, change: Partial<loads.Options>): void {
    const topology = stage.cluster?.world.topology ?? stages.fleetOf(stage).topology;
    stage.load = loads.createLoad({
        ports: () => stages.ports(stage),
        organisations: topology.organisations.slice(0, 4),
        databases: topology.databases.slice(0, 1),
        callersPerOrganisation: 2,
        restMs: 10,
        readsPerWrite: 2,
        seed: 11,
        roaming: true,
        table,
        ...change,
    });
    const { load } = stage;
    stage.closers.push(() => load.stop());
}

async function loadWithTable(stage: stages.Stage, change: Partial<loads.Options>): Promise<void> {
    const topology = stage.cluster?.world.topology ?? stages.fleetOf(stage).topology;
    await createTable(stage, topology.databases[0] ?? "");
    startLoad(stage, change);
}

/** The steps. */
export const steps: stages.Steps = {
    "a table on {word}": createTable,
    "a load of roaming sessions": stage => loadWithTable(stage, {}),
    "a load of roaming sessions at {int} callers": (stage, callers: number) =>
        loadWithTable(stage, { callersPerOrganisation: Math.ceil(callers / 4), restMs: 50 }),
    "a load of writes without reads": stage => loadWithTable(stage, { roaming: false, restMs: 5 }),
    "reads that tolerate age go to every host": async stage => {
        const cluster = stages.clusterOf(stage);
        const connections = await Promise.all(
            cluster.hosts.map(host => cluster.connect(host, "cluj", "orders-relaxed")),
        );
        let stopped = false;
        const read = async (connection: mysql.Connection): Promise<void> => {
            while (!stopped) {
                await connection.query("SELECT 1").catch(() => undefined);
                await new Promise(resolve => setTimeout(resolve, retryMs / 5));
            }
        };
        const running = connections.map(read);
        stage.closers.push(async () => {
            stopped = true;
            await Promise.all(running);
            connections.forEach(connection => connection.destroy());
        });
    },
    "the load stops": stage => stage.load?.stop(),
    "{word} connects to host {int} as {word} on {word}": (
        stage,
        name: string,
        host: number,
        organisation: string,
        route: string,
    ) => connect(stage, name, organisation, worlds.key(organisation), route, portOf(stage, host)),
    "{word} connects to host {int} as {word} with key {string} on {word}": (
        stage,
        name: string,
        host: number,
        organisation: string,
        key: string,
        route: string,
    ) => connect(stage, name, organisation, key, route, portOf(stage, host)),
    "{word} sends {string}": send,
    "{word} insists on {string}": insist,
    "{word} sends {string} meanwhile": (stage, name: string, sql: string) => {
        stage.background.push(send(stage, name, sql));
    },
    "what goes on meanwhile ends": stage => Promise.all(stage.background),
    "{word} leaves without a word": (stage, name: string) => stage.connections.get(name)?.destroy(),
    "{word} has its answer": (stage, name: string) => chai.expect(stage.outcomes.get(name)?.error).to.equal(undefined),
    "{word} is refused with {int}": (stage, name: string, code: number) =>
        chai.expect(stage.outcomes.get(name)?.error ?? "success").to.contain(`HP${code}`),
    "{word} is told {string}": (stage, name: string, text: string) =>
        chai.expect(stage.outcomes.get(name)?.error ?? "success").to.contain(text),
    "{word} sees {int} row(s)": (stage, name: string, rows: number) =>
        chai.expect(stage.outcomes.get(name)?.rows ?? stage.outcomes.get(name)?.error).to.have.length(rows),
    "{word} waited at most {int} ms": (stage, name: string, ms: number) =>
        chai.expect(stage.outcomes.get(name)?.elapsedMs).to.be.at.most(ms),
};
