import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as policies from "../core/policy.js";
import * as sessions from "./session.js";
import type * as statements from "./statement.js";
import type * as transactions from "./transactions.js";

describe("session", () => {
    const route: policies.Route = {
        database: "catalogue",
        group: "ledger",
        consistency: { kind: "bounded", maxAgeMs: 1_500 },
        statementTimeoutMs: 1_000,
        latencyTargetMs: 300,
        priority: 1,
        allowsAnonymous: false,
    };
    const policy: policies.Policy = {
        ...policies.empty,
        version: 1,
        routes: new Map([["catalogue", route]]),
        keys: new Map([["key", "cluj"]]),
    };

    /** A session whose statements are recorded and not run. */
    function createSession(policyOf: () => policies.Policy) {
        const contexts: statements.Context[] = [];
        const log: string[] = [];
        const refused = neverthrow.err(failure.create(failure.Code.overloaded, "i-1", "full", 0));
        const reply: statements.EndpointReply = {
            reply: { rows: [], outcome: { kind: "done", signature: "s" }, state: "transaction", position: undefined },
            endpoint: "i-1",
            primary: true,
        };
        const session = sessions.createSession(
            {
                clock: {
                    now: () => 0,
                    wallClockMs: () => 0,
                    sleep: async () => undefined,
                    every: () => () => undefined,
                    after: () => () => undefined,
                },
                events: { emit: () => undefined, reportOmitted: () => undefined },
                metrics: { admitted: () => undefined, served: () => undefined, refused: () => undefined },
                executor: {
                    run: async (_, context) => {
                        contexts.push(context);
                        return refused;
                    },
                },
                transactions: {
                    async begin(_id, _readOnly, context) {
                        log.push(`begin for ${context.organisation}`);
                        return neverthrow.ok({ endpoint: "i-1", wrote: false } as transactions.Transaction);
                    },
                    async run(_transaction, statement) {
                        log.push(statement.id);
                        return neverthrow.ok(reply);
                    },
                    async commit(_transaction, id) {
                        log.push(id);
                        return neverthrow.ok(reply);
                    },
                    rollback: () => void log.push("rollback"),
                },
                limiter: { admit: () => ({ admitted: true }) } as never,
                policy: policyOf,
                group: () => undefined as never,
                checkSuspension: () => undefined,
            },
            "catalogue",
            "key",
        );
        return { session, contexts, log };
    }

    // Guards against an attempt of a hedged read that is still running after the answer and sees the values that the
    // session sets next.
    it("keeps the values of a request that is still running when the next SET is acknowledged", async () => {
        const { session, contexts } = createSession(() => policy);
        await session.handle("1", { kind: "set", name: "search", value: "v1" });
        await session.handle("2", { kind: "statement", mode: "read", text: "READ item" });
        await session.handle("3", { kind: "set", name: "search", value: "v2" });
        await session.handle("4", { kind: "statement", mode: "read", text: "READ item" });
        chai.expect(contexts.map(context => context.variables.get("search"))).to.deep.equal(["v1", "v2"]);
    });

    // Guards against a transaction that goes on for the organisation that held the key at its BEGIN.
    for (const last of ["statement", "commit"] as const) {
        it(`rolls a transaction back whose key has moved to another organisation, at the next ${last}`, async () => {
            let holder = "cluj";
            const { session, log } = createSession(() => ({ ...policy, keys: new Map([["key", holder]]) }));
            const read = { kind: "statement", mode: "read", text: "READ item" } as const;
            await session.handle("1", { kind: "begin", readOnly: false });
            await session.handle("2", read);
            holder = "iasi";
            const response = await session.handle("3", last === "commit" ? { kind: "commit" } : read);
            chai.expect(response.result._unsafeUnwrapErr().code).to.equal(failure.Code.transactionLost);
            chai.expect(response.state).to.equal(last === "commit" ? "idle" : "failed");
            await session.handle("4", { kind: "rollback" });
            await session.handle("5", { kind: "begin", readOnly: false });
            await session.handle("6", read);
            chai.expect(log).to.deep.equal(["begin for cluj", "2", "rollback", "begin for iasi", "6"]);
        });
    }
});
