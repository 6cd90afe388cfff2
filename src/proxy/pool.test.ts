import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as simulation from "../../standins/simulation.js";
import type * as failure from "../core/failure.js";
import type * as connections from "../ports/connection.js";
import * as pools from "./pool.js";

type Acquired = neverthrow.Result<pools.PooledConnection, failure.Failure>;

/** A pool with one connection, before an endpoint that accepts every connection. */
function createStage(change: Partial<pools.Options> = {}) {
    const clock = simulation.createClock();
    const counts = { inversions: 0, abandoned: 0, dialed: 0 };
    const dialer: connections.Dialer = {
        async dial() {
            counts.dialed += 1;
            return neverthrow.ok({
                isOpen: () => true,
                control: async () => neverthrow.err({ sent: false, timedOut: false, message: "not used" }),
                close: () => undefined,
                run: async () => neverthrow.err({ sent: false, timedOut: false, message: "not used" }),
            });
        },
    };
    const pool = pools.createPool({
        endpoint: "i-1",
        group: "ledger",
        address: "10.0.0.1:1",
        dialer,
        clock,
        answerMs: () => 10,
        endpointWaitMs: () => 0,
        weight: () => 1,
        share: () => ({ guaranteed: 1, spare: 0 }),
        onInversion: () => counts.inversions += 1,
        onAbandoned: () => counts.abandoned += 1,
        onReply: () => undefined,
        onFailure: () => undefined,
        ...change,
    });
    const acquire = (request: Partial<pools.AcquireRequest> = {}): Promise<Acquired> =>
        pool.acquire({
            organisation: "cluj",
            variables: new Map(),
            deadlineMs: clock.now() + 800,
            targetMs: clock.now() + 250,
            priority: 0,
            ...request,
        });
    const held = async (): Promise<pools.PooledConnection> => (await acquire())._unsafeUnwrap();
    return { clock, counts, pool, acquire, held };
}

describe("pool of an endpoint", () => {
    it("serves the most urgent statement first, and counts none behind a less urgent one", async () => {
        const stage = createStage();
        const first = await stage.held();
        const served: number[] = [];
        [2, 1, 0].forEach(priority =>
            void stage.acquire({ priority }).then(acquired => {
                served.push(priority);
                acquired.map(connection => connection.release());
            })
        );
        first.release();
        await stage.clock.advance(10);
        chai.expect(served).to.deep.equal([0, 1, 2]);
        chai.expect(stage.counts.inversions).to.equal(0);
    });

    it("drops a waiting statement whose caller has left, and never runs it", async () => {
        const stage = createStage();
        const first = await stage.held();
        let hasLeft = false;
        const waiting = stage.acquire({ isAbandoned: () => hasLeft });
        hasLeft = true;
        stage.pool.sweep();
        chai.expect((await waiting).isErr()).to.equal(true);
        chai.expect(stage.counts.abandoned).to.equal(1);
        first.release();
        chai.expect(stage.pool.load()).to.equal(0);
    });

    it("fails a waiting statement at its deadline, not at a later sweep or after a pause before the next attempt", async () => {
        const stage = createStage();
        const first = await stage.held();
        let failedMs: number | undefined;
        const deadlineMs = stage.clock.now() + 60;
        void stage.acquire({ deadlineMs }).then(() => failedMs = stage.clock.now());
        await stage.clock.advance(61);
        chai.expect(failedMs).to.equal(deadlineMs);
        first.release();
        chai.expect(stage.pool.load()).to.equal(0);

        const full = createStage({ dialer: { dial: async () => neverthrow.err("tooMany" as const) } });
        let givenUpMs: number | undefined;
        void full.acquire({ deadlineMs: full.clock.now() + 40 }).then(() => givenUpMs = full.clock.now());
        await full.clock.advance(41);
        chai.expect(givenUpMs).to.equal(40);
    });

    it("keeps a connection that is opened after its statement was given up", async () => {
        const clock = simulation.createClock();
        const stage = createStage({
            clock,
            dialer: {
                async dial() {
                    await clock.sleep(100);
                    return neverthrow.ok({
                        isOpen: () => true,
                        control: async () => neverthrow.err({ sent: false, timedOut: false, message: "not used" }),
                        close: () => undefined,
                        run: async () => neverthrow.err({ sent: false, timedOut: false, message: "not used" }),
                    });
                },
            },
        });
        const late = stage.acquire({ deadlineMs: clock.now() + 50 });
        await clock.advance(51);
        chai.expect((await late).isErr()).to.equal(true);
        await clock.advance(60);
        chai.expect([stage.pool.load(), stage.pool.size()]).to.deep.equal([0, 1]);
    });

    it("refuses at once what can't be served, with times to come back that differ", async () => {
        const stage = createStage();
        const first = await stage.held();
        await stage.clock.advance(400);
        first.release();
        await stage.held();
        void stage.acquire({ deadlineMs: stage.clock.now() + 10_000 });
        const refused = await Promise.all(Array.from({ length: 8 }, () => stage.acquire()));
        const times = refused.map(acquired => acquired.isErr() ? acquired.error.retryAfterMs ?? 0 : -1);
        times.forEach(time => chai.expect(time).to.be.greaterThan(0));
        chai.expect(new Set(times).size).to.equal(times.length);
    });

    it("refuses nothing for the load of other hosts while this host has its guaranteed part free", async () => {
        const stage = createStage({ endpointWaitMs: () => 10_000 });
        const first = await stage.acquire();
        chai.expect(first.isOk()).to.equal(true);
        const second = await stage.acquire();
        chai.expect(second.isErr()).to.equal(true);
    });
});
