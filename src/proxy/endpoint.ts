/** One endpoint as this host sees it: its connections, response times, failures and replication lag. */
import type * as shares from "../core/connectionshares.js";
import type * as directory from "../core/directory.js";
import * as endpointRooms from "../core/endpointroom.js";
import * as evidences from "../core/evidence.js";
import type * as placement from "../core/placement.js";
import type * as positions from "../core/position.js";
import type * as promotion from "../core/promotion.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import * as pools from "./pool.js";

/** Settings of an endpoint view. */
export interface Options {
    /** The endpoint as the platform lists it. */
    readonly listed: directory.Endpoint;
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    readonly events: events.EventLog;
    /** Network round trip to the endpoint, in milliseconds. */
    readonly roundTripMs: number;
    /** Relative weight of an organisation among those whose statements wait, above 0. */
    weight(organisation: string): number;
    /** This host's share of the connections to the endpoint. */
    share(): shares.Share;
    /** Number of statements that the other hosts run at the endpoint or queue for it. */
    otherHostsLoad(): number;
    /** Mean age of what this host knows of the other hosts, in milliseconds. */
    viewAgeMs(): number;
    readonly metrics: AdmissionMetrics;
}

/** Counters of the statements that wait for connections. */
export interface AdmissionMetrics {
    /** Counts a statement served while a more urgent one that could meet its target waited. */
    inverted(): void;
    /** Counts a waiting statement that was dropped because its caller had left. */
    abandoned(): void;
}

/** What is needed beside a reply to update the statistics. */
export interface ReplyContext {
    /** True when the endpoint executed the request rather than refusing it. */
    readonly executed: boolean;
    /** Age of the position that the request required, in milliseconds; undefined without a requirement. */
    readonly floorAgeMs: number | undefined;
}

/** One endpoint as this host sees it. */
export interface EndpointView {
    readonly pool: pools.Pool;
    readonly address: string;
    /** Start of the endpoint's process, as listed. */
    readonly born: number;
    /** Records that the endpoint answered, whatever its answer was. */
    recordAnswer(): void;
    /** Records that a request sent at the given time got no reply. */
    recordFailure(requestedAtMs: number, error: Pick<connections.ConnectionError, "timedOut" | "message">): void;
    /** Updates the statistics with the reply to a request sent at the given time. */
    recordReply(reply: connections.Reply, requestedAtMs: number, context: ReplyContext): void;
    /** When the endpoint last answered, and since when it has failed to. */
    contact(): promotion.Contact;
    /** Minimum time to allow for a statement, in milliseconds. */
    minStatementMs(): number;
    /** Inputs to the choice between endpoints, apart from the endpoint's role and the load from other hosts. */
    placementInputs(
        organisation: string,
    ): Omit<
        placement.Candidate,
        "endpoint" | "primary" | "draining" | "concurrency" | "trusted" | "failureRate" | "distance"
    >;
    /** Outcomes of this host's recent statements. */
    outcomes(): evidences.Outcomes;
    /** Discards the current failure, because a clock jump made its age unknown. */
    invalidateAges(): void;
}

/** Estimated service time before the first statement. */
const initialServiceMs = 15;
/** Weight of a new observation in the moving average of the service time. */
const serviceSmoothing = 0.15;
/** Estimated lag of a replica before the first reply. */
const initialLagMs = 50;
/** Fraction of the difference by which the estimated lag falls with each reply that shows a smaller lag. */
const lagDecay = 0.1;
/** Factor between the age of a position that a replica lacked and the estimated lag. */
const lagMargin = 1.3;
/** The minimum time allowed for a statement, as a multiple of the average service time; most statements take less. */
const minServiceFactor = 2;
/** Minimum wait after which a time-out counts as a failure: over ten times a usual statement. */
const minTimeoutMs = 250;
/** Time from its last failure for which an endpoint counts as suspect and is avoided; then it is tried again. */
const suspicionMs = 1_000;

/** Statements at an endpoint, as a multiple of those that it runs at once, from which a time-out says nothing of it. */
const crowdedFactor = 2;

/** Creates the view of an endpoint to which no request has been sent yet. */
export function createEndpointView(options: Options): EndpointView {
    const { clock, listed, events } = options;
    const labels = { group: listed.group, endpoint: listed.id };
    let serviceMs = initialServiceMs;
    let lagMs = initialLagMs;
    let applied: positions.Position | undefined;
    let lastAnswerMs: number | undefined;
    let failingSinceMs: number | undefined;
    let lastFailureMs = -Infinity;
    const evidence = evidences.createEvidence();
    const endpointRoom = endpointRooms.createEndpointRoom();

    const isCrowded = (): boolean => pool.load() + options.otherHostsLoad() > crowdedFactor * listed.slots;

    const endpointView = (ownLoad: number): endpointRooms.View => ({
        slots: listed.slots,
        othersLoad: options.otherHostsLoad(),
        ownLoad,
        ageMs: options.viewAgeMs(),
    });

    function recordAnswer(): void {
        if (failingSinceMs !== undefined) {
            events.emit("endpointRegained", { ...labels, lostMs: Math.round(clock.now() - failingSinceMs) });
        }
        lastAnswerMs = clock.now();
        failingSinceMs = undefined;
    }

    function recordFailure(
        requestedAtMs: number,
        error: Pick<connections.ConnectionError, "timedOut" | "message">,
    ): void {
        const waitedMs = clock.now() - requestedAtMs;
        // A short time-out proves nothing. An answer received since the request was sent shows that the endpoint is up.
        if ((error.timedOut && waitedMs < minTimeoutMs) || requestedAtMs <= (lastAnswerMs ?? -Infinity)) {
            return;
        }
        lastFailureMs = clock.now();
        if (!error.timedOut || !isCrowded()) {
            evidence.record(true, clock.now());
        }
        if (failingSinceMs === undefined) {
            failingSinceMs = requestedAtMs;
            events.emit("endpointLost", { ...labels, reason: error.message, sinceMs: Math.round(waitedMs) });
        }
    }

    function updateLag(reply: connections.Reply, floorAgeMs: number): void {
        if (reply.outcome.kind === "refused" && reply.outcome.refusal === "lagging") {
            lagMs = Math.max(lagMs, floorAgeMs * lagMargin);
        }
        else if (floorAgeMs < lagMs) {
            lagMs += (floorAgeMs - lagMs) * lagDecay;
        }
    }

    const pool = pools.createPool({
        endpoint: listed.id,
        group: listed.group,
        address: listed.address,
        dialer: options.dialer,
        clock,
        answerMs: () => options.roundTripMs + serviceMs,
        endpointWaitMs: ownLoad => endpointRoom.waitMs(endpointView(ownLoad)),
        onInversion: options.metrics.inverted,
        onAbandoned: options.metrics.abandoned,
        weight: options.weight,
        share: () => options.share(),
        onReply: recordAnswer,
        onFailure: recordFailure,
    });

    return {
        pool,
        recordAnswer,
        recordFailure,
        address: listed.address,
        born: listed.born,
        recordReply(reply, requestedAtMs, { executed, floorAgeMs }) {
            recordAnswer();
            applied = reply.position ?? applied;
            if (floorAgeMs !== undefined) {
                updateLag(reply, floorAgeMs);
            }
            const refusal = reply.outcome.kind === "refused" ? reply.outcome.refusal : undefined;
            const failed = refusal === "failed" || refusal === "other" || (refusal === "timeout" && !isCrowded());
            if (executed || failed) {
                evidence.record(failed, clock.now());
            }
            if (executed) {
                const observedMs = reply.executionMs
                    ?? Math.max(0, clock.now() - requestedAtMs - options.roundTripMs);
                serviceMs += (observedMs - serviceMs) * serviceSmoothing;
                endpointRoom.recordAnswer(observedMs, endpointView(Math.max(0, pool.load() - 1)));
            }
        },
        contact() {
            const age = (atMs: number | undefined): number | undefined =>
                atMs === undefined ? undefined : clock.now() - atMs;
            return { answerAgeMs: age(lastAnswerMs), failingForMs: age(failingSinceMs) };
        },
        outcomes: () => evidence.own(clock.now()),
        minStatementMs: () => options.roundTripMs + serviceMs * minServiceFactor,
        placementInputs: organisation => ({
            suspect: failingSinceMs !== undefined && clock.now() - lastFailureMs < suspicionMs,
            roundTripMs: options.roundTripMs,
            serviceMs,
            load: pool.load(),
            hasIdleConnection: pool.hasIdle(organisation),
            appliedPosition: applied,
            estimatedLagMs: lagMs,
        }),
        invalidateAges() {
            failingSinceMs = undefined;
        },
    };
}
