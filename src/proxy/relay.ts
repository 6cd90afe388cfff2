/**
 * Has statements run by the hosts that hold the connections to their endpoint. To the rest of the host a relay looks like a
 * connection: what sets up a session stays here, and travels along with each statement.
 */
import * as neverthrow from "neverthrow";
import * as decisions from "../core/connectionholders.js";
import type * as directories from "../core/directory.js";
import * as failure from "../core/failure.js";
import type * as connections from "../ports/connection.js";
import type * as rpc from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as holders from "./holders.js";
import type * as gossip from "./peers.js";
import type * as pools from "./pool.js";
import * as peerHealth from "./relayhealth.js";
import * as messages from "./relaymessages.js";
import type * as relayServices from "./relayservice.js";
import type * as statements from "./statement.js";

/** Counters of relayed statements. */
export interface RelayMetrics {
    /** Counts a statement by what became of it: run by a holder, declined, lost on the way, or run by this host. */
    relayed(result: "served" | "declined" | "lost" | "own"): void;
}

/** Settings and collaborators of the relay. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    readonly metrics: RelayMetrics;
    readonly directory: Pick<directories.Directory, "find">;
    readonly health: peerHealth.PeerHealth;
    /** Whether transactions are relayed; otherwise each opens a connection of its host. */
    readonly transactions: boolean;
    /** Whether statements that come often, or find an idle connection of this host, run on connections of its own. */
    readonly ownConnections: boolean;
    holders(): holders.Holders;
    peers(): Pick<gossip.Peers, "all" | "call">;
    /** This host's own service, which serves when no holder does. */
    service(): relayServices.RelayService;
}

/** What a statement needs a connection for. */
export interface Request {
    readonly endpoint: string;
    /** True if only the primary may run it. */
    readonly needsPrimary: boolean;
    readonly context: Pick<statements.Context, "deadlineMs" | "homes" | "organisation" | "route">;
    readonly isTransaction: boolean;
    /** This host's own connections to the endpoint. */
    readonly pool: Pick<pools.Pool, "hasIdle" | "load"> | undefined;
    /** Time by which the statement should be answered. */
    readonly targetMs: number;
}

/** The relay. */
export interface Relay {
    /** A connection that is another host's; undefined if this host is to use one of its own. */
    connect(request: Request): pools.PooledConnection | undefined;
    /** Renews the leases of open transactions; to be called each second. */
    renew(): void;
}

type Outcome = neverthrow.Result<connections.Reply, connections.ConnectionError>;

/** A transaction that is open at a holder; `host` is undefined for this host itself. */
interface Remote {
    readonly host: string | undefined;
    readonly handle: string;
    lastUsedMs: number;
}

interface Template {
    readonly mode: "read" | "write";
    readonly template: string;
}

/**
 * Time by which a holder's limit is shorter than this host's, beside the measured round trip. A reply that arrives too late
 * leaves the outcome of a write unknown, even if the holder did not send it.
 */
const replyMarginMs = 40;
/** Least time left with which a holder is asked. */
const minLeftMs = 100;
/** Time without use after which the lease of a transaction is renewed. */
const renewAfterMs = 900;
const upkeepTimeoutMs = 500;
/** Statements at an endpoint up to which this host opens another connection of its own for frequent statements. */
const maxOwnLoad = 2;

const done: connections.Reply = {
    rows: [],
    outcome: { kind: "done", signature: "-" },
    state: "idle",
    position: undefined,
};

/** Creates the relay. */
export function createRelay(options: Options): Relay {
    const { clock, events, metrics, health } = options;
    const transactions = new Set<Remote>();
    const frequencies = decisions.createFrequencies();

    /** Calls a method of a holder; an error says whether the holder may have received it. */
    async function call<Message, Answer>(
        host: string,
        method: rpc.Method<Message, Answer>,
        message: Message,
        timeoutMs: number,
    ): Promise<neverthrow.Result<Answer, connections.ConnectionError>> {
        const member = options.peers().all().find(peer => peer.member.id === host)?.member;
        if (member === undefined) {
            return neverthrow.err({ sent: false, timedOut: false, relayed: true, message: `Host ${host} is gone.` });
        }
        const reply = await options.peers().call(member, method, message, timeoutMs);
        // This code means that the connection was refused, so that nothing was sent.
        return reply.mapErr(cause => ({
            sent: cause.code !== failure.Code.ownerUnreachable,
            timedOut: false,
            relayed: true,
            message: cause.message,
        }));
    }

    /** Asks a holder, and notes how long the way to it takes. */
    async function ask<Message>(
        host: string,
        method: rpc.Method<Message, messages.Reply>,
        message: Message,
        timeoutMs: number,
    ): Promise<neverthrow.Result<messages.Reply, connections.ConnectionError>> {
        const finished = health.begin(host);
        const reply = await call(host, method, message, timeoutMs);
        if (reply.isErr()) {
            finished("failed");
            metrics.relayed(reply.error.sent ? "lost" : "declined");
            events.emit("relayMissed", { host, sent: reply.error.sent, reason: reply.error.message });
        }
        else if (reply.value[0][0] === "declined") {
            const [, reason, kind] = reply.value[0];
            finished(kind === "leaving" ? "leaving" : "declined");
            metrics.relayed("declined");
            events.emit("relayMissed", { host, sent: false, reason });
        }
        else {
            finished({ heldMs: reply.value[1] });
            metrics.relayed("served");
        }
        return reply;
    }

    function connectTo(request: Request, decision: decisions.Decision, born: number): pools.PooledConnection {
        const { endpoint, context } = request;
        const variables = new Map<string, string>();
        const templates = new Map<string, Template>();
        let remote: Remote | undefined;
        let isOpen = true;

        function forget(): void {
            if (remote !== undefined) {
                transactions.delete(remote);
                remote = undefined;
            }
        }

        /** The command as it travels; undefined for one that a relay doesn't have. */
        function encode(command: connections.Command): messages.Command | undefined {
            switch (command.kind) {
                case "begin":
                    return ["begin", command.readOnly, messages.encodePosition(command.after)];
                case "statement":
                    return ["text", command.text, messages.encodePosition(command.after)];
                case "execute": {
                    const known = templates.get(command.handle);
                    return known === undefined ? undefined : [
                        "prepared",
                        known.mode,
                        known.template,
                        command.parameters,
                        messages.encodePosition(command.after),
                    ];
                }
                case "commit":
                case "rollback":
                    return [command.kind];
                default:
                    return undefined;
            }
        }

        /** Asks the holders one after the other, as long as none may have sent the statement, and then helps itself. */
        async function start(id: string, command: messages.Command, timeoutMs: number): Promise<Outcome> {
            const startedMs = clock.now();
            const leftMs = (): number => timeoutMs - (clock.now() - startedMs);
            const message = (limitMs: number): messages.Statement => [
                endpoint,
                born,
                context.organisation,
                messages.encodeVariables(variables),
                id,
                command,
                request.needsPrimary,
                Math.max(1, Math.round(limitMs)),
                Math.round(request.targetMs - clock.now()),
                context.route.priority,
            ];
            for (const host of decision.relayTo) {
                if (leftMs() < minLeftMs) {
                    break;
                }
                const marginMs = replyMarginMs + health.roundTripMs(host);
                const reply = await ask(host, messages.methods.run, message(leftMs() - marginMs), leftMs());
                // A holder without a connection to spare knows best that the endpoint has none for this statement.
                const mayAskOthers = reply.isErr()
                    ? !reply.error.sent
                    : reply.value[0][0] === "declined" && reply.value[0][2] !== "overloaded";
                if (!mayAskOthers) {
                    return reply.andThen(answer => accept(id, host, startedMs, answer));
                }
            }
            metrics.relayed("own");
            return accept(id, undefined, startedMs, await options.service().run(message(leftMs()), true));
        }

        function accept(
            id: string,
            host: string | undefined,
            startedMs: number,
            [result, heldMs, executionMs, handle]: messages.Reply,
        ): Outcome {
            if (handle !== null) {
                remote = { host, handle, lastUsedMs: clock.now() };
                transactions.add(remote);
            }
            events.emit("statementRelayed", {
                request: id,
                endpoint,
                organisation: context.organisation,
                holder: host,
                result: result[0],
                passedOver: decision.passedOver,
                elapsedMs: Math.round(clock.now() - startedMs),
                heldMs: Math.round(heldMs),
                executionMs: Math.round(executionMs),
            });
            return messages.decodeResult(result, executionMs);
        }

        async function proceed(
            current: Remote,
            id: string,
            command: messages.Command,
            timeoutMs: number,
        ): Promise<Outcome> {
            const { host, handle } = current;
            const message = (limitMs: number): messages.Continuation => [
                handle,
                messages.encodeVariables(variables),
                id,
                command,
                Math.max(1, Math.round(limitMs)),
            ];
            const marginMs = replyMarginMs + health.roundTripMs(host ?? "");
            const reply = host === undefined
                ? neverthrow.ok(await options.service().continue(message(timeoutMs)))
                : await ask(host, messages.methods.continue, message(timeoutMs - marginMs), timeoutMs);
            current.lastUsedMs = clock.now();
            const outcome = reply.andThen(([result, , executionMs]) => messages.decodeResult(result, executionMs));
            if (outcome.isOk() && outcome.value.state === "idle") {
                forget();
            }
            return outcome;
        }

        async function run(id: string, command: connections.Command, timeoutMs: number): Promise<Outcome> {
            switch (command.kind) {
                case "set":
                    variables.set(command.name, command.value);
                    return neverthrow.ok(done);
                case "prepare":
                    templates.set(command.handle, { mode: command.mode, template: command.template });
                    return neverthrow.ok(done);
                case "reset":
                    variables.clear();
                    templates.clear();
                    return neverthrow.ok(done);
            }
            const encoded = encode(command);
            if (!isOpen || encoded === undefined) {
                const message = `The relay to endpoint ${endpoint} is closed.`;
                return neverthrow.err({ sent: false, timedOut: false, relayed: true, message });
            }
            return remote === undefined ? start(id, encoded, timeoutMs) : proceed(remote, id, encoded, timeoutMs);
        }

        /** Ends the relay; a transaction that is still open is rolled back by closing its connection. */
        function close(): void {
            isOpen = false;
            if (remote?.host === undefined) {
                options.service().upkeep([[], remote === undefined ? [] : [remote.handle]]);
            }
            else {
                const { host, handle } = remote;
                void call(host, messages.methods.upkeep, [[], [handle]], upkeepTimeoutMs);
            }
            forget();
        }

        return {
            connection: {
                run,
                control: async () => neverthrow.err("other" as const),
                isOpen: () => isOpen,
                close,
            },
            variables: new Map(),
            prepared: new Map(),
            release: close,
            discard: close,
        };
    }

    return {
        connect(request) {
            const { endpoint, context, pool } = request;
            const isFrequent = frequencies.note(endpoint, context.organisation, clock.now());
            // A statement that would wait here for a connection is better off at the holder.
            const staysHere = options.ownConnections
                && (pool?.hasIdle(context.organisation) === true || (isFrequent && (pool?.load() ?? 0) < maxOwnLoad));
            if (staysHere || (request.isTransaction && !options.transactions)) {
                return undefined;
            }
            const decision = options.holders().decide(endpoint, context.organisation, context.homes);
            const born = options.directory.find(endpoint)?.born;
            return decision === undefined || born === undefined || decision.relayTo.length === 0
                ? undefined
                : connectTo(request, decision, born);
        },
        renew() {
            const handlesByHost = new Map<string, string[]>();
            for (const entry of transactions) {
                if (clock.now() - entry.lastUsedMs < renewAfterMs) {
                    continue;
                }
                if (entry.host === undefined) {
                    options.service().upkeep([[entry.handle], []]);
                    continue;
                }
                handlesByHost.set(entry.host, [...handlesByHost.get(entry.host) ?? [], entry.handle]);
            }
            handlesByHost.forEach((handles, host) =>
                void call(host, messages.methods.upkeep, [handles, []], upkeepTimeoutMs)
            );
        },
    };
}
