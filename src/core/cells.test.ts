import * as chai from "chai";
import * as cells from "./cells.js";

const hosts = (count: number, failureDomains: number): readonly cells.Host[] =>
    Array.from({ length: count }, (_, number) => ({
        id: `host-${number}`,
        failureDomain: `domain-${number % failureDomains}`,
    }));

describe("cells", () => {
    it("form a single cell for few hosts, across failure domains", () => {
        const assigned = cells.assign(hosts(cells.maxHostsOfSingleCell, 3));
        chai.expect([...assigned.values()].map(ids => ids.length)).to.deep.equal([cells.maxHostsOfSingleCell]);
    });

    it("never span failure domains with many hosts", () => {
        const all = hosts(81, 6);
        const domainOf = new Map(all.map(host => [host.id, host.failureDomain]));
        for (const ids of cells.assign(all).values()) {
            chai.expect(new Set(ids.map(id => domainOf.get(id))).size).to.equal(1);
        }
    });

    it("contain each host once, and stay small", () => {
        const assigned = cells.assign(hosts(4_800, 8));
        const ids = [...assigned.values()].flat();
        chai.expect(new Set(ids).size).to.equal(4_800).and.to.equal(ids.length);
        chai.expect(Math.max(...[...assigned.values()].map(members => members.length))).to.be.at.most(
            2 * cells.targetHostsPerCell,
        );
    });

    it("change for few hosts when some join", () => {
        const before = cells.assign(hosts(300, 3));
        const after = cells.assign(hosts(303, 3));
        const moved = [...before].flatMap(([name, ids]) => ids.filter(id => !(after.get(name) ?? []).includes(id)));
        chai.expect(moved.length).to.be.at.most(300 / 4);
    });
});
