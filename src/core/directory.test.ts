import * as chai from "chai";
import * as directory from "./directory.js";

const endpoint = (id: string): directory.Endpoint => ({
    id,
    group: "ledger",
    address: "10.0.0.1:1",
    failureDomain: "a",
    slots: 2,
    draining: false,
    primary: false,
    born: 1,
    sequence: 1,
});
const ids = (endpoints: directory.Directory): readonly string[] => endpoints.all().map(entry => entry.id);

describe("directory", () => {
    const options = { missingGraceMs: 2_500, outageGapMs: 2_500 };

    it("keeps a missing entry for the grace period and then drops it", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([endpoint("a"), endpoint("b")], 0);
        endpoints.replace([endpoint("a")], 1_000);
        endpoints.replace([endpoint("a")], 3_000);
        chai.expect(ids(endpoints)).to.deep.equal(["a", "b"]);
        endpoints.replace([endpoint("a")], 3_600);
        chai.expect(ids(endpoints)).to.deep.equal(["a"]);
    });

    it("starts the grace period anew after an outage of the store", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([endpoint("a")], 0);
        endpoints.replace([], 500);
        endpoints.replace([], 20_000);
        endpoints.replace([], 22_000);
        chai.expect(ids(endpoints)).to.deep.equal(["a"]);
        endpoints.replace([endpoint("a")], 22_400);
        endpoints.replace([], 23_000);
        chai.expect(ids(endpoints)).to.deep.equal(["a"]);
    });

    it("starts the grace period anew when the store came back from an older copy that lacks an entry", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([endpoint("a")], 0);
        endpoints.replace([], 1_000);
        endpoints.storeRestored(1_500);
        endpoints.replace([], 2_000);
        endpoints.replace([], 4_400);
        chai.expect(ids(endpoints)).to.deep.equal(["a"]);
        endpoints.replace([], 4_600);
        chai.expect(ids(endpoints)).to.deep.equal([]);
    });

    it("ignores reports older than the known one, which an older copy of the store lists again", () => {
        const endpoints = directory.createDirectory(options);
        const ready = { ...endpoint("a"), sequence: 5 };
        endpoints.replace([{ ...ready, draining: true, sequence: 7 }], 0);
        endpoints.storeRestored(500);
        endpoints.replace([ready], 1_000);
        chai.expect(endpoints.find("a")?.draining).to.equal(true);
        endpoints.replace([{ ...ready, born: 2, sequence: 1 }], 2_000);
        chai.expect(endpoints.find("a")?.draining).to.equal(false);
        endpoints.replace([{ ...ready, sequence: 9 }], 3_000);
        chai.expect(endpoints.find("a")?.born).to.equal(2);
    });

    it("accepts an endpoint that restarted with its clock set back, while the store is as it was", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([{ ...endpoint("a"), born: 9, sequence: 5 }], 0);
        endpoints.replace([{ ...endpoint("a"), born: 8, sequence: 1 }], 1_000);
        chai.expect(endpoints.find("a")?.born).to.equal(8);
    });

    it("does not offer an endpoint again that drained and left, when an older copy lists it", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([{ ...endpoint("a"), draining: true }], 0);
        [1_000, 2_000, 3_000, 4_000].forEach(atMs => endpoints.replace([endpoint("b")], atMs));
        chai.expect(ids(endpoints)).to.deep.equal(["b"]);
        endpoints.storeRestored(4_500);
        endpoints.replace([endpoint("a"), endpoint("b")], 5_000);
        chai.expect(endpoints.find("a")?.draining).to.equal(true);
    });

    it("remembers when an endpoint that drains was last listed without that, per process", () => {
        const endpoints = directory.createDirectory(options);
        endpoints.replace([endpoint("a")], 0);
        endpoints.replace([endpoint("a"), { ...endpoint("b"), draining: true }], 1_000);
        endpoints.replace([{ ...endpoint("a"), draining: true }, { ...endpoint("b"), draining: true }], 2_000);
        chai.expect([endpoints.servingAtMs("a"), endpoints.servingAtMs("b")]).to.deep.equal([1_000, undefined]);
        endpoints.replace([], 3_000);
        chai.expect(endpoints.servingAtMs("a"), "while the entry is missing").to.equal(1_000);
        endpoints.replace([{ ...endpoint("a"), draining: true, born: 2 }], 4_000);
        chai.expect(endpoints.servingAtMs("a"), "of a new process").to.equal(undefined);
    });
});
