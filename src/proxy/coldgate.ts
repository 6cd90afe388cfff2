/**
 * Keeps the requests to cold endpoints within their bound: each request on a connection to one takes a permit before it is
 * sent, from this host's own part or from the host that holds the failover lock.
 */
import * as neverthrow from "neverthrow";
import * as coldnesses from "../core/coldness.js";
import type * as directories from "../core/directory.js";
import * as permits from "../core/permits.js";
import type * as placement from "../core/placement.js";
import type * as policies from "../core/policy.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** Settings and collaborators of a gate. */
export interface Options {
    readonly self: string;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly metrics: PermitMetrics;
    /** Factor on the configured requests to a cold endpoint, and requests beyond; undefined: there is no bound. */
    readonly tolerance: Pick<permits.Bound, "overage" | "slack"> | undefined;
    readonly directory: directories.Directory;
    policy(): policies.Policy;
    peers(): Pick<gossip.Peers, "all" | "call" | "connectionHolders">;
    /** Fencing token of the failover lock; undefined unless this host holds the lock. */
    fencingToken(): number | undefined;
    /** True when no clock jump or suspension of this host was detected since the given time. */
    noClockJumpSince(sinceMs: number): boolean;
    /** Detects a suspension or clock jump of this host; called before permits are issued or used. */
    checkSuspension(): void;
}

/** Counters of permits. */
export interface PermitMetrics {
    /** Counts a request for permits: granted, refused, or without an answer from the issuer. */
    permitAsked(result: "granted" | "refused" | "unanswered"): void;
}

/** The failover lock's holder, as hosts tell each other: its token and the host's id. */
export type LockHolder = readonly [token: number, host: string];

/** Gate in front of the endpoints. */
export interface ColdGate {
    /** Whether an endpoint is cold, and when it has room. */
    state(endpoint: string): placement.ColdState;
    /** Returns a dialer whose connections take permits. */
    guard(dialer: connections.Dialer): connections.Dialer;
    /** Returns a directory that also tells the gate of each listing. */
    watch(directory: directories.Directory): directories.Directory;
    /** Issues permits to another host. */
    issue(endpoint: string, request: permits.Request): permits.Decision;
    /** The holder of the failover lock with the highest token that this host has heard of. */
    lockHolder(): LockHolder | undefined;
    observeLockHolder(holder: LockHolder): void;
}

/** Time limit of a request for permits. */
const permitTimeoutMs = 200;
/** Pause after a request for permits that got no answer. */
const unansweredPauseMs = 250;
/** Time since its start from which a host has an own part: by then it knows most other hosts. */
const ownPartDelayMs = 5_000;
const single: permits.Request = { immediate: 1, held: 0 };
/** BEGIN and the first statement, and the end of the transaction. */
const transaction: permits.Request = { immediate: 2, held: 1 };

/** Creates a gate that knows no endpoint. */
export function createColdGate(options: Options): ColdGate {
    const { clock, events, metrics } = options;
    const startedMs = clock.now();
    const issuer = permits.createIssuer();
    const ownWindows = new Map<string, permits.Window>();
    /** Until when an endpoint is known to have no room. */
    const fullUntilMs = new Map<string, number>();
    let newestHolder: LockHolder | undefined;

    const groupOf = (name: string): policies.Group | undefined => options.policy().groups.get(name);
    const coldness = coldnesses.createColdness({
        startMs(name) {
            const group = groupOf(name);
            return options.tolerance !== undefined && (group?.coldPerSecond ?? 0) > 0
                ? group?.coldStartMs ?? 0
                : undefined;
        },
    });
    const isCold = (endpoint: string): boolean => coldness.isCold(endpoint, clock.now());
    const hostCount = (): number => options.peers().connectionHolders().length;

    function limitOf(endpoint: string): number {
        const group = groupOf(options.directory.find(endpoint)?.group ?? "");
        return options.tolerance === undefined
            ? 0
            : permits.limitOf({ ...options.tolerance, perSecond: group?.coldPerSecond ?? 0 });
    }

    function lockHolder(): LockHolder | undefined {
        const token = options.fencingToken();
        return token === undefined ? newestHolder : [token, options.self];
    }

    function issue(endpoint: string, request: permits.Request): permits.Decision {
        options.checkSuspension();
        const limit = permits.issuedPart(limitOf(endpoint), hostCount());
        return issuer.issue(endpoint, request, limit, options.fencingToken(), clock.now());
    }

    async function ask(endpoint: string, request: permits.Request): Promise<permits.Decision> {
        const holder = lockHolder()?.[1];
        const member = options.peers().all().find(peer => peer.member.id === holder)?.member;
        const reply = holder === options.self
            ? neverthrow.ok(issue(endpoint, request))
            : member === undefined
            ? undefined
            : await options.peers().call(member, messages.peer.permit, { endpoint, ...request }, permitTimeoutMs);
        const answered = reply?.isOk() === true;
        metrics.permitAsked(!answered ? "unanswered" : reply.value.granted ? "granted" : "refused");
        if (!answered) {
            const reason = reply?.isErr() === true
                ? reply.error.message
                : "the holder of the failover lock is not known";
            events.emit("permitMissed", { endpoint, holder, reason });
        }
        return answered ? reply.value : { granted: false, retryAfterMs: unansweredPauseMs };
    }

    /** Requests that this host may make without a permit from elsewhere. */
    function ownLimit(endpoint: string): number {
        const isSettled = clock.now() - startedMs >= ownPartDelayMs && lockHolder() !== undefined;
        return isSettled ? permits.ownPart(limitOf(endpoint), hostCount()) : 0;
    }

    function ownWindow(endpoint: string): permits.Window {
        const window = ownWindows.get(endpoint) ?? permits.createWindow();
        ownWindows.set(endpoint, window);
        return window;
    }

    /** Time until there may be room for a request at a cold endpoint. */
    function roomInMs(endpoint: string): number {
        const nowMs = clock.now();
        const issuedInMs = (fullUntilMs.get(endpoint) ?? nowMs) - nowMs;
        return issuedInMs <= 0
            ? 0
            : Math.min(issuedInMs, ownWindow(endpoint).roomInMs(single, ownLimit(endpoint), nowMs));
    }

    /** Takes permits; returns when they were requested, or undefined without room. */
    async function take(endpoint: string, request: permits.Request): Promise<number | undefined> {
        options.checkSuspension();
        const requestedAtMs = clock.now();
        const own = ownWindow(endpoint);
        if (own.issue(request, ownLimit(endpoint), permits.immediateMs, requestedAtMs).granted) {
            return requestedAtMs;
        }
        if ((fullUntilMs.get(endpoint) ?? -Infinity) > requestedAtMs) {
            return undefined;
        }
        const { granted, retryAfterMs } = await ask(endpoint, request);
        options.checkSuspension();
        const isValid = clock.now() < requestedAtMs + permits.immediateMs && options.noClockJumpSince(requestedAtMs);
        if (granted && isValid) {
            return requestedAtMs;
        }
        if (!granted) {
            fullUntilMs.set(endpoint, clock.now() + retryAfterMs);
            events.emit("endpointFull", { endpoint, retryAfterMs: Math.round(retryAfterMs) });
        }
        return undefined;
    }

    function guardConnection(endpoint: string, inner: connections.Connection): connections.Connection {
        /** Requests are sent one after the other, as taking a permit may take time. */
        let previous: Promise<unknown> | undefined;
        let statementPermitMs: number | undefined;
        let endPermitMs: number | undefined;
        let state: caller.State = "idle";
        const isUsable = (takenMs: number | undefined, validMs: number): boolean =>
            takenMs !== undefined && clock.now() < takenMs + validMs && options.noClockJumpSince(takenMs);

        async function mayRun(command: connections.Command): Promise<boolean> {
            if (command.kind === "begin") {
                const takenMs = await take(endpoint, transaction);
                [statementPermitMs, endPermitMs] = [takenMs, takenMs];
                return takenMs !== undefined;
            }
            const ends = command.kind === "commit" || command.kind === "rollback";
            const hasPermit = ends
                ? isUsable(endPermitMs, permits.heldMs)
                : isUsable(statementPermitMs, permits.immediateMs);
            statementPermitMs = undefined;
            endPermitMs = ends ? undefined : endPermitMs;
            return hasPermit || await take(endpoint, single) !== undefined;
        }

        async function runGuarded(
            id: string,
            command: connections.Command,
            timeoutMs: number,
        ): Promise<neverthrow.Result<connections.Reply, connections.ConnectionError>> {
            const calledMs = clock.now();
            if (isCold(endpoint) && !await mayRun(command)) {
                return refuse(command);
            }
            const result = await inner.run(id, command, Math.max(1, timeoutMs - (clock.now() - calledMs)));
            if (result.isOk()) {
                state = result.value.state;
            }
            else if (!result.error.timedOut) {
                coldness.suspect(endpoint, clock.now());
            }
            return result;
        }

        function refuse(
            command: connections.Command,
        ): neverthrow.Result<connections.Reply, connections.ConnectionError> {
            const text = noRoomAt(endpoint);
            if (command.kind === "commit" || command.kind === "rollback") {
                // Closing the connection rolls the transaction back without a request.
                inner.close();
                return neverthrow.err({ sent: false, timedOut: false, message: text });
            }
            const outcome = { kind: "refused" as const, refusal: "busy" as const, text };
            return neverthrow.ok({ rows: [], outcome, state, position: undefined });
        }

        return {
            ...inner,
            run(id, command, timeoutMs) {
                if (previous === undefined && !isCold(endpoint)) {
                    return runGuarded(id, command, timeoutMs);
                }
                const result = (previous ?? Promise.resolve()).then(() => runGuarded(id, command, timeoutMs));
                const current = result.then(() => {
                    previous = previous === current ? undefined : previous;
                });
                previous = current;
                return result;
            },
        };
    }

    return {
        state(endpoint) {
            const cold = isCold(endpoint);
            return { cold, roomInMs: cold ? roomInMs(endpoint) : 0 };
        },
        guard: dialer => (options.tolerance === undefined ? dialer : {
            async dial(target, timeoutMs) {
                if (isCold(target.endpoint) && await take(target.endpoint, single) === undefined) {
                    // A time-out after a short wait does not make the endpoint suspect, and is not waited out by the pool.
                    return neverthrow.err({ sent: false, timedOut: true, message: noRoomAt(target.endpoint) });
                }
                const dialed = await dialer.dial(target, timeoutMs);
                if (dialed.isErr() && typeof dialed.error !== "string" && !dialed.error.timedOut) {
                    coldness.suspect(target.endpoint, clock.now());
                }
                return dialed.map(connection => guardConnection(target.endpoint, connection));
            },
        }),
        watch: directory => ({
            ...directory,
            replace(listed, requestedAtMs) {
                const before = new Set(listed.filter(entry => isCold(entry.id)).map(entry => entry.id));
                coldness.observe(listed, requestedAtMs);
                const started = listed.filter(entry => isCold(entry.id) && !before.has(entry.id)).map(entry =>
                    entry.id
                );
                if (started.length > 0) {
                    events.emit("endpointsCold", { endpoints: started });
                }
                return directory.replace(listed, requestedAtMs);
            },
        }),
        issue,
        lockHolder,
        observeLockHolder(holder) {
            newestHolder = holder[0] > (newestHolder?.[0] ?? -Infinity) ? holder : newestHolder;
        },
    };
}

function noRoomAt(endpoint: string): string {
    return `Endpoint ${endpoint} is starting and has no room.`;
}
