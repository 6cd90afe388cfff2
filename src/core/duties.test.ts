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

    it("go past hosts that lack room, and by capacity as usual where all lack it", () => {
        const hosts = [carrier("a", 1.35), carrier("b", 0.7), carrier("c", 0.3)];
        const strain = (ids: readonly string[]): readonly string[] =>
            hosts.map(host => ({ ...host, strained: ids.includes(host.id) })).sort(duties.compare).map(host => host.id);
        chai.expect(strain([])).to.deep.equal(["a", "b", "c"]);
        chai.expect(strain(["a"])).to.deep.equal(["b", "c", "a"]);
        chai.expect(strain(["a", "b"])).to.deep.equal(["c", "a", "b"]);
        chai.expect(strain(["a", "b", "c"])).to.deep.equal(["a", "b", "c"]);
    });

    it("are handed over only by a strained host, and only to a host with room", () => {
        const [roomy, busy, strained] = [
            { strained: false, spare: 0.5 },
            { strained: false, spare: 0.2 },
            { strained: true, spare: 0.4 },
        ];
        chai.expect(duties.shouldHandOver(true, [busy, strained, roomy])).to.equal(true);
        chai.expect(duties.shouldHandOver(true, [busy, strained])).to.equal(false);
        chai.expect(duties.shouldHandOver(true, [])).to.equal(false);
        chai.expect(duties.shouldHandOver(false, [roomy])).to.equal(false);
    });

    it("are acquired by a strained host only after the others", () => {
        chai.expect(duties.acquisitionRank(0, true)).to.be.above(duties.acquisitionRank(3, false));
    });
});
