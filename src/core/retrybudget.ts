/** A retry budget limits retries to a fraction of the requests, so that an outage never multiplies the load. */

/** Balance of the retries that are allowed. */
export interface RetryBudget {
    /** Records a request, which adds to the balance. */
    recordRequest(): void;
    /** Deducts one retry and returns true, or returns false if the balance is below 1. */
    tryRetry(): boolean;
}

/**
 * Creates a retry budget that starts with the largest balance.
 * `createRetryBudget({ retriesPerRequest: 0.1, maxBalance: 20 })`
 */
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
