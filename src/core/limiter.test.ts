import * as chai from "chai";
import * as allowances from "./limiter.js";

const limits = new Map([["cluj", { ratePerSecond: 90, burst: 90 }]]);

interface Host {
    readonly allowance: allowances.Limiter;
    readonly perSecond: (nowMs: number) => number;
    due: number;
}

/** Plays hosts that ask at the given rates and tell each other their demand; returns the admitted moments. */
function play(
    rates: readonly ((nowMs: number) => number)[],
    lengthMs: number,
    unheard: (host: number, nowMs: number) => boolean = () => false,
): { readonly admitted: readonly number[]; readonly refused: number } {
    const hosts: Host[] = rates.map(perSecond => ({ allowance: allowances.createLimiter(), perSecond, due: 0 }));
    const admitted: number[] = [];
    let refused = 0;
    hosts.forEach(host => host.allowance.setLimits(limits));
    for (let nowMs = 0; nowMs < lengthMs; nowMs += 5) {
        if (nowMs % 250 === 0) {
            const told = hosts.map((host, id) => ({
                id: String(id),
                usage: host.allowance.usage(nowMs),
                hostCount: 1,
                ageMs: 250,
            }));
            hosts.forEach((host, self) => {
                const others = told.filter((_, other) =>
                    other !== self && !unheard(other, nowMs) && !unheard(self, nowMs)
                );
                host.allowance.applyReports(
                    { reports: others, suspectedHosts: hosts.length - 1 - others.length },
                    nowMs,
                );
            });
        }
        for (const host of hosts) {
            host.due += host.perSecond(nowMs) * 5 / 1_000;
            for (; host.due >= 1; host.due -= 1) {
                if (host.allowance.admit("cluj", nowMs).admitted) {
                    admitted.push(nowMs);
                }
                else {
                    refused += 1;
                }
            }
        }
    }
    return { admitted, refused };
}

/** Most operations in any window of the users' length. */
function busiest(admitted: readonly number[], windowMs = 5_000): number {
    return Math.max(
        0,
        ...admitted.map(startMs => admitted.filter(at => at >= startMs && at < startMs + windowMs).length),
    );
}

/** The users' bound: (rate x window + burst) x 1.1 + 20. */
const bound = (90 * 5 + 90) * 1.1 + 20;

describe("allowance", () => {
    it("refuses nothing below the limit, however uneven the hosts' load", () => {
        const { refused, admitted } = play([() => 50, () => 10, () => 5, () => 0, () => 0, () => 5], 20_000);
        chai.expect(refused).to.be.at.most((refused + admitted.length) * 0.01);
    });

    it("keeps an organisation that asks seven times its rate to the bound in every window", () => {
        const { admitted } = play([0, 1, 2, 3, 4, 5].map(() => () => 105), 20_000);
        chai.expect(busiest(admitted)).to.be.at.most(bound);
        chai.expect(admitted.length).to.be.at.least(90 * 20 * 0.9);
    });

    it("keeps an organisation that suddenly asks seven and a half times its usual to the bound", () => {
        const rates = [0, 1, 2, 3, 4, 5].map(() => (nowMs: number) => (nowMs > 10_000 ? 70 : 9.4));
        const { admitted } = play(rates, 20_000);
        chai.expect(busiest(admitted)).to.be.at.most(bound);
    });

    it("keeps to the bound while the load moves from host to host", () => {
        const moving = [0, 1, 2, 3, 4, 5].map(
            host => (nowMs: number) => (Math.floor(nowMs / 700) % 6 === host ? 400 : 0),
        );
        chai.expect(busiest(play(moving, 20_000).admitted)).to.be.at.most(bound);
    });

    it("keeps to the bound while hosts are cut off from the others", () => {
        const rates = [0, 1, 2, 3, 4, 5].map(() => () => 60);
        const cut = (host: number, nowMs: number): boolean => host < 2 && nowMs > 5_000 && nowMs < 15_000;
        chai.expect(busiest(play(rates, 20_000, cut).admitted)).to.be.at.most(bound);
    });

    it("keeps to the bound when all hosts start again at once under load", () => {
        const rates = [0, 1, 2, 3, 4, 5].map(() => () => 105);
        const before = play(rates, 5_000).admitted;
        const after = play(rates, 5_000).admitted.map(at => at + 6_000);
        chai.expect(busiest([...before, ...after])).to.be.at.most(bound);
    });

    /** Plays six hosts that start together and hear of each other one by one; returns what they admit. */
    function playStart(perSecond: number, lengthMs: number): number {
        const hosts = [0, 1, 2, 3, 4, 5].map(() => allowances.createLimiter());
        hosts.forEach(host => host.setLimits(limits));
        // Each pair hears of each other at its own moment within the first 800 ms, and then each 500 ms.
        const firstMs = (one: number, other: number): number => 100 + ((one * 7 + other * 3) % 11) * 60;
        const told = hosts.map(() =>
            new Map<number, { readonly atMs: number; readonly account: allowances.UsageByOrganisation }>()
        );
        const due = hosts.map((_, self) => self / hosts.length);
        let admitted = 0;
        for (let nowMs = 5; nowMs <= lengthMs; nowMs += 5) {
            told.forEach((known, one) =>
                hosts.forEach((host, other) => {
                    const sinceMs = nowMs - firstMs(one, other);
                    if (one !== other && sinceMs >= 0 && sinceMs % 500 < 5) {
                        known.set(other, { atMs: nowMs, account: host.usage(nowMs) });
                    }
                })
            );
            hosts.forEach((host, self) => {
                const known = [...told[self] ?? []];
                if (nowMs % 250 === 0) {
                    const others = known.map(([id, entry]) => ({
                        id: String(id),
                        usage: entry.account,
                        hostCount: 1,
                        ageMs: nowMs - entry.atMs,
                    }));
                    host.applyReports({ reports: others, suspectedHosts: hosts.length - 1 - others.length }, nowMs);
                }
                due[self] = (due[self] ?? 0) + perSecond / hosts.length * 5 / 1_000;
                for (; (due[self] ?? 0) >= 1; due[self] = (due[self] ?? 0) - 1) {
                    admitted += host.admit("cluj", nowMs).admitted ? 1 : 0;
                }
            });
        }
        return admitted;
    }

    it("grants what is left to callers that come back while hosts that start together hear of each other", () => {
        const due = 90 * 2 + 90;
        chai.expect(playStart(150, 2_000)).to.be.at.least(due * 0.88).and.at.most(due * 1.1 + 20);
    });

    it("grants most of the limit, and keeps to the bound, when all callers come back at once to such hosts", () => {
        const due = 90 * 5 + 90;
        chai.expect(playStart(450, 5_000)).to.be.at.least(due * 0.8).and.at.most(bound);
    });

    it("does not multiply a debt when more hosts are heard", () => {
        const allowance = allowances.createLimiter();
        allowance.setLimits(limits);
        const other = (id: number, admitted: number) => ({
            id: String(id),
            usage: { cluj: { demandPerSecond: 20, admittedCount: admitted, remaining: 30 } },
            hostCount: 1,
            ageMs: 0,
        });
        allowance.applyReports({ reports: [], suspectedHosts: 5 }, 0);
        allowance.admit("cluj", 0);
        allowance.applyReports({ reports: [other(1, 0)], suspectedHosts: 4 }, 100);
        allowance.applyReports({ reports: [other(1, 60)], suspectedHosts: 4 }, 600);
        const all = [1, 2, 3, 4, 5].map(id => other(id, id === 1 ? 60 : 0));
        allowance.applyReports({ reports: all, suspectedHosts: 0 }, 700);
        allowance.applyReports({ reports: all, suspectedHosts: 0 }, 1_150);
        chai.expect(allowance.admit("cluj", 1_150).state.left).to.be.at.least(0);
    });

    it("takes no more than a small part before it knows of the other hosts", () => {
        const allowance = allowances.createLimiter();
        allowance.setLimits(limits);
        const admitted = Array.from({ length: 200 }, () => allowance.admit("cluj", 0)).filter(entry => entry.admitted);
        chai.expect(admitted.length).to.be.at.most(90 / 6);
    });

    it("says when to come back", () => {
        const allowance = allowances.createLimiter();
        allowance.setLimits(new Map([["cluj", { ratePerSecond: 10, burst: 1 }]]));
        allowance.admit("cluj", 0);
        const next = allowance.admit("cluj", 0);
        chai.expect(next.admitted).to.equal(false);
        chai.expect(next.retryAfterMs).to.be.above(0).and.at.most(1_000);
        chai.expect(allowance.admit("unknown", 0).admitted).to.equal(false);
    });
});
