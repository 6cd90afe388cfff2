/**
 * The main job on stand-ins: three hosts in two regions, eight organisations, a primary lost, a host
 * killed and a key withdrawn while load runs. Fails when a promise is broken.
 */
import mysql from "mysql2/promise";
import * as audits from "./audit.js";
import * as fleets from "./fleet.js";
import * as loads from "./load.js";
import * as worlds from "./world.js";

const table = "demo_order";
const quietMs = 3_000;
const afterKillMs = 6_000;
const afterHostMs = 5_000;
const afterWithdrawMs = 3_000;
const withdrawBoundMs = 5_000;
const failoverBoundMs = 17_000;

const places = [
    { region: "ro-nord", failureDomain: "cluj-a" },
    { region: "ro-nord", failureDomain: "cluj-b" },
    { region: "ro-sud", failureDomain: "buc-a" },
];
const say = (text: string): void => console.log(`demo: ${text}`);
const rest = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

async function createTables(fleet: fleets.Fleet): Promise<void> {
    for (const database of fleet.topology.databases) {
        const connection = await connect(fleet, "cluj", database);
        await connection.query(`CREATE TABLE IF NOT EXISTS ${table} (id VARCHAR(64), organisation VARCHAR(32))`);
        await connection.end();
    }
}

function connect(fleet: fleets.Fleet, organisation: string, database: string): Promise<mysql.Connection> {
    const port = fleet.hosts.find(host => !host.exited())?.callersPort ?? 0;
    return mysql.createConnection({
        host: "127.0.0.1",
        port,
        user: organisation,
        password: worlds.key(organisation),
        database,
    });
}

/** Time until an open connection of the organisation is refused, in milliseconds. */
async function measureWithdrawal(fleet: fleets.Fleet, organisation: string): Promise<number> {
    const connection = await connect(fleet, organisation, "orders");
    connection.on("error", () => undefined);
    await audits.withdraw(fleet.platform, organisation);
    const startMs = performance.now();
    while (performance.now() - startMs < withdrawBoundMs * 2) {
        const alive = await connection.query("SELECT 1").then(() => true, () => false);
        if (!alive) {
            break;
        }
        await rest(20);
    }
    connection.destroy();
    return performance.now() - startMs;
}

async function run(): Promise<boolean> {
    say("starting stand-ins and three hosts in two regions");
    const fleet = await fleets.createFleet({ user: "roata", topology: {}, places });
    await createTables(fleet);
    const load = loads.createLoad({
        ports: () => fleet.hosts.filter(host => !host.exited()).map(host => host.callersPort),
        organisations: fleet.topology.organisations,
        databases: fleet.topology.databases,
        callersPerOrganisation: 2,
        restMs: 10,
        readsPerWrite: 3,
        seed: 1,
        roaming: true,
        table,
    });
    await rest(quietMs);
    const killed = await fleet.set({ action: "kill", database: "orders", endpoint: "primary", value: 1 });
    say(`primary ${killed} of orders is lost`);
    await rest(afterKillMs);
    fleet.hosts[1]?.signal("SIGKILL");
    say("host-1 is killed");
    await rest(afterHostMs);
    const withdrawnMs = await measureWithdrawal(fleet, "turda");
    say(`key of turda is withdrawn; an open connection was refused after ${Math.round(withdrawnMs)} ms`);
    await rest(afterWithdrawMs);
    await load.stop();
    const account = load.account();
    const verdict = await audits.audit(fleet.platform, table, account.acknowledged);
    const share = await audits.replicaShare(
        fleet.hosts.filter(host => !host.exited()).map(host => host.operationsPort),
    );
    await fleet.stop();
    const refused = [...account.refused.values()].reduce((sum, count) => sum + count, 0);
    const gapMs = audits.longestGapMs("orders", account.acknowledged);
    say(`refusals by code ${JSON.stringify([...account.refused])}, driver errors ${
        JSON.stringify([...account.errors])
    }, outcome unknown ${account.unknown}`);
    console.log(
        `demo: acknowledged=${account.acknowledged.length} lost=${verdict.lost} doubled=${verdict.doubled} stale=${account.stale}`
            + ` refused=${refused} failoverGapMs=${gapMs} replicaReadShare=${share.toFixed(3)}`,
    );
    const kept = verdict.lost === 0 && verdict.doubled === 0 && account.stale === 0;
    return kept && account.acknowledged.length > 0 && gapMs <= failoverBoundMs && withdrawnMs <= withdrawBoundMs;
}

process.exitCode = await run() ? 0 : 1;
