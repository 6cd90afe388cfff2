import * as chai from "chai";
import * as duties from "./duties.js";

const carrier = (id: string, capacity: number): duties.Carrier => ({ id, capacity });

describe("duties", () => {
    it("go to strong hosts among hosts of 0.2 to 1.4 cores", () => {
        const hosts = [carrier("a", 0.227), carrier("b", 1.35), carrier("c", 0.324), carrier("d", 1.35)];
        chai.expect([...hosts].sort(duties.compare).map(host => host.id)).to.deep.equal(["b", "d", "c", "a"]);
    });

    it("go by id among equal hosts, so that all hosts agree", () => {
        const hosts = [carrier("c", 1), carrier("a", 1), carrier("b", 1)];
        chai.expect([...hosts].sort(duties.compare).map(host => host.id)).to.deep.equal(["a", "b", "c"]);
    });

    it("give each host a rank of its own", () => {
        const hosts = [carrier("a", 0.3), carrier("b", 0.7), carrier("c", 0.7), carrier("d", 0.3)];
        const ranks = hosts.map(host => duties.rank(host, hosts.filter(other => other !== host)));
        chai.expect(ranks).to.deep.equal([2, 0, 1, 3]);
    });
});
