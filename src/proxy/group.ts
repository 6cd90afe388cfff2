/** One database group as this host sees it: its endpoints, its primary, and how fresh what it knows is. */
import * as neverthrow from "neverthrow";
import type * as directory from "../core/directory.js";
import * as failure from "../core/failure.js";
import * as placement from "../core/placement.js";
import type * as policies from "../core/policy.js";
import * as positions from "../core/position.js";
import * as samples from "../core/samples.js";
import type * as succession from "../core/succession.js";
import type * as tenure from "../core/tenure.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import * as pools from "./pool.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of a group. */
export interface Options {
    readonly name: string;
    readonly failureDomain: string;
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    readonly events: events.Events;
    readonly tenures: tenure.Tenures;
    /** True when no suspension of this host was noticed since the moment. */
    trusts(sinceMs: number): boolean;
    regionOf(failureDomain: string): string | undefined;
    /** Connections that this host may keep open to each endpoint. */
    share(): number;
    /** Statements at an endpoint from all other hosts. */
    otherLoad(endpoint: string): number;
    endpoints(): readonly directory.Endpoint[];
}

/** What a statement asks of the endpoint that runs it. */
export interface Need {
    readonly consistency: policies.Consistency;
    /** True when the primary has to run it. */
    readonly write: boolean;
    readonly arrivedMs: number;
    /** Position of the session's own newest commit. */
    readonly own: positions.Position | undefined;
    readonly organisation: string;
    readonly tried: ReadonlySet<string>;
}

/** Where a statement goes. */
export interface Place {
    readonly endpoint: string;
    readonly primary: boolean;
    /** Position that the endpoint's log has to hold. */
    readonly after: positions.Position | undefined;
    /** Age of what the choice rests on, in milliseconds. */
    readonly sampleAgeMs: number | undefined;
    readonly expectedMs: number;
    readonly rejected: readonly placement.Rejection[];
}

/** One database group. */
export interface Group {
    readonly name: string;
    /** Decides where a statement goes. */
    place(need: Need): Result<Place>;
    pool(endpoint: string): pools.Pool | undefined;
    /** Takes in what an answer shows of the endpoint. */
    observe(endpoint: string, reply: connections.Reply, askedMs: number, ran: boolean): void;
    /** Takes in that an endpoint gave no answer. */
    lost(endpoint: string): void;
    /** True while the endpoint is known to be the primary, for new work. */
    leads(endpoint: string): boolean;
    /** True while what the endpoint has just done as primary may be acknowledged. */
    acknowledges(endpoint: string): boolean;
    /** Counts work under way at the primary, until the returned function is called. */
    enter(endpoint: string): () => void;
    /** Resolves once no work is under way at the endpoint, or after the time. */
    untilQuiet(endpoint: string, limitMs: number): Promise<void>;
    /** Resolves once a primary is known, or at the deadline. */
    untilLed(deadlineMs: number): Promise<boolean>;
    /** Tells those who wait that the primary may have become known. */
    wake(): void;
    /** Takes in a sample that another host accepted. */
    learn(position: positions.Position, askedMs: number): void;
    newest(): samples.Sample | undefined;
    /** Contact with the primary. */
    contact(): succession.Contact;
    /** Notes the outcome of an attempt to reach an endpoint. */
    reached(endpoint: string, answered: boolean): void;
    roundTripMs(endpoint: string): number;
    /** Forgets what rests on ages. */
    doubt(): void;
    /** Drops the pools of endpoints that are gone. */
    sweep(): void;
    load(): Readonly<Record<string, number>>;
    connections(): Readonly<Record<string, number>>;
    close(): void;
}

interface Peer {
    readonly pool: pools.Pool;
    readonly address: string;
    readonly born: number;
    serviceMs: number;
    applied: positions.Position | undefined;
    answeredMs: number | undefined;
    failingMs: number | undefined;
}

/** Time for which samples are kept, in milliseconds; beyond the largest age that a route tolerates. */
const keepMs = 10_000;
/** Held back from the tolerated age, in milliseconds: time from the caller's first byte to this host's reading it. */
const marginMs = 40;
/** Expected time of a statement before any was seen, in milliseconds. */
const initialServiceMs = 15;
const smoothing = 0.15;
/** Time for which an endpoint that failed is passed over, in milliseconds; then one statement tries it again. */
const suspectMs = 1_000;
/** Round trips by distance, in milliseconds: the same failure domain, the same region, another region. */
const roundTripsMs = { domain: 0.5, region: 3, remote: 17 } as const;
const retryMs = 150;
const quietPollMs = 5;

/** Creates a group that knows nothing yet. */
export function createGroup(options: Options): Group {
    const { clock, name, tenures } = options;
    const peers = new Map<string, Peer>();
    const known = samples.createSamples(keepMs);
    const waiting = new Set<() => void>();
    const underWay = new Map<string, number>();

    function peer(endpoint: directory.Endpoint): Peer {
        const held = peers.get(endpoint.id);
        if (held !== undefined && held.address === endpoint.address && held.born === endpoint.born) {
            return held;
        }
        held?.pool.close();
        const pool = pools.createPool({
            endpoint: endpoint.id,
            group: name,
            address: endpoint.address,
            slots: endpoint.slots,
            dialer: options.dialer,
            clock,
            share: () => options.share(),
            reached: answered => reached(endpoint.id, answered),
        });
        const created: Peer = {
            pool,
            address: endpoint.address,
            born: endpoint.born,
            serviceMs: initialServiceMs,
            applied: undefined,
            answeredMs: undefined,
            failingMs: undefined,
        };
        peers.set(endpoint.id, created);
        return created;
    }

    function reached(endpoint: string, answered: boolean): void {
        const entry = peers.get(endpoint);
        if (entry === undefined) {
            return;
        }
        if (answered) {
            if (entry.failingMs !== undefined) {
                options.events.emit("endpointRegained", { group: name, endpoint });
            }
            entry.answeredMs = clock.now();
            entry.failingMs = undefined;
        }
        else if (entry.failingMs === undefined) {
            entry.failingMs = clock.now();
            options.events.emit("endpointLost", { group: name, endpoint });
        }
    }

    function suspect(entry: Peer): boolean {
        return entry.failingMs !== undefined && clock.now() - entry.failingMs < suspectMs;
    }

    function roundTripMs(failureDomain: string): number {
        if (failureDomain === options.failureDomain) {
            return roundTripsMs.domain;
        }
        return options.regionOf(failureDomain) === options.regionOf(options.failureDomain)
            ? roundTripsMs.region
            : roundTripsMs.remote;
    }

    function candidate(endpoint: directory.Endpoint, organisation: string): placement.Candidate {
        const entry = peer(endpoint);
        return {
            endpoint: endpoint.id,
            primary: tenures.find(name)?.primary === endpoint.id,
            draining: endpoint.draining,
            suspect: suspect(entry),
            roundTripMs: roundTripMs(endpoint.failureDomain),
            serviceMs: entry.serviceMs,
            load: entry.pool.load() + options.otherLoad(endpoint.id),
            slots: endpoint.slots,
            warm: entry.pool.warm(organisation),
            applied: entry.applied,
        };
    }

    function led(): boolean {
        const record = tenures.find(name);
        return record !== undefined && !record.changing && tenures.proven(clock.now());
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
    function floor(need: Need): { readonly position: positions.Position; readonly ageMs: number } | undefined {
        if (need.consistency.kind === "primary") {
            return undefined;
        }
        const momentMs = need.arrivedMs - need.consistency.maxAgeMs + marginMs;
        const oldest = known.since(momentMs);
        if (oldest === undefined) {
            return undefined;
        }
        const own = need.consistency.kind === "session" ? need.own : undefined;
        const newest = known.newest();
        // A commit of an earlier term that survived is below every position of a later term.
        const overtaken = own !== undefined && newest !== undefined && newest.position.term > own.term;
        const sample = overtaken && oldest.position.term <= own.term ? newest : oldest;
        const position = samples.floor(sample.position, overtaken ? undefined : own);
        return { position, ageMs: clock.now() - sample.askedMs };
    }

    function placePrimary(): Result<Place> {
        const record = tenures.find(name);
        const listed = options.endpoints().find(endpoint => endpoint.id === record?.primary);
        if (record === undefined || !led() || listed === undefined) {
            return neverthrow.err(unled());
        }
        peer(listed);
        return neverthrow.ok({
            endpoint: record.primary,
            primary: true,
            after: undefined,
            sampleAgeMs: tenures.ageMs(clock.now()),
            expectedMs: 0,
            rejected: [],
        });
    }

    return {
        name,
        reached,
        place(need) {
            if (need.write || need.consistency.kind === "primary") {
                return placePrimary();
            }
            const wanted = floor(need);
            if (wanted === undefined) {
                return placePrimary();
            }
            const candidates = options.endpoints().map(endpoint => candidate(endpoint, need.organisation));
            const choice = placement.choose(candidates, { floor: wanted.position, tried: need.tried });
            if (choice.endpoint === undefined) {
                const message = `No endpoint of ${name} can serve the read.`;
                return neverthrow.err(failure.create(failure.Code.replicaBehind, name, message, retryMs));
            }
            return neverthrow.ok({
                endpoint: choice.endpoint,
                primary: tenures.find(name)?.primary === choice.endpoint,
                after: wanted.position,
                sampleAgeMs: wanted.ageMs,
                expectedMs: choice.expectedMs,
                rejected: choice.rejected,
            });
        },
        pool: endpoint => peers.get(endpoint)?.pool,
        observe(endpoint, reply, askedMs, ran) {
            const entry = peers.get(endpoint);
            if (entry === undefined) {
                return;
            }
            const nowMs = clock.now();
            reached(endpoint, true);
            entry.applied = reply.position ?? entry.applied;
            if (ran) {
                const listed = options.endpoints().find(candidate => candidate.id === endpoint);
                const tripMs = roundTripMs(listed?.failureDomain ?? options.failureDomain);
                entry.serviceMs += (Math.max(0, nowMs - askedMs - tripMs) - entry.serviceMs) * smoothing;
            }
            if (reply.position !== undefined && tenures.leads(name, endpoint, nowMs) && options.trusts(askedMs)) {
                known.offer({ position: reply.position, askedMs });
            }
        },
        lost: endpoint => reached(endpoint, false),
        leads: endpoint => tenures.leads(name, endpoint, clock.now()),
        acknowledges: endpoint => tenures.acknowledges(name, endpoint, clock.now()),
        enter(endpoint) {
            underWay.set(endpoint, (underWay.get(endpoint) ?? 0) + 1);
            return () => {
                underWay.set(endpoint, (underWay.get(endpoint) ?? 1) - 1);
            };
        },
        async untilQuiet(endpoint, limitMs) {
            const deadlineMs = clock.now() + limitMs;
            while ((underWay.get(endpoint) ?? 0) > 0 && clock.now() < deadlineMs) {
                await clock.sleep(quietPollMs);
            }
        },
        async untilLed(deadlineMs) {
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
        wake() {
            if (led()) {
                [...waiting].forEach(done => done());
            }
        },
        learn: (position, askedMs) => known.offer({ position, askedMs }),
        newest: () => known.newest(),
        contact() {
            const entry = peers.get(tenures.find(name)?.primary ?? "");
            const age = (atMs: number | undefined): number | undefined =>
                atMs === undefined ? undefined : clock.now() - atMs;
            return { answeredMs: age(entry?.answeredMs), failingMs: age(entry?.failingMs) };
        },
        roundTripMs(endpoint) {
            const listed = options.endpoints().find(candidate => candidate.id === endpoint);
            return roundTripMs(listed?.failureDomain ?? options.failureDomain);
        },
        doubt() {
            known.clear();
            peers.forEach(entry => {
                entry.failingMs = undefined;
            });
        },
        sweep() {
            const listed = new Map(options.endpoints().map(endpoint => [endpoint.id, endpoint]));
            for (const [id, entry] of peers) {
                if (!listed.has(id)) {
                    entry.pool.close();
                    peers.delete(id);
                }
            }
            listed.forEach(endpoint => peer(endpoint));
        },
        load: () => Object.fromEntries([...peers].map(([id, entry]) => [id, entry.pool.load()])),
        connections: () => Object.fromEntries([...peers].map(([id, entry]) => [id, entry.pool.size()])),
        close: () => peers.forEach(entry => entry.pool.close()),
    };
}
