import * as chai from "chai";
import * as invariants from "../../standins/invariants.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";

const hosts = [0, 1, 2, 3];

describe("hosts that a network cuts off by refusing their connections", function() {
    this.timeout(60_000);
    let fleet: simulatedFleets.Fleet;

    beforeEach(() => {
        fleet = simulatedFleets.createFleet(hosts.length, simulatedFleets.createNumbers());
    });
    afterEach(() => fleet.close());

    const holder = (): number => fleet.hosts.findIndex(host => host.fencingToken() !== undefined);

    // Guards against a host that takes a refused connection for a stopped process, and so a network partition of its own
    // for an outage of the store: it served a replaced primary for as long as the partition lasted.
    it("stop relying on the primary that they know, once an outage of the store may be over", async () => {
        await fleet.clock.advance(5_000);
        const cutOff = hosts.findIndex(host => host !== holder());
        hosts.forEach(host => fleet.cutFromStore.add(host));
        await fleet.clock.advance(3_600);
        const trusted = fleet.hosts.map(host => host.leadership.isTrusted(fleet.clock.now()));
        chai.expect(trusted, "trust in an outage for all hosts").to.deep.equal(hosts.map(() => true));
        fleet.refusedByNetwork.add(cutOff);
        await fleet.clock.advance(900);
        hosts.filter(host => host !== cutOff).forEach(host => fleet.cutFromStore.delete(host));
        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
            hosts.filter(host => host !== cutOff).forEach(host => endpoint.cutFrom.add(host));
        });
        const violations = new Set<string>();
        await fleet.clock.advance(8_000, () => {
            invariants.staleAcknowledgers(fleet).forEach(text => violations.add(text));
        });
        chai.expect(fleet.promotions).to.have.length(1);
        chai.expect([...violations]).to.deep.equal([]);
    });

    // Guards against a replacement that takes a refused connection for a confirmation: hosts that still relied on the old
    // primary read stale data there and acknowledged writes that were lost.
    it("are waited for by a replacement until they no longer rely on the old primary", async () => {
        for (let cutAfterMs = 200; cutAfterMs <= 1_400; cutAfterMs += 50) {
            const tested = simulatedFleets.createFleet(hosts.length, simulatedFleets.createNumbers());
            await tested.clock.advance(5_000);
            const lockHolder = tested.hosts.findIndex(host => host.fencingToken() !== undefined);
            const cutOff = hosts.findIndex(host => host !== lockHolder);
            tested.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
                hosts.filter(host => host !== cutOff).forEach(host => endpoint.cutFrom.add(host));
            });
            await tested.clock.advance(cutAfterMs);
            tested.refusedByNetwork.add(cutOff);
            tested.cutFromStore.add(cutOff);
            const violations = new Set<string>();
            await tested.clock.advance(6_000, () => {
                invariants.staleAcknowledgers(tested).forEach(text => violations.add(text));
            });
            tested.close();
            chai.expect([...violations], `cut off after ${cutAfterMs} ms`).to.deep.equal([]);
            chai.expect(tested.promotions, `cut off after ${cutAfterMs} ms`).to.have.length(1);
        }
    });

    // Guards against a host that has just started and takes the hosts that it knows for all that there are.
    it("are waited for by a host that has just started and doesn't know them", async () => {
        await fleet.clock.advance(5_000);
        const restarted = holder();
        hosts.forEach(host => fleet.cutFromStore.add(host));
        await fleet.clock.advance(3_600);
        fleet.kill(restarted);
        fleet.refusedByNetwork.add(restarted);
        fleet.cutFromStore.delete(restarted);
        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => endpoint.cutFrom.add(restarted));
        fleet.start(restarted);
        const violations = new Set<string>();
        await fleet.clock.advance(6_000, () => {
            invariants.staleAcknowledgers(fleet).forEach(text => violations.add(text));
        });
        chai.expect(fleet.promotions).to.have.length(1);
        chai.expect([...violations]).to.deep.equal([]);
    });

    // Guards against hosts that forget a silent one while the store, which alone tells whether it is gone, is away.
    it("are not forgotten by the others while the store is away for them", async () => {
        await fleet.clock.advance(5_000);
        const cutOff = hosts.findIndex(host => host !== holder());
        const others = hosts.filter(host => host !== cutOff);
        fleet.cutFromStore.add(cutOff);
        await fleet.clock.advance(4_000);
        others.forEach(host => fleet.cutFromStore.add(host));
        fleet.refusedByNetwork.add(cutOff);
        await fleet.clock.advance(20_000);
        const primary = fleet.endpoints.find(endpoint => endpoint.primary);
        primary?.cutFrom.add(cutOff);
        fleet.cutFromStore.delete(cutOff);
        const violations = new Set<string>();
        await fleet.clock.advance(8_000, () => {
            invariants.staleAcknowledgers(fleet).forEach(text => violations.add(text));
        });
        chai.expect(fleet.promotions).to.have.length(1);
        chai.expect([...violations]).to.deep.equal([]);
    });

    // Guards against a holder of the failover lock that takes refused connections for a sign that its own network works.
    it("replace no primary that only they can't reach", async () => {
        await fleet.clock.advance(5_000);
        const isolated = holder();
        fleet.refusedByNetwork.add(isolated);
        fleet.endpoints.forEach(endpoint => endpoint.cutFrom.add(isolated));
        await fleet.clock.advance(4_000);
        chai.expect(fleet.promotions).to.deep.equal([]);
        chai.expect(holder()).not.to.equal(isolated);
    });
});
