import * as chai from "chai";
import * as simulatedFleets from "../../standins/simulatedfleet.js";

/** Longest gap in service that callers are to see when a primary dies, in milliseconds. */
const maxGapMs = 2_000;
/** Busy hosts, and weak ones whose processor time is used up for a while, run again after some hundred milliseconds. */
const busyMs = 320;

describe("the fence of a primary that is replaced, in a fleet where some hosts are always busy", function() {
    this.timeout(60_000);

    async function gapMs(busyHosts: readonly number[]): Promise<number> {
        const fleet = simulatedFleets.createFleet(24, simulatedFleets.createNumbers());
        const seen = (name: string): boolean => fleet.events.some(([, event]) => event === name);
        await fleet.clock.advance(6_000);
        const holder = fleet.hosts.findIndex(host => host.fencingToken() !== undefined);
        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
            endpoint.alive = false;
        });
        const startMs = fleet.clock.now();
        let thawAtMs = Infinity;
        let promotedMs = Infinity;
        await fleet.clock.advance(6_000, () => {
            if (thawAtMs === Infinity && seen("primarySuspected")) {
                thawAtMs = fleet.clock.now() + busyMs;
                busyHosts.filter(host => host !== holder).forEach(host => fleet.frozen.add(host));
            }
            if (fleet.clock.now() >= thawAtMs) {
                fleet.frozen.clear();
            }
            if (promotedMs === Infinity && seen("primaryPromoted")) {
                promotedMs = fleet.clock.now();
            }
        });
        fleet.close();
        return promotedMs - startMs;
    }

    it("ends as soon as all hosts have confirmed, also when some do so late", async () => {
        chai.expect(await gapMs([])).to.be.below(maxGapMs);
        chai.expect(await gapMs([1, 7, 20])).to.be.below(maxGapMs);
    });
});
