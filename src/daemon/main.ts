#!/usr/bin/env node
/** The daemon `hyssophatchd`: one host, from its settings file. */
import * as citty from "citty";
import * as failure from "../core/failure.js";
import * as assembly from "./assembly.js";
import * as settingsFile from "./settings.js";

async function run(file: string): Promise<void> {
    const settings = settingsFile.load(file);
    if (settings.isErr()) {
        process.stderr.write(`${failure.format(settings.error)}\n`);
        process.exitCode = failure.exitStatus(settings.error.code);
        return;
    }
    const host = assembly.createHost(settings.value);
    const stop = (): void => {
        void host.stop().then(() => process.exit(0));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await host.start();
    // Whatever the log level, whoever started this process reads its ports from this line.
    process.stdout.write(`${JSON.stringify({ started: host.addresses() })}\n`);
}

const command = citty.defineCommand({
    meta: { name: "hyssophatchd", description: "Database proxy with session consistency" },
    args: { settings: { type: "string", required: true, description: "Settings file, JSON" } },
    run: ({ args }) => run(args.settings),
});

void citty.runMain(command);
