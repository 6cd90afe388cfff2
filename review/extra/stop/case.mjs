/** A transaction that a host took after SIGTERM: the request in flight when the host closes is cut without an answer. */
import * as path from "node:path";
import { createRecord, sleep, startWorld } from "../../lib/world.mjs";

const trouble = process.env.TROUBLE !== "0";
/** Sessions whose transactions write at the primary, and sessions whose transactions read at a replica. */
const writers = 16;
const readers = 44;
const sessions = writers + readers;
const statements = 12;
const pauseMs = 310;
/** How long after SIGTERM the transactions begin, on sessions that were open before. */
const beginAfterMs = 1_700;
const graceMs = 6_000;
/** A request that was sent by then, and at which the instance is still at work at the end, is excused. */
const excusedUntilMs = 3_000;

const record = createRecord(path.join(import.meta.dirname, "record.txt"));
const world = await startWorld({ hosts: 2, workMs: 33, connections: 60 });
const counts = { transactions: 0, committed: 0, ended: 0, asked: 0, cut: 0 };
const cutRequests = [];
const now = () => performance.now();

async function transact(session, number, termAtMs) {
    counts.transactions += 1;
    const writes = number < writers;
    const texts = [
        writes ? "BEGIN" : "BEGIN READ",
        ...Array.from({ length: statements - 2 }, (_, at) => (writes ? `WRITE ${number} d${at}` : `READ ${number + at}`)),
        "COMMIT",
    ];
    for (const text of texts) {
        const sentMs = now();
        const { id, answer } = session.ask(text);
        counts.asked += 1;
        record.line(`send ${id} ${text} ${Math.round(sentMs - termAtMs)} ms after SIGTERM`);
        const lines = await answer;
        record.line(`answer ${id} ${lines.join(" | ")}`);
        if (lines[lines.length - 1] === "closed") {
            cutRequests.push({ id, text, sentMs, closedMs: now() });
            return;
        }
        if (lines[0].startsWith("ERROR")) {
            counts.ended += 1;
            return;
        }
        if (text === "COMMIT") {
            counts.committed += 1;
            return;
        }
        await sleep(pauseMs * (0.7 + 0.6 * Math.random()));
    }
}

let status = 2;
if (await world.waitUntilReady()) {
    await sleep(2_000);
    const open = await Promise.all(
        Array.from({ length: sessions }, (_, number) =>
            world.connect(0, number < writers ? "orders" : "catalogue", "key-of-nypu")
        ),
    );
    if (open.every(session => session !== undefined)) {
        await Promise.all(open.map((session, number) => session.ask(`READ ${number}`).answer));
        const child = world.processes[0];
        const ended = new Promise(resolve => child.once("exit", resolve));
        const termAtMs = now();
        if (trouble) {
            child.kill("SIGTERM");
            record.line("SIGTERM to edge-0");
            setTimeout(() => child.kill("SIGKILL"), graceMs);
        }
        await sleep(beginAfterMs);
        await Promise.all(open.map((session, number) => transact(session, number, termAtMs)));
        if (trouble) {
            await ended;
            record.line(`edge-0 ended ${Math.round(now() - termAtMs)} ms after SIGTERM`);
        }
        const runs = new Map(world.running.flatMap(({ instance }) => instance.runs.map(run => [run.id, instance.id])));
        const committed = new Map(world.running.flatMap(({ instance }) =>
            [...instance.signatures].map(([id, signature]) => [id, `${instance.id} ${signature}`])
        ));
        for (const { id, text, sentMs, closedMs } of cutRequests) {
            const passedOn = runs.has(id) || committed.has(id);
            const afterMs = Math.round(sentMs - termAtMs);
            record.line(`cut ${id} ${text} sent ${afterMs} ms after SIGTERM, closed ${Math.round(closedMs - sentMs)} ms later, passed on: ${passedOn}`);
            counts.cut += passedOn && afterMs > excusedUntilMs ? 1 : 0;
        }
        const summary = Object.entries(counts).map(([name, value]) => `${name} ${value}`).join(" ");
        record.line(summary);
        process.stdout.write(`${summary}\n`);
        status = counts.cut > 0 ? 1 : counts.asked > sessions ? 0 : 2;
    }
}
await world.close();
await record.end();
process.exit(status);
