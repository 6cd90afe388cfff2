/** Implements the ports of a host for the platform: its wire protocol, its store and its promotion calls. */
import type * as runtime from "../ports/runtime.js";
import type * as storePort from "../ports/store.js";
import type * as platforms from "../proxy/platform.js";
import type * as settingsFile from "../proxy/settings.js";
import * as callers from "./callers.js";
import * as documents from "./documents.js";
import * as endpoint from "./endpoint.js";
import * as readiness from "./readiness.js";
import * as store from "./store.js";

/** Time limit of a call to the store, in milliseconds; over a hundred times its usual response time. */
const storeTimeoutMs = 700;
/** Time limit of a call that promotes an endpoint to primary, in milliseconds. */
const promotionTimeoutMs = 1_000;

/** Path of the settings file, which the platform sets in the environment. */
export function settingsPath(environment: NodeJS.ProcessEnv): string {
    return environment["HYSSOPHATCH_NODE_FILE"] ?? "/etc/hyssophatch/boot.toml";
}

/** Creates the platform's implementation of the ports. `countCall` is called after each HTTP call, with its result. */
export function create(
    settings: settingsFile.Settings,
    log: runtime.Log,
    countCall: (kind: string, result: string) => void,
    era: storePort.Era,
): platforms.Platform {
    return {
        store: store.createStore({ address: settings.store, timeoutMs: storeTimeoutMs, countCall, era }),
        promotions: store.createPromotions({
            address: settings.promotions,
            timeoutMs: promotionTimeoutMs,
            countCall,
        }),
        dialer: endpoint.createDialer(),
        storeLayout: documents,
        listenCallers: login => callers.listen({ ...settings.callers, login, log }),
        listenReadiness: ready => readiness.listen(settings.readiness.host, settings.readiness.port, ready),
    };
}
