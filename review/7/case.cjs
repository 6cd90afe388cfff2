/** Three tenants, of which one has a name that is not ASCII, read at the same instance. */
"use strict";
const { play, sleep } = require("../harness-2/world.cjs");

const tenant = (name, key) => ({ name, api_keys: [key], rate_per_s: 100, burst: 100 });
const first = tenant("Aucja", "key-of-aucja");

play(__dirname, { hosts: 2, tenants: [first], rowsOf: item => [`data-of-${item}`] }, async (world, trouble) => {
    const second = tenant(trouble ? "\u0141ucja" : "Bucja", "key-of-the-other");
    const third = tenant(trouble ? "Bra\u0219ov" : "Brasov", "key-of-the-third");
    world.configure({ tenants: [first, second, third] });
    await sleep(4_000);
    const holders = [first, second, third];
    const sent = new Map();
    let refused = 0;
    for (const machine of [0, 1]) {
        for (const database of ["orders", "catalogue"]) {
            for (const { name, api_keys: [key] } of holders) {
                const session = await world.connect(machine, database, key);
                const answer = await session?.ask("READ 1a4");
                world.note(`key of ${name} on ${database}: ${answer?.id} ${answer?.text}`);
                sent.set(answer?.id, name);
                refused += answer?.outcome === "ok" ? 0 : 1;
                session?.close();
            }
        }
    }
    const foreign = world.runs.filter(run => sent.has(run.id) && run.tenant !== sent.get(run.id));
    foreign.forEach(run => world.note(`UNASKED: ${run.id} of ${sent.get(run.id)} ran at ${run.instance} for ${run.tenant}`));
    world.note(`${world.runs.length} runs, ${foreign.length} of them for another tenant; ${refused} not served`);
    return foreign.length > 0 ? 1 : refused === 0 ? 0 : 2;
});
