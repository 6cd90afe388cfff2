/** A retry budget: retries stay a bounded share of requests, so that an outage never multiplies the load. */

/** Counts requests and the retries they allow. */
export interface RetryBudget {
    /** Records a request. */
    recordRequest(): void;
    /** True when one more retry is within the budget. */
    tryRetry(): boolean;
}

/** Creates a budget. `createBudget({ share: 0.1, reserve: 20 })` */
export function createRetryBudget(
    options: { readonly retriesPerRequest: number; readonly maxBalance: number },
): RetryBudget {
    let balance = options.maxBalance;
    return {
        recordRequest() {
            balance = Math.min(options.maxBalance, balance + options.retriesPerRequest);
        },
        tryRetry() {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
}
