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
});
