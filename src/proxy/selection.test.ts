import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as groups from "./group.js";
import type * as pools from "./pool.js";
import * as selection from "./selection.js";
import type * as statements from "./statement.js";

describe("acquisition of a connection", () => {
    const placement = { endpoint: "i-2", minPosition: { term: 1, index: 3 } } as unknown as groups.Placement;

    // Guards against a read that is sent to an endpoint which announced its shutdown while the read waited in the queue.
    it("gives the connection back if the endpoint began to shut down meanwhile", async () => {
        let leaving = false;
        let released = 0;
        let serve: () => void = () => undefined;
        const pooled = { release: () => void (released += 1) } as unknown as pools.PooledConnection;
        const pool = {
            acquire: () => new Promise(resolve => (serve = () => resolve(neverthrow.ok(pooled)))),
        } as unknown as pools.Pool;
        const group = {
            pool: () => pool,
            minStatementMs: () => 0,
            isLeaving: () => leaving,
            relaying: undefined,
        } as unknown as groups.Group;
        const route = { statementTimeoutMs: 1_000, latencyTargetMs: 300, priority: 1 };
        const context = { group, route, organisation: "cluj", variables: new Map(), deadlineMs: 1_000 };
        const waiting = selection.acquireConnection("read", placement, context as unknown as statements.Context);
        leaving = true;
        serve();
        chai.expect((await waiting)._unsafeUnwrapErr().code).to.equal(failure.Code.endpointUnreachable);
        chai.expect(released).to.equal(1);
    });
});
