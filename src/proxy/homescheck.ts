/** Reports regions in the configuration that no failure domain has; requests that are bound to them alone are refused. */
import * as policies from "../core/policy.js";
import type * as events from "./events.js";

/** Creates a check that logs each version of the policy at most once. */
export function createHomesCheck(
    eventLog: events.EventLog,
    regionByFailureDomain: Readonly<Record<string, string>>,
): (policy: policies.Policy) => void {
    const known = new Set(Object.values(regionByFailureDomain));
    let checkedVersion = 0;
    return policy => {
        const unknown = policies.homeRegions(policy).filter(region => !known.has(region));
        if (unknown.length > 0 && policy.version !== checkedVersion) {
            eventLog.emit("homesUnknown", { version: policy.version, regions: unknown });
        }
        checkedVersion = policy.version;
    };
}
