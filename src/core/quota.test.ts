import * as chai from "chai";
import * as fc from "fast-check";
import * as quotas from "./quota.js";

const loanMs = 500;
const options = { slots: 3, slotsPerOrganisation: 3, loanMs, entitlementsValid: () => true };
const limit = { ratePerSecond: 30, burst: 30 };
const seed = 20_261;

/** One step of a random schedule over three hosts. */
type Step =
    | { readonly kind: "wait"; readonly ms: number }
    | { readonly kind: "spend"; readonly host: number; readonly tokens: number }
    /** Every host spends its whole balance. */
    | { readonly kind: "drain" }
    | {
        readonly kind: "loan";
        readonly from: number;
        readonly to: number;
        readonly wanted: number;
        /** Time that the reply with the loan takes; it may arrive after the loan has expired. */
        readonly travelMs: number;
    }
    | { readonly kind: "move"; readonly slot: number; readonly to: number };

const host = fc.integer({ min: 0, max: 2 });
const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 700 }) }),
    fc.record({ kind: fc.constant("spend" as const), host, tokens: fc.integer({ min: 1, max: 12 }) }),
    fc.record({ kind: fc.constant("drain" as const) }),
    fc.record({
        kind: fc.constant("loan" as const),
        from: host,
        to: host,
        wanted: fc.integer({ min: 1, max: 20 }),
        travelMs: fc.integer({ min: 0, max: 900 }),
    }),
    fc.record({ kind: fc.constant("move" as const), slot: host, to: host }),
);

/** Runs a schedule; returns each number of tokens spent, with its time. */
function run(steps: readonly Step[]): readonly { readonly atMs: number; readonly tokens: number }[] {
    const hosts = [0, 1, 2].map(() => quotas.createQuota(options));
    const holderOf = [0, 1, 2];
    const entitledFromMs = [0, 0, 0];
    const arrivals: { readonly atMs: number; readonly deliver: () => void }[] = [];
    const spent: { atMs: number; tokens: number }[] = [];
    let nowMs = 0;
    const spend = (index: number, tokens: number): boolean => {
        const wasSpent = hosts[index]?.spend("club", tokens, nowMs) === true;
        if (wasSpent) {
            spent.push({ atMs: nowMs, tokens });
        }
        return wasSpent;
    };
    const assign = (): void =>
        hosts.forEach((quota, index) => {
            quota.setLimits(new Map([["club", limit]]));
            const slots = [0, 1, 2].filter(slot => holderOf[slot] === index);
            quota.setEntitlements(slots.map(slot => ({ slot, fromMs: entitledFromMs[slot] ?? 0 })));
        });
    assign();
    hosts.forEach(quota => quota.balance("club", 0));
    nowMs = 2_000;
    for (const next of steps) {
        if (next.kind === "wait") {
            nowMs += next.ms;
        }
        if (next.kind === "spend") {
            spend(next.host, next.tokens);
        }
        if (next.kind === "drain") {
            for (const index of hosts.keys()) {
                while (spend(index, 0.5)) {
                    continue;
                }
            }
        }
        if (next.kind === "loan" && next.from !== next.to) {
            const requestedMs = nowMs;
            const lent = hosts[next.from]?.lend("club", next.wanted, nowMs) ?? 0;
            const deliver = (): void => hosts[next.to]?.borrow("club", lent, requestedMs);
            arrivals.push({ atMs: nowMs + next.travelMs, deliver });
        }
        if (next.kind === "move") {
            holderOf[next.slot] = next.to;
            entitledFromMs[next.slot] = nowMs + loanMs;
            assign();
        }
        arrivals.filter(entry => entry.atMs <= nowMs).forEach(entry => {
            entry.deliver();
            arrivals.splice(arrivals.indexOf(entry), 1);
        });
    }
    return spent;
}

describe("quota", () => {
    it("accrues a slot's share of the rate from the start of its entitlement", () => {
        const quota = quotas.createQuota(options);
        quota.setLimits(new Map([["club", limit]]));
        quota.setEntitlements([{ slot: 0, fromMs: 0 }]);
        chai.expect(quota.balance("club", 0)).to.equal(0);
        chai.expect(quota.balance("club", 100)).to.be.closeTo(1, 1e-9);
        chai.expect(quota.balance("club", 30_000)).to.equal(10);
    });

    it("adds up fractions lent by several hosts to exactly one token", () => {
        const quota = quotas.createQuota(options);
        quota.borrow("club", 0.7, 0);
        quota.borrow("club", quota.shortage("club", 1, 10) / 3, 0);
        quota.borrow("club", quota.shortage("club", 1, 10), 0);
        chai.expect(quota.spend("club", 1, 10)).to.equal(true);
    });

    it("neither spends nor lends while the entitlements are not valid", () => {
        const quota = quotas.createQuota({ ...options, entitlementsValid: () => false });
        quota.setLimits(new Map([["club", limit]]));
        quota.setEntitlements([{ slot: 0, fromMs: 0 }]);
        quota.balance("club", 0);
        chai.expect(quota.spend("club", 1, 10_000)).to.equal(false);
        chai.expect(quota.lend("club", 1, 10_000)).to.equal(0);
    });

    it("never exceeds rate and burst in any window, whatever is lent, delayed, lost or moved", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 120 }), steps => {
                const spent = run(steps);
                let largestExcess = 0;
                for (const [index, first] of spent.entries()) {
                    let total = 0;
                    for (const entry of spent.slice(index)) {
                        total += entry.tokens;
                        const allowed = limit.burst + limit.ratePerSecond * (entry.atMs - first.atMs) / 1_000;
                        largestExcess = Math.max(largestExcess, total - allowed);
                    }
                }
                chai.expect(largestExcess).to.be.at.most(1e-6);
            }),
            { seed, numRuns: 2_000 },
        );
    });
});
