import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as simulation from "../../standins/simulation.js";
import * as directories from "../core/directory.js";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import type * as connections from "../ports/connection.js";
import type * as rpc from "../ports/messages.js";
import * as coldGates from "./coldgate.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

const endpoint = "i-1";
/** Rate of the configuration x factor + slack of the settings, as given below. */
const bound = 20 * 1.5 + 5;
/** The status queries of the host with the failover lock come on top of what passes the gates. */
const probesPerSecond = 7;

interface Fleet {
    readonly clock: simulation.Clock;
    readonly gates: readonly coldGates.ColdGate[];
    readonly directories: readonly directories.Directory[];
    /** Times at which the endpoint received a request or connection, and which it was. */
    readonly received: { readonly atMs: number; readonly kind: string; readonly host: number }[];
    /** Host with the failover lock, and the lock's token. */
    lock: readonly [token: number, host: number] | undefined;
    /** Hosts that reach no other host. */
    readonly cut: Set<number>;
    list(coldRemainingMs: number, born: number, sequence: number): void;
    dial(host: number): Promise<connections.Connection | undefined>;
}

function createFleet(hostCount: number): Fleet {
    const clock = simulation.createClock();
    const ids = Array.from({ length: hostCount }, (_, host) => `host-${host}`);
    const member = (id: string) => ({ id, address: id, failureDomain: "a", incarnation: id, leaving: false });
    const cut = new Set<number>();
    const received: Fleet["received"] = [];
    const policy: policies.Policy = {
        ...policies.empty,
        groups: new Map([["ledger", {
            name: "ledger",
            maxConnections: 40,
            syncReplicas: 0,
            coldStartMs: 8_000,
            coldPerSecond: 20,
        }]]),
    };
    const gates: coldGates.ColdGate[] = [];
    const watched: directories.Directory[] = [];

    function peersOf(from: number): Pick<gossip.Peers, "all" | "call" | "connectionHolders"> {
        return {
            all: () => ids.map(id => ({ member: member(id) })) as unknown as ReturnType<gossip.Peers["all"]>,
            connectionHolders: () => ids,
            async call<Request, Reply>(to: messages.Member, method: rpc.Method<Request, Reply>, request: Request) {
                const host = ids.indexOf(to.id);
                await clock.sleep(10);
                if (cut.has(from) || cut.has(host)) {
                    return neverthrow.err(failure.create(failure.Code.peerUnreachable, to.id, "no answer"));
                }
                const { endpoint: name, ...permit } = messages.peer.permit.request.parse(request);
                const reply = gates[host]?.issue(name, permit);
                await clock.sleep(10);
                return neverthrow.ok(method.reply.parse(reply));
            },
        };
    }

    function connect(host: number): connections.Connection {
        let state: "idle" | "transaction" = "idle";
        return {
            async run(_, command) {
                received.push({ atMs: clock.now(), kind: command.kind, host });
                state = command.kind === "begin"
                    ? "transaction"
                    : command.kind === "commit" || command.kind === "rollback"
                    ? "idle"
                    : state;
                await clock.sleep(20);
                const outcome = { kind: "done" as const, signature: "s" };
                return neverthrow.ok({ rows: [], outcome, state, position: undefined });
            },
            control: () => Promise.resolve(neverthrow.err("other" as const)),
            isOpen: () => true,
            close: () => undefined,
        };
    }

    const fleet: Fleet = {
        clock,
        gates,
        directories: watched,
        received,
        lock: [7, 0],
        cut,
        list(coldRemainingMs, born, sequence) {
            const entry = {
                id: endpoint,
                group: "ledger",
                address: "10.0.0.1:1",
                failureDomain: "a",
                slots: 4,
                draining: false,
                primary: true,
                born,
                sequence,
                coldRemainingMs,
            };
            watched.forEach(directory => directory.replace([entry], clock.now()));
        },
        async dial(host) {
            const dialer = gates[host]?.guard({
                async dial() {
                    received.push({ atMs: clock.now(), kind: "dial", host });
                    return neverthrow.ok(connect(host));
                },
            });
            const target = { endpoint, address: "10.0.0.1:1", group: "ledger", organisation: "cluj" };
            return (await dialer?.dial(target, 500))?.unwrapOr(undefined as unknown as connections.Connection);
        },
    };
    ids.forEach((self, host) => {
        const directory = directories.createDirectory({ missingGraceMs: 2_500, outageGapMs: 2_500 });
        const gate = coldGates.createColdGate({
            self,
            clock,
            events: { emit: () => undefined, reportOmitted: () => undefined },
            metrics: { permitAsked: () => undefined },
            tolerance: { overage: 1.5, slack: 5 },
            directory,
            policy: () => policy,
            peers: () => peersOf(host),
            fencingToken: () => (fleet.lock?.[1] === host ? fleet.lock[0] : undefined),
            noClockJumpSince: () => true,
            checkSuspension: () => undefined,
        });
        gates.push(gate);
        watched.push(gate.watch(directory));
    });
    clock.every(500, () =>
        gates.forEach((gate, host) => {
            if (fleet.lock !== undefined && !cut.has(host)) {
                gate.observeLockHolder([fleet.lock[0], `host-${fleet.lock[1]}`]);
            }
        }));
    return fleet;
}

/** Largest number of requests in any second. */
function worstSecond(received: Fleet["received"]): number {
    return Math.max(
        0,
        ...received.map(first => received.filter(at => at.atMs >= first.atMs && at.atMs < first.atMs + 1_000).length),
    );
}

/** A caller that dials and then makes statements and transactions one after the other, until it is stopped. */
function startCaller(fleet: Fleet, host: number): { readonly ended: string[]; stop(): void } {
    const ended: string[] = [];
    let stopped = false;
    void (async () => {
        while (!stopped) {
            const connection = await fleet.dial(host);
            for (let count = 0; connection !== undefined && count < 6 && !stopped; count += 1) {
                const read = { kind: "statement" as const, text: "READ 1" };
                const begun = await connection.run("-", { kind: "begin", readOnly: false }, 500);
                if (begun.isOk() && begun.value.outcome.kind === "done") {
                    await connection.run("a", read, 500);
                    await fleet.clock.sleep(300);
                    const committed = await connection.run("b", { kind: "commit" }, 500);
                    ended.push(committed.isOk() && committed.value.outcome.kind === "done" ? "committed" : "lost");
                }
                await connection.run("c", read, 500);
            }
            await fleet.clock.sleep(20);
        }
    })();
    return { ended, stop: () => void (stopped = true) };
}

describe("the gate in front of cold endpoints", function() {
    this.timeout(60_000);

    it("keeps all hosts together within the bound, while the lock moves, hosts are cut off and the endpoint restarts", async () => {
        const fleet = createFleet(6);
        fleet.list(0, 1, 1);
        await fleet.clock.advance(6_000);
        fleet.list(9_000, 2, 1);
        const callers = [0, 1, 2, 3, 4, 5, 0, 1, 2].map(host => startCaller(fleet, host));
        await fleet.clock.advance(3_000);
        fleet.lock = [9, 3];
        await fleet.clock.advance(2_000);
        fleet.cut.add(1);
        await fleet.clock.advance(3_000);
        fleet.list(9_000, 3, 1);
        await fleet.clock.advance(6_000);
        callers.forEach(caller => caller.stop());
        await fleet.clock.advance(1_500);
        chai.expect(worstSecond(fleet.received) + probesPerSecond).to.be.at.most(bound);
        // 17 s of which 4 s follow the change of the lock.
        chai.expect(fleet.received.length).to.be.at.least(100);
        const ended = callers.flatMap(caller => caller.ended);
        chai.expect(ended.filter(entry => entry === "lost")).to.deep.equal([]);
        chai.expect(ended.length).to.be.at.least(10);
    });

    it("says when there is room, and does not ask before", async () => {
        const fleet = createFleet(6);
        fleet.list(0, 1, 1);
        await fleet.clock.advance(6_000);
        fleet.list(9_000, 2, 1);
        const callers = [1, 2, 3, 4, 5].map(host => startCaller(fleet, host));
        let fullSeen = 0;
        await fleet.clock.advance(2_000, () => {
            fullSeen += (fleet.gates[1]?.state(endpoint).roomInMs ?? 0) > 0 ? 1 : 0;
        });
        callers.forEach(caller => caller.stop());
        await fleet.clock.advance(1_500);
        chai.expect(fullSeen).to.be.above(0);
        chai.expect(fleet.gates[1]?.state(endpoint).cold).to.equal(true);
    });

    it("lets everything pass at once at a warm endpoint", async () => {
        const fleet = createFleet(6);
        fleet.list(0, 1, 1);
        const connection = await fleet.dial(2);
        const replies = Array.from(
            { length: 100 },
            () => connection?.run("r", { kind: "statement", text: "READ 1" }, 500),
        );
        chai.expect(fleet.received.length).to.equal(101);
        await fleet.clock.advance(100);
        await Promise.all(replies);
    });
});
