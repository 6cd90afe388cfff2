/** Runs one case: prepares the record, catches what keeps the case from running, ends every process, sets the status. */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createRecord, createWorld, disturbed } from "./world.mjs";

const status = { broken: 1, held: 0, failed: 2 };
const readyTimeoutMs = 25_000;

/** A reason for which the case says nothing. */
export class CannotRun extends Error {}

/**
 * `play` gets the world and the record, and resolves to the list of breaches of the rule. With `startsHosts` it starts the
 * hosts itself.
 */
export async function runCase(url, rule, options, play) {
    const note = createRecord(path.dirname(fileURLToPath(url)));
    note(`rule ${rule}, with${disturbed ? "" : "out"} the disruption`);
    let world;
    let code = status.failed;
    const end = async () => {
        await world?.close();
        process.exit(code);
    };
    process.on("SIGTERM", () => {
        note("the case takes too long");
        void end();
    });
    try {
        world = await createWorld({ ...options, note });
        if (options.startsHosts !== true) {
            world.startHosts();
            if (!await world.waitReady(readyTimeoutMs)) {
                throw new CannotRun("the hosts don't get ready");
            }
            note("all hosts are ready");
        }
        const breaches = await play(world, note);
        breaches.slice(0, 50).forEach(breach => note(`BREACH ${breach}`));
        note(`${rule}: ${breaches.length === 0 ? "held" : `broken, ${breaches.length} breaches`}`);
        process.stdout.write(`${rule}: ${breaches.length === 0 ? "held" : `broken (${breaches.length})`}\n`);
        code = breaches.length === 0 ? status.held : status.broken;
    }
    catch (thrown) {
        note(`the case couldn't run: ${thrown.stack ?? thrown}`);
        process.stderr.write(`The case couldn't run: ${thrown.message ?? thrown}\n`);
    }
    await end();
}
