import * as chai from "chai";
import * as fc from "fast-check";
import * as tenure from "./tenure.js";

const options = { proofMs: 1_500, graceMs: 150 };
const first: tenure.Record = { group: "ledger", epoch: 1, changing: false, primary: "a", term: 1 };
const fenced: tenure.Record = { ...first, epoch: 2, changing: true };
const next: tenure.Record = { group: "ledger", epoch: 3, changing: false, primary: "b", term: 2 };

describe("tenure", () => {
    it("relies on a record only while its proof is young", () => {
        const known = tenure.createTenures(options);
        known.learn(first, 0);
        chai.expect(known.leads("ledger", "a", 0)).to.equal(false);
        known.prove(100);
        chai.expect(known.leads("ledger", "a", 1_600)).to.equal(true);
        chai.expect(known.leads("ledger", "a", 1_601)).to.equal(false);
    });

    it("never goes back to an earlier record", () => {
        const known = tenure.createTenures(options);
        known.learn(next, 0);
        chai.expect(known.learn(first, 1)).to.equal(false);
        chai.expect(known.find("ledger")?.primary).to.equal("b");
    });

    it("acknowledges work under way for a moment, no longer than the proof lasts, and not after confirming", () => {
        const known = tenure.createTenures(options);
        known.learn(first, 0);
        known.prove(0);
        known.learn(fenced, 1_400);
        known.prove(1_450);
        chai.expect(known.leads("ledger", "a", 1_450)).to.equal(false);
        chai.expect(known.acknowledges("ledger", "a", 1_500)).to.equal(true);
        chai.expect(known.acknowledges("ledger", "a", 1_501)).to.equal(false);
        const other = tenure.createTenures(options);
        other.learn(first, 0);
        other.prove(0);
        other.learn(fenced, 10);
        other.confirm("ledger");
        chai.expect(other.acknowledges("ledger", "a", 11)).to.equal(false);
    });

    it("takes the store as away for all only when every host is heard and none has proof", () => {
        const known = tenure.createTenures(options);
        known.learn(first, 0);
        known.prove(0);
        known.witness([{ heardMs: 100, proofAgeMs: 4_000 }, { heardMs: 300, proofAgeMs: undefined }], 4_000);
        chai.expect(known.leads("ledger", "a", 4_000)).to.equal(true);
        known.witness([{ heardMs: 100, proofAgeMs: 4_000 }, { heardMs: 2_000, proofAgeMs: undefined }], 4_100);
        chai.expect(known.leads("ledger", "a", 4_100)).to.equal(false);
        known.witness([{ heardMs: 100, proofAgeMs: 900 }], 4_200);
        chai.expect(known.leads("ledger", "a", 4_200)).to.equal(false);
        known.witness([], 4_300);
        chai.expect(known.leads("ledger", "a", 4_300)).to.equal(false);
    });

    /**
     * Hosts read the store, hear of each other, and acknowledge; one of them replaces the primary. The order of
     * all that is random, and each message may be lost or arrive late. Nobody may acknowledge the old primary
     * once the promotion has been asked for.
     */
    it("acknowledges nothing of the old primary once a promotion is asked for (10,000 schedules)", () => {
        const step = fc.record({
            kind: fc.constantFrom("read", "relay", "confirm", "work", "wait"),
            host: fc.nat(2),
            from: fc.nat(2),
            lateMs: fc.nat(1_200),
            afterMs: fc.nat(400),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), fc.nat(30), (steps, changeAt) => {
                const hosts = [0, 1, 2].map(() => tenure.createTenures(options));
                const confirmed = new Set<number>();
                let stored = first;
                let nowMs = 0;
                let changedMs: number | undefined;
                const late: { readonly atMs: number; readonly run: () => void }[] = [];
                hosts.forEach(host => {
                    host.learn(first, 0);
                    host.prove(0);
                });
                steps.forEach((move, index) => {
                    nowMs += move.afterMs;
                    late.filter(entry => entry.atMs <= nowMs).forEach(entry => entry.run());
                    late.splice(0, late.length, ...late.filter(entry => entry.atMs > nowMs));
                    if (index === changeAt) {
                        stored = fenced;
                        changedMs = nowMs;
                    }
                    const host = hosts[move.host];
                    const from = hosts[move.from];
                    const askedMs = nowMs;
                    if (host === undefined || from === undefined) {
                        return;
                    }
                    if (move.kind === "read") {
                        const seen = stored;
                        late.push({
                            atMs: nowMs + move.lateMs,
                            run: () => {
                                host.learn(seen, nowMs);
                                host.prove(askedMs);
                            },
                        });
                    }
                    else if (move.kind === "relay") {
                        const records = from.all();
                        const ageMs = from.ageMs(nowMs);
                        late.push({
                            atMs: nowMs + move.lateMs,
                            run: () => {
                                records.forEach(record => host.learn(record, nowMs));
                                host.prove(askedMs - ageMs);
                            },
                        });
                    }
                    else if (move.kind === "confirm" && changedMs !== undefined) {
                        host.learn(fenced, nowMs);
                        host.confirm("ledger");
                        confirmed.add(move.host);
                    }
                    const promoted = changedMs !== undefined
                        && (confirmed.size === hosts.length || nowMs > changedMs + options.proofMs);
                    if (promoted) {
                        hosts.forEach(entry => chai.expect(entry.acknowledges("ledger", "a", nowMs)).to.equal(false));
                    }
                });
            }),
            { numRuns: 10_000, seed: 20_264 },
        );
    });
});
