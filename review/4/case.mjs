/** Session values after a lost packet: a set-up that is answered late is noted with the values of a later moment. */
import * as net from "node:net";
import * as path from "node:path";
import { createRecord, sleep, startWorld } from "../lib/world.mjs";

const trouble = process.env.TROUBLE !== "0";
const runMs = 60_000;
/** Of the packets between a zone and the others, and for how long at a time: the largest dose of `lossy`. */
const lossShare = 0.025;
const lossMs = 5_500;
const pauseMs = 4_500;
/** A sender repeats a packet that isn't acknowledged after 200 ms at the earliest (Linux). */
const resendMs = 220;
/** The zone whose links to the others lose packets. The hosts are there, and the instances in the others. */
const lossyZone = "iasi-a";
const sessions = 12;
const readsPerValue = 4;

const record = createRecord(path.join(import.meta.dirname, "record.txt"));
const random = (seed => () => {
    seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
    return seed / 2 ** 31;
})(Number(process.env.SEED ?? Date.now() % 1_000_000));
let lossy = false;
let lost = 0;

/** A link that loses packets: what is sent next on the connection waits until the lost packet has been sent again. */
async function through(address) {
    const [host, port] = address.split(":");
    const server = net.createServer(near => {
        const far = net.connect({ host, port: Number(port), noDelay: true });
        near.setNoDelay(true);
        for (const [from, to] of [[near, far], [far, near]]) {
            let order = Promise.resolve();
            from.on("data", chunk => {
                const isLost = lossy && random() < lossShare;
                lost += isLost ? 1 : 0;
                order = order.then(async () => {
                    if (isLost) {
                        await sleep(resendMs);
                    }
                    to.write(chunk);
                });
            });
            from.on("end", () => void order.then(() => to.end()));
            from.on("error", () => to.destroy());
            from.on("close", () => void order.then(() => to.destroy()));
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    server.unref();
    return `127.0.0.1:${server.address().port}`;
}

/** By request id: the values that were acknowledged to its client, and whether the client still waits for the answer. */
const sent = new Map();
const seenRuns = new Map();
const counts = { reads: 0, answered: 0, runs: 0, broken: 0 };

function inspect(instance) {
    const from = seenRuns.get(instance.id) ?? 0;
    instance.runs.slice(from).forEach(run => {
        counts.runs += 1;
        const request = sent.get(run.id);
        const ran = JSON.stringify(run.values);
        record.line(`run ${run.id} ${run.text} at ${instance.id} with ${ran} client has ${request?.values}`);
        // A second copy of a read that has been answered is not judged.
        if (request !== undefined && request.waiting && ran !== request.values) {
            counts.broken += 1;
            record.line(`BROKEN PINNED: ${run.id} ran at ${instance.id} with ${ran}; acknowledged was ${request.values}`);
        }
    });
    seenRuns.set(instance.id, instance.runs.length);
}

async function client(world, number, untilMs) {
    let session;
    let acknowledged;
    for (let value = 0; performance.now() < untilMs; value += 1) {
        if (session === undefined) {
            session = await world.connect(number % 3, "catalogue", "key-of-nypu");
            if (session === undefined) {
                await sleep(200);
                continue;
            }
        }
        const text = `v${number}-${value}`;
        const set = await session.ask(`SET search ${text}`).answer;
        if (!set[0].startsWith("COMPLETE")) {
            session.close();
            session = undefined;
            continue;
        }
        acknowledged = JSON.stringify({ search: text });
        for (let read = 0; read < readsPerValue && session !== undefined; read += 1) {
            const { id, answer } = session.ask(`READ ${(number * 7 + read) % 50}`);
            const entry = { values: acknowledged, waiting: true };
            sent.set(id, entry);
            counts.reads += 1;
            const lines = await answer;
            // The runs until now are judged while the client still waits.
            world.running.forEach(({ instance }) => inspect(instance));
            entry.waiting = false;
            record.line(`answer ${id} ${lines.join(" | ")}`);
            if (lines[lines.length - 1] === "closed") {
                session = undefined;
            }
            else {
                counts.answered += 1;
                await sleep(10);
            }
        }
    }
    session?.close();
}

const world = await startWorld({ through, hostZones: [lossyZone] });
let status = 2;
if (await world.waitUntilReady()) {
    const untilMs = performance.now() + runMs;
    const clients = Promise.all(Array.from({ length: sessions }, (_, number) => client(world, number, untilMs)));
    while (performance.now() < untilMs) {
        lossy = trouble;
        record.line(`links lose packets: ${lossy}`);
        await sleep(lossMs);
        lossy = false;
        record.line("links lose packets: false");
        await sleep(pauseMs);
    }
    await clients;
    const summary = `reads ${counts.reads} answered ${counts.answered} runs ${counts.runs} lost packets ${lost} broken ${counts.broken}`;
    record.line(summary);
    process.stdout.write(`${summary}\n`);
    status = counts.broken > 0 ? 1 : counts.answered > 500 ? 0 : 2;
}
await world.close();
await record.end();
process.exit(status);
