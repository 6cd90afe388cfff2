/**
 * Compares fixed shares of a rate with loans of tokens between hosts: refusals of statements within the rate, and
 * statements admitted beyond it. Simulates the quota module on a virtual clock.
 */
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as quotas from "../src/core/quota.js";
import * as reports from "./report.js";

const hosts = 9;
const durationSeconds = 60;
const stepMs = 1;
const organisation = "club";
const limit = { ratePerSecond: 500, burst: 500 };

/** Totals of one simulation; `worstExcess` is in statements. */
interface Outcome {
    readonly sent: number;
    readonly refused: number;
    readonly worstExcess: number;
    readonly loans: number;
}

/** Host that receives a statement, from a number between 0 and 999; the first hosts receive most. */
function chooseHost(value: number): number {
    return Math.floor(hosts * (value / 1_000) ** 3);
}

/** Sends statements at a share of the rate to the hosts. */
function simulate(slotsPerOrganisation: number, loanMs: number, shareOfRate: number, seed: number): Outcome {
    const quotaByHost = Array.from({ length: hosts }, (_, slot) => {
        const quota = quotas.createQuota({
            slots: hosts,
            slotsPerOrganisation,
            loanMs,
            entitlementsValid: () => true,
        });
        quota.setLimits(new Map([[organisation, limit]]));
        quota.setEntitlements([{ slot, fromMs: 0 }]);
        quota.balance(organisation, 0);
        return quota;
    });
    const rng = generators.xoroshiro128plus(seed);
    const warmUpMs = 3_000;
    const spentAtMs: number[] = [];
    let sent = 0;
    let refused = 0;
    let loans = 0;
    let dueStatements = 0;
    for (let nowMs = warmUpMs; nowMs < warmUpMs + durationSeconds * 1_000; nowMs += stepMs) {
        dueStatements += limit.ratePerSecond * shareOfRate * stepMs / 1_000;
        for (; dueStatements >= 1; dueStatements -= 1) {
            const quota = quotaByHost[chooseHost(random.uniformInt(rng, 0, 999))];
            sent += 1;
            if (loanMs > 0 && quota !== undefined) {
                for (const lender of quotaByHost) {
                    const shortage = quota.shortage(organisation, 1, nowMs);
                    if (shortage > 0 && lender !== quota) {
                        loans += 1;
                        quota.borrow(organisation, lender.lend(organisation, shortage, nowMs), nowMs);
                    }
                }
            }
            if (quota?.spend(organisation, 1, nowMs) === true) {
                spentAtMs.push(nowMs);
            }
            else {
                refused += 1;
            }
        }
    }
    return { sent, refused, loans, worstExcess: findWorstExcess(spentAtMs) };
}

/**
 * Largest number of statements by which any interval exceeds rate and burst. Only intervals that start and end with a
 * 50th statement are checked.
 */
function findWorstExcess(spentAtMs: readonly number[]): number {
    let worst = -Infinity;
    for (let first = 0; first < spentAtMs.length; first += 50) {
        const startMs = spentAtMs[first] ?? 0;
        for (let last = first; last < spentAtMs.length; last += 50) {
            const allowed = limit.burst + limit.ratePerSecond * ((spentAtMs[last] ?? 0) - startMs) / 1_000;
            worst = Math.max(worst, last - first + 1 - allowed);
        }
    }
    return worst;
}

/** Runs the bench. */
export async function run(): Promise<reports.Report> {
    const strategies = [
        { way: "fixed shares without loans", slotsPerOrganisation: hosts, loanMs: 0 },
        { way: "loans of 500 ms, 3 slots per organisation", slotsPerOrganisation: 3, loanMs: 500 },
        { way: "loans of 150 ms, 3 slots per organisation", slotsPerOrganisation: 3, loanMs: 150 },
        { way: "loans of 150 ms, 9 slots per organisation", slotsPerOrganisation: hosts, loanMs: 150 },
        { way: "loans of 150 ms, 1 slot per organisation", slotsPerOrganisation: 1, loanMs: 150 },
    ];
    const rows = strategies.flatMap(({ way, slotsPerOrganisation, loanMs }) =>
        [0.5, 0.9, 1, 5].map(shareOfRate => {
            const { sent, refused, loans, worstExcess } = simulate(slotsPerOrganisation, loanMs, shareOfRate, 17);
            return {
                way,
                shareOfRate,
                sent,
                refused,
                loansPerStatement: reports.round(loans / sent),
                worstExcess: reports.round(worstExcess),
            };
        })
    );
    // The targets apply to this strategy only.
    const targetRows = rows.filter(row => row.way === "loans of 150 ms, 3 slots per organisation");
    return {
        bench: "quota",
        rows,
        targets: [
            reports.atMost(
                "refusals within the rate",
                targetRows.filter(row => row.shareOfRate <= 0.9).reduce((sum, row) => sum + row.refused, 0),
                0,
            ),
            reports.atMost(
                "statements beyond rate and burst",
                Math.max(0, ...targetRows.map(row => row.worstExcess)),
                0,
            ),
        ],
    };
}
