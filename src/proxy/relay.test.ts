import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as simulation from "../../standins/simulation.js";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import type * as connections from "../ports/connection.js";
import type * as rpc from "../ports/messages.js";
import * as connectionSharing from "./connectionsharing.js";
import * as executors from "./executor.js";
import type * as groups from "./group.js";
import type * as messages from "./messages.js";
import type * as gossip from "./peers.js";
import * as pools from "./pool.js";
import * as relayMessages from "./relaymessages.js";
import * as relayServices from "./relayservice.js";
import type * as statements from "./statement.js";
import * as transactions from "./transactions.js";

const endpoint = "i-1";
const hostCount = 4;
const networkMs = 5;
const workMs = 20;

/** What the endpoint ran, and on whose connection. */
interface Run {
    readonly host: number;
    readonly organisation: string;
    readonly command: string;
    readonly variables: Readonly<Record<string, string>>;
}

interface Fleet {
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

const read = (id: string): statements.Statement => ({ id, mode: "read", body: { kind: "text", text: `READ ${id}` } });
const write = (id: string): statements.Statement => ({
    id,
    mode: "write",
    body: { kind: "text", text: `WRITE ${id}` },
});

function createFleet(enabled = true): Fleet {
    const clock = simulation.createClock();
    const numbers = Array.from({ length: hostCount }, (_, number) => number);
    const fleetState = { isPrimary: true, endpointIsDown: false, born: 1 };
    const [dead, silent, leaving] = [new Set<number>(), new Set<number>(), new Set<number>()];
    const [runs, dials, failures] = [[] as Run[], [] as number[], [] as Fleet["failures"]];
    const [rolledBack, relayed] = [[] as string[], [] as Fleet["relayed"]];
    const openOfHost = new Map<number, Set<() => void>>(numbers.map(number => [number, new Set<() => void>()]));
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
        groups: new Map([["ledger", { name: "ledger", maxConnections: 12, coldStartMs: 0, coldPerSecond: 0 }]]),
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
        openOfHost.get(host)?.add(cut);
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
            concurrency: 4,
            clock,
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

    const holderOf = (name: string): number =>
        numbers.find(host =>
            allSharings[host]?.relaying.connect({
                endpoint,
                needsPrimary: false,
                context: context(host, { organisation: name }),
                targetMs: 0,
            }) === undefined
        ) ?? -1;

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
        holderOf,
        originFor: (name: string) => numbers.find(host => host !== holderOf(name)) ?? -1,
        execute: (host: number, statement: statements.Statement, change?: Partial<statements.Context>) =>
            executors.createExecutor({ clock, events }).run(statement, context(host, change)),
        transactions: () => transactions.createTransactions({ clock, events }),
        context,
    });
}

/** Advances the clock until the promise is settled. */
async function settle<T>(fleet: Fleet, promise: Promise<T>): Promise<T> {
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

const codeOf = (result: neverthrow.Result<unknown, failure.Failure>): number | undefined =>
    result.isErr() ? result.error.code : undefined;

describe("statements relayed to the holder of a connection", () => {
    it("run on one connection, whichever host they reach; without holders each host opens its own", async () => {
        const [fleet, plain] = [createFleet(), createFleet(false)];
        for (const each of [fleet, plain]) {
            for (const host of [0, 1, 2, 3, 0, 1, 2, 3]) {
                chai.expect((await settle(each, each.execute(host, read(`r${host}`)))).isOk()).to.equal(true);
            }
        }
        chai.expect(fleet.dials).to.deep.equal([fleet.holderOf("cluj")]);
        chai.expect([...plain.dials].sort()).to.deep.equal([0, 1, 2, 3]);
    });

    it("carry the text, the organisation, the variables, the floor and the template of a prepared name", async () => {
        const fleet = createFleet();
        const origin = fleet.originFor("cluj");
        await settle(fleet, fleet.execute(origin, read("a"), { variables: new Map([["lang", "ro x"], ["b", ""]]) }));
        const body = { kind: "prepared" as const, template: "READ ?", parameters: "4 \u00e9" };
        const second = await settle(fleet, fleet.execute(origin, { id: "b", mode: "read", body }));
        chai.expect(fleet.runs.map(run => [run.command, run.organisation, run.variables])).to.deep.equal([
            ["AFTER 1.7 READ a", "cluj", { lang: "ro x", b: "" }],
            ["READ ? 4 \u00e9", "cluj", {}],
        ]);
        chai.expect(second.isOk() && second.value.reply.outcome).to.deep.include({ signature: "s READ ? 4 \u00e9" });
        chai.expect(second.isOk() && second.value.reply.position).to.deep.equal({ term: 1, index: 2 });
    });

    it("take one hop, and are never relayed on", async () => {
        const fleet = createFleet();
        for (const organisation of ["cluj", "iasi", "arad", "blaj"]) {
            await settle(fleet, fleet.execute(fleet.originFor(organisation), write("w"), { organisation }));
        }
        chai.expect(fleet.relayed).to.have.length(4);
        chai.expect(fleet.runs).to.have.length(4);
    });

    it("run at another holder, and at once, when the first one's address refuses connections", async () => {
        const fleet = createFleet();
        const origin = fleet.originFor("cluj");
        fleet.dead.add(fleet.holderOf("cluj"));
        const result = await settle(fleet, fleet.execute(origin, write("w")));
        chai.expect(result.isOk()).to.equal(true);
        chai.expect(fleet.clock.now()).to.be.below(100);
        chai.expect(fleet.runs.map(run => run.command)).to.deep.equal(["AFTER 1.7 WRITE w"]);
        chai.expect(fleet.failures).to.deep.equal([]);
    });

    it("have an unknown outcome when the holder dies with a write, and are read again when it was a read", async () => {
        for (const statement of [write("w"), read("r")]) {
            const fleet = createFleet();
            const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
            const result = fleet.execute(origin, statement);
            await fleet.clock.advance(20);
            fleet.dead.add(holder);
            const ended = await settle(fleet, result);
            chai.expect(fleet.runs.filter(run => run.host === holder)).to.have.length(1);
            const expected = statement.mode === "write" ? failure.Code.outcomeUnknown : failure.Code.readLost;
            chai.expect(codeOf(ended)).to.equal(expected);
            chai.expect(fleet.failures).to.deep.equal([]);
        }
    });

    it("pass over a host that is silent, and try it again later", async () => {
        const fleet = createFleet();
        const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
        fleet.silent.add(holder);
        await settle(fleet, fleet.execute(origin, write("w1")));
        const second = await settle(fleet, fleet.execute(origin, write("w2")));
        chai.expect(second.isOk()).to.equal(true);
        chai.expect(fleet.runs.map(run => run.host === holder)).to.deep.equal([true, false]);
        fleet.silent.delete(holder);
        await fleet.clock.advance(2_500);
        await settle(fleet, fleet.execute(origin, write("w3")));
        chai.expect(fleet.runs[2]?.host).to.equal(holder);
    });

    it("are declined by a host that leaves, and by one that knows another process of the endpoint", async () => {
        const fleet = createFleet();
        const holder = fleet.holderOf("cluj");
        const service = fleet.sharings[holder]?.service as relayServices.RelayService;
        const message = (born: number): relayMessages.Statement => [
            endpoint,
            born,
            "cluj",
            [],
            "w",
            ["text", "WRITE w", null],
            true,
            500,
            100,
            1,
        ];
        chai.expect((await settle(fleet, service.run(message(2))))[0].slice(0, 1)).to.deep.equal(["declined"]);
        fleet.isPrimary = false;
        chai.expect((await settle(fleet, service.run(message(1))))[0].slice(0, 1)).to.deep.equal(["declined"]);
        fleet.isPrimary = true;
        fleet.leaving.add(holder);
        chai.expect((await settle(fleet, service.run(message(1))))[0][2]).to.equal("leaving");
        chai.expect(fleet.runs).to.deep.equal([]);
    });

    it("fail without having run when the endpoint can't be reached, and only that counts as its failure", async () => {
        const fleet = createFleet();
        fleet.endpointIsDown = true;
        const result = await settle(fleet, fleet.execute(fleet.originFor("cluj"), write("w")));
        chai.expect(codeOf(result)).to.equal(failure.Code.endpointUnreachable);
        chai.expect(fleet.failures.every(entry => entry.message === "refused")).to.equal(true);
    });
});

describe("transactions on the connection of another host", () => {
    async function begin(fleet: Fleet, change?: Partial<statements.Context>) {
        const origin = fleet.originFor("cluj");
        const context = () => fleet.context(origin, change);
        const runner = fleet.transactions(origin);
        const begun = await settle(fleet, runner.begin("-", false, context()));
        return { runner, context, transaction: begun._unsafeUnwrap() };
    }

    it("run on one connection from BEGIN to COMMIT, and bring the session's variables along", async () => {
        const fleet = createFleet();
        const variables = new Map([["lang", "ro"]]);
        const { runner, context, transaction } = await begin(fleet, { variables });
        await settle(fleet, runner.run(transaction, write("a"), context()));
        variables.set("lang", "en");
        await settle(fleet, runner.run(transaction, write("b"), context()));
        const committed = await settle(fleet, runner.commit(transaction, "c", context()));
        chai.expect(committed.isOk()).to.equal(true);
        chai.expect(fleet.runs.map(run => [run.command, run.variables["lang"]])).to.deep.equal([
            ["begin", "ro"],
            ["WRITE a", "ro"],
            ["WRITE b", "en"],
            ["commit", "en"],
        ]);
        chai.expect(new Set(fleet.runs.map(run => run.host))).to.deep.equal(new Set([fleet.holderOf("cluj")]));
        chai.expect(fleet.dials).to.have.length(1);
        chai.expect(fleet.sharings.every(sharing => sharing.service.openTransactions() === 0)).to.equal(true);
        chai.expect(fleet.rolledBack).to.deep.equal([]);
    });

    it("stay open through a long pause, as their lease is renewed", async () => {
        const fleet = createFleet();
        const { runner, context, transaction } = await begin(fleet);
        await fleet.clock.advance(8_000);
        const result = await settle(fleet, runner.run(transaction, write("a"), context()));
        chai.expect(result.isOk()).to.equal(true);
    });

    it("are rolled back within seconds when their host dies", async () => {
        const fleet = createFleet();
        await begin(fleet);
        fleet.dead.add(fleet.originFor("cluj"));
        await fleet.clock.advance(relayServices.leaseMs + 1_500);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
    });

    it("are rolled back at the holder when the caller rolls back or leaves", async () => {
        const fleet = createFleet();
        const { runner, transaction } = await begin(fleet);
        runner.rollback(transaction);
        await fleet.clock.advance(200);
        chai.expect(fleet.runs.map(run => run.command)).to.deep.equal(["begin", "rollback"]);
        const next = await begin(fleet);
        next.transaction.connection.discard();
        await fleet.clock.advance(200);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
        chai.expect(fleet.sharings.every(sharing => sharing.service.openTransactions() === 0)).to.equal(true);
    });

    it("have an unknown outcome only if the holder dies with the COMMIT", async () => {
        const fleet = createFleet();
        const holder = fleet.holderOf("cluj");
        const first = await begin(fleet);
        await settle(fleet, first.runner.run(first.transaction, write("a"), first.context()));
        const committing = first.runner.commit(first.transaction, "c", first.context());
        await fleet.clock.advance(20);
        fleet.dead.add(holder);
        chai.expect(codeOf(await settle(fleet, committing))).to.equal(failure.Code.outcomeUnknown);
        fleet.dead.delete(holder);
        await fleet.clock.advance(3_000);
        const second = await begin(fleet);
        fleet.dead.add(holder);
        const ended = await settle(fleet, second.runner.commit(second.transaction, "d", second.context()));
        chai.expect(codeOf(ended)).to.equal(failure.Code.transactionLost);
    });

    it("end as lost, and nothing of them runs, at a holder that has started anew", async () => {
        const fleet = createFleet();
        const { runner, context, transaction } = await begin(fleet);
        fleet.sharings.forEach(sharing =>
            sharing.service.upkeep([
                [],
                [...Array(9).keys()].map(number =>
                    `${Math.floor((fleet.holderOf("cluj") + 1) / 10 * 2 ** 48).toString(36)}-${number}`
                ),
            ])
        );
        const runsBefore = fleet.runs.length;
        const result = await settle(fleet, runner.commit(transaction, "c", context()));
        chai.expect(codeOf(result)).to.equal(failure.Code.transactionLost);
        chai.expect(fleet.runs).to.have.length(runsBefore);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
    });

    it("may end at a holder that leaves, which waits for them", async () => {
        const fleet = createFleet();
        const holder = fleet.holderOf("cluj");
        const { runner, context, transaction } = await begin(fleet);
        fleet.leaving.add(holder);
        let drained = false;
        void fleet.sharings[holder]?.drain(fleet.clock.now() + 3_000).then(() => {
            drained = true;
        });
        await fleet.clock.advance(500);
        chai.expect(drained).to.equal(false);
        await settle(fleet, runner.run(transaction, write("a"), context()));
        chai.expect((await settle(fleet, runner.commit(transaction, "c", context()))).isOk()).to.equal(true);
        await fleet.clock.advance(200);
        chai.expect(drained).to.equal(true);
    });
});
