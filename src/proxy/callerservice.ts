/** The part of a host's life cycle that serves callers: listeners for them, for readiness checks and for metrics. */
import type * as lifecycles from "../daemon/lifecycle.js";
import type * as caller from "../ports/caller.js";
import type * as runtime from "../ports/runtime.js";
import * as callerDrain from "./callerdrain.js";
import * as metricsRegistry from "./metrics.js";
import type * as platforms from "./platform.js";
import type * as settingsFile from "./settings.js";
import type * as stoppingSessions from "./stoppingsession.js";

/** Settings and collaborators of the part. */
export interface Options {
    readonly settings: settingsFile.Settings;
    readonly clock: runtime.HostClock;
    platform(): platforms.Platform;
    metrics(): metricsRegistry.Metrics;
    login(): caller.Login;
    ready(): boolean;
    /** Called as the drain begins. */
    onDrain(): void;
    readonly stopping: stoppingSessions.StoppingSessions;
    /** Called once the host listens for callers. */
    onListening(listener: callerDrain.CallerListener): void;
    /** Called after the callers' connections were closed. */
    onClose(): void;
}

/** Creates the part; nothing listens until it is started. */
export function createCallerService(options: Options): lifecycles.Part {
    const { settings, clock } = options;
    let callers: callerDrain.CallerListener | undefined;
    let readiness: { close(): void } | undefined;
    let metricsServer: { close(): void } | undefined;
    return {
        name: "callers",
        async start() {
            readiness = await options.platform().listenReadiness(options.ready);
            callers = await options.platform().listenCallers(options.login());
            options.onListening(callers);
            metricsServer = await metricsRegistry.listen(
                settings.callers.host,
                settings.metricsPort,
                options.metrics(),
            );
        },
        async drain() {
            await callerDrain.drain({
                clock,
                graceMs: settings.graceMs,
                callers: () => callers,
                onStart() {
                    options.stopping.begin();
                    options.onDrain();
                },
                refuseLogins: options.stopping.refuseLogins,
            });
            options.stopping.endRequests();
        },
        close() {
            callers?.close();
            options.onClose();
            readiness?.close();
            metricsServer?.close();
        },
    };
}
