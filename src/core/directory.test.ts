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
const ids = (known: directory.Directory): readonly string[] => known.all().map(entry => entry.id);

describe("directory", () => {
    const options = { missingGraceMs: 2_500, outageGapMs: 2_500 };

    it("keeps a missing entry for the grace and then drops it", () => {
        const known = directory.createDirectory(options);
        known.replace([endpoint("a"), endpoint("b")], 0);
        known.replace([endpoint("a")], 1_000);
        known.replace([endpoint("a")], 3_000);
        chai.expect(ids(known)).to.deep.equal(["a", "b"]);
        known.replace([endpoint("a")], 3_600);
        chai.expect(ids(known)).to.deep.equal(["a"]);
    });

    it("gives entries that lapsed during an outage the whole grace after it", () => {
        const known = directory.createDirectory(options);
        known.replace([endpoint("a")], 0);
        known.replace([], 500);
        known.replace([], 20_000);
        known.replace([], 22_000);
        chai.expect(ids(known)).to.deep.equal(["a"]);
        known.replace([endpoint("a")], 22_400);
        known.replace([], 23_000);
        chai.expect(ids(known)).to.deep.equal(["a"]);
    });
});
