/** Relative weights of organisations in queues: their configured rates, so that a large one may use more than a small one. */
import type * as policies from "./policy.js";

/** Returns a function for the weight of an organisation under the policy in force; always above 0. */
export function createWeights(policy: () => policies.Policy): (organisation: string) => number {
    let known: ReadonlyMap<string, policies.Organisation> | undefined;
    let meanRate = 1;
    return name => {
        const { organisations } = policy();
        if (organisations !== known) {
            known = organisations;
            const rates = [...organisations.values()].map(entry => entry.ratePerSecond).filter(rate => rate > 0);
            meanRate = rates.length === 0 ? 1 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
        }
        // Callers without a key count as an organisation of average size.
        const rate = organisations.get(name)?.ratePerSecond ?? meanRate;
        return rate > 0 ? rate : meanRate;
    };
}
