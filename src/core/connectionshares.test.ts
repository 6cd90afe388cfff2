import * as chai from "chai";
import * as connectionShares from "./connectionshares.js";

describe("connection shares", () => {
    const allocator = connectionShares.createAllocator();
    const hosts = ["a", "b", "c", "d", "e", "f"];

    it("guarantees half of many connections, and leaves the rest for reconnects while old ones still count", () => {
        const guaranteed = hosts.map(host => allocator.allocate(60, "i-1", hosts, host, 0).guaranteed);
        chai.expect(guaranteed).to.deep.equal([5, 5, 5, 5, 5, 5]);
    });

    it("divides few connections evenly and completely", () => {
        for (const maxConnections of [0, 1, 5, 15, 18]) {
            for (const endpoint of ["i-1", "i-2", "i-3"]) {
                const guaranteed = hosts.map(host =>
                    allocator.allocate(maxConnections, endpoint, hosts, host, 0).guaranteed
                );
                chai.expect(guaranteed.reduce((sum, value) => sum + value, 0)).to.equal(maxConnections);
                chai.expect(Math.max(...guaranteed) - Math.min(...guaranteed)).to.be.at.most(1);
            }
        }
    });

    it("offers as spare the connections that are not open, less a margin", () => {
        chai.expect(allocator.allocate(15, "i-1", hosts, "a", 15).spare).to.equal(0);
        chai.expect(allocator.allocate(15, "i-1", hosts, "a", 8).spare).to.equal(5);
    });
});
