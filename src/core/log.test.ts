import * as chai from "chai";
import * as fc from "fast-check";
import * as failover from "./failover.js";
import * as floors from "./floors.js";
import * as positions from "./position.js";
import * as quorums from "./quorum.js";

const seed = 20_262;

/** An endpoint of the model: its promise, its log of terms, and whether it is a primary. */
interface Endpoint {
    term: number;
    primary: boolean;
    log: { readonly term: number; readonly id: number }[];
}

/** One step; `primary` counts among those that believe they are one. */
type Step =
    | { readonly kind: "write"; readonly primary: number }
    | { readonly kind: "replicate"; readonly primary: number; readonly to: number }
    | { readonly kind: "report"; readonly at: number }
    | { readonly kind: "acknowledge" }
    | { readonly kind: "promote"; readonly reach: readonly boolean[] };

const at = fc.integer({ min: 0, max: 2 });
const reach = fc.array(fc.boolean(), { minLength: 3, maxLength: 3 });
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("write" as const), primary: at }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("replicate" as const), primary: at, to: at }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("report" as const), at }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("acknowledge" as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("promote" as const), reach }) },
);
/** Pairs and the whole: what a last promotion may reach. */
const reaches: readonly (readonly boolean[])[] = [[true, true, false], [true, false, true], [false, true, true]];

function last(endpoint: Endpoint): positions.Position {
    return { term: endpoint.log[endpoint.log.length - 1]?.term ?? 0, index: endpoint.log.length };
}

/** Promotes with the endpoints in reach; returns the new primary. */
function promote(endpoints: readonly Endpoint[], term: number, reached: readonly boolean[]): Endpoint | undefined {
    const promises = endpoints.flatMap((endpoint, index) => {
        if (reached[index] !== true) {
            return [];
        }
        endpoint.term = term;
        endpoint.primary = false;
        return [{ endpoint: `${index}`, received: last(endpoint), lastResort: index === term % 3 }];
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

/** Replays a schedule; returns acknowledged ids that some next promotion would lose. */
function replay(steps: readonly Step[]): readonly number[] {
    const endpoints: Endpoint[] = [0, 1, 2].map(index => ({ term: 1, primary: index === 0, log: [] }));
    const quorum = quorums.createQuorum(endpoints.length);
    const waiting: { readonly position: positions.Position; readonly id: number }[] = [];
    const acknowledged = new Set<number>();
    let term = 1;
    let id = 0;
    for (const [clock, next] of steps.entries()) {
        const primaries = endpoints.filter(endpoint => endpoint.primary);
        const primary = "primary" in next ? primaries[next.primary % Math.max(1, primaries.length)] : undefined;
        if (next.kind === "write" && primary !== undefined) {
            id += 1;
            primary.log.push({ term: primary.term, id });
            waiting.push({ position: last(primary), id });
        }
        if (next.kind === "replicate") {
            replicate(primary, endpoints[next.to]);
        }
        if (next.kind === "report") {
            const endpoint = endpoints[next.at] as Endpoint;
            const received = last(endpoint);
            const state = { bootId: "1", draining: false, received, applied: received, requestedAtMs: clock };
            quorum.update({ endpoint: `${next.at}`, term: endpoint.term, primary: endpoint.primary, ...state });
        }
        if (next.kind === "acknowledge") {
            waiting.filter(entry => quorum.holds(entry.position)).forEach(entry => acknowledged.add(entry.id));
        }
        if (next.kind === "promote") {
            term += 1;
            promote(endpoints, term, next.reach);
        }
    }
    return reaches.flatMap(reached => {
        const copies = endpoints.map(endpoint => ({ ...endpoint, log: [...endpoint.log] }));
        const chosen = promote(copies, term + 1, reached);
        return [...acknowledged].filter(entry => chosen?.log.some(held => held.id === entry) !== true);
    });
}

describe("log", () => {
    it("keeps every acknowledged write through any promotions", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                chai.expect(replay(steps)).to.deep.equal([]);
            }),
            { seed, numRuns: 20_000 },
        );
    });

    it("does not count an entry for endpoints that have promised a later term", () => {
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

    it("takes a sample no earlier than the oldest report of its majority", () => {
        const quorum = quorums.createQuorum(3);
        const report = (endpoint: string, index: number, askedMs: number): void => {
            const position = { term: 1, index };
            quorum.update({
                endpoint,
                bootId: "1",
                term: 1,
                primary: false,
                draining: false,
                received: position,
                applied: position,
                requestedAtMs: askedMs,
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
    it("raises every session's floor over entries it can't account for", () => {
        const sessions = floors.createFloors();
        sessions.recordWrite({ term: 1, index: 1 }, "ana");
        sessions.recordWrite({ term: 1, index: 3 }, "ana");
        chai.expect(sessions.accountsForAll({ term: 1, index: 3 })).to.equal(false);
        sessions.raiseAll({ term: 1, index: 2 });
        chai.expect(sessions.accountsForAll({ term: 1, index: 3 })).to.equal(true);
        chai.expect(sessions.floor("dan")).to.deep.equal({ term: 1, index: 2 });
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 3 });
    });

    it("keeps a floor for sessions it forgets", () => {
        const sessions = floors.createFloors();
        sessions.recordWrite({ term: 1, index: 1 }, "ana");
        sessions.prune({ term: 1, index: 4 });
        chai.expect(sessions.sessionCount()).to.equal(0);
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 1 });
    });
});
