import * as chai from "chai";
import * as fc from "fast-check";
import * as failover from "./failover.js";
import * as floors from "./floors.js";
import * as positions from "./position.js";
import * as quorums from "./quorum.js";

const seed = 20_262;

/** An endpoint of the model: the term it has promised, whether it is primary, and its log. */
interface Endpoint {
    term: number;
    primary: boolean;
    log: { readonly term: number; readonly id: number }[];
}

/** One step of a schedule; `primary` selects one of the endpoints that consider themselves primary. */
type Step =
    | { readonly kind: "write"; readonly primary: number }
    | { readonly kind: "replicate"; readonly primary: number; readonly to: number }
    | { readonly kind: "report"; readonly endpointIndex: number }
    | { readonly kind: "acknowledge" }
    | { readonly kind: "promote"; readonly reach: readonly boolean[] };

const endpointIndex = fc.integer({ min: 0, max: 2 });
const reach = fc.array(fc.boolean(), { minLength: 3, maxLength: 3 });
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("write" as const), primary: endpointIndex }) },
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("replicate" as const), primary: endpointIndex, to: endpointIndex }),
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("report" as const), endpointIndex }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("acknowledge" as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("promote" as const), reach }) },
);
/** The majorities of two endpoints that the final promotion may reach. */
const reachableSets: readonly (readonly boolean[])[] = [[true, true, false], [true, false, true], [false, true, true]];

function lastPosition(endpoint: Endpoint): positions.Position {
    return { term: endpoint.log[endpoint.log.length - 1]?.term ?? 0, index: endpoint.log.length };
}

/** Promotes one of the reachable endpoints and returns it; undefined without a majority. */
function promote(endpoints: readonly Endpoint[], term: number, reachable: readonly boolean[]): Endpoint | undefined {
    const promises = endpoints.flatMap((endpoint, index) => {
        if (reachable[index] !== true) {
            return [];
        }
        endpoint.term = term;
        endpoint.primary = false;
        return [{ endpoint: `${index}`, received: lastPosition(endpoint), lastResort: index === term % 3 }];
    });
    const chosen = endpoints[Number(failover.choosePrimary(promises, endpoints.length) ?? -1)];
    if (chosen !== undefined) {
        chosen.primary = true;
        chosen.log.push({ term, id: 0 });
    }
    return chosen;
}

function replicate(from: Endpoint | undefined, to: Endpoint | undefined): void {
    if (from !== undefined && to !== undefined && to !== from && to.term <= from.term) {
        to.term = from.term;
        to.primary = false;
        to.log = [...from.log];
    }
}

/** Runs a schedule; returns the ids of acknowledged writes that a final promotion would lose. */
function replay(steps: readonly Step[]): readonly number[] {
    const endpoints: Endpoint[] = [0, 1, 2].map(index => ({ term: 1, primary: index === 0, log: [] }));
    const quorum = quorums.createQuorum(endpoints.length);
    const pending: { readonly position: positions.Position; readonly id: number }[] = [];
    const acknowledged = new Set<number>();
    let term = 1;
    let id = 0;
    for (const [nowMs, next] of steps.entries()) {
        const primaries = endpoints.filter(endpoint => endpoint.primary);
        const primary = "primary" in next ? primaries[next.primary % Math.max(1, primaries.length)] : undefined;
        if (next.kind === "write" && primary !== undefined) {
            id += 1;
            primary.log.push({ term: primary.term, id });
            pending.push({ position: lastPosition(primary), id });
        }
        if (next.kind === "replicate") {
            replicate(primary, endpoints[next.to]);
        }
        if (next.kind === "report") {
            const endpoint = endpoints[next.endpointIndex] as Endpoint;
            const received = lastPosition(endpoint);
            const state = { bootId: "1", draining: false, received, applied: received, requestedAtMs: nowMs };
            quorum.update({
                endpoint: `${next.endpointIndex}`,
                term: endpoint.term,
                primary: endpoint.primary,
                ...state,
            });
        }
        if (next.kind === "acknowledge") {
            pending.filter(entry => quorum.holds(entry.position)).forEach(entry => acknowledged.add(entry.id));
        }
        if (next.kind === "promote") {
            term += 1;
            promote(endpoints, term, next.reach);
        }
    }
    return reachableSets.flatMap(reachable => {
        const copies = endpoints.map(endpoint => ({ ...endpoint, log: [...endpoint.log] }));
        const chosen = promote(copies, term + 1, reachable);
        return [...acknowledged].filter(entry => chosen?.log.some(entryOfLog => entryOfLog.id === entry) !== true);
    });
}

describe("log", () => {
    it("loses no acknowledged write in any sequence of promotions", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                chai.expect(replay(steps)).to.deep.equal([]);
            }),
            { seed, numRuns: 20_000 },
        );
    });

    it("does not count endpoints that have promised a later term towards the majority", () => {
        const quorum = quorums.createQuorum(3);
        const position = { term: 1, index: 1 };
        for (const endpoint of ["a", "b"]) {
            const state = {
                bootId: "1",
                primary: false,
                draining: false,
                received: position,
                applied: position,
                requestedAtMs: 1,
            };
            quorum.update({ endpoint, term: 3, ...state });
        }
        chai.expect(quorum.holds(position)).to.equal(false);
    });

    it("dates a sample by the oldest report of its majority", () => {
        const quorum = quorums.createQuorum(3);
        const report = (endpoint: string, index: number, requestedAtMs: number): void => {
            const position = { term: 1, index };
            quorum.update({
                endpoint,
                bootId: "1",
                term: 1,
                primary: false,
                draining: false,
                received: position,
                applied: position,
                requestedAtMs,
            });
        };
        report("a", 5, 10);
        chai.expect(quorum.newestSample()).to.equal(undefined);
        report("b", 7, 20);
        chai.expect(quorum.newestSample()).to.deep.equal({ requestedAtMs: 10, position: { term: 1, index: 7 } });
        chai.expect(quorum.stalenessMs("a", 50)).to.equal(undefined);
        report("a", 7, 30);
        chai.expect(quorum.stalenessMs("a", 50)).to.equal(30);
    });
});

describe("floors", () => {
    it("raises the floors of all sessions over log entries that it has not recorded", () => {
        const sessions = floors.createFloors();
        sessions.recordWrite({ term: 1, index: 1 }, "ana");
        sessions.recordWrite({ term: 1, index: 3 }, "ana");
        chai.expect(sessions.accountsForAll({ term: 1, index: 3 })).to.equal(false);
        sessions.raiseAll({ term: 1, index: 2 });
        chai.expect(sessions.accountsForAll({ term: 1, index: 3 })).to.equal(true);
        chai.expect(sessions.floor("dan")).to.deep.equal({ term: 1, index: 2 });
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 3 });
    });

    it("covers a pruned session by the floor of all sessions", () => {
        const sessions = floors.createFloors();
        sessions.recordWrite({ term: 1, index: 1 }, "ana");
        sessions.prune({ term: 1, index: 4 });
        chai.expect(sessions.sessionCount()).to.equal(0);
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 1 });
    });
});
