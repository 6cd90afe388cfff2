/** Decides whether a healthy primary is in the wrong place, and which endpoints may take its place. */
import * as eligibility from "./eligibility.js";
import * as homes from "./homes.js";
import * as positions from "./position.js";

/** Entries of the log that a replica may lack when a planned replacement begins; it receives them in the course of it. */
const maxMissingEntries = 200;

/** Why the primary has to be moved; undefined if it need not be, or if no endpoint could take its place. */
export function reasonToMove(
    primary: string,
    endpoints: readonly eligibility.Endpoint[],
    homesOfRoutes: readonly homes.Homes[],
): eligibility.Reason | undefined {
    const current = endpoints.find(entry => entry.endpoint === primary);
    if (current === undefined) {
        return undefined;
    }
    const others = endpoints.filter(entry => entry !== current && eligibility.mayTakeOver(entry));
    if (current.phase !== "open") {
        return others.length > 0 ? "evacuated" : undefined;
    }
    const served = homes.servedRoutes(homesOfRoutes, current.region);
    return others.some(entry => homes.servedRoutes(homesOfRoutes, entry.region) > served) ? "outside homes" : undefined;
}

/** Endpoints that may be promoted in place of the primary, for whatever reason it is replaced. */
export function successors(
    primary: string,
    endpoints: readonly eligibility.Endpoint[],
    homesOfRoutes: readonly homes.Homes[],
    reason: string,
): readonly string[] {
    const current = endpoints.find(entry => entry.endpoint === primary);
    const served = homes.servedRoutes(homesOfRoutes, current?.region);
    return endpoints
        .filter(entry => entry.phase === "open")
        .filter(entry =>
            reason !== "outside homes"
            || (!entry.draining && homes.servedRoutes(homesOfRoutes, entry.region) > served)
        )
        .map(entry => entry.endpoint);
}

/** True for a replacement of a healthy primary, which may wait until a replica can take over without loss. */
export function isPlanned(reason: string): boolean {
    return reason === "evacuated" || reason === "outside homes";
}

/** True if a replica has received nearly all of the primary's log, or if the primary's end of the log is unknown. */
export function isCaughtUp(replica: positions.Position, primary: positions.Position | undefined): boolean {
    return primary === undefined || replica.term > primary.term
        || (replica.term === primary.term && replica.index >= primary.index - maxMissingEntries);
}
