import * as chai from "chai";
import * as spillover from "./spillover.js";

const near: spillover.Option = { endpoint: "near", distance: "domain", expectedMs: 20, penaltyMs: 0 };
const next: spillover.Option = { endpoint: "next", distance: "region", expectedMs: 20, penaltyMs: 0 };
const far: spillover.Option = { endpoint: "far", distance: "remote", expectedMs: 35, penaltyMs: 0 };
const unlimited = { maxShare: 1 };

/** Asks for a read each 10 ms for some seconds; returns the endpoints chosen. */
function ask(
    decider: spillover.Spillover,
    options: readonly spillover.Option[],
    seconds: number,
    change: Partial<spillover.Situation> = {},
    startMs = 0,
): readonly string[] {
    return Array.from(
        { length: seconds * 100 },
        (_, index) =>
            decider.choose(options, { budgetMs: 100, viewAgeMs: 500, nowMs: startMs + index * 10, ...change })?.option
                .endpoint ?? "",
    );
}

const part = (chosen: readonly string[], endpoint: string): number =>
    chosen.filter(name => name === endpoint).length / chosen.length;

/** Endpoints of two failure domains with four slots each, and hosts that see each other's load a second late. */
function playTwoDomains(
    readsPerSecond: readonly [number, number],
    decide: boolean,
): { readonly lateParts: readonly number[]; readonly leftParts: readonly number[]; readonly worstFarQueue: number } {
    const hostsPerDomain = 5;
    const [serviceMs, slots, targetMs, lagMs, stepMs, lengthMs] = [20, 4, 400, 1_000, 5, 12_000];
    const queues = [0, 0];
    const history: (readonly number[])[] = [];
    const own = Array.from({ length: 2 * hostsPerDomain }, () => [0, 0]);
    const deciders = own.map(() => spillover.createSpillover(unlimited));
    const counts = [0, 1].map(() => ({ reads: 0, late: 0, left: 0 }));
    const due: { readonly atMs: number; readonly host: number; readonly endpoint: number }[] = [];
    const accrued = [0, 0];
    let worstFarQueue = 0;
    for (let nowMs = 0; nowMs < lengthMs; nowMs += stepMs) {
        for (let finished = due.findIndex(entry => entry.atMs <= nowMs); finished >= 0;) {
            const [entry] = due.splice(finished, 1);
            if (entry !== undefined) {
                queues[entry.endpoint] = (queues[entry.endpoint] ?? 0) - 1;
                const held = own[entry.host] ?? [];
                held[entry.endpoint] = (held[entry.endpoint] ?? 0) - 1;
            }
            finished = due.findIndex(candidate => candidate.atMs <= nowMs);
        }
        history.push([...queues]);
        const seen = history[Math.max(0, history.length - 1 - lagMs / stepMs)] ?? [0, 0];
        [0, 1].forEach(domain => {
            accrued[domain] = (accrued[domain] ?? 0) + (readsPerSecond[domain] ?? 0) * stepMs / 1_000;
            for (; (accrued[domain] ?? 0) >= 1; accrued[domain] = (accrued[domain] ?? 0) - 1) {
                const count = counts[domain] ?? { reads: 0, late: 0, left: 0 };
                const host = domain * hostsPerDomain + count.reads % hostsPerDomain;
                const expected = (endpoint: number): number =>
                    serviceMs
                    * (1 + Math.max(0, (seen[endpoint] ?? 0) + (own[host]?.[endpoint] ?? 0) + 1 - slots) / slots);
                const options = [0, 1].map(endpoint => ({
                    endpoint: String(endpoint),
                    distance: endpoint === domain ? "domain" as const : "region" as const,
                    expectedMs: expected(endpoint) + (endpoint === domain ? 1 : 3),
                    penaltyMs: 0,
                }));
                const decision = deciders[host]?.choose(options, { budgetMs: targetMs / 4, viewAgeMs: lagMs, nowMs });
                const endpoint = decide ? Number(decision?.option.endpoint ?? domain) : domain;
                const waitMs = serviceMs * (1 + Math.max(0, (queues[endpoint] ?? 0) + 1 - slots) / slots);
                queues[endpoint] = (queues[endpoint] ?? 0) + 1;
                const held = own[host] ?? [];
                held[endpoint] = (held[endpoint] ?? 0) + 1;
                due.push({ atMs: nowMs + waitMs, host, endpoint });
                count.reads += 1;
                count.late += waitMs > targetMs ? 1 : 0;
                count.left += endpoint === domain ? 0 : 1;
            }
        });
        worstFarQueue = Math.max(worstFarQueue, queues[1] ?? 0);
    }
    return {
        lateParts: counts.map(count => count.late / count.reads),
        leftParts: counts.map(count => count.left / count.reads),
        worstFarQueue,
    };
}

describe("spillover", () => {
    it("keeps reads at home while they are in time, though another failure domain would answer earlier", () => {
        const decider = spillover.createSpillover(unlimited);
        chai.expect(part(ask(decider, [{ ...near, expectedMs: 90 }, next, far], 3), "near")).to.equal(1);
    });

    it("lets a growing part leave under pressure, and returns slowly once the pressure has clearly gone", () => {
        const decider = spillover.createSpillover(unlimited);
        const busy = [{ ...near, expectedMs: 300 }, next, far];
        const first = ask(decider, busy, 1);
        const later = ask(decider, busy, 4, {}, 1_000);
        chai.expect(part(first, "next")).to.be.within(0.2, 0.4);
        chai.expect(part(later, "next")).to.be.within(0.4, 0.7);
        const { domain } = decider.shares();
        ask(decider, [{ ...near, expectedMs: 80 }, next, far], 2, {}, 5_000);
        const kept = decider.shares().domain;
        chai.expect(kept).to.be.within(domain - 0.25, domain);
        ask(decider, [near, next, far], 2, {}, 7_000);
        chai.expect(decider.shares().domain).to.be.within(kept - 0.1, kept - 0.05);
    });

    it("leaves the region only for a clear gain", () => {
        const regional = [{ ...near, expectedMs: 150 }, { ...next, expectedMs: 145 }, { ...far, expectedMs: 130 }];
        chai.expect(part(ask(spillover.createSpillover(unlimited), regional, 3), "far")).to.equal(0);
        const crowded = [{ ...near, expectedMs: 400 }, { ...next, expectedMs: 400 }, far];
        chai.expect(part(ask(spillover.createSpillover(unlimited), crowded, 4), "far")).to.be.greaterThan(0.5);
    });

    it("takes what there is when the failure domain has no endpoint", () => {
        chai.expect(part(ask(spillover.createSpillover(unlimited), [next, far], 1), "next")).to.equal(1);
        chai.expect(part(ask(spillover.createSpillover(unlimited), [far], 1), "far")).to.equal(1);
        chai.expect(ask(spillover.createSpillover(unlimited), [], 1)[0]).to.equal("");
    });

    it("keeps to the operator's limit, and stays when told so", () => {
        const busy = [{ ...near, expectedMs: 900 }, next];
        chai.expect(part(ask(spillover.createSpillover({ maxShare: 0.2 }), busy, 5), "next")).to.be.at.most(0.21);
        chai.expect(part(ask(spillover.createSpillover({ maxShare: 0 }), busy, 5), "next")).to.equal(0);
    });

    it("does not send more away on an old view", () => {
        const busy = [{ ...near, expectedMs: 900 }, next];
        const chosen = ask(spillover.createSpillover(unlimited), busy, 3, { viewAgeMs: 10_000 });
        chai.expect(part(chosen, "next")).to.equal(0);
    });

    it("serves in time what one failure domain can't, without crowding the other", () => {
        const alone = playTwoDomains([260, 60], false);
        const shared = playTwoDomains([260, 60], true);
        chai.expect(alone.lateParts[0]).to.be.greaterThan(0.5);
        chai.expect(shared.lateParts[0]).to.be.lessThan(0.1);
        chai.expect(shared.lateParts[1]).to.be.lessThan(0.02);
        chai.expect(shared.leftParts[0]).to.be.within(0.15, 0.6);
    });

    it("does not let two failure domains that are equally busy swap their work", () => {
        const swapped = playTwoDomains([215, 215], true);
        chai.expect(swapped.leftParts[0]).to.be.lessThan(0.1);
        chai.expect(swapped.leftParts[1]).to.be.lessThan(0.1);
    });
});
