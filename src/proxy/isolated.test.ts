import * as chai from "chai";
import * as invariants from "../../standins/invariants.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";

describe("a holder of the failover lock that reaches only the store", function() {
    this.timeout(60_000);
    let fleet: simulatedFleets.Fleet;

    beforeEach(() => {
        fleet = simulatedFleets.createFleet(4, simulatedFleets.createNumbers());
    });
    afterEach(() => fleet.close());

    const holders = (): readonly number[] =>
        fleet.events.filter(([, name]) => name === "dutyTaken").map(([host]) => host);

    it("replaces no primary, gives up the lock, and leaves a primary that dies to the next holder", async () => {
        await fleet.clock.advance(5_000);
        const [holder = 0] = holders();
        fleet.cutFromPeers.add(holder);
        fleet.endpoints.forEach(endpoint => endpoint.cutFrom.add(holder));
        const rivals: string[] = [];
        await fleet.clock.advance(4_000, () => rivals.push(...invariants.rivalHolders(fleet)));
        chai.expect(rivals).to.deep.equal([]);
        chai.expect(fleet.promotions).to.deep.equal([]);
        chai.expect(holders()).to.have.length(2);
        chai.expect(holders()[1]).not.to.equal(holder);
        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
            endpoint.alive = false;
        });
        await fleet.clock.advance(4_000);
        chai.expect(fleet.promotions.map(promotion => promotion.holder)).to.deep.equal([`host-${holders()[1]}`]);
    });

    it("never leaves two hosts in the belief that they hold the lock, whenever the holder's link fails", async () => {
        for (let startMs = 5_000; startMs < 6_000; startMs += 45) {
            const tested = simulatedFleets.createFleet(4, simulatedFleets.createNumbers());
            await tested.clock.advance(startMs);
            const holder = tested.hosts.findIndex(host => host.fencingToken() !== undefined);
            tested.cutFromPeers.add(holder);
            tested.endpoints.forEach(endpoint => endpoint.cutFrom.add(holder));
            const rivals: string[] = [];
            await tested.clock.advance(3_000, () => rivals.push(...invariants.rivalHolders(tested)));
            tested.close();
            chai.expect(rivals).to.deep.equal([]);
        }
    });

    it("holds the lock or leaves it to another host within 7 s when the store does not hear that it is given up", async () => {
        for (let cutAfterMs = 900; cutAfterMs < 1_500; cutAfterMs += 50) {
            const tested = simulatedFleets.createFleet(4, simulatedFleets.createNumbers());
            await tested.clock.advance(5_000);
            const holder = tested.hosts.findIndex(host => host.fencingToken() !== undefined);
            tested.cutFromPeers.add(holder);
            tested.endpoints.forEach(endpoint => endpoint.cutFrom.add(holder));
            const rivals: string[] = [];
            const check = (): void => void rivals.push(...invariants.rivalHolders(tested));
            await tested.clock.advance(cutAfterMs, check);
            tested.cutFromStore.add(holder);
            await tested.clock.advance(500, check);
            tested.cutFromStore.clear();
            tested.cutFromPeers.clear();
            tested.endpoints.forEach(endpoint => endpoint.cutFrom.clear());
            await tested.clock.advance(7_000, check);
            const isHeld = tested.hosts.some(host => host.fencingToken() !== undefined);
            tested.close();
            chai.expect(rivals).to.deep.equal([]);
            chai.expect(isHeld, `held after a cut at ${cutAfterMs} ms`).to.equal(true);
        }
    });

    it("still replaces a dead primary when all other hosts are dead and no longer registered", async () => {
        await fleet.clock.advance(5_000);
        const [holder = 0] = holders();
        [0, 1, 2, 3].filter(host => host !== holder).forEach(host => fleet.kill(host));
        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
            endpoint.alive = false;
        });
        await fleet.clock.advance(8_000);
        chai.expect(fleet.promotions.map(promotion => promotion.holder)).to.deep.equal([`host-${holder}`]);
    });
});
