import * as chai from "chai";
import type * as neverthrow from "neverthrow";
import * as simulated from "../../standins/simulatedholders.js";
import * as decisions from "../core/connectionholders.js";
import * as failure from "../core/failure.js";
import type * as relayMessages from "./relaymessages.js";
import * as relayServices from "./relayservice.js";
import type * as statements from "./statement.js";

const codeOf = (result: neverthrow.Result<unknown, failure.Failure>): number | undefined =>
    result.isErr() ? result.error.code : undefined;

describe("statements relayed to the holder of a connection", () => {
    it("run on one connection, whichever host they reach; without holders each host opens its own", async () => {
        const [fleet, plain] = [simulated.createFleet(), simulated.createFleet(false)];
        for (const each of [fleet, plain]) {
            for (const host of [0, 1, 2, 3, 0, 1, 2, 3]) {
                chai.expect((await simulated.settle(each, each.execute(host, simulated.read(`r${host}`)))).isOk()).to
                    .equal(true);
                await each.clock.advance(simulated.pauseMs);
            }
        }
        chai.expect(fleet.dials).to.deep.equal([fleet.holderOf("cluj")]);
        chai.expect([...plain.dials].sort()).to.deep.equal([0, 1, 2, 3]);
    });

    it("carry the text, the organisation, the variables, the floor and the template of a prepared name", async () => {
        const fleet = simulated.createFleet();
        const origin = fleet.originFor("cluj");
        await simulated.settle(
            fleet,
            fleet.execute(origin, simulated.read("a"), { variables: new Map([["lang", "ro x"], ["b", ""]]) }),
        );
        await fleet.clock.advance(simulated.pauseMs);
        const body = { kind: "prepared" as const, template: "READ ?", parameters: "4 \u00e9" };
        const second = await simulated.settle(fleet, fleet.execute(origin, { id: "b", mode: "read", body }));
        chai.expect(fleet.runs.map(run => [run.command, run.organisation, run.variables])).to.deep.equal([
            ["AFTER 1.7 READ a", "cluj", { lang: "ro x", b: "" }],
            ["READ ? 4 \u00e9", "cluj", {}],
        ]);
        chai.expect(second.isOk() && second.value.reply.outcome).to.deep.include({ signature: "s READ ? 4 \u00e9" });
        chai.expect(second.isOk() && second.value.reply.position).to.deep.equal({ term: 1, index: 2 });
    });

    it("take one hop, and are never relayed on", async () => {
        const fleet = simulated.createFleet();
        for (const organisation of ["cluj", "iasi", "arad", "blaj"]) {
            await simulated.settle(
                fleet,
                fleet.execute(fleet.originFor(organisation), simulated.write("w"), { organisation }),
            );
        }
        chai.expect(fleet.relayed).to.have.length(4);
        chai.expect(fleet.runs).to.have.length(4);
    });

    it("run on a connection of their own host while they are frequent, which is closed when they no longer come", async () => {
        const fleet = simulated.createFleet();
        const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
        for (const name of ["a", "b", "c", "d"]) {
            await simulated.settle(fleet, fleet.execute(origin, simulated.read(name)));
        }
        chai.expect(fleet.runs.map(run => run.host)).to.deep.equal([holder, origin, origin, origin]);
        chai.expect(fleet.dials).to.deep.equal([holder, origin]);
        chai.expect(fleet.open(origin)).to.equal(1);
        await fleet.clock.advance(decisions.frequencyWindowMs + 50);
        chai.expect([fleet.open(origin), fleet.open(holder)]).to.deep.equal([0, 1]);
    });

    it("run at the holder however frequent they are, where hosts are to open no connections of their own", async () => {
        const fleet = simulated.createFleet(true, true, false);
        const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
        for (const name of ["a", "b", "c", "d"]) {
            await simulated.settle(fleet, fleet.execute(origin, simulated.read(name)));
        }
        chai.expect(fleet.runs.map(run => run.host)).to.deep.equal([holder, holder, holder, holder]);
        chai.expect(fleet.dials).to.deep.equal([holder]);
    });

    it("run at another holder, and at once, when the first one's address refuses connections", async () => {
        const fleet = simulated.createFleet();
        const origin = fleet.originFor("cluj");
        fleet.dead.add(fleet.holderOf("cluj"));
        const result = await simulated.settle(fleet, fleet.execute(origin, simulated.write("w")));
        chai.expect(result.isOk()).to.equal(true);
        chai.expect(fleet.clock.now()).to.be.below(100);
        chai.expect(fleet.runs.map(run => run.command)).to.deep.equal(["AFTER 1.7 WRITE w"]);
        chai.expect(fleet.failures).to.deep.equal([]);
    });

    it("have an unknown outcome when the holder dies with a write, and are read again when it was a read", async () => {
        for (const statement of [simulated.write("w"), simulated.read("r")]) {
            const fleet = simulated.createFleet();
            const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
            const result = fleet.execute(origin, statement);
            await fleet.clock.advance(20);
            fleet.dead.add(holder);
            const ended = await simulated.settle(fleet, result);
            chai.expect(fleet.runs.filter(run => run.host === holder)).to.have.length(1);
            const expected = statement.mode === "write" ? failure.Code.outcomeUnknown : failure.Code.readLost;
            chai.expect(codeOf(ended)).to.equal(expected);
            chai.expect(fleet.failures).to.deep.equal([]);
        }
    });

    it("pass over a host that is silent, and try it again later", async () => {
        const fleet = simulated.createFleet();
        const [origin, holder] = [fleet.originFor("cluj"), fleet.holderOf("cluj")];
        fleet.silent.add(holder);
        await simulated.settle(fleet, fleet.execute(origin, simulated.write("w1")));
        await fleet.clock.advance(1_500);
        const second = await simulated.settle(fleet, fleet.execute(origin, simulated.write("w2")));
        chai.expect(second.isOk()).to.equal(true);
        chai.expect(fleet.runs.map(run => run.host === holder)).to.deep.equal([true, false]);
        fleet.silent.delete(holder);
        await fleet.clock.advance(2_500);
        await simulated.settle(fleet, fleet.execute(origin, simulated.write("w3")));
        chai.expect(fleet.runs[2]?.host).to.equal(holder);
    });

    it("are declined by a host that leaves, and by one that knows another process of the endpoint", async () => {
        const fleet = simulated.createFleet();
        const holder = fleet.holderOf("cluj");
        const service = fleet.sharings[holder]?.service as relayServices.RelayService;
        const message = (born: number): relayMessages.Statement => [
            simulated.endpoint,
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
        chai.expect((await simulated.settle(fleet, service.run(message(2))))[0].slice(0, 1)).to.deep.equal([
            "declined",
        ]);
        fleet.isPrimary = false;
        chai.expect((await simulated.settle(fleet, service.run(message(1))))[0].slice(0, 1)).to.deep.equal([
            "declined",
        ]);
        fleet.isPrimary = true;
        fleet.leaving.add(holder);
        chai.expect((await simulated.settle(fleet, service.run(message(1))))[0][2]).to.equal("leaving");
        chai.expect(fleet.runs).to.deep.equal([]);
    });

    it("are not run, and open no connection elsewhere, when the holder has none to spare in time", async () => {
        const fleet = simulated.createFleet();
        const holder = fleet.holderOf("cluj");
        const service = fleet.sharings[holder]?.service as relayServices.RelayService;
        const busy = Array.from(
            { length: 60 },
            (_, number) =>
                service.run([
                    simulated.endpoint,
                    1,
                    "cluj",
                    [],
                    `b${number}`,
                    ["text", "READ b", null],
                    false,
                    400,
                    1,
                    1,
                ]),
        );
        const context = fleet.context(fleet.originFor("cluj"));
        const result = await simulated.settle(
            fleet,
            fleet.execute(fleet.originFor("cluj"), simulated.write("w"), { deadlineMs: context.arrivedMs + 150 }),
        );
        chai.expect(codeOf(result)).to.equal(failure.Code.endpointUnreachable);
        chai.expect(new Set(fleet.dials)).to.deep.equal(new Set([holder]));
        chai.expect(fleet.runs.some(run => run.command.includes("WRITE w"))).to.equal(false);
        await simulated.settle(fleet, Promise.all(busy));
    });

    it("fail without having run when the endpoint can't be reached, and only that counts as its failure", async () => {
        const fleet = simulated.createFleet();
        fleet.endpointIsDown = true;
        const result = await simulated.settle(fleet, fleet.execute(fleet.originFor("cluj"), simulated.write("w")));
        chai.expect(codeOf(result)).to.equal(failure.Code.endpointUnreachable);
        chai.expect(fleet.failures.every(entry => entry.message === "refused")).to.equal(true);
    });
});

describe("transactions on the connection of another host", () => {
    async function begin(fleet: simulated.Fleet, change?: Partial<statements.Context>) {
        const origin = fleet.originFor("cluj");
        const context = () => fleet.context(origin, change);
        const runner = fleet.transactions(origin);
        const begun = await simulated.settle(fleet, runner.begin("-", false, context()));
        return { runner, context, transaction: begun._unsafeUnwrap() };
    }

    it("open a connection of their own host instead, unless they are to be relayed", async () => {
        const fleet = simulated.createFleet(true, false);
        const { transaction } = await begin(fleet);
        chai.expect(transaction.connection.connection.isOpen()).to.equal(true);
        chai.expect(fleet.dials).to.deep.equal([fleet.originFor("cluj")]);
        chai.expect(fleet.relayed).to.deep.equal([]);
    });

    it("run on one connection from BEGIN to COMMIT, and bring the session's variables along", async () => {
        const fleet = simulated.createFleet();
        const variables = new Map([["lang", "ro"]]);
        const { runner, context, transaction } = await begin(fleet, { variables });
        await simulated.settle(fleet, runner.run(transaction, simulated.write("a"), context()));
        variables.set("lang", "en");
        await simulated.settle(fleet, runner.run(transaction, simulated.write("b"), context()));
        const committed = await simulated.settle(fleet, runner.commit(transaction, "c", context()));
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
        const fleet = simulated.createFleet();
        const { runner, context, transaction } = await begin(fleet);
        await fleet.clock.advance(8_000);
        const result = await simulated.settle(fleet, runner.run(transaction, simulated.write("a"), context()));
        chai.expect(result.isOk()).to.equal(true);
    });

    it("are rolled back within seconds when their host dies", async () => {
        const fleet = simulated.createFleet();
        await begin(fleet);
        fleet.dead.add(fleet.originFor("cluj"));
        await fleet.clock.advance(relayServices.leaseMs + 1_500);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
    });

    it("are rolled back at the holder when the caller rolls back or leaves", async () => {
        const fleet = simulated.createFleet();
        const { runner, transaction } = await begin(fleet);
        runner.rollback(transaction);
        await fleet.clock.advance(200);
        chai.expect(fleet.runs.map(run => run.command)).to.deep.equal(["begin", "rollback"]);
        await fleet.clock.advance(simulated.pauseMs);
        const next = await begin(fleet);
        next.transaction.connection.discard();
        await fleet.clock.advance(200);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
        chai.expect(fleet.sharings.every(sharing => sharing.service.openTransactions() === 0)).to.equal(true);
    });

    it("have an unknown outcome only if the holder dies with the COMMIT", async () => {
        const fleet = simulated.createFleet();
        const holder = fleet.holderOf("cluj");
        const first = await begin(fleet);
        await simulated.settle(fleet, first.runner.run(first.transaction, simulated.write("a"), first.context()));
        const committing = first.runner.commit(first.transaction, "c", first.context());
        await fleet.clock.advance(20);
        fleet.dead.add(holder);
        chai.expect(codeOf(await simulated.settle(fleet, committing))).to.equal(failure.Code.outcomeUnknown);
        fleet.dead.delete(holder);
        await fleet.clock.advance(3_000);
        const second = await begin(fleet);
        fleet.dead.add(holder);
        const ended = await simulated.settle(fleet, second.runner.commit(second.transaction, "d", second.context()));
        chai.expect(codeOf(ended)).to.equal(failure.Code.transactionLost);
    });

    it("end as lost, and nothing of them runs, at a holder that has started anew", async () => {
        const fleet = simulated.createFleet();
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
        const result = await simulated.settle(fleet, runner.commit(transaction, "c", context()));
        chai.expect(codeOf(result)).to.equal(failure.Code.transactionLost);
        chai.expect(fleet.runs).to.have.length(runsBefore);
        chai.expect(fleet.rolledBack).to.deep.equal(["cluj"]);
    });

    it("may end at a holder that leaves, which waits for them", async () => {
        const fleet = simulated.createFleet();
        const holder = fleet.holderOf("cluj");
        const { runner, context, transaction } = await begin(fleet);
        fleet.leaving.add(holder);
        let drained = false;
        void fleet.sharings[holder]?.drain(fleet.clock.now() + 3_000).then(() => {
            drained = true;
        });
        await fleet.clock.advance(500);
        chai.expect(drained).to.equal(false);
        await simulated.settle(fleet, runner.run(transaction, simulated.write("a"), context()));
        chai.expect((await simulated.settle(fleet, runner.commit(transaction, "c", context()))).isOk()).to.equal(true);
        await fleet.clock.advance(200);
        chai.expect(drained).to.equal(true);
    });
});
