import * as chai from "chai";
import * as coldnesses from "./coldness.js";

const listed = (born: number, sequence: number, coldRemainingMs: number) => ({
    id: "i-1",
    group: "ledger",
    address: "10.0.0.1:1",
    failureDomain: "cluj-a",
    slots: 2,
    draining: false,
    primary: false,
    born,
    sequence,
    coldRemainingMs,
});
const startMs = 8_000;
const create = (coldStartMs: number | undefined = startMs) => coldnesses.createColdness({ startMs: () => coldStartMs });

describe("coldness of endpoints", () => {
    it("counts down from the request of the report, and is not prolonged by the same report listed again", () => {
        const coldness = create();
        coldness.observe([listed(1, 4, 3_000)], 10_000);
        coldness.observe([listed(1, 4, 3_000)], 12_500);
        chai.expect(coldness.isCold("i-1", 12_999)).to.equal(true);
        chai.expect(coldness.isCold("i-1", 14_001)).to.equal(false);
        coldness.observe([listed(1, 5, 6_000)], 20_000);
        chai.expect(coldness.isCold("i-1", 25_000)).to.equal(true);
        coldness.observe([listed(1, 6, 0)], 25_500);
        chai.expect(coldness.isCold("i-1", 25_500)).to.equal(false);
    });

    it("begins anew with another process, even if its first reports don't say so", () => {
        const coldness = create();
        coldness.observe([listed(1, 40, 0)], 0);
        chai.expect(coldness.isCold("i-1", 0)).to.equal(false);
        coldness.observe([listed(2, 1, 0)], 5_000);
        coldness.observe([listed(2, 2, 0)], 6_000);
        chai.expect(coldness.isCold("i-1", 5_000 + startMs)).to.equal(true);
        chai.expect(coldness.isCold("i-1", 6_001 + startMs)).to.equal(false);
    });

    it("is assumed when a connection broke, until a later report shows the same process", () => {
        const coldness = create();
        coldness.observe([listed(1, 4, 0)], 0);
        coldness.suspect("i-1", 1_000);
        coldness.observe([listed(1, 5, 0)], 2_000);
        chai.expect(coldness.isCold("i-1", 2_000)).to.equal(true);
        coldness.observe([listed(1, 5, 0)], 3_600);
        chai.expect(coldness.isCold("i-1", 3_600)).to.equal(true);
        coldness.observe([listed(1, 6, 0)], 4_800);
        chai.expect(coldness.isCold("i-1", 4_800)).to.equal(false);
    });

    it("does not exist where the configuration states no bound", () => {
        const coldness = coldnesses.createColdness({ startMs: () => undefined });
        coldness.observe([listed(1, 4, 9_000)], 0);
        chai.expect(coldness.isCold("i-1", 1)).to.equal(false);
    });
});
