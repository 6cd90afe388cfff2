import * as chai from "chai";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as invariants from "../../standins/invariants.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";
import * as rooms from "../core/room.js";
import type * as fleets from "./fleet.js";
import type * as messages from "./messages.js";
import * as roomViews from "./roomview.js";

const startMs = 10_000;

function createFleet(hostCount: number, failureDomains: number, seed: number): simulatedFleets.Fleet {
    const generator = generators.xoroshiro128plus(seed);
    const random = (): number => uniform.uniformFloat64(generator);
    return simulatedFleets.createFleet(hostCount, random, { failureDomains, regions: 1 });
}

const busy: rooms.Report = { spare: 0.05, strained: false, inRotation: true, claim: undefined };
const strained: rooms.Report = { ...busy, strained: true };
const holderOf = (fleet: simulatedFleets.Fleet): number =>
    fleet.hosts.findIndex(host => host.fencingToken() !== undefined);

describe("the room of other hosts", function() {
    this.timeout(120_000);
    let fleet: simulatedFleets.Fleet;
    afterEach(() => fleet.close());

    it("is known of all of 40 hosts in cells, with its age; a host of an older version counts as average", async () => {
        fleet = createFleet(40, 4, 1);
        fleet.rooms.set(17, strained);
        fleet.rooms.set(5, undefined);
        await fleet.clock.advance(startMs);
        fleet.hosts.filter((_, host) => host !== 5).forEach(observer => {
            fleet.hosts.forEach((_, host) => {
                const room = observer.peers.rooms.roomOf(`host-${host}`);
                const isKnown = host !== 5;
                chai.expect(room?.measured).to.equal(isKnown);
                chai.expect(room?.spare).to.equal(isKnown ? (host === 17 ? 0.05 : 0.7) : rooms.averageSpare);
                chai.expect(!isKnown || (room?.ageMs ?? Infinity) <= 4_000).to.equal(true);
                chai.expect(observer.peers.rooms.isStrained(`host-${host}`)).to.equal(host === 17);
            });
        });
        chai.expect(fleet.hosts[0]?.peers.rooms.roomOf("nobody")).to.equal(undefined);
    });

    it("is unknown of a cell whose hosts the reporting host knows otherwise, so that no host gets another's room", async () => {
        fleet = createFleet(2, 2, 1);
        const member = (host: string): messages.Member => ({
            id: host,
            address: host,
            failureDomain: "zone-0",
            incarnation: "1",
            leaving: false,
            capacity: 1,
        });
        const viewOf = (reported: readonly string[], known: readonly string[]): roomViews.RoomView => {
            const create = (self: string, ids: readonly string[], remote?: messages.CellRooms): roomViews.RoomView =>
                roomViews.createRoomView({
                    self: member(self),
                    clock: fleet.clock,
                    peers: new Map(["b", "c"].map(id => [id, { member: member(id) } as fleets.PeerState])),
                    ownRoom: () => strained,
                    cellOf: id => (id === "z" ? "own" : "other"),
                    idsOf: () => ids,
                    remoteRooms: () => (remote === undefined ? undefined : { rooms: remote, ageMs: 700 }),
                });
            return create("z", known, create("b", reported).ownCell());
        };
        chai.expect(viewOf(["a", "b"], ["a", "b"]).roomOf("b")).to.deep.equal({
            spare: strained.spare,
            ageMs: 700,
            measured: true,
        });
        chai.expect(viewOf(["a", "b"], ["a", "c"]).roomOf("c")?.measured).to.equal(false);
        chai.expect(viewOf(["a", "b"], ["a", "c"]).isStrained("c")).to.equal(false);
    });

    it("grows old when a host falls silent", async () => {
        fleet = createFleet(6, 2, 1);
        await fleet.clock.advance(startMs);
        fleet.cutFromPeers.add(3);
        await fleet.clock.advance(3_000);
        chai.expect(fleet.hosts[0]?.peers.rooms.roomOf("host-3")?.ageMs).to.be.at.least(2_000);
    });

    it("keeps a strained host from acting first for its cell, as all hosts agree", async () => {
        fleet = createFleet(40, 4, 2);
        await fleet.clock.advance(startMs);
        const before = fleet.hosts[0]?.peers.actingHosts().firstOfCells ?? [];
        const first = before[0] ?? "";
        fleet.rooms.set(Number(first.slice("host-".length)), strained);
        await fleet.clock.advance(5_000);
        fleet.hosts.forEach(host => {
            const { firstOfCells } = host.peers.actingHosts();
            chai.expect(firstOfCells).to.have.length(before.length);
            chai.expect(firstOfCells).not.to.include(first);
            chai.expect(firstOfCells.slice(1)).to.deep.equal(before.slice(1));
        });
    });

    const fleets: readonly (readonly [hostCount: number, failureDomains: number])[] = [[6, 3], [40, 4]];
    fleets.forEach(([hostCount, failureDomains]) => {
        it(`moves the failover lock once from a strained holder among ${hostCount} hosts, and not back`, async () => {
            fleet = createFleet(hostCount, failureDomains, 3);
            await fleet.clock.advance(startMs);
            const holder = holderOf(fleet);
            const rivals: string[] = [];
            const check = (): void => void rivals.push(...invariants.rivalHolders(fleet));
            fleet.rooms.set(holder, strained);
            await fleet.clock.advance(6_000, check);
            const next = holderOf(fleet);
            chai.expect(next).to.be.at.least(0);
            chai.expect(next).not.to.equal(holder);
            fleet.rooms.delete(holder);
            await fleet.clock.advance(10_000, check);
            chai.expect(holderOf(fleet)).to.equal(next);
            chai.expect(rivals).to.deep.equal([]);
            chai.expect(fleet.events.filter(([, name]) => name === "dutyTaken")).to.have.length(2);
        });
    });

    it("keeps the failover lock where it is when all hosts become busy, and strained 2 s later", async () => {
        fleet = createFleet(6, 3, 3);
        await fleet.clock.advance(startMs);
        fleet.hosts.forEach((_, host) => fleet.rooms.set(host, busy));
        await fleet.clock.advance(2_000);
        fleet.hosts.forEach((_, host) => fleet.rooms.set(host, strained));
        await fleet.clock.advance(20_000);
        chai.expect(fleet.events.filter(([, name]) => name === "dutyTaken")).to.have.length(1);
    });
});
