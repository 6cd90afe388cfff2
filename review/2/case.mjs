/** A replica that received every acknowledged commit answers slowly, and one that received nothing for a while is promoted. */
import * as path from "node:path";
import { startInstance } from "../lib/instance.mjs";
import { createRecord, service, sleep, startWorld } from "../lib/world.mjs";

const trouble = process.env.TROUBLE !== "0";
/** The largest doses of `replica_lag` with `deaf crash` and of `srv_slow`; how long before the crash both begin. */
const deafMs = 6_000;
const slowBy = 5;
const crashAfterMs = 3_000;
/** Slots and connections of an instance of `kit-ledger`; clients that send some 100 reads and 12 writes a second. */
const slots = 2;
const connections = 16;
const writers = 2;
const readers = 56;
const readPauseMs = 440;
const writePauseMs = 130;
const runMs = 14_000;

const record = createRecord(path.join(import.meta.dirname, "record.txt"));
const acknowledged = new Set();
const counts = { reads: 0, answered: 0, writes: 0, acknowledged: 0, promotions: 0, lost: 0 };

const world = await startWorld({
    connections,
    slots,
    syncReplicas: 1,
    promoteMs: 300,
    instances: id =>
        startInstance({ id, service, slots, maxConnections: connections, workMs: 16, lagMs: 60, line: record.line }),
    onPromote: (id, runs) => record.line(`promote ${id} ${runs ? 200 : 409}`),
    onLead(instance) {
        counts.promotions += 1;
        const held = new Set(instance.log().map(entry => entry.requestId));
        const missing = [...acknowledged].filter(id => !held.has(id));
        counts.lost += missing.length;
        record.line(`leads ${instance.id} with ${held.size} commits; acknowledged commits that it lacks: ${missing.length}`);
        missing.forEach(id => record.line(`BROKEN LOST: ${id} was acknowledged and isn't in the log of ${instance.id}`));
        world.running.forEach(entry => record.line(`log of ${entry.instance.id}: ${entry.instance.log().length}`));
    },
});

async function client(number, database, text, pauseMs, untilMs) {
    let session;
    while (performance.now() < untilMs) {
        session ??= await world.connect(number % 3, database, "key-of-nypu");
        if (session === undefined) {
            await sleep(200);
            continue;
        }
        const { id, answer } = session.ask(text(number));
        const isWrite = database === "orders";
        counts[isWrite ? "writes" : "reads"] += 1;
        record.line(`send ${id} ${text(number)}`);
        const lines = await answer;
        record.line(`answer ${id} ${lines.join(" | ")}`);
        if (lines[lines.length - 1] === "closed") {
            session = undefined;
        }
        else if (lines[0].startsWith("COMPLETE") || lines[0].startsWith("ROW")) {
            counts[isWrite ? "acknowledged" : "answered"] += 1;
            if (isWrite) {
                acknowledged.add(id);
            }
        }
        await sleep(pauseMs * (0.5 + Math.random()));
    }
    session?.close();
}

let status = 2;
if (await world.waitUntilReady()) {
    await sleep(2_000);
    const [primary, good, behind] = world.running.map(entry => entry.instance);
    const untilMs = performance.now() + runMs;
    const clients = [
        ...Array.from({ length: writers }, (_, at) => client(at, "orders", n => `WRITE ${n} d`, writePauseMs, untilMs)),
        ...Array.from({ length: readers }, (_, at) => client(at, at % 6 === 0 ? "catalogue" : "holds", n => `READ ${n}`, readPauseMs, untilMs)),
    ];
    await sleep(2_000);
    if (trouble) {
        behind.deafen(true);
        good.slow(slowBy);
        record.line(`${behind.id} receives nothing; ${good.id} turns slow`);
        setTimeout(() => behind.deafen(false), deafMs);
        setTimeout(() => good.slow(1), deafMs);
        await sleep(crashAfterMs);
        primary.goDark();
        record.line(`${primary.id} goes dark`);
    }
    await Promise.all(clients);
    const summary = Object.entries(counts).map(([name, value]) => `${name} ${value}`).join(" ");
    record.line(summary);
    process.stdout.write(`${summary}\n`);
    status = counts.lost > 0 ? 1 : counts.acknowledged > 0 && (counts.promotions > 0 || !trouble) ? 0 : 2;
}
await world.close();
await record.end();
process.exit(status);
