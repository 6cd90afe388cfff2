import * as chai from "chai";
import * as fc from "fast-check";
import * as load from "../../standins/limiterload.js";

const tolerance = { windowMs: 5_000, overage: 0.1, slack: 20 };
/**
 * A refused caller comes back after some 100 ms, twice. At 1% an attempt, one operation of a hundred is late by that and
 * one of a million is lost.
 */
const maxWrongfulFraction = 0.01;
const seed = 20_261;

const spread = (first: number, count: number, hostCount: number): readonly number[] =>
    Array.from({ length: count }, (_, index) => (first + index * 11) % hostCount);

/** Organisations whose callers are connected to a few hosts, or to all; some send many times their usual for a while. */
function organisationsOn(hostCount: number): readonly load.Organisation[] {
    const create = (name: string, limit: number, hosts: readonly number[], surge = 1): load.Organisation => ({
        name,
        ratePerSecond: limit,
        burst: limit,
        hosts,
        perSecond: nowMs => limit * 0.62 * (nowMs > 11_000 && nowMs < 16_500 ? surge : 1),
    });
    return [
        ...[2, 3, 4, 5].map(count => create(`small-${count}`, 2, spread(count, count, hostCount))),
        create("small-surge", 2, spread(7, 3, hostCount), 8),
        create("middle", 6, spread(3, 4, hostCount)),
        create("surge-few", 19, spread(5, 5, hostCount), 5.7),
        create("surge-all", 19, spread(0, hostCount, hostCount), 7.5),
        create("large-surge", 40, spread(9, 20, hostCount), 3),
    ];
}

function summarise(
    outcomes: ReadonlyMap<string, load.Outcome>,
): { readonly wrongful: number; readonly over: string[] } {
    const all = [...outcomes];
    const asked = all.reduce((sum, [, entry]) => sum + entry.admittedMs.length + entry.wrongful, 0);
    const wrongful = all.reduce((sum, [, entry]) => sum + entry.wrongful, 0);
    const over = all.filter(([, entry]) => entry.worstWindow > entry.bound);
    return {
        wrongful: wrongful / Math.max(1, asked),
        over: over.map(([name, entry]) => `${name}: ${entry.worstWindow} of ${entry.bound}`),
    };
}

describe("limiters under the load of a fleet", function() {
    this.timeout(120_000);

    it("refuse nearly nothing below the limit where 70 hosts in cells hear of each other over three hops", () => {
        const scenario = { hostCount: 70, hostsPerCell: 8, lengthMs: 20_000, quietMs: 4_000, seed, tolerance };
        const result = summarise(load.play({ ...scenario, organisations: organisationsOn(70) }));
        chai.expect(result.over).to.deep.equal([]);
        chai.expect(result.wrongful).to.be.at.most(maxWrongfulFraction);
    });

    it("refuse nearly nothing of a usual load on 70 hosts in cells", () => {
        const scenario = { hostCount: 70, hostsPerCell: 8, lengthMs: 20_000, quietMs: 4_000, seed, tolerance };
        const organisations = organisationsOn(70).filter(entry => !entry.name.includes("surge"));
        const result = summarise(load.play({ ...scenario, organisations }));
        chai.expect(result.over).to.deep.equal([]);
        chai.expect(result.wrongful).to.be.at.most(maxWrongfulFraction);
    });

    it("let an organisation that sends several times its usual have nine tenths of its limit on 70 hosts in cells", () => {
        const scenario = { hostCount: 70, hostsPerCell: 8, lengthMs: 20_000, quietMs: 4_000, seed, tolerance };
        const organisations = organisationsOn(70).filter(entry => entry.name.includes("surge"));
        for (const [name, { admittedMs, wrongful, worstWindow, bound }] of load.play({ ...scenario, organisations })) {
            chai.expect(worstWindow, name).to.be.at.most(bound);
            chai.expect(admittedMs.length / (admittedMs.length + wrongful), name).to.be.at.least(0.9);
        }
    });

    it("refuse little below the limit on nine hosts that hear of each other directly", () => {
        const scenario = { hostCount: 9, hostsPerCell: 16, lengthMs: 20_000, quietMs: 4_000, seed, tolerance };
        const result = summarise(load.play({ ...scenario, organisations: organisationsOn(9) }));
        chai.expect(result.over).to.deep.equal([]);
        chai.expect(result.wrongful).to.be.at.most(3 * maxWrongfulFraction);
    });

    it("refuse little of a usual load while hosts end and start again", () => {
        const restarts = [0, 1, 2, 3, 4, 5].map(index => ({
            host: index * 3,
            atMs: 6_000 + index * 1_500,
            downMs: 1_500,
        }));
        const organisations = organisationsOn(20).filter(entry => !entry.name.includes("surge"));
        const scenario = { hostCount: 20, hostsPerCell: 5, lengthMs: 20_000, quietMs: 4_000, seed, tolerance };
        const result = summarise(load.play({ ...scenario, organisations, restarts }));
        chai.expect(result.over).to.deep.equal([]);
        chai.expect(result.wrongful).to.be.at.most(2 * maxWrongfulFraction);
    });

    /** Windows over the bound when all hosts lose power under a surge and start again at nearly the same time. */
    function overAfterLossOfPower(hostCount: number, hostsPerCell: number): readonly string[] {
        return [1, 2, 3, 4, 5, 6].flatMap(run => {
            const organisations = [19, 40].flatMap(limit =>
                [3, hostCount].map(callers => ({
                    name: `${limit} on ${callers} hosts`,
                    ratePerSecond: limit,
                    burst: limit,
                    hosts: spread(run, callers, hostCount),
                    perSecond: (nowMs: number) => limit * (nowMs > 7_000 ? 5 : 0.6),
                }))
            );
            const restarts = Array.from({ length: hostCount }, (_, host) => ({
                host,
                atMs: 12_000,
                downMs: 1_500 + (host * 7 + run * 11) % 60 * 5,
            }));
            const scenario = { hostCount, hostsPerCell, lengthMs: 20_000, quietMs: 4_000, seed: run, tolerance };
            return summarise(load.play({ ...scenario, organisations, restarts })).over;
        });
    }

    it("keep the bound when all hosts of a fleet in cells lose power under a surge", () => {
        chai.expect(overAfterLossOfPower(20, 5)).to.deep.equal([]);
    });

    it("keep the bound when all hosts of a small fleet lose power under a surge", () => {
        chai.expect(overAfterLossOfPower(9, 16)).to.deep.equal([]);
    });

    /** Keeps the bound in every window, whatever is asked, cut, restarted or added. */
    function expectBound(hostCount: number, hostsPerCell: number, mayJoin: boolean): void {
        const host = fc.integer({ min: 0, max: hostCount - 1 });
        const organisation = fc.record({
            limit: fc.constantFrom(2, 6, 19, 40),
            callers: fc.integer({ min: 1, max: hostCount }),
            first: host,
            usual: fc.double({ min: 0, max: 1.5, noNaN: true }),
            surge: fc.double({ min: 1, max: 8, noNaN: true }),
            surgeMs: fc.integer({ min: 2_000, max: 12_000 }),
        });
        const disruptions = fc.record({
            organisations: fc.array(organisation, { minLength: 1, maxLength: 3 }),
            restarts: fc.array(
                fc.record({
                    host,
                    atMs: fc.integer({ min: 400, max: 2_000 }).map(step => step * 5),
                    downMs: fc.constantFrom(500, 1_500, 3_000),
                }),
                { maxLength: 4 },
            ),
            cutHosts: fc.array(host, { maxLength: 4 }),
            cutMs: fc.integer({ min: 2_000, max: 10_000 }),
            joining: fc.array(host, { maxLength: mayJoin ? 3 : 0 }),
            seed: fc.integer({ min: 1, max: 1_000_000 }),
        });
        fc.assert(
            fc.property(disruptions, drawn => {
                const organisations = drawn.organisations.map((entry, index) => ({
                    name: `o${index}`,
                    ratePerSecond: entry.limit,
                    burst: entry.limit,
                    hosts: spread(entry.first, entry.callers, hostCount),
                    perSecond: (nowMs: number) => entry.limit * entry.usual * (nowMs > entry.surgeMs ? entry.surge : 1),
                }));
                const isCut = (one: number, other: number, nowMs: number): boolean =>
                    nowMs > drawn.cutMs && nowMs < drawn.cutMs + 5_000
                    && drawn.cutHosts.includes(one) !== drawn.cutHosts.includes(other);
                const outcomes = load.play({
                    hostCount,
                    hostsPerCell,
                    lengthMs: 14_000,
                    quietMs: 1_500,
                    seed: drawn.seed,
                    tolerance,
                    organisations,
                    restarts: drawn.restarts,
                    cut: isCut,
                    joinsMs: one => (drawn.joining.includes(one) ? 6_000 : 0),
                });
                chai.expect(summarise(outcomes).over).to.deep.equal([]);
            }),
            { seed, numRuns: 40 },
        );
    }

    it("keep the bound in every window of a fleet in cells, whatever is asked, cut, restarted or added", () => {
        expectBound(24, 6, true);
    });

    it("keep the bound in every window of a small fleet, whatever is asked, cut or restarted", () => {
        expectBound(9, 16, false);
    });
});
