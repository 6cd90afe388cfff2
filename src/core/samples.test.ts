import * as chai from "chai";
import * as fc from "fast-check";
import * as positions from "./position.js";
import * as samples from "./samples.js";

const at = (index: number): positions.Position => ({ term: 1, index });

describe("samples", () => {
    it("gives the oldest sample that is young enough", () => {
        const known = samples.createSamples(10_000);
        [0, 100, 200, 300].forEach((askedMs, index) => known.add({ requestedAtMs: askedMs, position: at(index) }));
        chai.expect(known.oldestSince(150)?.position).to.deep.equal(at(2));
        chai.expect(known.oldestSince(301)).to.equal(undefined);
    });

    it("covers every commit that was acknowledged before the sample was asked for", () => {
        const schedule = fc.array(
            fc.record({ afterMs: fc.nat(80), commits: fc.nat(3), delayMs: fc.nat(200) }),
            { maxLength: 60 },
        );
        fc.assert(
            fc.property(schedule, fc.nat(2_000), (steps, maxAgeMs) => {
                const known = samples.createSamples(10_000);
                const acknowledged: { readonly atMs: number; readonly index: number }[] = [];
                const answers: { readonly atMs: number; readonly sample: samples.Sample }[] = [];
                let nowMs = 0;
                let index = 0;
                for (const step of steps) {
                    nowMs += step.afterMs;
                    answers.filter(answer => answer.atMs <= nowMs).forEach(answer => known.add(answer.sample));
                    index += step.commits;
                    acknowledged.push({ atMs: nowMs, index });
                    // The primary answers somewhere between question and answer; at once is the hardest case.
                    const sample = { requestedAtMs: nowMs, position: at(index) };
                    answers.push({ atMs: nowMs + step.delayMs, sample });
                    const found = known.oldestSince(nowMs - maxAgeMs);
                    const due = acknowledged.filter(entry => entry.atMs < nowMs - maxAgeMs).pop();
                    if (found !== undefined && due !== undefined) {
                        chai.expect(found.position.index).to.be.at.least(due.index);
                    }
                }
            }),
            { numRuns: 5_000, seed: 20_265 },
        );
    });

    it("forgets all when ages can't be trusted", () => {
        const known = samples.createSamples(10_000);
        known.add({ requestedAtMs: 0, position: at(1) });
        known.clear();
        chai.expect(known.newest()).to.equal(undefined);
    });
});
