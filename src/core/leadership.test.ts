import * as chai from "chai";
import * as fc from "fast-check";
import * as tenure from "./leadership.js";

const options = { maxProofAgeMs: 1_500, graceMs: 150 };
const first: tenure.Record = { group: "ledger", epoch: 1, changing: false, primary: "a", term: 1 };
const fenced: tenure.Record = { ...first, epoch: 2, changing: true };
const next: tenure.Record = { group: "ledger", epoch: 3, changing: false, primary: "b", term: 2 };

describe("tenure", () => {
    it("relies on a record only while its proof is young", () => {
        const known = tenure.createLeadership(options);
        known.apply(first, 0);
        chai.expect(known.isPrimary("ledger", "a", 0)).to.equal(false);
        known.renewProof(100);
        chai.expect(known.isPrimary("ledger", "a", 1_600)).to.equal(true);
        chai.expect(known.isPrimary("ledger", "a", 1_601)).to.equal(false);
    });

    it("never goes back to an earlier record", () => {
        const known = tenure.createLeadership(options);
        known.apply(next, 0);
        chai.expect(known.apply(first, 1)).to.equal(false);
        chai.expect(known.find("ledger")?.primary).to.equal("b");
    });

    it("acknowledges work under way for a moment, no longer than the proof lasts, and not after confirming", () => {
        const known = tenure.createLeadership(options);
        known.apply(first, 0);
        known.renewProof(0);
        known.apply(fenced, 1_400);
        known.renewProof(1_450);
        chai.expect(known.isPrimary("ledger", "a", 1_450)).to.equal(false);
        chai.expect(known.mayAcknowledge("ledger", "a", 1_500)).to.equal(true);
        chai.expect(known.mayAcknowledge("ledger", "a", 1_501)).to.equal(false);
        const other = tenure.createLeadership(options);
        other.apply(first, 0);
        other.renewProof(0);
        other.apply(fenced, 10);
        other.endGrace("ledger");
        chai.expect(other.mayAcknowledge("ledger", "a", 11)).to.equal(false);
    });

    it("takes the store as away for all only when every host is heard and none has proof", () => {
        const known = tenure.createLeadership(options);
        known.apply(first, 0);
        known.renewProof(0);
        known.assessOutage([{ pollAgeMs: 100, proofAgeMs: 4_000 }, { pollAgeMs: 300, proofAgeMs: undefined }], 4_000);
        chai.expect(known.isPrimary("ledger", "a", 4_000)).to.equal(true);
        known.assessOutage([{ pollAgeMs: 100, proofAgeMs: 4_000 }, { pollAgeMs: 2_000, proofAgeMs: undefined }], 4_100);
        chai.expect(known.isPrimary("ledger", "a", 4_100)).to.equal(false);
        known.assessOutage([{ pollAgeMs: 100, proofAgeMs: 900 }], 4_200);
        chai.expect(known.isPrimary("ledger", "a", 4_200)).to.equal(false);
        known.assessOutage([], 4_300);
        chai.expect(known.isPrimary("ledger", "a", 4_300)).to.equal(false);
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
                const hosts = [0, 1, 2].map(() => tenure.createLeadership(options));
                const confirmed = new Set<number>();
                let stored = first;
                let nowMs = 0;
                let changedMs: number | undefined;
                const late: { readonly atMs: number; readonly run: () => void }[] = [];
                hosts.forEach(host => {
                    host.apply(first, 0);
                    host.renewProof(0);
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
                                host.apply(seen, nowMs);
                                host.renewProof(askedMs);
                            },
                        });
                    }
                    else if (move.kind === "relay") {
                        const records = from.all();
                        const ageMs = from.proofAgeMs(nowMs);
                        late.push({
                            atMs: nowMs + move.lateMs,
                            run: () => {
                                records.forEach(record => host.apply(record, nowMs));
                                host.renewProof(askedMs - ageMs);
                            },
                        });
                    }
                    else if (move.kind === "confirm" && changedMs !== undefined) {
                        host.apply(fenced, nowMs);
                        host.endGrace("ledger");
                        confirmed.add(move.host);
                    }
                    const promoted = changedMs !== undefined
                        && (confirmed.size === hosts.length || nowMs > changedMs + options.maxProofAgeMs);
                    if (promoted) {
                        hosts.forEach(entry => chai.expect(entry.mayAcknowledge("ledger", "a", nowMs)).to.equal(false));
                    }
                });
            }),
            { numRuns: 10_000, seed: 20_264 },
        );
    });
});
