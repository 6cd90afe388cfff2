/** Which endpoints of one group this host may use: by the homes of a request, and by the evacuations. */
import type * as directory from "../core/directory.js";
import * as decisions from "../core/eligibility.js";
import type * as homes from "../core/homes.js";
import * as ramps from "../core/ramp.js";
import type * as evacuations from "./evacuations.js";
import type * as pools from "./pool.js";

/** Settings of the eligibility. */
export interface Options {
    readonly evacuations: evacuations.Evacuations;
    endpoints(): readonly directory.Endpoint[];
    /** Region of a failure domain; undefined when it isn't configured. */
    regionOf(failureDomain: string): string | undefined;
    /** Id of the group's primary; undefined while none is known. */
    primary(): string | undefined;
}

/** Eligibility of the endpoints of one group. */
export interface Eligibility {
    /** Which endpoints may take a request with these homes. */
    evaluate(requestHomes: homes.Homes): decisions.Eligibility;
    /** True while an endpoint whose evacuation was taken back has had its share of the placements. */
    isRationed(listed: directory.Endpoint): boolean;
    /** Counts that the endpoint was chosen. */
    countChosen(endpoint: string): void;
    /** False once the rest of the endpoint's transactions has to be rolled back. */
    mayContinue(endpoint: string): boolean;
    /** True if the endpoint may take new work of whatever kind. */
    takesWork(listed: directory.Endpoint): boolean;
    /** Takes over the closed pool of an evacuated endpoint, on whose connections transactions may still be open. */
    retire(pool: pools.Pool, listed: directory.Endpoint): void;
    /** Closes the connections to endpoints that may be sent nothing any longer. */
    closeRetired(): void;
}

/** Creates the eligibility of the endpoints of one group. */
export function createEligibility(options: Options): Eligibility {
    const retired = new Map<pools.Pool, directory.Endpoint>();
    const rampByEndpoint = new Map<string, ramps.Ramp>();
    const phaseOf = (listed: directory.Endpoint) => options.evacuations.phase(listed.failureDomain);

    const evaluate = (requestHomes: homes.Homes): decisions.Eligibility =>
        decisions.evaluate(
            options.endpoints().map(listed => ({
                endpoint: listed.id,
                region: options.regionOf(listed.failureDomain),
                draining: listed.draining,
                phase: phaseOf(listed),
            })),
            requestHomes,
        );

    return {
        evaluate,
        isRationed(listed) {
            const share = options.evacuations.returnShare(listed.failureDomain);
            if (share >= 1) {
                rampByEndpoint.delete(listed.id);
                return false;
            }
            const ramp = rampByEndpoint.get(listed.id) ?? ramps.createRamp();
            rampByEndpoint.set(listed.id, ramp);
            return !ramp.offer(share);
        },
        countChosen: endpoint => rampByEndpoint.get(endpoint)?.take(),
        mayContinue(endpoint) {
            const listed = options.endpoints().find(entry => entry.id === endpoint);
            const phase = listed === undefined ? "open" : phaseOf(listed);
            return phase === "open" || phase === "leaving";
        },
        takesWork: listed =>
            phaseOf(listed) === "open"
            || (listed.id === options.primary() && evaluate(undefined).reasonAgainstPrimary(listed.id) === undefined),
        retire: (pool, listed) => void retired.set(pool, listed),
        closeRetired: () =>
            retired.forEach((listed, pool) => {
                if (phaseOf(listed) === "closed" || pool.size() === 0) {
                    pool.closeInUse();
                    retired.delete(pool);
                }
            }),
    };
}
