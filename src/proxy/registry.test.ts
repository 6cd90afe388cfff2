import * as chai from "chai";
import type * as store from "../ports/store.js";
import * as registry from "./registry.js";

const host = (id: string, incarnation: string): store.Item => ({
    key: registry.hostKey(1, id),
    value: JSON.stringify({ id, address: id, failureDomain: "z", incarnation, leaving: false }),
    revision: 1,
    lease: 1,
});

describe("the parser of the key prefix", () => {
    it("keeps the registrations that did not change, under the load of a reading each 0.7 s in a large fleet", () => {
        const parse = registry.createParser();
        const first = parse(1, [host("a", "1"), host("b", "1")]);
        const second = parse(1, [host("a", "1"), host("b", "2"), { ...host("c", "1"), value: "{" }]);
        chai.expect(second.hosts[0]).to.equal(first.hosts[0]);
        chai.expect(second.hosts[1]?.incarnation).to.equal("2");
        chai.expect(second.corruptKeys).to.deep.equal([registry.hostKey(1, "c")]);
        chai.expect(parse(1, [host("b", "1")]).hosts.map(entry => [entry.id, entry.incarnation])).to.deep.equal([[
            "b",
            "1",
        ]]);
    });
});
