/** Who may use which database, by the configuration in force. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Organisation named to endpoints on routes that are open to all, for callers without a known key. */
export const anonymous = "-";

/** When a caller may come back to a host that starts, in milliseconds: reading the configuration takes some 100. */
const retryAfterMs = 100;

/** What a caller may use, and as whom. */
export interface Authorisation {
    readonly route: policies.Route;
    readonly organisation: string;
}

/** Decides whether a key may use a database at the moment. */
export function authorise(policy: policies.Policy, database: string, key: string): Result<Authorisation> {
    if (policy.version === policies.empty.version) {
        const message = "This host has no configuration yet.";
        return neverthrow.err(failure.create(failure.Code.configurationStale, database, message, retryAfterMs));
    }
    const route = policy.routes.get(database);
    if (route === undefined) {
        return neverthrow.err(
            failure.create(failure.Code.routeUnknown, database, `Database ${database} does not exist.`),
        );
    }
    const organisation = policy.keys.get(key) ?? (route.allowsAnonymous ? anonymous : undefined);
    return organisation === undefined
        ? neverthrow.err(failure.create(failure.Code.accessDenied, database, "The key is not in force."))
        : neverthrow.ok({ route, organisation });
}
