/** A retry budget: retries stay a bounded share of requests, so that an outage never multiplies the load. */

/** Counts requests and the retries they allow. */
export interface Budget {
    /** Records a request. */
    request(): void;
    /** True when one more retry is within the budget. */
    retry(): boolean;
}

/** Creates a budget. `createBudget({ share: 0.1, reserve: 20 })` */
export function createBudget(options: { readonly share: number; readonly reserve: number }): Budget {
    let balance = options.reserve;
    return {
        request() {
            balance = Math.min(options.reserve, balance + options.share);
        },
        retry() {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
}
