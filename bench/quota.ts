/** Fixed shares against loans between hosts, on the decision module and a virtual clock: refusals within the rate. */
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as quotas from "../src/core/quota.js";
import * as reports from "./report.js";

const hosts = 9;
const seconds = 60;
const stepMs = 1;
const organisation = "club";
const limit = { ratePerSecond: 500, burst: 500 };

interface Outcome {
    readonly sent: number;
    readonly refused: number;
    readonly worstExcess: number;
    readonly loans: number;
}

/** Host of an arrival: the first hosts get most. */
function skew(value: number): number {
    return Math.floor(hosts * (value / 1_000) ** 3);
}

function simulate(banks: number, loanMs: number, share: number, seed: number): Outcome {
    const fleet = Array.from({ length: hosts }, (_, slot) => {
        const quota = quotas.createQuota({
            slots: hosts,
            slotsPerOrganisation: banks,
            loanMs,
            entitlementsValid: () => true,
        });
        quota.setLimits(new Map([[organisation, limit]]));
        quota.setEntitlements([{ slot, fromMs: 0 }]);
        quota.balance(organisation, 0);
        return quota;
    });
    const rng = generators.xoroshiro128plus(seed);
    const warmMs = 3_000;
    const spent: number[] = [];
    let sent = 0;
    let refused = 0;
    let loans = 0;
    let due = 0;
    for (let nowMs = warmMs; nowMs < warmMs + seconds * 1_000; nowMs += stepMs) {
        due += limit.ratePerSecond * share * stepMs / 1_000;
        for (; due >= 1; due -= 1) {
            const quota = fleet[skew(random.uniformInt(rng, 0, 999))];
            sent += 1;
            if (loanMs > 0 && quota !== undefined) {
                for (const lender of fleet) {
                    const missing = quota.shortage(organisation, 1, nowMs);
                    if (missing > 0 && lender !== quota) {
                        loans += 1;
                        quota.borrow(organisation, lender.lend(organisation, missing, nowMs), nowMs);
                    }
                }
            }
            if (quota?.spend(organisation, 1, nowMs) === true) {
                spent.push(nowMs);
            }
            else {
                refused += 1;
            }
        }
    }
    return { sent, refused, loans, worstExcess: excess(spent) };
}

function excess(spent: readonly number[]): number {
    let worst = -Infinity;
    for (let first = 0; first < spent.length; first += 50) {
        const startMs = spent[first] ?? 0;
        for (let last = first; last < spent.length; last += 50) {
            const allowed = limit.burst + limit.ratePerSecond * ((spent[last] ?? 0) - startMs) / 1_000;
            worst = Math.max(worst, last - first + 1 - allowed);
        }
    }
    return worst;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const ways = [
        { way: "fixed shares", banks: hosts, loanMs: 0 },
        { way: "loans of 500 ms, 3 banks", banks: 3, loanMs: 500 },
        { way: "loans of 150 ms, 3 banks", banks: 3, loanMs: 150 },
        { way: "loans of 150 ms, 9 banks", banks: hosts, loanMs: 150 },
        { way: "loans of 150 ms, 1 bank", banks: 1, loanMs: 150 },
    ];
    const rows = ways.flatMap(({ way, banks, loanMs }) =>
        [0.5, 0.9, 1, 5].map(share => {
            const { sent, refused, loans, worstExcess } = simulate(banks, loanMs, share, 17);
            return {
                way,
                shareOfRate: share,
                sent,
                refused,
                loansPerStatement: reports.round(loans / sent),
                worstExcess: reports.round(worstExcess),
            };
        })
    );
    const chosen = rows.filter(row => row.way === "loans of 150 ms, 3 banks");
    return {
        bench: "quota",
        rows,
        targets: [
            reports.atMost(
                "refused within the rate",
                chosen.filter(row => row.shareOfRate <= 0.9).reduce((sum, row) => sum + row.refused, 0),
                0,
            ),
            reports.atMost("excess over rate and burst", Math.max(0, ...chosen.map(row => row.worstExcess)), 0),
        ],
    };
}
