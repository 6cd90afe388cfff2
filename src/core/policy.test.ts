import * as chai from "chai";
import * as configuration from "./configuration.js";
import * as failover from "./failover.js";
import * as failure from "./failure.js";
import * as freshness from "./freshness.js";
import * as memberships from "./membership.js";
import * as queues from "./queue.js";
import * as slots from "./quotaslots.js";
import * as retryBudgets from "./retrybudget.js";
import * as statements from "./statement.js";

describe("statement", () => {
    const kinds: readonly (readonly [string, string])[] = [
        ["SELECT * FROM orders", "read"],
        ["select count(*) from orders where id in (1, 2)", "read"],
        ["SELECT * FROM orders FOR UPDATE", "write"],
        ["SELECT reserve_stock(4)", "write"],
        ["INSERT INTO orders VALUES ('a; b')", "write"],
        ["REPLACE INTO orders VALUES (1)", "write"],
        ["start transaction", "begin"],
        ["COMMIT;", "commit"],
        ["SET NAMES utf8mb4", "setting"],
    ];
    kinds.forEach(([text, kind]) => {
        it(`classifies ${text} as ${kind}`, () =>
            chai.expect(statements.classify(text)._unsafeUnwrap().kind).to.equal(kind));
    });

    const refused: readonly (readonly [string, number])[] = [
        ["SELECT 1; DROP TABLE orders", failure.Code.notSupported],
        ["SELECT /*! SQL_NO_CACHE */ 1", failure.Code.notSupported],
        ["SELECT @a := 1", failure.Code.notSupported],
        ["LOCK TABLES orders WRITE", failure.Code.statementInvalid],
        ["SET GLOBAL read_only = 1", failure.Code.notSupported],
        ["/* hyssophatch colour=red */ SELECT 1", failure.Code.statementInvalid],
        ["", failure.Code.statementInvalid],
    ];
    refused.forEach(([text, code]) => {
        it(`refuses ${text || "an empty text"}`, () =>
            chai.expect(statements.classify(text)._unsafeUnwrapErr().code).to.equal(code));
    });

    it("marks writes that commit the open transaction implicitly", () => {
        const commits = (text: string): boolean | undefined =>
            statements.classify(text)._unsafeUnwrap().commitsImplicitly;
        chai.expect(commits("CREATE TABLE orders (id INT)")).to.equal(true);
        chai.expect(commits("DROP TABLE orders")).to.equal(true);
        chai.expect(commits("INSERT INTO orders VALUES (1)")).to.not.equal(true);
    });

    it("reads hints from comments, not from string literals", () => {
        const hint = statements.classify("/* hyssophatch session=s1 request=r1 */ SELECT 1")._unsafeUnwrap().hint;
        chai.expect(hint).to.deep.equal({ session: "s1", request: "r1" });
        chai.expect(statements.classify("SELECT '/* hyssophatch session=s1 */'")._unsafeUnwrap().hint).to.deep.equal(
            {},
        );
    });
});

describe("configuration", () => {
    it("reports the path, the reason and the nearest valid value of each issue", () => {
        const issues = configuration.validate({
            ...configuration.empty,
            organisations: { cluj: { ratePerSecond: 2_000_000, burst: 10, wieght: 1 } },
        })._unsafeUnwrapErr();
        chai.expect(issues.map(issue => issue.path)).to.include("organisations.cluj.ratePerSecond");
        chai.expect(configuration.toFailure(issues).message).to.contain("the nearest valid value is 1000000");
        chai.expect(configuration.toFailure(issues).message).to.contain("the nearest valid name is weight");
    });

    it("refuses references to missing entries", () => {
        const issues = configuration.validate({
            ...configuration.empty,
            databases: { orders: {} },
            routes: { shop: { database: "order" } },
        })._unsafeUnwrapErr();
        chai.expect(issues[0]?.message).to.contain("nearest valid name is orders");
    });
});

describe("freshness", () => {
    const evidence = { ageMs: 9_000, maxAgeMs: 4_000, behind: false, storeFailureDomains: ["a", "b"] };
    const down = (failureDomain: string): freshness.StoreReport => ({ failureDomain, downMs: 100 });

    it("assumes an outage only when every failure domain of the store's region reports it", () => {
        chai.expect(freshness.evaluate({ ...evidence, storeReports: [down("a"), down("b")] }).serve)
            .to.equal(true);
        chai.expect(freshness.evaluate({ ...evidence, storeReports: [down("a"), down("c")] }).serve)
            .to.equal(false);
        chai.expect(
            freshness.evaluate({ ...evidence, storeReports: [down("a"), { ...down("b"), upMs: 50 }] }).serve,
        ).to.equal(false);
    });

    it("does not serve while a newer state is known to exist", () => {
        chai.expect(freshness.evaluate({ ...evidence, ageMs: 10, behind: true, storeReports: [] }).serve)
            .to.equal(false);
    });
});

describe("quota slots", () => {
    const holder = (host: string) => ({ host, incarnation: 1 });

    it("reassigns only the slots of lost hosts, and marks slots that the former holder may still use", () => {
        const first = slots.plan(slots.empty, { live: [holder("a"), holder("b")], leaving: [] }, 4) ?? slots.empty;
        chai.expect(first.slots.map(entry => entry.inherited)).to.deep.equal([false, false, false, false]);
        const second = slots.plan(first, { live: [holder("b")], leaving: [] }, 4) ?? slots.empty;
        chai.expect(slots.grantsOf(second, holder("b")).filter(entry => entry.inherited)).to.have.length(2);
        chai.expect(slots.plan(second, { live: [holder("b")], leaving: [] }, 4)).to.equal(undefined);
    });

    it("gives a slot a new grant when it returns to an earlier holder", () => {
        const first = slots.plan(slots.empty, { live: [holder("a")], leaving: [] }, 1) ?? slots.empty;
        const second = slots.plan(first, { live: [holder("b")], leaving: [] }, 1) ?? slots.empty;
        const third = slots.plan(second, { live: [holder("a")], leaving: [] }, 1) ?? slots.empty;
        chai.expect(slots.grantsOf(third, holder("a"))[0]?.grant).to.not.equal(
            slots.grantsOf(first, holder("a"))[0]?.grant,
        );
        chai.expect(slots.grantsOf(third, holder("a"))[0]?.inherited).to.equal(true);
    });

    it("lets at most one side of a partitioned fleet change the slot table", () => {
        const first = slots.plan(slots.empty, { live: [holder("a"), holder("b")], leaving: [] }, 4) ?? slots.empty;
        chai.expect(slots.hasQuorum(slots.empty, [holder("a")])).to.equal(true);
        chai.expect([["a"], ["b"]].map(side => slots.hasQuorum(first, side.map(holder)))).to.deep.equal([true, false]);
        const three = slots.plan(slots.empty, { live: ["a", "b", "c"].map(holder), leaving: [] }, 9) ?? slots.empty;
        chai.expect(["a", "b", "c"].map(side => slots.hasQuorum(three, [holder(side)]))).to.deep.equal([
            false,
            false,
            false,
        ]);
        chai.expect(slots.hasQuorum(three, [holder("b"), holder("c")])).to.equal(true);
    });

    it("assumes every slot of a corrupt table to be in use", () => {
        const next = slots.plan(slots.parse("{broken", 2), { live: [holder("a")], leaving: [] }, 2) ?? slots.empty;
        chai.expect(next.slots.map(entry => entry.inherited)).to.deep.equal([true, true]);
    });

    it("marks no slot as inherited when the former holder has stopped", () => {
        const first = slots.plan(slots.empty, { live: [holder("a")], leaving: [] }, 2) ?? slots.empty;
        const next = slots.plan(first, { live: [holder("b")], leaving: [], stopped: holder("a") }, 2) ?? slots.empty;
        chai.expect(slots.grantsOf(next, holder("b")).every(entry => !entry.inherited)).to.equal(true);
    });
});

describe("queue", () => {
    const create = (weights: Readonly<Record<string, number>>) =>
        queues.createQueue<string>({
            maxLength: 100,
            concurrency: 1,
            weight: organisation => weights[organisation] ?? 1,
        });

    it("serves organisations in proportion to their weights, regardless of backlog", () => {
        const queue = create({ noisy: 1, quiet: 2 });
        for (let count = 0; count < 30; count += 1) {
            queue.offer({ organisation: "noisy", deadlineMs: 1e6, value: "noisy" }, 0);
        }
        for (let count = 0; count < 20; count += 1) {
            queue.offer({ organisation: "quiet", deadlineMs: 1e6, value: "quiet" }, 0);
        }
        const served = Array.from({ length: 15 }, () => queue.take()?.value);
        chai.expect(served.filter(value => value === "quiet")).to.have.length(10);
    });

    it("refuses at once a statement that can't meet its deadline, with a retry time", () => {
        const queue = create({});
        queue.recordServiceTime(1_000);
        for (let count = 0; count < 20; count += 1) {
            queue.offer({ organisation: "a", deadlineMs: 1e6, value: "a" }, 0);
        }
        const admission = queue.offer({ organisation: "a", deadlineMs: 50, value: "late" }, 0);
        chai.expect(admission.admitted).to.equal(false);
        chai.expect(admission.admitted ? 0 : admission.retryAfterMs).to.be.greaterThan(50);
    });

    it("prevents one organisation from filling the queue", () => {
        const queue = create({});
        queue.offer({ organisation: "quiet", deadlineMs: 1e6, value: "quiet" }, 0);
        const admitted = Array.from(
            { length: 100 },
            () => queue.offer({ organisation: "noisy", deadlineMs: 1e6, value: "noisy" }, 0),
        );
        chai.expect(admitted.filter(entry => entry.admitted)).to.have.length(50);
    });
});

describe("membership", () => {
    const member = (id: string, heartbeat: number, incarnation = 1): memberships.Member => ({
        id,
        region: "north",
        failureDomain: "a",
        address: id,
        incarnation,
        heartbeat,
        leaving: false,
    });

    it("measures silence since the heartbeat last advanced, and accepts a restart under a new incarnation", () => {
        const view = memberships.createMembership({ self: member("me", 0), timeoutMs: 1_000 });
        view.merge([member("other", 5)], 0);
        view.merge([member("other", 5)], 900);
        chai.expect(view.live(950).map(entry => entry.id)).to.deep.equal(["me", "other"]);
        chai.expect(view.live(1_100).map(entry => entry.id)).to.deep.equal(["me"]);
        view.merge([member("other", 1, 2)], 1_200);
        chai.expect(view.live(1_300)).to.have.length(2);
        view.suspect("other");
        chai.expect(view.live(1_300)).to.have.length(1);
    });
});

describe("failover", () => {
    const options = { silenceTimeoutMs: () => 1_000, pauseThresholdMs: 500, minAttemptIntervalMs: 2_000 };
    const report = (endpoint: string, requestedAtMs: number, primary = false) => ({
        endpoint,
        bootId: "1",
        term: 1,
        primary,
        draining: false,
        received: { term: 1, index: 1 },
        applied: { term: 1, index: 1 },
        requestedAtMs,
    });
    const observation = (nowMs: number, reports: readonly ReturnType<typeof report>[]) => ({
        nowMs,
        primary: "a",
        reports,
        groupSize: 3,
        draining: false,
        writesPending: false,
    });

    it("replaces a silent primary while a majority responds", () => {
        const monitor = failover.createMonitor(options);
        const decisions = [0, 400, 800, 1_200].map(nowMs =>
            monitor.shouldReplace(observation(nowMs, [report("b", nowMs), report("c", nowMs)]))
        );
        chai.expect(decisions).to.deep.equal([false, false, false, true]);
    });

    it("replaces no primary after a pause of this process", () => {
        const monitor = failover.createMonitor(options);
        monitor.shouldReplace(observation(0, [report("a", 0, true), report("b", 0), report("c", 0)]));
        chai.expect(monitor.shouldReplace(observation(5_000, [report("b", 5_000), report("c", 5_000)])))
            .to.equal(false);
    });

    it("replaces no primary without a majority", () => {
        const monitor = failover.createMonitor(options);
        const decisions = [0, 400, 800, 1_200].map(nowMs =>
            monitor.shouldReplace(observation(nowMs, [report("b", nowMs)]))
        );
        chai.expect(decisions).to.deep.equal([false, false, false, false]);
    });
});

describe("retry budget", () => {
    it("limits retries to a share of the requests", () => {
        const budget = retryBudgets.createRetryBudget({ retriesPerRequest: 0.1, maxBalance: 5 });
        let retries = 0;
        for (let count = 0; count < 1_000; count += 1) {
            budget.recordRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        chai.expect(retries).to.be.at.most(105);
    });
});
