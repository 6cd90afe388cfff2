/** Hosts that hold connections to one endpoint for each other, in one process on a simulated clock. */
import * as neverthrow from "neverthrow";
import * as decisions from "../src/core/connectionholders.js";
import * as failure from "../src/core/failure.js";
import * as policies from "../src/core/policy.js";
import type * as connections from "../src/ports/connection.js";
import type * as rpc from "../src/ports/messages.js";
import * as connectionSharing from "../src/proxy/connectionsharing.js";
import * as executors from "../src/proxy/executor.js";
import type * as groups from "../src/proxy/group.js";
import type * as messages from "../src/proxy/messages.js";
import type * as gossip from "../src/proxy/peers.js";
import * as pools from "../src/proxy/pool.js";
import * as relayMessages from "../src/proxy/relaymessages.js";
import type * as statements from "../src/proxy/statement.js";
import * as transactions from "../src/proxy/transactions.js";
import * as simulation from "./simulation.js";

/** The endpoint. */
export const endpoint = "i-1";
const hostCount = 4;
const networkMs = 5;
const workMs = 20;
/** Time between statements that are not frequent. */
export const pauseMs = 5_000;

/** What the endpoint ran, and on whose connection. */
interface Run {
    readonly host: number;
    readonly organisation: string;
    readonly command: string;
    readonly variables: Readonly<Record<string, string>>;
}

/** The hosts, and what became of their requests. */
export interface Fleet {
    readonly clock: simulation.Clock;
    readonly runs: Run[];
    readonly dials: number[];
    /** Failures of the endpoint that hosts noted. */
    readonly failures: { readonly host: number; readonly message: string }[];
    readonly rolledBack: string[];
    /** Hosts that no longer run, and hosts whose replies don't arrive. */
    readonly dead: Set<number>;
    readonly silent: Set<number>;
    readonly leaving: Set<number>;
    /** Relayed messages by the host that received them. */
    readonly relayed: { readonly from: number; readonly to: number; readonly method: string }[];
    readonly sharings: readonly connectionSharing.ConnectionSharing[];
    isPrimary: boolean;
    endpointIsDown: boolean;
    born: number;
    /** Open connections of a host. */
    open(host: number): number;
    /** The host that holds the connections of the organisation. */
    holderOf(organisation: string): number;
    /** A host that holds none for the organisation. */
    originFor(organisation: string): number;
    execute(host: number, statement: statements.Statement, change?: Partial<statements.Context>): ReturnType<
        executors.Executor["run"]
    >;
    transactions(host: number): transactions.Transactions;
    context(host: number, change?: Partial<statements.Context>): statements.Context;
}

/** A read of its id. */
export const read = (id: string): statements.Statement => ({
    id,
    mode: "read",
    body: { kind: "text", text: `READ ${id}` },
});
/** A write of its id. */
export const write = (id: string): statements.Statement => ({
    id,
    mode: "write",
    body: { kind: "text", text: `WRITE ${id}` },
});

/** Creates four hosts in one failure domain. */
export function createFleet(enabled = true, relaysTransactions = true, ownConnections = true): Fleet {
    const clock = simulation.createClock();
    const numbers = Array.from({ length: hostCount }, (_, number) => number);
    const fleetState = { isPrimary: true, endpointIsDown: false, born: 1 };
    const [dead, silent, leaving] = [new Set<number>(), new Set<number>(), new Set<number>()];
    const [runs, dials, failures] = [[] as Run[], [] as number[], [] as Fleet["failures"]];
    const [rolledBack, relayed] = [[] as string[], [] as Fleet["relayed"]];
    const opened: { readonly host: number; isOpen(): boolean }[] = [];
    const events = { emit: () => undefined, reportOmitted: () => undefined };
    const member = (number: number): messages.Member => ({
        id: `host-${number}`,
        address: `host-${number}`,
        failureDomain: "a",
        incarnation: "1",
        leaving: leaving.has(number),
        capacity: 1,
    });
    const organisation = (name: string): policies.Organisation => ({
        name,
        ratePerSecond: 100,
        burst: 100,
        homes: undefined,
    } as unknown as policies.Organisation);
    const policy: policies.Policy = {
        ...policies.empty,
        version: 1,
        groups: new Map([["ledger", {
            name: "ledger",
            maxConnections: 12,
            syncReplicas: 0,
            coldStartMs: 0,
            coldPerSecond: 0,
        }]]),
        organisations: new Map(["cluj", "iasi", "arad", "blaj"].map(name => [name, organisation(name)])),
    };
    const find = (id: string) => ({
        id,
        group: "ledger",
        address: "10.0.0.1:1",
        failureDomain: "a",
        slots: 4,
        draining: false,
        primary: true,
        born: fleetState.born,
        sequence: 1,
    });
    const allSharings: connectionSharing.ConnectionSharing[] = [];

    function connect(host: number, owner: string): connections.Connection {
        let variables: Record<string, string> = {};
        const templates = new Map<string, string>();
        let inTransaction = false;
        let open = true;
        const cut = (): void => {
            if (open && inTransaction) {
                rolledBack.push(owner);
            }
            open = false;
        };
        opened.push({ host, isOpen: () => open });
        return {
            async run(_, command) {
                if (!open || fleetState.endpointIsDown) {
                    open = false;
                    return neverthrow.err({ sent: true, timedOut: false, message: "the endpoint is down" });
                }
                const text = command.kind === "statement"
                    ? `${
                        command.after === undefined ? "" : `AFTER ${command.after.term}.${command.after.index} `
                    }${command.text}`
                    : command.kind === "execute"
                    ? `${templates.get(command.handle) ?? "?"} ${command.parameters}`
                    : command.kind;
                switch (command.kind) {
                    case "set":
                        variables[command.name] = command.value;
                        break;
                    case "prepare":
                        templates.set(command.handle, command.template);
                        break;
                    case "reset":
                        variables = {};
                        templates.clear();
                        break;
                    default:
                        runs.push({ host, organisation: owner, command: text, variables: { ...variables } });
                        inTransaction = command.kind === "begin"
                            || (inTransaction && command.kind !== "commit" && command.kind !== "rollback");
                        await clock.sleep(workMs);
                }
                const signature = `s ${text}`;
                return neverthrow.ok({
                    rows: [],
                    outcome: { kind: "done" as const, signature },
                    state: inTransaction ? "transaction" as const : "idle" as const,
                    position: { term: 1, index: runs.length },
                });
            },
            control: async () => neverthrow.err("other" as const),
            isOpen: () => open,
            close: cut,
        };
    }

    function peersOf(from: number): Pick<gossip.Peers, "all" | "call"> {
        return {
            all: () =>
                numbers.filter(number => number !== from)
                    .map(number => ({ member: member(number), registered: true })) as unknown as ReturnType<
                        gossip.Peers["all"]
                    >,
            async call<Request, Reply>(
                to: messages.Member,
                method: rpc.Method<Request, Reply>,
                request: Request,
                timeoutMs: number,
            ) {
                const host = Number(to.id.slice("host-".length));
                await clock.sleep(networkMs);
                if (dead.has(host)) {
                    return neverthrow.err(failure.create(failure.Code.ownerUnreachable, to.id, "refused"));
                }
                relayed.push({ from, to: host, method: method.name });
                const lost = (async () => {
                    await clock.sleep(timeoutMs - networkMs);
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, to.id, "no reply"));
                })();
                const answer = (async () => {
                    const service = allSharings[host]?.service;
                    const message = method.request.parse(request);
                    const reply = method.name === relayMessages.methods.run.name
                        ? await service?.run(message as relayMessages.Statement)
                        : method.name === relayMessages.methods.continue.name
                        ? await service?.continue(message as relayMessages.Continuation)
                        : service?.upkeep(message as relayMessages.Upkeep) ?? {};
                    await clock.sleep(networkMs);
                    return dead.has(host) || silent.has(host) ? lost : neverthrow.ok(method.reply.parse(reply));
                })();
                return Promise.race([answer, lost]);
            },
        };
    }

    const groupsOfHosts = numbers.map((host): groups.Group => {
        const pool = pools.createPool({
            endpoint,
            group: "ledger",
            address: "10.0.0.1:1",
            clock,
            weight: () => 1,
            answerMs: () => networkMs,
            endpointWaitMs: () => 0,
            onInversion: () => undefined,
            onAbandoned: () => undefined,
            dialer: {
                async dial({ organisation: owner }) {
                    dials.push(host);
                    await clock.sleep(networkMs);
                    return fleetState.endpointIsDown
                        ? neverthrow.err({ sent: false, timedOut: false, message: "refused" })
                        : neverthrow.ok(connect(host, owner));
                },
            },
            share: () =>
                allSharings[host]?.adjust(endpoint, 12, { guaranteed: 3, spare: 2 }) ?? { guaranteed: 3, spare: 2 },
            onReply: () => undefined,
            onFailure: (_, error) => void failures.push({ host, message: error.message }),
        });
        const group: Partial<groups.Group> = {
            name: "ledger",
            place: ({ triedEndpoints }) =>
                neverthrow.ok({
                    endpoint,
                    primary: triedEndpoints.size > 100,
                    minPosition: { term: 1, index: 7 },
                    sampleAgeMs: 1,
                    expectedMs: 10_000,
                    left: undefined,
                    rejected: [],
                }),
            pool: () => pool,
            get relaying() {
                return allSharings[host]?.relaying;
            },
            mayContinue: () => true,
            isLeaving: () => false,
            isPrimary: () => fleetState.isPrimary,
            mayAcknowledge: () => fleetState.isPrimary,
            beginWork: () => () => undefined,
            recordAnswer: () => undefined,
            recordReply: () => undefined,
            recordFailure: (_, __, error) =>
                void (error.relayed === true ? 0 : failures.push({ host, message: error.message })),
            minStatementMs: () => 0,
            needsSample: () => false,
        };
        return group as groups.Group;
    });
    numbers.forEach(host => {
        const options = {
            enabled,
            minHosts: hostCount,
            transactions: relaysTransactions,
            ownConnections,
            clock,
            events,
            metrics: { relayed: () => undefined },
            directory: { find },
            evacuations: { phase: () => "open" as const },
            random: () => (host + 1) / 10,
            regionOf: () => "north",
            self: () => member(host),
            peers: () => peersOf(host),
            policy: () => policy,
            group: () => groupsOfHosts[host] as groups.Group,
            checkSuspension: () => undefined,
        };
        allSharings.push(connectionSharing.createConnectionSharing(options));
    });
    clock.every(1_000, () =>
        allSharings.forEach((sharing, host) => {
            if (!dead.has(host)) {
                sharing.renew();
                sharing.service.sweep();
            }
        }));

    function context(host: number, change: Partial<statements.Context> = {}): statements.Context {
        return {
            group: groupsOfHosts[host] as groups.Group,
            route: {
                name: "orders",
                consistency: { kind: "boundedStaleness", maxStalenessMs: 1_500 },
                statementTimeoutMs: 800,
                latencyTargetMs: 300,
                priority: 1,
            } as unknown as policies.Route,
            organisation: "cluj",
            homes: undefined,
            variables: new Map(),
            lastCommit: undefined,
            arrivedMs: clock.now(),
            deadlineMs: clock.now() + 800,
            ...change,
        };
    }

    const hosts = numbers.map(number => ({ id: `host-${number}`, failureDomain: "a", capacity: 1 }));
    const holderOf = (name: string): number => {
        const request = { self: "none", organisation: name, homes: undefined, region: "north" };
        const { relayTo } = decisions.createDecider().decide(
            { endpoint, failureDomain: "a", maxConnections: 12, hosts },
            { ...request, reasonAgainst: () => undefined },
        );
        return Number(relayTo[0]?.slice("host-".length));
    };

    return Object.assign(fleetState, {
        clock,
        runs,
        dials,
        failures,
        rolledBack,
        dead,
        silent,
        leaving,
        relayed,
        sharings: allSharings,
        open: (host: number) => opened.filter(entry => entry.host === host && entry.isOpen()).length,
        holderOf,
        originFor: (name: string) => numbers.find(host => host !== holderOf(name)) ?? -1,
        execute: (host: number, statement: statements.Statement, change?: Partial<statements.Context>) =>
            executors.createExecutor({ clock, events }).run(statement, context(host, change)),
        transactions: () => transactions.createTransactions({ clock, events }),
        context,
    });
}

/** Advances the clock until the promise is settled. */
export async function settle<T>(fleet: Fleet, promise: Promise<T>): Promise<T> {
    let value: T | undefined;
    let settled = false;
    void promise.then(result => {
        value = result;
        settled = true;
    });
    for (let steps = 0; !settled && steps < 1_000; steps += 1) {
        await fleet.clock.advance(5);
    }
    return value as T;
}
