/** Authorisation of callers by the current configuration. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Organisation reported to endpoints for callers without a known key, on routes that allow anonymous access. */
export const anonymous = "-";

/** Suggested delay before retrying at a host that is starting; reading the configuration takes about 100 ms. */
const retryAfterMs = 100;

/** The route that a caller may use, and the organisation that it acts for. */
export interface Authorisation {
    readonly route: policies.Route;
    readonly organisation: string;
}

/**
 * Decides whether the key may use the database. Fails with `configurationStale` while the host has no configuration,
 * with `routeUnknown` for a database that is not configured, and with `accessDenied` for an unknown key.
 */
export function authorise(policy: policies.Policy, database: string, key: string): Result<Authorisation> {
    if (policy.version === policies.empty.version) {
        const message = "This host has not loaded its configuration yet.";
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
        ? neverthrow.err(failure.create(failure.Code.accessDenied, database, "The key is not valid."))
        : neverthrow.ok({ route, organisation });
}
