/** The daemon on a platform that has database groups with terms. */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import * as output from "../adapters/output.js";
import * as failure from "../core/failure.js";
import * as platform from "../platform/index.js";
import type * as runtime from "../ports/runtime.js";
import * as assembly from "./assembly.js";
import * as settingsFile from "./settings.js";

const flushMs = 300;

function createClock(): runtime.HostClock {
    return {
        now: () => performance.now(),
        wallClockMs: () => Date.now(),
        async sleep(ms) {
            await delay(ms);
        },
        every(ms, action) {
            const timer = setInterval(action, ms);
            return () => clearInterval(timer);
        },
        after(ms, action) {
            const timer = setTimeout(action, ms);
            return () => clearTimeout(timer);
        },
    };
}

async function run(): Promise<void> {
    const file = process.argv[2] ?? platform.settingsPath(process.env);
    const settings = settingsFile.load(file);
    if (settings.isErr()) {
        process.stderr.write(`${failure.format(settings.error)}\n`);
        process.exitCode = failure.exitStatus(settings.error.code);
        return;
    }
    const writer = output.createWriter();
    const log = output.createLog(settings.value.id, settings.value.logLevel, writer);
    const host = assembly.createHost({
        settings: settings.value,
        clock: createClock(),
        log,
        platform: count => platform.create(settings.value, log, count),
        random: Math.random,
        incarnation: `${process.pid}-${process.hrtime.bigint()}`,
    });
    const stop = (): void => {
        void host.stop().then(() => writer.flush(flushMs)).then(() => process.exit(0));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    process.on("SIGHUP", () => {
        const next = settingsFile.load(file);
        next.match(
            () => host.events.emit("settingsReloaded", { file }),
            cause => host.events.emit("settingsRejected", { file, reason: cause.message }),
        );
    });
    process.on("unhandledRejection", reason => log.error({ error: String(reason) }, "A promise failed unseen."));
    await host.start();
}

void run();
