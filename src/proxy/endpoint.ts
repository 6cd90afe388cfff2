/** One endpoint as this host sees it: its connections, how it answers, and how far it lags. */
import type * as shares from "../core/connectionshares.js";
import type * as directory from "../core/directory.js";
import type * as placement from "../core/placement.js";
import type * as positions from "../core/position.js";
import type * as succession from "../core/promotion.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import * as pools from "./pool.js";

/** Settings of an endpoint's view. */
export interface Options {
    readonly listed: directory.Endpoint;
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    readonly events: events.EventLog;
    /** Time to the endpoint and back, in milliseconds. */
    readonly roundTripMs: number;
    /** Connections that this host may keep open. */
    share(): shares.Share;
}

/** What an answer tells beside itself. */
export interface ReplyContext {
    /** True when the endpoint spent work on it. */
    readonly executed: boolean;
    /** Age of the position that the endpoint was asked to hold, in milliseconds. */
    readonly floorAgeMs: number | undefined;
}

/** One endpoint. */
export interface EndpointView {
    readonly pool: pools.Pool;
    readonly address: string;
    readonly born: number;
    /** Notes that the endpoint answered. */
    recordAnswer(): void;
    /** Notes that a request of the given moment got no answer. */
    recordFailure(askedMs: number, loss: Pick<connections.ConnectionError, "timedOut" | "message">): void;
    /** Takes in an answer to a request of the given moment. */
    recordReply(reply: connections.Reply, askedMs: number, sight: ReplyContext): void;
    contact(): succession.Contact;
    /** Least time that a statement needs there, in milliseconds. */
    minStatementMs(): number;
    /** What a choice between endpoints rests on, beside its role and the load from other hosts. */
    placementInputs(
        organisation: string,
    ): Omit<placement.Candidate, "endpoint" | "primary" | "draining" | "concurrency">;
    /** Forgets what rests on ages. */
    invalidateAges(): void;
}

/** Expected time of a statement before any was seen, in milliseconds. */
const initialServiceMs = 15;
const smoothing = 0.15;
/** Lag that a replica is taken to have before it was asked, in milliseconds. */
const initialLagMs = 50;
/** Part of the difference by which the estimate of a replica's lag falls with each answer that shows less. */
const lagFall = 0.1;
/** Factor by which the estimate exceeds the age of a position that a replica lacked. */
const lagRise = 1.3;
/** Times the usual work that a statement is given at least; most take less. */
const neededFactor = 2;
/** Shortest wait without an answer that counts as a failure, in milliseconds: over ten times a usual statement. */
const patienceMs = 250;
/** Time for which an endpoint that failed is passed over, in milliseconds; then one statement tries it again. */
const suspectMs = 1_000;

/** Creates the view of an endpoint that was not asked yet. */
export function createEndpointView(options: Options): EndpointView {
    const { clock, listed, events } = options;
    const name = { group: listed.group, endpoint: listed.id };
    let serviceMs = initialServiceMs;
    let lagMs = initialLagMs;
    let applied: positions.Position | undefined;
    let answeredMs: number | undefined;
    let failingMs: number | undefined;

    function answered(): void {
        if (failingMs !== undefined) {
            events.emit("endpointRegained", { ...name, lostMs: Math.round(clock.now() - failingMs) });
        }
        answeredMs = clock.now();
        failingMs = undefined;
    }

    function lost(askedMs: number, loss: Pick<connections.ConnectionError, "timedOut" | "message">): void {
        const waitedMs = clock.now() - askedMs;
        // A short wait shows nothing, and an answer that came since the request was sent shows that the endpoint lives.
        if ((loss.timedOut && waitedMs < patienceMs) || askedMs <= (answeredMs ?? -Infinity)) {
            return;
        }
        if (failingMs === undefined) {
            failingMs = askedMs;
            events.emit("endpointLost", { ...name, reason: loss.message, sinceMs: Math.round(waitedMs) });
        }
    }

    function noteLag(reply: connections.Reply, floorAgeMs: number): void {
        if (reply.outcome.kind === "refused" && reply.outcome.refusal === "lagging") {
            lagMs = Math.max(lagMs, floorAgeMs * lagRise);
        }
        else if (floorAgeMs < lagMs) {
            lagMs += (floorAgeMs - lagMs) * lagFall;
        }
    }

    const pool = pools.createPool({
        endpoint: listed.id,
        group: listed.group,
        address: listed.address,
        concurrency: listed.slots,
        dialer: options.dialer,
        clock,
        share: () => options.share(),
        onReply: answered,
        onFailure: lost,
    });

    return {
        pool,
        recordAnswer: answered,
        recordFailure: lost,
        address: listed.address,
        born: listed.born,
        recordReply(reply, askedMs, { executed: ran, floorAgeMs }) {
            answered();
            applied = reply.position ?? applied;
            if (floorAgeMs !== undefined) {
                noteLag(reply, floorAgeMs);
            }
            if (ran) {
                const workMs = Math.max(0, clock.now() - askedMs - options.roundTripMs);
                serviceMs += (workMs - serviceMs) * smoothing;
            }
        },
        contact() {
            const age = (atMs: number | undefined): number | undefined =>
                atMs === undefined ? undefined : clock.now() - atMs;
            return { answerAgeMs: age(answeredMs), failingForMs: age(failingMs) };
        },
        minStatementMs: () => options.roundTripMs + serviceMs * neededFactor,
        placementInputs: organisation => ({
            suspect: failingMs !== undefined && clock.now() - failingMs < suspectMs,
            roundTripMs: options.roundTripMs,
            serviceMs,
            load: pool.load(),
            hasIdleConnection: pool.hasIdle(organisation),
            appliedPosition: applied,
            estimatedLagMs: lagMs,
        }),
        invalidateAges() {
            failingMs = undefined;
        },
    };
}
