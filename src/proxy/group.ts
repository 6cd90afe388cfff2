/** One database group as this host sees it: its endpoints, its primary, and recent samples of the primary's log. */
import * as neverthrow from "neverthrow";
import type * as shares from "../core/connectionshares.js";
import type * as directory from "../core/directory.js";
import * as distances from "../core/distance.js";
import * as decisions from "../core/eligibility.js";
import * as failure from "../core/failure.js";
import type * as homes from "../core/homes.js";
import type * as leadership from "../core/leadership.js";
import * as placement from "../core/placement.js";
import type * as policies from "../core/policy.js";
import type * as positions from "../core/position.js";
import type * as promotion from "../core/promotion.js";
import * as readPositions from "../core/readposition.js";
import * as samples from "../core/samples.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import * as eligibilities from "./eligibility.js";
import * as endpoints from "./endpoint.js";
import * as endpointChoices from "./endpointchoice.js";
import type * as evacuations from "./evacuations.js";
import type * as events from "./events.js";
import type * as pools from "./pool.js";
import * as primaryWaiters from "./primarywaiters.js";
import type * as relays from "./relay.js";
import * as sampleQueries from "./samplequery.js";
import * as workInProgresses from "./workinprogress.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of a group. */
export interface Options extends endpointChoices.OtherHosts {
    readonly name: string;
    readonly failureDomain: string;
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    readonly events: events.EventLog;
    readonly leadership: leadership.Leadership;
    /** True when no clock jump or suspension of this host was detected since the given time. */
    noClockJumpSince(sinceMs: number): boolean;
    /** True once an endpoint that shuts down may be sent nothing new, not even as primary. */
    isDrained(endpoint: string): boolean;
    /** Region of a failure domain; undefined when it isn't configured. */
    regionOf(failureDomain: string): string | undefined;
    /** Relative weight of an organisation among those whose statements wait, above 0. */
    weight(organisation: string): number;
    /** This host's share of the connections to an endpoint. */
    share(endpoint: string): shares.Share;
    readonly spillover: endpointChoices.SpilloverLimits;
    readonly metrics: endpoints.AdmissionMetrics;
    endpoints(): readonly directory.Endpoint[];
    readonly evacuations: evacuations.Evacuations;
    /** Queries the status of an endpoint; undefined without one. */
    queryStatus(endpoint: directory.Endpoint): Promise<connections.Status | undefined>;
    /** Whether an endpoint is cold, and when it has room for a request. */
    coldState(endpoint: string): placement.ColdState;
    /** Connections that other hosts hold; undefined on a host that shares none. */
    readonly relaying: Relaying | undefined;
}

/** Use of connections that other hosts hold. */
export interface Relaying {
    /** A connection to the endpoint that another host holds; undefined if this host is to use one of its own. */
    connect(request: relays.Request): pools.PooledConnection | undefined;
    /** Limits the time for which a connection of this host stays idle, where other hosts hold the connections. */
    limit(endpoint: string, pooled: pools.PooledConnection): pools.PooledConnection;
}

/** What a statement requires of the endpoint that runs it. */
export interface PlacementRequest {
    readonly consistency: policies.Consistency;
    /** True when only the primary can run the statement. */
    readonly needsPrimary: boolean;
    readonly arrivedMs: number;
    /** Time by which the statement should be answered, earlier than its deadline. */
    readonly targetMs: number;
    /** The session's newest commit. */
    readonly lastCommit: readPositions.Commit | undefined;
    readonly organisation: string;
    /** Regions in which the statement may run. */
    readonly homes: homes.Homes;
    /** Endpoints at which the statement was already attempted. */
    readonly triedEndpoints: ReadonlySet<string>;
}

/** The endpoint chosen for a statement, and what the choice is based on. */
export interface Placement {
    readonly endpoint: string;
    readonly primary: boolean;
    /** Position that the endpoint must have applied. */
    readonly minPosition: positions.Position | undefined;
    /**
     * Age of the sample or commit that gave `minPosition`, or of the proof that the endpoint is the primary, in
     * milliseconds.
     */
    readonly sampleAgeMs: number | undefined;
    /** Time in which the endpoint is expected to reply, in milliseconds; 0 when only the primary was eligible. */
    readonly expectedMs: number;
    /** The distance that the read left, if any, and why. */
    readonly left: placement.Choice["left"];
    readonly rejected: readonly placement.Rejection[];
}

/** One database group. */
export interface Group {
    readonly name: string;
    /** Chooses the endpoint for a statement; fails when no primary is known or no endpoint can serve the read. */
    place(request: PlacementRequest): Result<Placement>;
    pool(endpoint: string): pools.Pool | undefined;
    /** True if the endpoint is shutting down and gets nothing new; a primary serves until it is replaced or its time is over. */
    isLeaving(endpoint: string): boolean;
    readonly relaying: Relaying | undefined;
    /** False once the rest of the endpoint's transactions has to be rolled back, because its failure domain is evacuated. */
    mayContinue(endpoint: string): boolean;
    /** Updates the statistics of an endpoint with a reply, and adds a sample if the endpoint is the primary. */
    recordReply(
        endpoint: string,
        reply: connections.Reply,
        requestedAtMs: number,
        context: endpoints.ReplyContext,
    ): void;
    /** Records that a request sent to an endpoint at the given time got no reply. */
    recordFailure(
        endpoint: string,
        requestedAtMs: number,
        error: Pick<connections.ConnectionError, "message" | "relayed" | "timedOut">,
    ): void;
    /** True while the endpoint is certain to be the primary, so that it may be given new work. */
    isPrimary(endpoint: string): boolean;
    /** True while work that the endpoint has just completed as primary may be acknowledged to the caller. */
    mayAcknowledge(endpoint: string): boolean;
    /** Counts an operation at the endpoint as in progress until the returned function is called. */
    beginWork(endpoint: string): () => void;
    /** Resolves once no operation is in progress at the endpoint, or after the time-out. */
    waitUntilIdle(endpoint: string, timeoutMs: number): Promise<void>;
    /** Resolves to true once a primary is known, or to false at the deadline. */
    waitForPrimary(deadlineMs: number): Promise<boolean>;
    /** Ends the calls of `waitForPrimary` if a primary is known. */
    notifyWaiters(): void;
    /** Adds a sample taken by another host or by a probe, requested at the given time. */
    addSample(position: positions.Position, requestedAtMs: number): void;
    newestSample(): samples.Sample | undefined;
    /**
     * True if a replica could serve the read if only a sample of the primary were known. Without one only the primary can, and
     * it may be outside the homes of the request; its status may be queried all the same.
     */
    needsSample(request: PlacementRequest): boolean;
    /** Queries the primary for a sample; all callers at the same time share one query. */
    querySample(): Promise<void>;
    /** When this host last reached the primary, and since when it has failed to. */
    primaryContact(): promotion.Contact;
    /** Records that an endpoint answered, whatever its answer was. */
    recordAnswer(endpoint: string): void;
    /** The choice of endpoints for reads. */
    readonly choice: endpointChoices.EndpointChoice;
    /** Network round trip to an endpoint, estimated from its failure domain, in milliseconds. */
    roundTripMs(endpoint: string): number;
    /** Minimum time to allow for a statement at the endpoint, in milliseconds. */
    minStatementMs(endpoint: string): number;
    /** Discards the samples and failures, because a clock jump made their ages unknown. */
    invalidateAges(): void;
    /**
     * Creates views of newly listed endpoints, and closes the pools of those that are no longer listed or may take no new
     * work because their failure domain is evacuated.
     */
    reconcileEndpoints(): void;
    /** Fails expired requests and closes surplus idle connections; to be called at short intervals. */
    sweepPools(): void;
    /** Statements that this host runs or queues, by endpoint. */
    loadByEndpoint(): Readonly<Record<string, number>>;
    /** Open connections of this host, by endpoint. */
    connectionsByEndpoint(): Readonly<Record<string, number>>;
    close(): void;
}

/** Must exceed the maximum staleness that any route allows. */
const sampleRetentionMs = 10_000;
/** Delay suggested to callers before they retry. */
const retryAfterMs = 150;
/** Creates a group without samples; views of its endpoints are created when they are needed. */
export function createGroup(options: Options): Group {
    const { clock, name, leadership } = options;
    const views = new Map<string, endpoints.EndpointView>();
    const eligibility = eligibilities.createEligibility({
        ...options,
        primary: () => leadership.find(name)?.primary,
    });
    const recentSamples = samples.createSamples(sampleRetentionMs);
    const waiters = primaryWaiters.createWaiters(clock, hasPrimary);
    const workInProgress = workInProgresses.createWorkInProgress(clock);
    const choice = endpointChoices.createEndpointChoice({
        ...options,
        group: name,
        view,
        findView: endpoint => views.get(endpoint),
        distanceTo: failureDomain => distanceTo(failureDomain),
        isRationed: listed => eligibility.isRationed(listed),
        isPrimary: endpoint => leadership.find(name)?.primary === endpoint && !options.isDrained(endpoint),
    });

    /** Returns the view of a listed endpoint; creates a new one if the endpoint's address or process changed. */
    function view(listed: directory.Endpoint): endpoints.EndpointView {
        const current = views.get(listed.id);
        if (current !== undefined && current.address === listed.address && current.born === listed.born) {
            return current;
        }
        current?.pool.close();
        choice.forget(listed.id);
        const created = endpoints.createEndpointView({
            listed,
            clock,
            dialer: options.dialer,
            events: options.events,
            roundTripMs: roundTripToDomainMs(listed.failureDomain),
            weight: options.weight,
            share: () => options.share(listed.id),
            otherHostsLoad: () => options.otherHostsLoad(listed.id),
            viewAgeMs: options.viewAgeMs,
            metrics: options.metrics,
        });
        views.set(listed.id, created);
        return created;
    }

    const distanceTo = (failureDomain: string): distances.Distance =>
        distances.between(options.failureDomain, failureDomain, options.regionOf);
    const roundTripToDomainMs = (failureDomain: string): number =>
        distances.roundTripMs(options.failureDomain, failureDomain, options.regionOf);

    function noRoom(roomInMs: number): neverthrow.Result<never, failure.Failure> {
        const message = `The endpoints of ${name} that could serve the statement are starting and have no room.`;
        return neverthrow.err(failure.create(failure.Code.endpointCold, name, message, Math.ceil(roomInMs)));
    }

    function hasPrimary(): boolean {
        const record = leadership.find(name);
        return record !== undefined && !record.changing && leadership.isTrusted(clock.now())
            && !options.isDrained(record.primary);
    }

    function noPrimary(): failure.Failure {
        const record = leadership.find(name);
        const state = record === undefined
            ? "is not known yet"
            : record.changing
            ? "is being replaced"
            : options.isDrained(record.primary)
            ? "is shutting down and isn't replaced yet"
            : "can't be confirmed at the moment";
        return failure.create(failure.Code.noPrimary, name, `The primary of ${name} ${state}.`, retryAfterMs);
    }

    const minReadPosition = (request: PlacementRequest): placement.MinimumPosition | undefined =>
        readPositions.minimum(request, recentSamples, clock.now());

    function placePrimary(eligible: decisions.Eligibility): Result<Placement> {
        const record = leadership.find(name);
        const listed = options.endpoints().find(endpoint => endpoint.id === record?.primary);
        if (record === undefined || !hasPrimary() || listed === undefined) {
            return neverthrow.err(
                eligible.exhausted === undefined
                    ? noPrimary()
                    : decisions.refusal(name, eligible.exhausted, "endpoint"),
            );
        }
        const reason = eligible.reasonAgainstPrimary(listed.id);
        if (reason !== undefined) {
            return neverthrow.err(decisions.refusal(name, reason, "primary"));
        }
        view(listed);
        const { roomInMs } = options.coldState(listed.id);
        if (roomInMs > placement.maxRoomWaitMs) {
            return noRoom(roomInMs);
        }
        return neverthrow.ok({
            endpoint: record.primary,
            primary: true,
            minPosition: undefined,
            sampleAgeMs: leadership.proofAgeMs(clock.now()),
            expectedMs: 0,
            left: undefined,
            rejected: [],
        });
    }

    function addSample(position: positions.Position, requestedAtMs: number): void {
        if (options.noClockJumpSince(requestedAtMs)) {
            recentSamples.add({ position, requestedAtMs });
        }
    }

    return {
        name,
        choice,
        addSample,
        querySample: sampleQueries.createSampleQuery({
            ...options,
            primary: () => options.endpoints().find(endpoint => endpoint.id === leadership.find(name)?.primary),
            isPrimary: endpoint => leadership.isPrimary(name, endpoint, clock.now()),
            addSample,
        }),
        needsSample: request =>
            !request.needsPrimary && request.consistency.kind !== "primary" && minReadPosition(request) === undefined
            && eligibility.evaluate(request.homes).eligible.size > 0,
        recordAnswer: endpoint => views.get(endpoint)?.recordAnswer(),
        place(request) {
            const eligible = eligibility.evaluate(request.homes);
            if (request.needsPrimary || request.consistency.kind === "primary") {
                return placePrimary(eligible);
            }
            const required = minReadPosition(request);
            // Without an eligible endpoint, only a primary that is about to be replaced may still serve the read.
            if (required === undefined || eligible.exhausted !== undefined) {
                return placePrimary(eligible);
            }
            const chosen = choice.choose({
                floor: required,
                excluded: request.triedEndpoints,
                eligible: eligible.eligible,
                organisation: request.organisation,
                targetMs: request.targetMs,
            });
            if (chosen.endpoint === undefined && chosen.roomInMs !== undefined) {
                return noRoom(chosen.roomInMs);
            }
            if (chosen.endpoint === undefined) {
                const message = `No endpoint of ${name} can serve the read.`;
                return neverthrow.err(failure.create(failure.Code.replicaBehind, name, message, retryAfterMs));
            }
            eligibility.countChosen(chosen.endpoint);
            return neverthrow.ok({
                endpoint: chosen.endpoint,
                primary: leadership.find(name)?.primary === chosen.endpoint,
                minPosition: required.position,
                sampleAgeMs: required.ageMs,
                expectedMs: chosen.expectedMs,
                left: chosen.left,
                rejected: [...chosen.rejected, ...eligible.rejected],
            });
        },
        pool: endpoint => views.get(endpoint)?.pool,
        isLeaving: endpoint =>
            options.isDrained(endpoint)
            || (leadership.find(name)?.primary !== endpoint
                && options.endpoints().some(listed => listed.id === endpoint && listed.draining)),
        relaying: options.relaying,
        mayContinue: endpoint => eligibility.mayContinue(endpoint),
        recordReply(endpoint, reply, requestedAtMs, context) {
            views.get(endpoint)?.recordReply(reply, requestedAtMs, context);
            const fromPrimary = leadership.isPrimary(name, endpoint, clock.now());
            if (reply.position !== undefined && fromPrimary && options.noClockJumpSince(requestedAtMs)) {
                recentSamples.add({ position: reply.position, requestedAtMs });
            }
        },
        recordFailure(endpoint, requestedAtMs, error) {
            if (error.relayed !== true) {
                views.get(endpoint)?.recordFailure(requestedAtMs, error);
            }
        },
        minStatementMs: endpoint => views.get(endpoint)?.minStatementMs() ?? 0,
        isPrimary: endpoint => leadership.isPrimary(name, endpoint, clock.now()),
        mayAcknowledge: endpoint => leadership.mayAcknowledge(name, endpoint, clock.now()),
        beginWork: workInProgress.begin,
        waitUntilIdle: workInProgress.waitUntilIdle,
        waitForPrimary: waiters.wait,
        notifyWaiters: waiters.notify,
        newestSample: () => recentSamples.newest(),
        primaryContact: () =>
            views.get(leadership.find(name)?.primary ?? "")?.contact()
                ?? { answerAgeMs: undefined, failingForMs: undefined },
        roundTripMs(endpoint) {
            const listed = options.endpoints().find(entry => entry.id === endpoint);
            return roundTripToDomainMs(listed?.failureDomain ?? options.failureDomain);
        },
        invalidateAges() {
            recentSamples.clear();
            views.forEach(entry => entry.invalidateAges());
        },
        reconcileEndpoints() {
            const listed = new Map(options.endpoints().map(endpoint => [endpoint.id, endpoint]));
            for (const [id, entry] of views) {
                const endpoint = listed.get(id);
                if (endpoint === undefined || !eligibility.takesWork(endpoint)) {
                    entry.pool.close();
                    views.delete(id);
                    if (endpoint !== undefined) {
                        eligibility.retire(entry.pool, endpoint);
                    }
                }
            }
            eligibility.closeRetired();
            options.endpoints().filter(eligibility.takesWork).forEach(view);
        },
        sweepPools: () => views.forEach(entry => entry.pool.sweep()),
        loadByEndpoint: () => Object.fromEntries([...views].map(([id, entry]) => [id, entry.pool.load()])),
        connectionsByEndpoint: () => Object.fromEntries([...views].map(([id, entry]) => [id, entry.pool.size()])),
        close: () => views.forEach(entry => entry.pool.close()),
    };
}
