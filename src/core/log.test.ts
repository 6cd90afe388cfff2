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

type Step =
    | { readonly kind: "write"; readonly at: number }
    | { readonly kind: "replicate"; readonly from: number; readonly to: number }
    | { readonly kind: "report"; readonly at: number }
    | { readonly kind: "acknowledge" }
    | { readonly kind: "promote"; readonly reach: readonly boolean[] };

const at = fc.integer({ min: 0, max: 2 });
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("write" as const), at }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("replicate" as const), from: at, to: at }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("report" as const), at }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("acknowledge" as const) }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("promote" as const),
            reach: fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
        }),
    },
);

function last(endpoint: Endpoint): positions.Position {
    return { term: endpoint.log[endpoint.log.length - 1]?.term ?? 0, index: endpoint.log.length };
}

/** Replays a schedule; returns acknowledged ids that the newest primary lacks. */
function replay(steps: readonly Step[]): readonly number[] {
    const endpoints: Endpoint[] = [0, 1, 2].map(index => ({ term: 1, primary: index === 0, log: [] }));
    const quorum = quorums.createQuorum(3);
    const waiting: { readonly position: positions.Position; readonly id: number }[] = [];
    const acknowledged: number[] = [];
    let term = 1;
    let id = 0;
    let clock = 0;
    for (const next of steps) {
        clock += 1;
        if (next.kind === "write" && endpoints[next.at]?.primary === true) {
            const endpoint = endpoints[next.at];
            id += 1;
            endpoint?.log.push({ term: endpoint.term, id });
            waiting.push({ position: last(endpoint as Endpoint), id });
        }
        if (next.kind === "replicate") {
            const from = endpoints[next.from];
            const to = endpoints[next.to];
            if (from?.primary === true && to !== undefined && to !== from && to.term <= from.term) {
                to.term = from.term;
                to.primary = false;
                to.log = [...from.log];
            }
        }
        if (next.kind === "report") {
            const endpoint = endpoints[next.at] as Endpoint;
            const received = last(endpoint);
            const { term: promised, primary } = endpoint;
            quorum.report({
                endpoint: `${next.at}`,
                boot: "1",
                term: promised,
                primary,
                leaving: false,
                received,
                applied: received,
                askedMs: clock,
            });
        }
        if (next.kind === "acknowledge") {
            waiting.filter(entry => quorum.holds(entry.position)).forEach(entry => acknowledged.push(entry.id));
        }
        if (next.kind === "promote") {
            term += 1;
            const promises = endpoints.flatMap((endpoint, index) => {
                if (next.reach[index] !== true) {
                    return [];
                }
                endpoint.term = term;
                endpoint.primary = false;
                return [{ endpoint: `${index}`, received: last(endpoint), passedOver: index === term % 3 }];
            });
            const chosen = endpoints[Number(failover.choose(promises, 3) ?? -1)];
            if (chosen !== undefined) {
                chosen.primary = true;
                chosen.log.push({ term, id: 0 });
            }
        }
    }
    const newest = endpoints.filter(endpoint => endpoint.primary).sort((left, right) => right.term - left.term)[0];
    return newest === undefined ? [] : acknowledged.filter(entry => !newest.log.some(held => held.id === entry));
}

describe("log", () => {
    it("keeps every acknowledged write through any promotions", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 150 }), steps => {
                chai.expect(replay(steps)).to.deep.equal([]);
            }),
            { seed, numRuns: 20_000 },
        );
    });

    it("takes a sample no earlier than the oldest report of its majority", () => {
        const quorum = quorums.createQuorum(3);
        const report = (endpoint: string, index: number, askedMs: number): void => {
            const position = { term: 1, index };
            quorum.report({
                endpoint,
                boot: "1",
                term: 1,
                primary: false,
                leaving: false,
                received: position,
                applied: position,
                askedMs,
            });
        };
        report("a", 5, 10);
        chai.expect(quorum.sample()).to.equal(undefined);
        report("b", 7, 20);
        chai.expect(quorum.sample()).to.deep.equal({ sinceMs: 10, position: { term: 1, index: 7 } });
        chai.expect(quorum.ageMs("a", 50)).to.equal(undefined);
        report("a", 7, 30);
        chai.expect(quorum.ageMs("a", 50)).to.equal(30);
    });
});

describe("floors", () => {
    it("raises every session's floor over entries it can't account for", () => {
        const sessions = floors.createFloors();
        sessions.account({ term: 1, index: 1 }, "ana");
        sessions.account({ term: 1, index: 3 }, "ana");
        chai.expect(sessions.accounts({ term: 1, index: 3 })).to.equal(false);
        sessions.concede({ term: 1, index: 2 });
        chai.expect(sessions.accounts({ term: 1, index: 3 })).to.equal(true);
        chai.expect(sessions.floor("dan")).to.deep.equal({ term: 1, index: 2 });
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 3 });
    });

    it("keeps a floor for sessions it forgets", () => {
        const sessions = floors.createFloors();
        sessions.account({ term: 1, index: 1 }, "ana");
        sessions.prune({ term: 1, index: 4 });
        chai.expect(sessions.size()).to.equal(0);
        chai.expect(sessions.floor("ana")).to.deep.equal({ term: 1, index: 1 });
    });
});
