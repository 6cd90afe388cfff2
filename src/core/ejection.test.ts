import * as chai from "chai";
import * as ejection from "./ejection.js";

const healthy = { served: 30, failed: 0 };
const failing = { served: 8, failed: 12 };
const observe = (outcomes: Readonly<Record<string, { readonly served: number; readonly failed: number }>>) =>
    Object.entries(outcomes).map(([endpoint, seen]) => ({ endpoint, outcomes: seen }));

describe("ejection", () => {
    it("keeps an endpoint out that fails two in five statements, though it answers its health check", () => {
        const ejector = ejection.createEjector();
        const changes = ejector.update(observe({ a: healthy, b: failing, c: healthy }), 0);
        chai.expect(changes.map(change => change.endpoint)).to.deep.equal(["b"]);
        chai.expect(ejector.trust("b", 500)).to.equal(0);
        chai.expect(ejector.mayServe("b", 500)).to.equal(false);
        chai.expect(ejector.trust("a", 500)).to.equal(1);
    });

    it("says nothing against an endpoint after a failure or two", () => {
        const ejector = ejection.createEjector();
        chai.expect(ejector.update(observe({ a: { served: 0, failed: 2 }, b: healthy, c: healthy }), 0)).to.deep.equal(
            [],
        );
    });

    it("returns trust gradually", () => {
        const ejector = ejection.createEjector();
        ejector.update(observe({ a: healthy, b: failing, c: healthy }), 0);
        const served = Array.from({ length: 20 }, () => ejector.mayServe("b", 1_001)).filter(Boolean).length;
        chai.expect(served).to.be.within(1, 3);
        chai.expect(ejector.trust("b", 2_000)).to.be.within(0.5, 0.6);
        chai.expect(ejector.trust("b", 3_100)).to.equal(1);
    });

    it("keeps an endpoint that goes down and up by turns out for longer each time, up to a bound", () => {
        const ejector = ejection.createEjector();
        const periods: number[] = [];
        for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
            ejector.update(observe({ a: healthy, b: failing, c: healthy }), nowMs)
                .forEach(change => periods.push(change.periodMs));
        }
        chai.expect(periods.slice(0, 4)).to.deep.equal([1_000, 2_000, 4_000, 8_000]);
        chai.expect(Math.max(...periods)).to.equal(8_000);
    });

    it("keeps out less than half of the endpoints, the worst first", () => {
        const ejector = ejection.createEjector();
        const all = { a: failing, b: { served: 0, failed: 20 }, c: failing };
        chai.expect(ejector.update(observe(all), 0).map(change => change.endpoint)).to.deep.equal(["b"]);
        const pair = ejection.createEjector();
        chai.expect(pair.update(observe({ a: failing, b: healthy }), 0)).to.deep.equal([]);
        const five = ejection.createEjector();
        chai.expect(five.update(observe({ ...all, d: failing, e: failing }), 0)).to.have.length(2);
    });

    it("starts over with a new process", () => {
        const ejector = ejection.createEjector();
        ejector.update(observe({ a: healthy, b: failing, c: healthy }), 0);
        ejector.forget("b");
        chai.expect(ejector.trust("b", 100)).to.equal(1);
    });
});
