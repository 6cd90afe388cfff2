/** Which endpoints have drained: they announced their shutdown so long ago that they may be sent nothing new. */
import type * as directories from "../core/directory.js";
import * as draining from "../core/draining.js";
import type * as leaderships from "../core/leadership.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";

/** Settings and collaborators of the bound. */
export interface Options {
    /** Time from the announcement until an endpoint may be sent nothing new, in milliseconds; undefined without a bound. */
    readonly drainMs: number | undefined;
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    readonly directory: Pick<directories.Directory, "find" | "servingAtMs">;
    readonly leadership: Pick<leaderships.Leadership, "find">;
    /** True when no clock jump or suspension of this host was detected since the given time. */
    noClockJumpSince(sinceMs: number): boolean;
}

/** The bound on new work for endpoints that shut down. */
export interface DrainBound {
    /** True once the endpoint may be sent nothing new, not even as primary. */
    isDrained(endpoint: string): boolean;
}

/** Creates the bound. */
export function createDrainBound(options: Options): DrainBound {
    const { clock, directory } = options;
    const logged = new Set<string>();

    function log(listed: directories.Endpoint, servingAtMs: number | undefined): void {
        if (logged.has(listed.id)) {
            return;
        }
        logged.add(listed.id);
        options.events.emit("endpointDrained", {
            group: listed.group,
            endpoint: listed.id,
            primary: options.leadership.find(listed.group)?.primary === listed.id,
            servingAgeMs: servingAtMs === undefined ? undefined : Math.round(clock.now() - servingAtMs),
            drainMs: options.drainMs,
        });
    }

    return {
        isDrained(endpoint) {
            const listed = directory.find(endpoint);
            if (listed?.draining !== true) {
                logged.delete(endpoint);
                return false;
            }
            const listedAtMs = directory.servingAtMs(endpoint);
            // After a suspension the time since the listing is unknown.
            const servingAtMs = listedAtMs !== undefined && options.noClockJumpSince(listedAtMs)
                ? listedAtMs
                : undefined;
            const isOver = draining.isOver({ servingAtMs, boundMs: options.drainMs }, clock.now());
            if (isOver) {
                log(listed, servingAtMs);
            }
            return isOver;
        },
    };
}
