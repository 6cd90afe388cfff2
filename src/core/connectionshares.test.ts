import * as chai from "chai";
import * as share from "./connectionshares.js";

describe("share", () => {
    const division = share.createAllocator();
    const hosts = ["a", "b", "c", "d", "e", "f"];

    it("keeps half of many connections free for hosts that come back while their old ones still count", () => {
        const kept = hosts.map(host => division.allocate(60, "i-1", hosts, host, 0).guaranteed);
        chai.expect(kept).to.deep.equal([5, 5, 5, 5, 5, 5]);
    });

    it("divides few connections without remainder", () => {
        for (const most of [0, 1, 5, 15, 18]) {
            for (const endpoint of ["i-1", "i-2", "i-3"]) {
                const kept = hosts.map(host => division.allocate(most, endpoint, hosts, host, 0).guaranteed);
                chai.expect(kept.reduce((sum, value) => sum + value, 0)).to.equal(most);
                chai.expect(Math.max(...kept) - Math.min(...kept)).to.be.at.most(1);
            }
        }
    });

    it("leaves nothing to spare when the other hosts hold the rest", () => {
        chai.expect(division.allocate(15, "i-1", hosts, "a", 15).spare).to.equal(0);
        chai.expect(division.allocate(15, "i-1", hosts, "a", 8).spare).to.equal(5);
    });
});
