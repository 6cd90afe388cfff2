/** Creates what decides where work may run on this host: the evacuations, and the places of primaries. */
import type * as directories from "../core/directory.js";
import * as lookup from "../core/lookup.js";
import * as access from "./access.js";
import * as evacuationViews from "./evacuations.js";
import * as relocations from "./relocation.js";

/** Settings of both. */
export interface Options
    extends evacuationViews.Options, Omit<relocations.Options, "clock" | "evacuations" | "regionOf"> {
    /** Region by failure domain. */
    readonly failureDomains: Readonly<Record<string, string>>;
}

/** Where work may run. */
export interface Places {
    readonly evacuations: evacuationViews.Evacuations;
    readonly relocation: relocations.Relocation;
    /** The organisation as which this host logs in to an endpoint, to query its status or to change its role. */
    hostIdentity(endpoint: directories.Endpoint): string | undefined;
    /** Region of a failure domain; undefined when it isn't configured. */
    regionOf(failureDomain: string): string | undefined;
}

/** Creates the evacuations, of which nothing is known, and the places of primaries. */
export function createPlaces(options: Options): Places {
    const evacuations = evacuationViews.createEvacuations(options);
    const regionOf = (failureDomain: string): string | undefined => lookup.find(options.failureDomains, failureDomain);
    return {
        evacuations,
        regionOf,
        relocation: relocations.createRelocation({ ...options, evacuations, regionOf }),
        hostIdentity: endpoint => access.hostIdentity(options.policy(), regionOf(endpoint.failureDomain)),
    };
}
