import * as chai from "chai";
import * as storeReading from "./storereading.js";

const layout: storeReading.Layout = {
    self: "b1",
    ownCell: ["b1", "b2", "b3"],
    firstOfCells: ["a1", "b1", "c1"],
    lockHolder: "c7",
};

const state = (self: string, changed: Partial<storeReading.State> = {}): storeReading.State => ({
    nowMs: 10_000,
    place: storeReading.placeOf({ ...layout, self }),
    holdsLock: false,
    readingAgeMs: 300,
    sinceOwnReadMs: Infinity,
    ownReadFailed: false,
    settled: true,
    ...changed,
});

const createPlanner = (): storeReading.Planner => storeReading.createPlanner({ random: () => 0.5 });

describe("the place of a host among those that read the store", () => {
    it("puts the holder of the lock first, then the first hosts of the cells, then the hosts of each cell", () => {
        const places = ["c7", "a1", "b1", "b2", "b3"].map(self => storeReading.placeOf({ ...layout, self }));
        chai.expect(places.map(place => [place.precedingCount, place.sources[0]])).to.deep.equal([
            [0, "a1"],
            [1, "c7"],
            [2, "c7"],
            [4, "b1"],
            [5, "b1"],
        ]);
        chai.expect(places[4]?.sources).to.deep.equal(["b1", "b2", "c7", "a1", "c1"]);
    });

    it("lets hosts of higher ranks take over later, and all of them before a proof expires", () => {
        const delays = ["c7", "a1", "b1", "b2", "b3"].map(self =>
            storeReading.placeOf({ ...layout, self }).takeoverDelayMs
        );
        chai.expect(delays).to.deep.equal([...delays].sort((left, right) => left - right));
        chai.expect(new Set(delays).size).to.equal(delays.length);
        chai.expect(Math.max(...delays)).to.be.below(400);
    });
});

describe("the reading of the store under the loads of a fleet", () => {
    it("in calm: the holder of the lock reads at its interval, the others keep one question open", () => {
        const planner = createPlanner();
        const holder = state("c7", { holdsLock: true, sinceOwnReadMs: storeReading.readIntervalMs - 1 });
        chai.expect([planner.isReadDue(holder), planner.hostsToAsk(holder)]).to.deep.equal([false, []]);
        chai.expect(planner.isReadDue({ ...holder, sinceOwnReadMs: storeReading.readIntervalMs })).to.equal(true);
        chai.expect(planner.hostsToAsk(state("b2"))).to.deep.equal(["b1"]);
        planner.asked("b1", 10_000);
        chai.expect(planner.hostsToAsk(state("b2", { readingAgeMs: 850 }))).to.deep.equal([]);
    });

    it("reader dead: asks further hosts as the reading ages, then reads by rank", () => {
        const planner = createPlanner();
        planner.asked("c7", 10_000);
        const at = (readingAgeMs: number): storeReading.State => state("a1", { readingAgeMs });
        chai.expect(planner.hostsToAsk(at(900))).to.deep.equal([]);
        chai.expect(planner.hostsToAsk(at(950))).to.deep.equal(["b1"]);
        chai.expect(planner.hostsToAsk(at(1_000))).to.deep.equal(["b1", "c1"]);
        chai.expect([planner.isReadDue(at(1_000)), planner.isReadDue(at(1_060))]).to.deep.equal([false, true]);
        chai.expect(planner.isReadDue(state("b3", { readingAgeMs: 1_060 }))).to.equal(false);
    });

    it("source frozen: leaves a question that another host has answered first, and comes back later", () => {
        const planner = createPlanner();
        planner.asked("b1", 9_000);
        planner.asked("b2", 9_900);
        planner.answered("b2", true, 10_000);
        chai.expect(planner.hostsToAsk(state("b3"))).to.deep.equal(["b2"]);
        chai.expect(planner.hostsToAsk(state("b3", { nowMs: 10_500 }))).to.deep.equal(["b1"]);
    });

    it("all preceding hosts dead: reads at the interval of a reader", () => {
        const planner = createPlanner();
        const alone = state("a1", { readingAgeMs: storeReading.readIntervalMs });
        chai.expect(planner.isReadDue(alone)).to.equal(false);
        planner.failed("c7", 10_000);
        chai.expect([planner.isReader(alone), planner.isReadDue(alone)]).to.deep.equal([true, true]);
        chai.expect(planner.hostsToAsk(alone)).to.deep.equal([]);
    });

    it("store away: a host of higher rank repeats a failed read more rarely", () => {
        const planner = createPlanner();
        const failedRead = { readingAgeMs: 9_000, ownReadFailed: true, sinceOwnReadMs: 1_500 };
        chai.expect(["a1", "b3"].map(self => planner.isReadDue(state(self, failedRead)))).to.deep.equal([true, false]);
        chai.expect(planner.isReadDue(state("b3", { ...failedRead, sinceOwnReadMs: 3_000 }))).to.equal(true);
    });

    it("era not settled: the reader looks for its end more often", () => {
        const planner = createPlanner();
        const unsettled = { settled: false, holdsLock: true, sinceOwnReadMs: 300 };
        chai.expect(planner.isReadDue(state("c7", unsettled))).to.equal(true);
        chai.expect(planner.isReadDue(state("b3", { settled: false, readingAgeMs: 300 }))).to.equal(false);
    });
});
