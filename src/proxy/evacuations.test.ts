import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as simulatedEndpoints from "../../standins/simulatedendpoints.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";
import * as simulatedNetworks from "../../standins/simulatednetwork.js";
import * as simulation from "../../standins/simulation.js";
import type * as store from "../ports/store.js";
import * as evacuationViews from "./evacuations.js";

const evacuateMs = 5_000;

describe("evacuations in a fleet, beside faults of the store, the hosts and the primary", function() {
    this.timeout(60_000);
    let fleet: simulatedFleets.Fleet;

    function create(hostCount: number): void {
        fleet = simulatedFleets.createFleet(hostCount, simulatedFleets.createNumbers(), {
            ...simulatedNetworks.singleDomain,
            evacuateMs,
        });
    }
    afterEach(() => fleet.close());

    const { evacuationsPrefix = "", endpointsPrefix } = simulatedEndpoints.createStoreLayout(true, 0);
    const evacuate = (domain: string): void => fleet.store.put(`${evacuationsPrefix}${domain}`, "{}");
    const takeBack = (domain: string): void => fleet.store.remove(`${evacuationsPrefix}${domain}`);
    const phases = (domain: string): readonly string[] => fleet.hosts.map(host => host.evacuations.phase(domain));
    const primaries = (): readonly string[] =>
        fleet.endpoints.filter(endpoint => endpoint.primary && endpoint.alive).map(endpoint => endpoint.id);
    const commands = (index: number): number => fleet.endpoints[index]?.commands ?? 0;

    it("reaches every host of a fleet with several cells within half a second, and again when it is taken back", async () => {
        create(24);
        await fleet.clock.advance(6_000);
        evacuate("zone-2");
        await fleet.clock.advance(500);
        chai.expect(phases("zone-2").filter(phase => phase === "open")).to.deep.equal([]);
        takeBack("zone-2");
        await fleet.clock.advance(500);
        chai.expect(phases("zone-2").filter(phase => phase !== "open")).to.deep.equal([]);
    });

    it("reaches a host for which the store is away, and one that starts meanwhile", async () => {
        create(4);
        await fleet.clock.advance(3_000);
        fleet.cutFromStore.add(0);
        fleet.kill(1);
        evacuate("zone-2");
        await fleet.clock.advance(500);
        fleet.cutFromStore.add(1);
        fleet.start(1);
        await fleet.clock.advance(1_000);
        chai.expect(phases("zone-2").filter(phase => phase === "open")).to.deep.equal([]);
        chai.expect(fleet.hosts[1]?.evacuations.known()).to.equal(true);
    });

    it("sends nothing to the endpoints after seven tenths of the bound, and moves the primary once", async () => {
        create(4);
        await fleet.clock.advance(5_000);
        evacuate("zone-1");
        await fleet.clock.advance(evacuateMs * 0.7 + 500);
        const before = commands(0);
        await fleet.clock.advance(10_000);
        chai.expect(commands(0)).to.equal(before);
        chai.expect([fleet.promotions.length, primaries().includes("i-1")]).to.deep.equal([1, false]);
        takeBack("zone-1");
        await fleet.clock.advance(5_000);
        chai.expect(fleet.promotions).to.have.length(1);
    });

    it("asks an evacuated replica nothing when the primary dies later", async () => {
        create(4);
        await fleet.clock.advance(5_000);
        evacuate("zone-2");
        await fleet.clock.advance(evacuateMs);
        const before = commands(1);
        const [first] = fleet.endpoints;
        if (first !== undefined) {
            first.alive = false;
        }
        await fleet.clock.advance(5_000);
        chai.expect([primaries(), commands(1)]).to.deep.equal([["i-3"], before]);
    });

    it("doesn't fence an evacuated primary that no replica can replace", async () => {
        create(4);
        await fleet.clock.advance(5_000);
        fleet.endpoints.slice(1).forEach(replica => [0, 1, 2, 3].forEach(host => replica.cutFrom.add(host)));
        const epoch = (): number | undefined => fleet.hosts[0]?.leadership.find(simulatedEndpoints.group)?.epoch;
        const before = epoch();
        evacuate("zone-1");
        await fleet.clock.advance(evacuateMs * 2);
        chai.expect([epoch(), fleet.promotions]).to.deep.equal([before, []]);
        fleet.endpoints[2]?.cutFrom.clear();
        await fleet.clock.advance(4_000);
        chai.expect(fleet.promotions.map(promotion => promotion.endpoint)).to.deep.equal(["i-3"]);
    });

    it("ends outside the evacuated domains, whenever they are evacuated in the course of a failover", async () => {
        for (let delayMs = 0; delayMs < 2_400; delayMs += 200) {
            create(4);
            await fleet.clock.advance(5_000);
            const [first] = fleet.endpoints;
            if (first !== undefined) {
                first.alive = false;
            }
            await fleet.clock.advance(delayMs);
            evacuate("zone-2");
            await fleet.clock.advance(8_000);
            chai.expect(primaries(), `evacuated after ${delayMs} ms`).to.deep.equal(["i-3"]);
            chai.expect(fleet.hosts[0]?.leadership.find(simulatedEndpoints.group)?.primary).to.equal("i-3");
            fleet.close();
        }
    });

    it("promotes nobody while all domains of the group are evacuated, and goes on when one is taken back", async () => {
        create(4);
        await fleet.clock.advance(5_000);
        const epoch = (): number | undefined => fleet.hosts[0]?.leadership.find(simulatedEndpoints.group)?.epoch;
        const before = epoch();
        ["zone-1", "zone-2", "zone-3"].forEach(evacuate);
        await fleet.clock.advance(300);
        const [first] = fleet.endpoints;
        if (first !== undefined) {
            first.alive = false;
            fleet.store.remove(`${endpointsPrefix}${first.id}`);
        }
        await fleet.clock.advance(8_000);
        chai.expect([epoch(), fleet.promotions]).to.deep.equal([before, []]);
        takeBack("zone-3");
        await fleet.clock.advance(4_000);
        chai.expect(fleet.promotions.map(promotion => promotion.endpoint)).to.deep.equal(["i-3"]);
    });

    it("ends at the operators' last word when domains are evacuated and taken back quickly", async () => {
        create(6);
        await fleet.clock.advance(5_000);
        for (let count = 0; count < 9; count += 1) {
            evacuate("zone-1");
            await fleet.clock.advance(70);
            takeBack("zone-1");
            evacuate("zone-2");
            await fleet.clock.advance(40);
            takeBack("zone-2");
        }
        evacuate("zone-3");
        await fleet.clock.advance(3_000);
        const known = fleet.hosts.map(host => host.evacuations.evacuated());
        chai.expect(known).to.deep.equal(fleet.hosts.map(() => ["zone-3"]));
    });

    it("keeps domains evacuated that the store lacks after it came back from an older copy, until it is rewritten", async () => {
        create(3);
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        evacuate("zone-2");
        await fleet.clock.advance(5_000);
        fleet.store.restore(copy);
        await fleet.clock.advance(5_000);
        chai.expect(phases("zone-2")).to.deep.equal(["closed", "closed", "closed"]);
        await fleet.clock.advance(10_000);
        chai.expect(phases("zone-2")).to.deep.equal(["open", "open", "open"]);
    });
});

describe("evacuations of one host, as it reads and watches the store", () => {
    const layout = { configurationKey: "ops/policy", evacuationsPrefix: "ops/evacuated/", operatorsPrefix: "ops/" };

    function setUp(evacuateMs: number | undefined) {
        const clock = simulation.createClock();
        const responses: neverthrow.Result<store.Range, store.StoreError>[] = [];
        const ranges: string[] = [];
        const client = {
            range: async (prefix: string) => {
                ranges.push(prefix);
                return responses.shift() ?? neverthrow.err({ kind: "refused", message: "503" } as const);
            },
        } as unknown as store.Store;
        const evacuations = evacuationViews.createEvacuations({
            evacuateMs,
            clock,
            era: { current: () => 1, observe: () => undefined },
            events: { emit: () => undefined, reportOmitted: () => undefined },
            random: () => 0,
            spread: () => undefined,
            onChange: () => undefined,
        });
        const read = (watches: boolean): Promise<number | undefined> =>
            evacuations.readAlong(client, layout, watches, async () => 40);
        return { evacuations, responses, ranges, read };
    }
    const item = (name: string, revision: number): store.Item => ({
        key: `ops/evacuated/${name}`,
        value: "{}",
        revision,
        lease: 0,
    });

    it("knows nothing until a reading succeeds, and reads only to watch from then on", async () => {
        const { evacuations, responses, ranges, read } = setUp(5_000);
        chai.expect([await read(false), evacuations.known()]).to.deep.equal([undefined, false]);
        responses.push(neverthrow.ok({ items: [item("a", 12)], revision: 30 }));
        chai.expect([await read(false), evacuations.known()]).to.deep.equal([30, true]);
        chai.expect([await read(false), ranges.length]).to.deep.equal([40, 2]);
        responses.push(neverthrow.ok({ items: [item("a", 12)], revision: 60 }));
        chai.expect([await read(true), evacuations.evacuated()]).to.deep.equal([40, ["a"]]);
    });

    it("applies what a watch shows in the order of revisions, and no key that isn't an evacuation", async () => {
        const { evacuations, responses, read } = setUp(5_000);
        responses.push(neverthrow.ok({ items: [item("a", 12)], revision: 30 }));
        await read(true);
        const config = { ...item("", 35), key: "ops/policy" };
        const removed = [{ key: "ops/evacuated/a", revision: 32 }, { key: "ops/evacuated/b", revision: 33 }];
        evacuations.applyChanges({ items: [item("b", 34), config], removed, revision: 35 }, layout);
        chai.expect(evacuations.evacuated()).to.deep.equal(["b"]);
    });

    it("reads and watches the configuration alone on a platform without evacuations", async () => {
        const { evacuations, ranges, read } = setUp(undefined);
        chai.expect([await read(true), ranges, evacuations.known()]).to.deep.equal([40, [], true]);
        chai.expect(evacuations.watched(layout)).to.equal("ops/policy");
        evacuations.offer({ revision: 9, failureDomains: ["a"] });
        chai.expect(evacuations.phase("a")).to.equal("open");
    });
});
