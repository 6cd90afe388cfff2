/** What a limit allows, to judge by it what the hosts of a simulated fleet admitted and refused. */
import type * as bounds from "../src/core/limits.js";

/** A bucket with the plain rate and burst, debited by what the hosts admit or refuse wrongfully. */
export function createAccount({ ratePerSecond, burst }: bounds.Limit) {
    let [level, updatedMs] = [burst, 0];
    function balance(nowMs: number): number {
        level = Math.min(burst, level + ratePerSecond * (nowMs - updatedMs) / 1_000);
        updatedMs = nowMs;
        return level;
    }
    return {
        balance,
        debit(nowMs: number): void {
            level = balance(nowMs) - 1;
        },
    };
}

/** Largest number of times in any window of the length. */
export function worstWindow(timesMs: readonly number[], windowMs: number): number {
    let first = 0;
    let worst = 0;
    timesMs.forEach((atMs, index) => {
        while ((timesMs[first] ?? atMs) <= atMs - windowMs) {
            first += 1;
        }
        worst = Math.max(worst, index - first + 1);
    });
    return worst;
}
