/** Runs one bench: `npm run bench -- NAME [--json]`. */
import * as citty from "citty";
import * as fs from "node:fs";
import * as control from "./control.js";
import * as failover from "./failover.js";
import * as organisations from "./organisations.js";
import * as path from "./path.js";
import * as quota from "./quota.js";
import * as replicas from "./replicas.js";
import type * as report from "./report.js";

const benches: Readonly<Record<string, () => Promise<report.Report>>> = {
    path: path.run,
    failover: failover.run,
    replicas: replicas.run,
    organisations: organisations.run,
    quota: quota.run,
    control: control.run,
};
const directory = "bench/results";

async function run(name: string, json: boolean): Promise<void> {
    const bench = benches[name];
    if (bench === undefined) {
        console.error(`Bench ${name} does not exist; the benches are: ${Object.keys(benches).join(", ")}.`);
        process.exitCode = 1;
        return;
    }
    const found = await bench();
    fs.mkdirSync(directory, { recursive: true });
    fs.writeFileSync(`${directory}/${name}.json`, `${JSON.stringify(found, undefined, 4)}\n`);
    if (json) {
        console.log(JSON.stringify(found));
    }
    else {
        console.table(found.rows);
        console.table(found.targets);
    }
    process.exit(0);
}

const command = citty.defineCommand({
    meta: { name: "bench", description: "Measure hyssophatch on its stand-ins" },
    args: {
        name: { type: "positional", required: true, description: Object.keys(benches).join(", ") },
        json: { type: "boolean", default: false, description: "Print one line of JSON" },
    },
    run: ({ args }) => run(args.name, args.json),
});

void citty.runMain(command);
