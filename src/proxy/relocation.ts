/** Where the primaries of the groups belong, by the evacuations and by the homes of the routes. */
import type * as directory from "../core/directory.js";
import type * as coreEligibility from "../core/eligibility.js";
import * as homes from "../core/homes.js";
import type * as policies from "../core/policy.js";
import * as decisions from "../core/relocation.js";
import type * as runtime from "../ports/runtime.js";
import type * as evacuations from "./evacuations.js";

/** Settings of the relocation. */
export interface Options {
    readonly evacuations: evacuations.Evacuations;
    readonly clock: runtime.Clock;
    policy(): policies.Policy;
    endpoints(group: string): readonly directory.Endpoint[];
    /** Region of a failure domain; undefined when it isn't configured. */
    regionOf(failureDomain: string): string | undefined;
}

/** Where primaries belong. */
export interface Relocation {
    /** Why a healthy primary has to be moved; undefined if it need not be or can't be. */
    reasonToMove(group: string, primary: string): coreEligibility.Reason | undefined;
    /** Notes that the primary of the group was replaced, for whatever reason. */
    countReplacement(group: string): void;
    /** Endpoints that may be promoted when the primary is replaced for that reason. */
    successors(group: string, primary: string, reason: string): ReadonlySet<string>;
    /** False while every endpoint of the group is evacuated, so that no primary can be promoted. */
    hasSuccessor(group: string): boolean;
    /** True once a replica must take over even if it lacks some of the log, because the bound of an evacuation is near. */
    isUrgent(endpoint: directory.Endpoint | undefined): boolean;
    /** Number of the group's routes that a primary in the endpoint's region can serve. */
    servedRoutes(endpoint: directory.Endpoint): number;
    /** False for an endpoint that may be sent nothing, not even a probe. */
    mayContact(endpoint: directory.Endpoint): boolean;
}

/** Time between two moves of a group's primary to a region that serves more routes, in milliseconds. */
const homesHoldOffMs = 10_000;

/** Creates the relocation. */
export function createRelocation(options: Options): Relocation {
    const replacedAtMs = new Map<string, number>();
    const phaseOf = (endpoint: directory.Endpoint) => options.evacuations.phase(endpoint.failureDomain);

    const entries = (group: string): readonly coreEligibility.Endpoint[] =>
        options.endpoints(group).map(listed => ({
            endpoint: listed.id,
            region: options.regionOf(listed.failureDomain),
            draining: listed.draining,
            phase: phaseOf(listed),
        }));

    const homesOfRoutes = (group: string): readonly homes.Homes[] =>
        [...options.policy().routes.values()]
            .filter(route => route.group === group && route.consistency.kind !== "bounded")
            .map(route => route.homes);

    return {
        countReplacement: group => void replacedAtMs.set(group, options.clock.now()),
        reasonToMove(group, primary) {
            const sinceReplacementMs = options.clock.now() - (replacedAtMs.get(group) ?? -Infinity);
            const reason = decisions.reasonToMove(primary, entries(group), homesOfRoutes(group));
            return reason === "outside homes" && sinceReplacementMs < homesHoldOffMs ? undefined : reason;
        },
        successors: (group, primary, reason) =>
            new Set(decisions.successors(primary, entries(group), homesOfRoutes(group), reason)),
        hasSuccessor: group => options.endpoints(group).some(listed => phaseOf(listed) === "open"),
        isUrgent(endpoint) {
            const phase = endpoint === undefined ? "closed" : phaseOf(endpoint);
            return phase === "ending" || phase === "closed";
        },
        servedRoutes: endpoint =>
            homes.servedRoutes(homesOfRoutes(endpoint.group), options.regionOf(endpoint.failureDomain)),
        mayContact: endpoint => phaseOf(endpoint) !== "closed",
    };
}
