/** Fills the ports of a host with the platform's wire, store and calls. */
import type * as runtime from "../ports/runtime.js";
import type * as assembly from "../proxy/assembly.js";
import type * as settingsFile from "../proxy/settings.js";
import * as callers from "./callers.js";
import * as documents from "./documents.js";
import * as endpoint from "./endpoint.js";
import * as readiness from "./readiness.js";
import * as store from "./store.js";

/** Time limit of a call to the store, in milliseconds; over a hundred times its usual answer. */
const storeTimeoutMs = 700;
/** Time limit of a call that names a primary, in milliseconds. */
const promotionTimeoutMs = 1_000;

/** Path of the settings file, which the platform names in the environment. */
export function settingsPath(environment: NodeJS.ProcessEnv): string {
    return environment["HYSSOPHATCH_NODE_FILE"] ?? "/etc/hyssophatch/boot.toml";
}

/** Creates the fillings. */
export function create(
    settings: settingsFile.Settings,
    log: runtime.Log,
    count: (kind: string, result: string) => void,
): assembly.Platform {
    return {
        store: store.createStore({ address: settings.store, timeoutMs: storeTimeoutMs, meter: count }),
        promotions: store.createPromotions({
            address: settings.promotions,
            timeoutMs: promotionTimeoutMs,
            meter: count,
        }),
        dialer: endpoint.createDialer(),
        storeLayout: documents,
        listenCallers: entrance => callers.listen({ ...settings.callers, login: entrance, log }),
        listenReadiness: ready => readiness.listen(settings.readiness.host, settings.readiness.port, ready),
    };
}
