/** Authorisation of callers by the current configuration. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as homes from "../core/homes.js";
import * as policies from "../core/policy.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Organisation reported to endpoints for callers without a known key, on routes that allow anonymous access. */
export const anonymous = "-";

/** Suggested delay before retrying at a host that is starting; reading the configuration takes about 100 ms. */
const retryAfterMs = 100;

/**
 * The organisation as which this host itself may log in to an endpoint in the region: one whose homes include it, or none.
 * Undefined while no organisation is known.
 */
export function hostIdentity(policy: policies.Policy, region: string | undefined): string | undefined {
    const organisations = [...policy.organisations.values()];
    const allowed = organisations.find(organisation => homes.allows(organisation.homes, region));
    return organisations.length === 0 ? undefined : allowed?.name ?? anonymous;
}

/** The route that a caller may use, and the organisation that it acts for. */
export interface Authorisation {
    readonly route: policies.Route;
    readonly organisation: string;
    /** Regions in which its requests may be handled: the homes of the route that are also those of the organisation. */
    readonly homes: homes.Homes;
}

/**
 * Decides whether the key may use the database. Fails with `configurationStale` while the host has no configuration,
 * with `routeUnknown` for a database that is not configured, and with `accessDenied` for an unknown key.
 */
export function authorise(policy: policies.Policy, database: string, key: string | undefined): Result<Authorisation> {
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
    const holder = key === undefined ? undefined : policy.keys.get(key);
    const organisation = holder ?? (route.allowsAnonymous ? anonymous : undefined);
    if (organisation === undefined) {
        return neverthrow.err(failure.create(failure.Code.accessDenied, database, "The key is not valid."));
    }
    const ownHomes = homes.combine(route.homes, policy.organisations.get(organisation)?.homes);
    return neverthrow.ok({ route, organisation, homes: ownHomes });
}
