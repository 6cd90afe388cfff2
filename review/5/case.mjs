/** A key that moves to another tenant during a client's transaction. */
import * as path from "node:path";
import { createRecord, firstConfiguration, sleep, startWorld } from "../lib/world.mjs";

const trouble = process.env.TROUBLE !== "0";
const configApplyMs = 3_000;
const pauseMs = 1_000;
/** Time between the version that takes the key away and the one that adds it elsewhere. */
const betweenMs = 400;
const statements = 10;

const record = createRecord(path.join(import.meta.dirname, "record.txt"));
const world = await startWorld({});
let status = 2;
if (await world.waitUntilReady()) {
    await sleep(2_000);
    const session = await world.connect(1, "orders", "key-of-nypu");
    const sentAtMs = new Map();
    const answers = new Map();
    const ask = async text => {
        const { id, answer } = session.ask(text);
        sentAtMs.set(id, performance.now());
        record.line(`send ${id} ${text}`);
        const lines = await answer;
        answers.set(id, lines);
        record.line(`answer ${id} ${lines.join(" | ")}`);
        return lines;
    };
    await ask("BEGIN");
    await ask("READ 1");
    const [from, to] = firstConfiguration.tenants;
    let acknowledgedAtMs = Infinity;
    if (trouble) {
        const { version } = firstConfiguration;
        const without = { ...from, api_keys: [] };
        world.configure({ ...firstConfiguration, version: version + 3, tenants: [without, to] });
        record.line(`configuration acknowledged: the key is taken away from ${from.name}`);
        await sleep(betweenMs);
        const holder = { ...to, api_keys: [...to.api_keys, "key-of-nypu"] };
        world.configure({ ...firstConfiguration, version: version + 5, tenants: [without, holder] });
        acknowledgedAtMs = performance.now();
        record.line(`configuration acknowledged: the key is added to ${to.name}`);
    }
    for (let count = 0; count < statements; count += 1) {
        await sleep(pauseMs);
        const lines = await ask(count === statements - 1 ? "COMMIT" : `WRITE ${count} d${count}`);
        if (lines[0] === "closed" || lines[0].startsWith("ERROR")) {
            break;
        }
    }
    let broken = 0;
    let runs = 0;
    for (const { instance } of world.running) {
        for (const run of instance.runs) {
            runs += 1;
            const holder = (sentAtMs.get(run.id) ?? 0) > acknowledgedAtMs + configApplyMs ? to.name : run.organisation;
            record.line(`run ${run.id} ${run.text} at ${instance.id} for ${run.organisation}`);
            if (run.organisation !== holder) {
                broken += 1;
                record.line(`BROKEN UNASKED: ${run.id} ran for ${run.organisation}; the key is held by ${holder}`);
            }
        }
    }
    process.stdout.write(`runs ${runs} broken ${broken}\n`);
    status = broken > 0 ? 1 : runs > 0 ? 0 : 2;
}
await world.close();
await record.end();
process.exit(status);
