import * as chai from "chai";
import * as neverthrow from "neverthrow";
import type * as connections from "../ports/connection.js";
import type * as pools from "./pool.js";
import * as statements from "./statement.js";

describe("set-up of a connection", () => {
    const clock = { now: () => 0, sleep: async () => undefined, every: () => () => undefined };
    const done: connections.Reply = {
        rows: [],
        outcome: { kind: "done", signature: "-" },
        state: "idle",
        position: undefined,
    };

    /** A connection that replies to its set-up when it is told to. */
    function createConnection(): { pooled: pools.PooledConnection; sent: connections.Command[]; reply(): void } {
        const sent: connections.Command[] = [];
        const waiting: (() => void)[] = [];
        const connection: connections.Connection = {
            run: (_, command) => {
                sent.push(command);
                return new Promise(resolve => waiting.push(() => resolve(neverthrow.ok(done))));
            },
            control: async () => neverthrow.err("other"),
            isOpen: () => true,
            close: () => undefined,
        };
        return {
            sent,
            pooled: {
                connection,
                variables: new Map(),
                prepared: new Map(),
                release: () => undefined,
                discard: () => undefined,
            },
            reply: () => waiting.splice(0).forEach(resolve => resolve()),
        };
    }

    // Guards against a connection that is noted with values that its session has set since the set-up was sent: the next
    // statement ran there with the old ones.
    it("notes the values that were sent, not those that the session has by then", async () => {
        const { pooled, sent, reply } = createConnection();
        const variables = new Map([["search", "v1"]]);
        const isSetUp = statements.setUpConnection(pooled, { variables, deadlineMs: 1_000 }, undefined, clock);
        variables.set("search", "v2");
        reply();
        chai.expect(await isSetUp).to.equal(true);
        const next = statements.setUpConnection(pooled, { variables, deadlineMs: 1_000 }, undefined, clock);
        reply();
        chai.expect(await next).to.equal(true);
        chai.expect(sent.map(command => (command.kind === "set" ? command.value : command.kind))).to.deep.equal([
            "v1",
            "v2",
        ]);
    });
});
