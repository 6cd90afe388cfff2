/** Network round trips, estimated from the failure domains of the two ends. */

/** Round trips within a failure domain, within a region, and to another region, in milliseconds. */
const roundTripByDistanceMs = { domain: 0.5, region: 3, remote: 17 } as const;

/** Estimated round trip between two failure domains; `regionOf` gives the region of each, if it is known. */
export function roundTripMs(
    from: string,
    to: string,
    regionOf: (failureDomain: string) => string | undefined,
): number {
    if (from === to) {
        return roundTripByDistanceMs.domain;
    }
    return regionOf(from) === regionOf(to) ? roundTripByDistanceMs.region : roundTripByDistanceMs.remote;
}
