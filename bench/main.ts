/** Runs one bench, prints its report and writes it to `bench/results`: `npm run bench -- NAME [--json]`. */
import * as citty from "citty";
import * as fs from "node:fs";
import * as control from "./control.js";
import * as failover from "./failover.js";
import * as hosts from "./hosts.js";
import * as organisations from "./organisations.js";
import * as path from "./path.js";
import * as quota from "./quota.js";
import * as replicas from "./replicas.js";
import type * as reports from "./report.js";

const benches: Readonly<Record<string, () => Promise<reports.Report>>> = {
    path: path.run,
    failover: failover.run,
    replicas: replicas.run,
    organisations: organisations.run,
    quota: quota.run,
    control: control.run,
    hosts: hosts.run,
};
const resultsDirectory = "bench/results";

async function run(name: string, json: boolean): Promise<void> {
    const bench = benches[name];
    if (bench === undefined) {
        console.error(`Unknown bench ${name}; available benches: ${Object.keys(benches).join(", ")}.`);
        process.exitCode = 1;
        return;
    }
    const report = await bench();
    fs.mkdirSync(resultsDirectory, { recursive: true });
    fs.writeFileSync(`${resultsDirectory}/${name}.json`, `${JSON.stringify(report, undefined, 4)}\n`);
    if (json) {
        console.log(JSON.stringify(report));
    }
    else {
        console.table(report.rows);
        console.table(report.targets);
    }
    process.exit(0);
}

const command = citty.defineCommand({
    meta: { name: "bench", description: "Measures hyssophatch against a simulated platform and simulated endpoints" },
    args: {
        name: { type: "positional", required: true, description: Object.keys(benches).join(", ") },
        json: { type: "boolean", default: false, description: "Print the report as one line of JSON" },
    },
    run: ({ args }) => run(args.name, args.json),
});

void citty.runMain(command);
