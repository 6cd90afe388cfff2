/** Who may use which database, by the configuration in force. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Organisation named to endpoints on routes that are open to all, for callers without a known key. */
export const anyone = "-";

/** When a caller may come back to a host that starts, in milliseconds: reading the configuration takes some 100. */
const retryMs = 100;

/** What a caller may use, and as whom. */
export interface Admitted {
    readonly route: policies.Route;
    readonly organisation: string;
}

/** Decides whether a key may use a database at the moment. */
export function authorise(policy: policies.Policy, database: string, key: string): Result<Admitted> {
    if (policy.version === policies.none.version) {
        const message = "This host has no configuration yet.";
        return neverthrow.err(failure.create(failure.Code.configurationStale, database, message, retryMs));
    }
    const route = policy.routes.get(database);
    if (route === undefined) {
        return neverthrow.err(
            failure.create(failure.Code.routeUnknown, database, `Database ${database} does not exist.`),
        );
    }
    const organisation = policy.keys.get(key) ?? (route.open ? anyone : undefined);
    return organisation === undefined
        ? neverthrow.err(failure.create(failure.Code.accessDenied, database, "The key is not in force."))
        : neverthrow.ok({ route, organisation });
}
