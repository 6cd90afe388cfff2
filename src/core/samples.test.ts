import * as chai from "chai";
import * as fc from "fast-check";
import * as positions from "./position.js";
import * as samples from "./samples.js";

const at = (index: number): positions.Position => ({ term: 1, index });

describe("samples", () => {
    it("finds the oldest sample within the maximum age", () => {
        const series = samples.createSamples(10_000);
        [0, 100, 200, 300].forEach((requestedAtMs, index) => series.add({ requestedAtMs, position: at(index) }));
        chai.expect(series.oldestSince(150)?.position).to.deep.equal(at(2));
        chai.expect(series.oldestSince(301)).to.equal(undefined);
    });

    it("covers every commit acknowledged before the sample was requested", () => {
        const schedule = fc.array(
            fc.record({ afterMs: fc.nat(80), commits: fc.nat(3), delayMs: fc.nat(200) }),
            { maxLength: 60 },
        );
        fc.assert(
            fc.property(schedule, fc.nat(2_000), (steps, maxAgeMs) => {
                const series = samples.createSamples(10_000);
                const acknowledged: { readonly atMs: number; readonly index: number }[] = [];
                const replies: { readonly atMs: number; readonly sample: samples.Sample }[] = [];
                let nowMs = 0;
                let index = 0;
                for (const step of steps) {
                    nowMs += step.afterMs;
                    replies.filter(reply => reply.atMs <= nowMs).forEach(reply => series.add(reply.sample));
                    index += step.commits;
                    acknowledged.push({ atMs: nowMs, index });
                    // A primary may read its position at any time between request and reply. Reading it at the request
                    // gives the lowest position, and so the strictest check.
                    const sample = { requestedAtMs: nowMs, position: at(index) };
                    replies.push({ atMs: nowMs + step.delayMs, sample });
                    const oldest = series.oldestSince(nowMs - maxAgeMs);
                    const lastRequired = acknowledged.filter(entry => entry.atMs < nowMs - maxAgeMs).pop();
                    if (oldest !== undefined && lastRequired !== undefined) {
                        chai.expect(oldest.position.index).to.be.at.least(lastRequired.index);
                    }
                }
            }),
            { numRuns: 5_000, seed: 20_265 },
        );
    });

    it("has no newest sample after clearing", () => {
        const series = samples.createSamples(10_000);
        series.add({ requestedAtMs: 0, position: at(1) });
        series.clear();
        chai.expect(series.newest()).to.equal(undefined);
    });
});
