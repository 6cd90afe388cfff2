/** Distances between hosts and endpoints by their failure domains, and the network round trips estimated from them. */

/** The same failure domain, the same region, or another region. */
export type Distance = "domain" | "region" | "remote";

/** Region of a failure domain; undefined if it isn't known. */
export type RegionOf = (failureDomain: string) => string | undefined;

/** Round trips in milliseconds. */
const roundTripByDistanceMs: Readonly<Record<Distance, number>> = { domain: 0.5, region: 3, remote: 17 };

/** Distance between two failure domains. */
export function between(from: string, to: string, regionOf: RegionOf): Distance {
    if (from === to) {
        return "domain";
    }
    return regionOf(from) === regionOf(to) ? "region" : "remote";
}

/** Estimated round trip between two failure domains. */
export function roundTripMs(from: string, to: string, regionOf: RegionOf): number {
    return roundTripByDistanceMs[between(from, to, regionOf)];
}
