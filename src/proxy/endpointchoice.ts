/** Chooses the endpoints of a group's reads: by expected time, by their failures at all hosts, and by distance. */
import type * as directory from "../core/directory.js";
import type * as distances from "../core/distance.js";
import * as ejections from "../core/ejection.js";
import * as evidence from "../core/evidence.js";
import * as placement from "../core/placement.js";
import * as spillovers from "../core/spillover.js";
import type * as runtime from "../ports/runtime.js";
import type * as endpoints from "./endpoint.js";
import type * as events from "./events.js";

/** When reads may leave their failure domain. */
export interface SpilloverLimits extends spillovers.Options {
    /** Part of the time until its latency target that a read may be expected to take before it leaves. */
    readonly targetFraction: number;
}

/** What is known of the other hosts' statements. */
export interface OtherHosts {
    /** Number of statements that the other hosts run at an endpoint or queue for it. */
    otherHostsLoad(endpoint: string): number;
    /** Outcomes of the other hosts' recent statements at an endpoint. */
    otherHostsOutcomes(endpoint: string): evidence.Outcomes;
    /** Mean age of what this host knows of the other hosts, in milliseconds. */
    viewAgeMs(): number;
}

/** Settings of a choice. */
export interface Options extends OtherHosts {
    readonly group: string;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly spillover: SpilloverLimits;
    endpoints(): readonly directory.Endpoint[];
    /** This host's view of a listed endpoint, created if necessary. */
    view(listed: directory.Endpoint): endpoints.EndpointView;
    /** This host's view of an endpoint; undefined if it has none. */
    findView(endpoint: string): endpoints.EndpointView | undefined;
    distanceTo(failureDomain: string): distances.Distance;
    /** Whether an endpoint is cold, and when it has room for a request. */
    coldState(endpoint: string): placement.ColdState;
    /** True while an endpoint whose evacuation was taken back has had its share of the reads. */
    isRationed(listed: directory.Endpoint): boolean;
    isPrimary(endpoint: string): boolean;
}

/** What a read requires. */
export interface Request extends placement.ReadRequirement {
    /** Endpoints that may take the request. */
    readonly eligible: ReadonlySet<string>;
    readonly organisation: string;
    /** Time by which the read should be answered. */
    readonly targetMs: number;
}

/** Chooses endpoints of reads. */
export interface EndpointChoice {
    choose(request: Request): placement.Choice;
    /** Outcomes of recent statements at an endpoint, at all hosts together. */
    outcomes(endpoint: string): evidence.Outcomes;
    /** Outcomes that this host saw, by endpoint; only those of endpoints that some host saw fail. */
    ownOutcomes(): Readonly<Record<string, evidence.Outcomes>>;
    /** Part of the reads that leave the failure domain and the region. */
    spilloverShares(): ReturnType<spillovers.Spillover["shares"]>;
    /** Forgets what the endpoint failed, because its process is a new one. */
    forget(endpoint: string): void;
}

/** Interval at which the evidence of all endpoints is judged anew. */
const ejectionIntervalMs = 200;
/** Failures, decayed, from which an endpoint's outcomes are of interest to other hosts. */
const minReportedFailures = 0.2;

/** Creates a choice without evidence. */
export function createEndpointChoice(options: Options): EndpointChoice {
    const { clock } = options;
    const ejector = ejections.createEjector();
    const spillover = spillovers.createSpillover(options.spillover);
    let judgedMs = -Infinity;

    function outcomes(endpoint: string): evidence.Outcomes {
        const own = options.findView(endpoint)?.outcomes() ?? evidence.none;
        return evidence.add(own, options.otherHostsOutcomes(endpoint));
    }

    /** Keeps endpoints out of the reads, or lets them back, by the newest evidence. */
    function judgeEndpoints(): void {
        const nowMs = clock.now();
        if (nowMs - judgedMs < ejectionIntervalMs) {
            return;
        }
        judgedMs = nowMs;
        const observations = options.endpoints().map(({ id }) => ({ endpoint: id, outcomes: outcomes(id) }));
        ejector.update(observations, nowMs).forEach(change =>
            options.events.emit("endpointEjected", {
                group: options.group,
                endpoint: change.endpoint,
                failureRate: Math.round(change.failureRate * 100) / 100,
                periodMs: change.periodMs,
            })
        );
    }

    function candidate(listed: directory.Endpoint, organisation: string): placement.Candidate {
        const inputs = options.view(listed).placementInputs(organisation);
        return {
            ...inputs,
            endpoint: listed.id,
            primary: options.isPrimary(listed.id),
            draining: listed.draining,
            load: inputs.load + options.otherHostsLoad(listed.id),
            concurrency: listed.slots,
            rationed: options.isRationed(listed),
            ...options.coldState(listed.id),
            trusted: ejector.mayServe(listed.id, clock.now()),
            failureRate: evidence.failureRate(outcomes(listed.id)),
            distance: options.distanceTo(listed.failureDomain),
        };
    }

    return {
        outcomes,
        choose(request) {
            judgeEndpoints();
            const situation = {
                budgetMs: Math.max(0, request.targetMs - clock.now()) * options.spillover.targetFraction,
                viewAgeMs: options.viewAgeMs(),
                nowMs: clock.now(),
            };
            const eligible = options.endpoints().filter(({ id }) => request.eligible.has(id));
            const candidates = eligible.map(listed => candidate(listed, request.organisation));
            return placement.choose(candidates, request, remaining => spillover.choose(remaining, situation));
        },
        ownOutcomes: () =>
            Object.fromEntries(
                options.endpoints()
                    .filter(({ id }) => outcomes(id).failed >= minReportedFailures)
                    .map(({ id }) => [id, options.findView(id)?.outcomes() ?? evidence.none]),
            ),
        spilloverShares: () => spillover.shares(),
        forget: endpoint => ejector.forget(endpoint),
    };
}
