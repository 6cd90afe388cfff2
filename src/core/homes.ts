/** Homes: the regions in which the requests of a route or an organisation may be handled. */

/** Regions in which a request may be handled; undefined stands for everywhere. */
export type Homes = ReadonlySet<string> | undefined;

/** Homes by the names of their regions; no name stands for everywhere. */
export function of(regions: readonly string[]): Homes {
    return regions.length === 0 ? undefined : new Set(regions);
}

/** The regions that both allow. `combine(of(["a", "b"]), of(["b"]))` allows only b. */
export function combine(first: Homes, second: Homes): Homes {
    if (first === undefined || second === undefined) {
        return first ?? second;
    }
    return new Set([...first].filter(region => second.has(region)));
}

/** True if an endpoint in the region may be sent the request. An unknown region is outside of every home. */
export function allows(homes: Homes, region: string | undefined): boolean {
    return homes === undefined || (region !== undefined && homes.has(region));
}

/**
 * True if a host in the region may be sent the text of the request. The host that the caller itself is connected to has it
 * already. Another host in the same region needs to be in a home too, because the caller may come from a different region.
 */
export function allowsHost(homes: Homes, region: string | undefined, isCallersHost: boolean): boolean {
    return isCallersHost || allows(homes, region);
}

/** Number of routes that a primary in the region can serve. */
export function servedRoutes(homesOfRoutes: readonly Homes[], region: string | undefined): number {
    return homesOfRoutes.filter(homes => allows(homes, region)).length;
}
