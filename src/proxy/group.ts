/** One database group as this host sees it: its endpoints, its primary, and how fresh what it knows is. */
import * as neverthrow from "neverthrow";
import type * as shares from "../core/connectionshares.js";
import type * as directory from "../core/directory.js";
import * as failure from "../core/failure.js";
import type * as tenure from "../core/leadership.js";
import * as placement from "../core/placement.js";
import type * as policies from "../core/policy.js";
import * as positions from "../core/position.js";
import type * as succession from "../core/promotion.js";
import * as samples from "../core/samples.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import * as endpoints from "./endpoint.js";
import type * as events from "./events.js";
import type * as pools from "./pool.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of a group. */
export interface Options {
    readonly name: string;
    readonly failureDomain: string;
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    readonly events: events.EventLog;
    readonly leadership: tenure.Leadership;
    /** True when no suspension of this host was noticed since the moment. */
    noClockJumpSince(sinceMs: number): boolean;
    regionOf(failureDomain: string): string | undefined;
    /** Connections that this host may open to an endpoint. */
    share(endpoint: string): shares.Share;
    /** Statements at an endpoint from all other hosts. */
    otherHostsLoad(endpoint: string): number;
    endpoints(): readonly directory.Endpoint[];
}

/** A commit of a session. */
export interface Commit {
    readonly position: positions.Position;
    readonly committedMs: number;
}

/** What a statement asks of the endpoint that runs it. */
export interface PlacementRequest {
    readonly consistency: policies.Consistency;
    /** True when the primary has to run it. */
    readonly needsPrimary: boolean;
    readonly arrivedMs: number;
    /** The session's own newest commit. */
    readonly lastCommit: Commit | undefined;
    readonly organisation: string;
    readonly triedEndpoints: ReadonlySet<string>;
}

/** Where a statement goes. */
export interface Placement {
    readonly endpoint: string;
    readonly primary: boolean;
    /** Position that the endpoint's log has to hold. */
    readonly minPosition: positions.Position | undefined;
    /** Age of what the choice rests on, in milliseconds. */
    readonly sampleAgeMs: number | undefined;
    readonly expectedMs: number;
    readonly rejected: readonly placement.Rejection[];
}

/** One database group. */
export interface Group {
    readonly name: string;
    /** Decides where a statement goes. */
    place(need: PlacementRequest): Result<Placement>;
    pool(endpoint: string): pools.Pool | undefined;
    /** Takes in what an answer shows of the endpoint. */
    recordReply(endpoint: string, reply: connections.Reply, askedMs: number, sight: endpoints.ReplyContext): void;
    /** Takes in that an endpoint gave no answer. */
    recordFailure(
        endpoint: string,
        askedMs: number,
        loss: Pick<connections.ConnectionError, "timedOut" | "message">,
    ): void;
    /** True while the endpoint is known to be the primary, for new work. */
    isPrimary(endpoint: string): boolean;
    /** True while what the endpoint has just done as primary may be acknowledged. */
    mayAcknowledge(endpoint: string): boolean;
    /** Counts work under way at the primary, until the returned function is called. */
    beginWork(endpoint: string): () => void;
    /** Resolves once no work is under way at the endpoint, or after the time. */
    waitUntilIdle(endpoint: string, limitMs: number): Promise<void>;
    /** Resolves once a primary is known, or at the deadline. */
    waitForPrimary(deadlineMs: number): Promise<boolean>;
    /** Tells those who wait that the primary may have become known. */
    notifyWaiters(): void;
    /** Takes in a sample that another host accepted. */
    addSample(position: positions.Position, askedMs: number): void;
    newestSample(): samples.Sample | undefined;
    /** Contact with the primary. */
    primaryContact(): succession.Contact;
    /** Takes in that an endpoint answered. */
    recordAnswer(endpoint: string): void;
    roundTripMs(endpoint: string): number;
    /** Least time that a statement needs at the endpoint, in milliseconds. */
    minStatementMs(endpoint: string): number;
    /** Forgets what rests on ages. */
    invalidateAges(): void;
    /** Drops the pools of endpoints that are gone. */
    reconcileEndpoints(): void;
    loadByEndpoint(): Readonly<Record<string, number>>;
    connectionsByEndpoint(): Readonly<Record<string, number>>;
    close(): void;
}

/** Time for which samples are kept, in milliseconds; beyond the largest age that a route tolerates. */
const keepMs = 10_000;
/** Held back from the tolerated age, in milliseconds: time from the caller's first byte to this host's reading it. */
const marginMs = 40;
/** Round trips by distance, in milliseconds: the same failure domain, the same region, another region. */
const roundTripsMs = { domain: 0.5, region: 3, remote: 17 } as const;
const retryMs = 150;
const quietPollMs = 5;

/** Creates a group that knows nothing yet. */
export function createGroup(options: Options): Group {
    const { clock, name, leadership: tenures } = options;
    const views = new Map<string, endpoints.EndpointView>();
    const known = samples.createSamples(keepMs);
    const waiting = new Set<() => void>();
    const underWay = new Map<string, number>();

    function view(listed: directory.Endpoint): endpoints.EndpointView {
        const held = views.get(listed.id);
        if (held !== undefined && held.address === listed.address && held.born === listed.born) {
            return held;
        }
        held?.pool.close();
        const created = endpoints.createEndpointView({
            listed,
            clock,
            dialer: options.dialer,
            events: options.events,
            roundTripMs: roundTripMs(listed.failureDomain),
            share: () => options.share(listed.id),
        });
        views.set(listed.id, created);
        return created;
    }

    function roundTripMs(failureDomain: string): number {
        if (failureDomain === options.failureDomain) {
            return roundTripsMs.domain;
        }
        return options.regionOf(failureDomain) === options.regionOf(options.failureDomain)
            ? roundTripsMs.region
            : roundTripsMs.remote;
    }

    function candidate(listed: directory.Endpoint, organisation: string): placement.Candidate {
        const measured = view(listed).placementInputs(organisation);
        return {
            ...measured,
            endpoint: listed.id,
            primary: tenures.find(name)?.primary === listed.id,
            draining: listed.draining,
            load: measured.load + options.otherHostsLoad(listed.id),
            concurrency: listed.slots,
        };
    }

    function led(): boolean {
        const record = tenures.find(name);
        return record !== undefined && !record.changing && tenures.isTrusted(clock.now());
    }

    function unled(): failure.Failure {
        const record = tenures.find(name);
        const why = record === undefined
            ? "is not known yet"
            : record.changing
            ? "is being replaced"
            : "can't be confirmed at the moment";
        return failure.create(failure.Code.noPrimary, name, `The primary of ${name} ${why}.`, retryMs);
    }

    /** The least position that a read has to see, with the age of the sample behind it. */
    function floor(need: PlacementRequest): placement.MinimumPosition | undefined {
        if (need.consistency.kind === "primary") {
            return undefined;
        }
        const momentMs = need.arrivedMs - need.consistency.maxAgeMs + marginMs;
        const oldest = known.oldestSince(momentMs);
        if (oldest === undefined) {
            return undefined;
        }
        const own = need.consistency.kind === "session" ? need.lastCommit : undefined;
        const newest = known.newest();
        // A commit of an earlier term that survived is below every position of a later term.
        const overtaken = own !== undefined && newest !== undefined && newest.position.term > own.position.term;
        const sample = overtaken && oldest.position.term <= own.position.term ? newest : oldest;
        const ageMs = clock.now() - sample.requestedAtMs;
        if (own === undefined || overtaken || positions.compare(own.position, sample.position) <= 0) {
            return { position: sample.position, ageMs };
        }
        return { position: own.position, ageMs: Math.min(ageMs, clock.now() - own.committedMs) };
    }

    function placePrimary(): Result<Placement> {
        const record = tenures.find(name);
        const listed = options.endpoints().find(endpoint => endpoint.id === record?.primary);
        if (record === undefined || !led() || listed === undefined) {
            return neverthrow.err(unled());
        }
        view(listed);
        return neverthrow.ok({
            endpoint: record.primary,
            primary: true,
            minPosition: undefined,
            sampleAgeMs: tenures.proofAgeMs(clock.now()),
            expectedMs: 0,
            rejected: [],
        });
    }

    return {
        name,
        recordAnswer: endpoint => views.get(endpoint)?.recordAnswer(),
        place(need) {
            if (need.needsPrimary || need.consistency.kind === "primary") {
                return placePrimary();
            }
            const wanted = floor(need);
            if (wanted === undefined) {
                return placePrimary();
            }
            const candidates = options.endpoints().map(endpoint => candidate(endpoint, need.organisation));
            const choice = placement.choose(candidates, { floor: wanted, excluded: need.triedEndpoints });
            if (choice.endpoint === undefined) {
                const message = `No endpoint of ${name} can serve the read.`;
                return neverthrow.err(failure.create(failure.Code.replicaBehind, name, message, retryMs));
            }
            return neverthrow.ok({
                endpoint: choice.endpoint,
                primary: tenures.find(name)?.primary === choice.endpoint,
                minPosition: wanted.position,
                sampleAgeMs: wanted.ageMs,
                expectedMs: choice.expectedMs,
                rejected: choice.rejected,
            });
        },
        pool: endpoint => views.get(endpoint)?.pool,
        recordReply(endpoint, reply, askedMs, sight) {
            views.get(endpoint)?.recordReply(reply, askedMs, sight);
            const leads = tenures.isPrimary(name, endpoint, clock.now());
            if (reply.position !== undefined && leads && options.noClockJumpSince(askedMs)) {
                known.add({ position: reply.position, requestedAtMs: askedMs });
            }
        },
        recordFailure: (endpoint, askedMs, loss) => views.get(endpoint)?.recordFailure(askedMs, loss),
        minStatementMs: endpoint => views.get(endpoint)?.minStatementMs() ?? 0,
        isPrimary: endpoint => tenures.isPrimary(name, endpoint, clock.now()),
        mayAcknowledge: endpoint => tenures.mayAcknowledge(name, endpoint, clock.now()),
        beginWork(endpoint) {
            underWay.set(endpoint, (underWay.get(endpoint) ?? 0) + 1);
            return () => {
                underWay.set(endpoint, (underWay.get(endpoint) ?? 1) - 1);
            };
        },
        async waitUntilIdle(endpoint, limitMs) {
            const deadlineMs = clock.now() + limitMs;
            while ((underWay.get(endpoint) ?? 0) > 0 && clock.now() < deadlineMs) {
                await clock.sleep(quietPollMs);
            }
        },
        async waitForPrimary(deadlineMs) {
            while (!led() && clock.now() < deadlineMs) {
                await new Promise<void>(resolve => {
                    const done = (): void => {
                        waiting.delete(done);
                        stop();
                        resolve();
                    };
                    const stop = clock.after(deadlineMs - clock.now(), done);
                    waiting.add(done);
                });
            }
            return led();
        },
        notifyWaiters() {
            if (led()) {
                [...waiting].forEach(done => done());
            }
        },
        addSample(position, askedMs) {
            if (options.noClockJumpSince(askedMs)) {
                known.add({ position, requestedAtMs: askedMs });
            }
        },
        newestSample: () => known.newest(),
        primaryContact: () =>
            views.get(tenures.find(name)?.primary ?? "")?.contact()
                ?? { answerAgeMs: undefined, failingForMs: undefined },
        roundTripMs(endpoint) {
            const listed = options.endpoints().find(candidate => candidate.id === endpoint);
            return roundTripMs(listed?.failureDomain ?? options.failureDomain);
        },
        invalidateAges() {
            known.clear();
            views.forEach(entry => entry.invalidateAges());
        },
        reconcileEndpoints() {
            const listed = new Map(options.endpoints().map(endpoint => [endpoint.id, endpoint]));
            for (const [id, entry] of views) {
                if (!listed.has(id)) {
                    entry.pool.close();
                    views.delete(id);
                }
            }
            listed.forEach(endpoint => void view(endpoint));
        },
        loadByEndpoint: () => Object.fromEntries([...views].map(([id, entry]) => [id, entry.pool.load()])),
        connectionsByEndpoint: () => Object.fromEntries([...views].map(([id, entry]) => [id, entry.pool.size()])),
        close: () => views.forEach(entry => entry.pool.close()),
    };
}
