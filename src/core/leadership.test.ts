import * as chai from "chai";
import * as fc from "fast-check";
import * as leadership from "./leadership.js";

const options = { maxProofAgeMs: 1_500, graceMs: 150 };
const first: leadership.Record = { group: "ledger", epoch: 1, changing: false, primary: "a", term: 1 };
const fenced: leadership.Record = { ...first, epoch: 2, changing: true };
const next: leadership.Record = { group: "ledger", epoch: 3, changing: false, primary: "b", term: 2 };

describe("leadership", () => {
    it("relies on a record only until its proof expires", () => {
        const view = leadership.createLeadership(options);
        view.apply(first, 0);
        chai.expect(view.isPrimary("ledger", "a", 0)).to.equal(false);
        view.renewProof(100);
        chai.expect(view.isPrimary("ledger", "a", 1_600)).to.equal(true);
        chai.expect(view.isPrimary("ledger", "a", 1_601)).to.equal(false);
    });

    it("never replaces a record by one of a lower epoch", () => {
        const view = leadership.createLeadership(options);
        view.apply(next, 0);
        chai.expect(view.apply(first, 1)).to.equal(false);
        chai.expect(view.find("ledger")?.primary).to.equal("b");
    });

    it("acknowledges statements in flight during the grace, but not once the proof has expired or the grace was ended", () => {
        const view = leadership.createLeadership(options);
        view.apply(first, 0);
        view.renewProof(0);
        view.apply(fenced, 1_400);
        view.renewProof(1_450);
        chai.expect(view.isPrimary("ledger", "a", 1_450)).to.equal(false);
        chai.expect(view.mayAcknowledge("ledger", "a", 1_500)).to.equal(true);
        chai.expect(view.mayAcknowledge("ledger", "a", 1_501)).to.equal(false);
        const other = leadership.createLeadership(options);
        other.apply(first, 0);
        other.renewProof(0);
        other.apply(fenced, 10);
        other.endGrace("ledger");
        chai.expect(other.mayAcknowledge("ledger", "a", 11)).to.equal(false);
    });

    it("assumes an outage of the store only when every host was polled recently and none has proof", () => {
        const view = leadership.createLeadership(options);
        view.apply(first, 0);
        view.renewProof(0);
        view.assessOutage([{ pollAgeMs: 100, proofAgeMs: 4_000 }, { pollAgeMs: 300, proofAgeMs: undefined }], 4_000);
        chai.expect(view.isPrimary("ledger", "a", 4_000)).to.equal(true);
        view.assessOutage([{ pollAgeMs: 100, proofAgeMs: 4_000 }, { pollAgeMs: 2_000, proofAgeMs: undefined }], 4_100);
        chai.expect(view.isPrimary("ledger", "a", 4_100)).to.equal(false);
        view.assessOutage([{ pollAgeMs: 100, proofAgeMs: 900 }], 4_200);
        chai.expect(view.isPrimary("ledger", "a", 4_200)).to.equal(false);
        view.assessOutage([], 4_300);
        chai.expect(view.isPrimary("ledger", "a", 4_300)).to.equal(false);
    });

    /**
     * Guards against two primaries at once: a host that acknowledges a write of the old primary after the promotion
     * of a new one. Hosts read the store, relay records and proofs to each other, and confirm the change, in random
     * order, with messages delayed or lost.
     */
    it("acknowledges no statement of the old primary once a promotion may have started (10,000 schedules)", () => {
        const step = fc.record({
            kind: fc.constantFrom("read", "relay", "confirm", "work", "wait"),
            host: fc.nat(2),
            sender: fc.nat(2),
            delayMs: fc.nat(1_200),
            afterMs: fc.nat(400),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), fc.nat(30), (steps, changeIndex) => {
                const hosts = [0, 1, 2].map(() => leadership.createLeadership(options));
                const confirmed = new Set<number>();
                let stored = first;
                let nowMs = 0;
                let changedAtMs: number | undefined;
                const inFlight: { readonly atMs: number; readonly run: () => void }[] = [];
                hosts.forEach(host => {
                    host.apply(first, 0);
                    host.renewProof(0);
                });
                steps.forEach((event, index) => {
                    nowMs += event.afterMs;
                    inFlight.filter(entry => entry.atMs <= nowMs).forEach(entry => entry.run());
                    inFlight.splice(0, inFlight.length, ...inFlight.filter(entry => entry.atMs > nowMs));
                    if (index === changeIndex) {
                        stored = fenced;
                        changedAtMs = nowMs;
                    }
                    const host = hosts[event.host];
                    const sender = hosts[event.sender];
                    const sentAtMs = nowMs;
                    if (host === undefined || sender === undefined) {
                        return;
                    }
                    if (event.kind === "read") {
                        const record = stored;
                        inFlight.push({
                            atMs: nowMs + event.delayMs,
                            run: () => {
                                host.apply(record, nowMs);
                                host.renewProof(sentAtMs);
                            },
                        });
                    }
                    else if (event.kind === "relay") {
                        const records = sender.all();
                        const ageMs = sender.proofAgeMs(nowMs);
                        inFlight.push({
                            atMs: nowMs + event.delayMs,
                            run: () => {
                                records.forEach(record => host.apply(record, nowMs));
                                host.renewProof(sentAtMs - ageMs);
                            },
                        });
                    }
                    else if (event.kind === "confirm" && changedAtMs !== undefined) {
                        host.apply(fenced, nowMs);
                        host.endGrace("ledger");
                        confirmed.add(event.host);
                    }
                    const promoted = changedAtMs !== undefined
                        && (confirmed.size === hosts.length || nowMs > changedAtMs + options.maxProofAgeMs);
                    if (promoted) {
                        hosts.forEach(entry => chai.expect(entry.mayAcknowledge("ledger", "a", nowMs)).to.equal(false));
                    }
                });
            }),
            { numRuns: 10_000, seed: 20_264 },
        );
    });
});
