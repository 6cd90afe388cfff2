/** Entry point of the daemon, for a platform whose database groups have terms (leadership epochs). */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import * as output from "../adapters/output.js";
import * as failure from "../core/failure.js";
import * as processorTimes from "../core/processortime.js";
import * as platform from "../platform/index.js";
import type * as runtime from "../ports/runtime.js";
import * as assembly from "./assembly.js";
import * as processorMeters from "./processormeter.js";
import * as settingsFile from "./settings.js";

/** Time limit for writing out the last log lines on shutdown. */
const flushTimeoutMs = 300;
const microsecondsPerMillisecond = 1_000;

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

function readProcessUsage(): runtime.ProcessUsage {
    const { user, system } = process.cpuUsage();
    return {
        loopBusyMs: performance.eventLoopUtilization().active,
        processorMs: (user + system) / microsecondsPerMillisecond,
        memoryBytes: process.memoryUsage.rss(),
    };
}

function createMeter(): processorMeters.Meter {
    return processorMeters.create(processorTimes.create({
        usedMs() {
            const { user, system } = process.cpuUsage();
            return (user + system) / microsecondsPerMillisecond;
        },
        atEndOfTurn: action => void setImmediate(action),
    }));
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
    const meter = settings.value.measureProcessor ? createMeter() : processorMeters.none;
    const host = assembly.createHost({
        settings: settings.value,
        clock: meter.clock(createClock()),
        log,
        platform: (count, era) => meter.platform(platform.create(settings.value, log, count, era)),
        random: Math.random,
        processUsage: readProcessUsage,
        meter,
        incarnation: `${process.pid}-${process.hrtime.bigint()}`,
    });
    const shutDown = (): void => {
        void host.stop().then(() => writer.flush(flushTimeoutMs)).then(() => process.exit(0));
    };
    process.on("SIGTERM", shutDown);
    process.on("SIGINT", shutDown);
    process.on("SIGHUP", () => {
        const reloaded = settingsFile.load(file);
        reloaded.match(
            () => host.events.emit("settingsReloaded", { file }),
            cause => host.events.emit("settingsRejected", { file, reason: cause.message }),
        );
    });
    process.on("unhandledRejection", reason => log.error({ error: String(reason) }, "Unhandled promise rejection."));
    // An error that only one session or call meets must not end the sessions of all callers.
    process.on("uncaughtException", thrown => log.error({ error: String(thrown) }, "Uncaught exception."));
    await host.start();
}

run().catch((thrown: unknown) => {
    process.stderr.write(`The host can't start: ${String(thrown)}\n`);
    process.exit(1);
});
