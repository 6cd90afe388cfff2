import * as chai from "chai";
import * as fc from "fast-check";
import * as eligibility from "./eligibility.js";
import type * as evacuations from "./evacuation.js";
import * as failure from "./failure.js";
import * as homes from "./homes.js";
import * as relocation from "./relocation.js";

const phase = fc.constantFrom<evacuations.Phase>("open", "leaving", "ending", "closed");
const region = fc.constantFrom("north", "south", "west", undefined);
const endpoints: fc.Arbitrary<readonly eligibility.Endpoint[]> = fc.array(
    fc.record({ region, draining: fc.boolean(), phase }),
    { maxLength: 5 },
).map(entries => entries.map((entry, index) => ({ ...entry, endpoint: `i-${index}` })));
const regions = fc.subarray(["north", "south", "east"]);
const primary = fc.nat(4).map(index => `i-${index}`);

const endpoint = (
    id: string,
    place: string,
    state: evacuations.Phase = "open",
): eligibility.Endpoint => ({ endpoint: id, region: place, draining: false, phase: state });

describe("eligibility of endpoints, for requests of all homes during any evacuations", () => {
    it("never allows an endpoint outside the homes of route and organisation, nor new work in an evacuated domain", () => {
        fc.assert(fc.property(endpoints, regions, regions, (listed, first, second) => {
            const combined = homes.combine(homes.of(first), homes.of(second));
            const { eligible, rejected, exhausted, reasonAgainstPrimary } = eligibility.evaluate(listed, combined);
            const isHome = (place: string | undefined): boolean =>
                [first, second].every(list => list.length === 0 || (place !== undefined && list.includes(place)));
            for (const entry of listed) {
                const mayTake = isHome(entry.region) && entry.phase === "open";
                chai.expect(eligible.has(entry.endpoint)).to.equal(mayTake);
                const asPrimary = reasonAgainstPrimary(entry.endpoint) === undefined;
                chai.expect(asPrimary && (!isHome(entry.region) || ["ending", "closed"].includes(entry.phase)))
                    .to.equal(false);
            }
            chai.expect(eligible.size + rejected.length).to.equal(listed.length);
            chai.expect(exhausted === undefined).to.equal(listed.length === 0 || eligible.size > 0);
        }));
    });

    it("lets a leaving primary serve only while another endpoint can take its place", () => {
        const leaving = endpoint("i-1", "north", "leaving");
        const against = (...others: readonly eligibility.Endpoint[]): eligibility.Reason | undefined =>
            eligibility.evaluate([leaving, ...others], undefined).reasonAgainstPrimary("i-1");
        chai.expect(against(endpoint("i-2", "north"))).to.equal(undefined);
        chai.expect(against(endpoint("i-2", "north", "leaving"))).to.equal("evacuated");
        chai.expect(against({ ...endpoint("i-2", "north"), draining: true })).to.equal("evacuated");
    });

    it("refuses as not run, with the time after which to come back", () => {
        for (const reason of ["evacuated", "outside homes"] as const) {
            const refusal = eligibility.refusal("ledger", reason, "primary");
            chai.expect([failure.isNotRun(refusal), eligibility.isFinal(refusal)]).to.deep.equal([true, true]);
            chai.expect(refusal.retryAfterMs).to.be.above(0);
        }
    });

    it("allows a relaying host in a home or the caller's own host, and none in an unknown region", () => {
        const north = homes.of(["north"]);
        chai.expect(homes.allowsHost(north, "north", false)).to.equal(true);
        chai.expect(homes.allowsHost(north, "south", true)).to.equal(true);
        chai.expect([homes.allowsHost(north, "south", false), homes.allowsHost(north, undefined, false)])
            .to.deep.equal([false, false]);
        chai.expect(homes.allowsHost(undefined, undefined, false)).to.equal(true);
    });
});

describe("places of primaries, for random homes and evacuations", () => {
    const routes = fc.array(regions.map(homes.of), { maxLength: 4 });

    it("promotes nobody into an evacuated domain, and moves only if someone can take over", () => {
        fc.assert(fc.property(endpoints, routes, primary, (listed, homesOfRoutes, id) => {
            const reason = relocation.reasonToMove(id, listed, homesOfRoutes);
            for (const cause of ["silent", "draining", reason ?? "gone"]) {
                const successors = relocation.successors(id, listed, homesOfRoutes, cause);
                const isOpen = (id: string): boolean => listed.find(entry => entry.endpoint === id)?.phase === "open";
                chai.expect(successors.filter(successor => !isOpen(successor))).to.deep.equal([]);
            }
            if (reason !== undefined) {
                const successors = relocation.successors(id, listed, homesOfRoutes, reason);
                chai.expect(successors.filter(successor => successor !== id)).to.not.deep.equal([]);
            }
        }));
    });

    it("settles: a primary that was moved to a successor for its homes isn't moved again for them", () => {
        fc.assert(fc.property(endpoints, routes, primary, (listed, homesOfRoutes, id) => {
            let current = id;
            for (let moves = 0; moves <= listed.length; moves += 1) {
                if (relocation.reasonToMove(current, listed, homesOfRoutes) === undefined) {
                    return;
                }
                const reason = relocation.reasonToMove(current, listed, homesOfRoutes) ?? "";
                const next = relocation.successors(current, listed, homesOfRoutes, reason)
                    .filter(successor => successor !== current)
                    .find(successor => !listed.find(entry => entry.endpoint === successor)?.draining);
                chai.expect(next).to.not.equal(undefined);
                current = next ?? current;
            }
            chai.expect.fail("The primary never stops moving.");
        }));
    });

    it("moves an evacuated primary, and one whose region serves fewer routes; no route without homes calls for a move", () => {
        const [north, south] = [endpoint("i-1", "north"), endpoint("i-2", "south")];
        const reason = (
            homesOfRoutes: readonly homes.Homes[],
            ...others: readonly eligibility.Endpoint[]
        ): eligibility.Reason | undefined => relocation.reasonToMove("i-1", [north, ...others], homesOfRoutes);
        chai.expect(reason([undefined, undefined], south)).to.equal(undefined);
        chai.expect(reason([homes.of(["south"]), undefined], south)).to.equal("outside homes");
        chai.expect(reason([homes.of(["south"]), homes.of(["north"])], south)).to.equal(undefined);
        chai.expect(reason([homes.of(["south"])], { ...south, phase: "leaving" })).to.equal(undefined);
        chai.expect(relocation.reasonToMove("i-1", [{ ...north, phase: "closed" }, south], [])).to.equal("evacuated");
        chai.expect(relocation.reasonToMove("i-1", [{ ...north, phase: "closed" }], [])).to.equal(undefined);
    });

    it("begins a planned replacement only when a replica has received nearly all of the log", () => {
        const end = { term: 2, index: 1_000 };
        chai.expect([
            relocation.isCaughtUp({ term: 2, index: 950 }, end),
            relocation.isCaughtUp({ term: 2, index: 300 }, end),
            relocation.isCaughtUp({ term: 1, index: 2_000 }, end),
            relocation.isCaughtUp({ term: 1, index: 1 }, undefined),
        ]).to.deep.equal([true, false, false, true]);
    });
});
