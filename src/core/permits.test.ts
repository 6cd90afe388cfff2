import * as chai from "chai";
import * as fc from "fast-check";
import * as permits from "./permits.js";

const seed = 20_261;
const limit = 9;

/** A step of hosts that ask for permits and use them, over links that delay, while the lock moves. */
type Step =
    | { readonly kind: "wait"; readonly ms: number }
    | { readonly kind: "ask"; readonly request: permits.Request; readonly travelMs: number }
    /** All hosts use all permits that they have. */
    | { readonly kind: "use" }
    | { readonly kind: "own"; readonly host: number }
    /** The lock moves to another host; the one before issues nothing from then on. */
    | { readonly kind: "move"; readonly to: number };

const hostCount = 4;
const host = fc.integer({ min: 0, max: hostCount - 1 });
const request = fc.record({ immediate: fc.integer({ min: 1, max: 4 }), held: fc.integer({ min: 0, max: 3 }) });
const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("wait" as const), ms: fc.constantFrom(10, 200, 290, 700, 950, 1_500, 2_900) }),
    fc.record({
        kind: fc.constant("ask" as const),
        request,
        travelMs: fc.constantFrom(0, 5, 120, 400, 3_100),
    }),
    fc.record({ kind: fc.constant("use" as const) }),
    fc.record({ kind: fc.constant("own" as const), host }),
    fc.record({ kind: fc.constant("move" as const), to: host }),
);

/** Times at which requests were sent to one endpoint. */
function run(steps: readonly Step[], ownLimit: number): readonly number[] {
    const issuers = Array.from({ length: hostCount }, () => permits.createIssuer());
    const own = Array.from({ length: hostCount }, () => permits.createWindow());
    const pending: { readonly fromMs: number; readonly untilMs: number }[] = [];
    const sent: number[] = [];
    let [nowMs, lockHolder, token] = [0, 0, 1];
    for (const next of steps) {
        if (next.kind === "wait") {
            nowMs += next.ms;
        }
        if (next.kind === "move") {
            lockHolder = next.to;
            token += 1;
        }
        if (next.kind === "ask") {
            // A host that still believes in an earlier holder is turned away, as that one has no token any more.
            issuers.forEach((issuer, index) => {
                const held = index === lockHolder ? token : undefined;
                const decision = issuer.issue("i-1", next.request, limit - ownLimit * hostCount, held, nowMs);
                if (decision.granted) {
                    const arrives = { fromMs: nowMs + next.travelMs };
                    for (let count = 0; count < next.request.immediate; count += 1) {
                        pending.push({ ...arrives, untilMs: nowMs + permits.immediateMs });
                    }
                    for (let count = 0; count < next.request.held; count += 1) {
                        pending.push({ ...arrives, untilMs: nowMs + permits.heldMs });
                    }
                }
            });
        }
        if (next.kind === "use") {
            const usable = pending.filter(entry => entry.fromMs <= nowMs && nowMs < entry.untilMs);
            usable.forEach(entry => pending.splice(pending.indexOf(entry), 1));
            sent.push(...usable.map(() => nowMs));
        }
        if (next.kind === "own") {
            const decision = own[next.host]?.issue({ immediate: 1, held: 0 }, ownLimit, 0, nowMs);
            sent.push(...decision?.granted === true ? [nowMs] : []);
        }
    }
    return sent;
}

describe("permits for cold endpoints", () => {
    it("never add up to more than the limit in any second, however late they are used and whoever issues them", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 150 }), fc.integer({ min: 0, max: 2 }), (steps, ownLimit) => {
                const sent = run(steps, ownLimit);
                const worst = Math.max(
                    0,
                    ...sent.map(start => sent.filter(at => at >= start && at < start + 1_000).length),
                );
                chai.expect(worst).to.be.at.most(limit);
            }),
            { seed, numRuns: 3_000 },
        );
    });

    it("count until no window can hold them any more: a second after they end, and after the lock has moved", () => {
        const issuer = permits.createIssuer();
        const isGranted = (nowMs: number, token: number, immediate: number, held: number): boolean =>
            issuer.issue("i-1", { immediate, held }, 9, token, nowMs).granted;
        // The holder before may have issued a permit, valid for 3 s, just before the lock moved.
        chai.expect(isGranted(0, 1, 8, 1)).to.equal(false);
        chai.expect(isGranted(3_999, 1, 8, 1)).to.equal(false);
        chai.expect(isGranted(4_000, 1, 8, 1)).to.equal(true);
        // Used at 4.3 s at the latest, the 8 immediate ones are in windows until 5.3 s.
        chai.expect(isGranted(5_299, 1, 1, 0)).to.equal(false);
        chai.expect(isGranted(5_300, 1, 7, 1)).to.equal(true);
        // Used at 7 s at the latest, the held one of 4 s is in windows until 8 s.
        chai.expect(isGranted(7_999, 1, 7, 1)).to.equal(false);
        chai.expect(isGranted(8_000, 1, 7, 1)).to.equal(true);
        chai.expect(isGranted(20_000, 2, 1, 0)).to.equal(false);
        chai.expect(isGranted(23_999, 2, 1, 0)).to.equal(false);
        chai.expect(isGranted(24_000, 2, 1, 0)).to.equal(true);
    });

    it("use the limit second by second, and say when there is room again", () => {
        const issuer = permits.createIssuer();
        const ask = (nowMs: number) => issuer.issue("i-1", { immediate: 1, held: 0 }, 5, 1, nowMs);
        chai.expect(ask(0)).to.deep.equal({ granted: false, retryAfterMs: permits.takeoverMs });
        let granted = 0;
        for (let nowMs = permits.takeoverMs; nowMs < permits.takeoverMs + 13_000; nowMs += 10) {
            granted += ask(nowMs).granted ? 1 : 0;
        }
        // A third is left to transactions.
        chai.expect(granted).to.equal(4 * 10);
        const refused = ask(permits.takeoverMs + 12_990);
        chai.expect(refused.granted).to.equal(false);
        chai.expect(refused.retryAfterMs).to.be.above(0).and.at.most(1_300);
    });

    it("leave a part that needs no permit only where twice the hosts can't pass half of the limit", () => {
        for (const hosts of [1, 2, 6, 9, 17, 91]) {
            for (const perSecond of [0, 10, 40, 400]) {
                const total = permits.limitOf({ perSecond, overage: 1.5, slack: 5 });
                for (const known of [Math.ceil(hosts / 2), hosts]) {
                    const own = permits.ownPart(total, known) * hosts;
                    chai.expect(own + permits.issuedPart(total, hosts)).to.be.at.most(total);
                }
            }
        }
        chai.expect(permits.ownPart(permits.limitOf({ perSecond: 40, overage: 1.5, slack: 5 }), 6)).to.equal(2);
        chai.expect(permits.limitOf({ perSecond: 1, overage: 1, slack: 0 })).to.equal(0);
    });
});
