/**
 * Decides which endpoints of a group may take a request at all, before one of them is chosen: those inside the homes of the
 * request and outside of evacuated failure domains.
 */
import type * as evacuations from "./evacuation.js";
import * as failure from "./failure.js";
import * as homes from "./homes.js";

/** An endpoint, as far as its place decides. */
export interface Endpoint {
    readonly endpoint: string;
    /** Region of the failure domain; undefined if unknown. */
    readonly region: string | undefined;
    readonly draining: boolean;
    readonly phase: evacuations.Phase;
}

/** Why an endpoint may not take the request. */
export type Reason = "outside homes" | "evacuated";

/** The endpoints that may take a request. */
export interface Eligibility {
    readonly eligible: ReadonlySet<string>;
    readonly rejected: readonly { readonly endpoint: string; readonly reason: Reason }[];
    /** Why no endpoint may take the request, even if it became primary; undefined if one may. */
    readonly exhausted: Reason | undefined;
    /**
     * Why the endpoint may not take the request as primary; undefined if it may. A primary whose evacuation has begun serves
     * until it is replaced, if another endpoint can take its place.
     */
    reasonAgainstPrimary(endpoint: string): Reason | undefined;
}

/** Delays suggested to callers: other endpoints may be promoted soon; homes change only with the configuration. */
const evacuatedRetryMs = 500;
const homesRetryMs = 1_000;

/** True if the endpoint may become primary: it may be sent work, and keeps running. */
export function mayTakeOver(endpoint: Pick<Endpoint, "draining" | "phase">): boolean {
    return endpoint.phase === "open" && !endpoint.draining;
}

/** Decides which of a group's endpoints may take a request with these homes. */
export function evaluate(endpoints: readonly Endpoint[], requestHomes: homes.Homes): Eligibility {
    const canBeReplaced = endpoints.some(mayTakeOver);
    const reasonOf = (entry: Endpoint): Reason | undefined => {
        if (!homes.allows(requestHomes, entry.region)) {
            return "outside homes";
        }
        return entry.phase === "open" ? undefined : "evacuated";
    };
    const reasons = new Map(endpoints.map(entry => [entry.endpoint, reasonOf(entry)]));
    const rejected = [...reasons].flatMap(([endpoint, reason]) => (reason === undefined ? [] : [{ endpoint, reason }]));
    const isExhausted = endpoints.length > 0 && rejected.length === endpoints.length;
    const isInside = rejected.some(entry => entry.reason === "evacuated");
    return {
        eligible: new Set([...reasons].filter(([, reason]) => reason === undefined).map(([endpoint]) => endpoint)),
        rejected,
        exhausted: isExhausted ? isInside ? "evacuated" : "outside homes" : undefined,
        reasonAgainstPrimary(endpoint) {
            const entry = endpoints.find(candidate => candidate.endpoint === endpoint);
            const reason = reasons.get(endpoint);
            return reason === "evacuated" && entry?.phase === "leaving" && canBeReplaced ? undefined : reason;
        },
    };
}

/** The failure that tells a caller why no endpoint of the group, or not its primary, may take the request. */
export function refusal(group: string, reason: Reason, subject: "endpoint" | "primary"): failure.Failure {
    const place = reason === "evacuated"
        ? "in an evacuated failure domain"
        : "outside the regions that the request allows";
    const message = subject === "endpoint"
        ? `Every endpoint of ${group} that could run the statement is ${place}.`
        : `The primary of ${group}, which alone can run the statement, is ${place}.`;
    return reason === "evacuated"
        ? failure.create(failure.Code.evacuated, group, message, evacuatedRetryMs)
        : failure.create(failure.Code.outsideHomes, group, message, homesRetryMs);
}

/** Of cold endpoints without room none has room again within the time that a request waits. */
const finalCodes: ReadonlySet<failure.Code> = new Set([
    failure.Code.evacuated,
    failure.Code.outsideHomes,
    failure.Code.endpointCold,
]);

/** True for a failure that another attempt within the same request can't change. */
export function isFinal(cause: failure.Failure): boolean {
    return finalCodes.has(cause.code);
}
