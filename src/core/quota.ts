/**
 * Token buckets that enforce the rate and burst of each organisation over all hosts.
 *
 * The rate is divided among a fixed number of slots. The host that holds a slot accrues the slot's share of the tokens
 * and lends tokens to other hosts. A loan is debited before it is sent, and it expires. Until then it counts against
 * the capacity of the lender's bucket, so the tokens in existence never exceed the burst, even if messages are lost or
 * hosts disagree about who is alive.
 *
 * Times are monotonic milliseconds. One token admits one statement; fractions are allowed. Internally tokens are
 * counted in whole microtokens, so that fractions lent by several hosts add up to exactly one token.
 */
import * as rendezvous from "./rendezvous.js";

/** Limits of one organisation over all hosts. */
export interface Limit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Settings of the quota; every host must use the same numbers of slots and the same loan period. */
export interface Options {
    /** Number of slots among which the hosts divide the rates. */
    readonly slots: number;
    /** Number of slots that accrue tokens for one organisation. */
    readonly slotsPerOrganisation: number;
    /**
     * Time after which a loan expires, in milliseconds. The borrower counts from its request and the lender from the
     * later debit, so the tokens never expire at the lender first.
     */
    readonly loanMs: number;
    /** True while this host may rely on the entitlements that it knows. */
    entitlementsValid(): boolean;
}

/** Entitles a host to accrue the tokens of one slot from a point in time on. */
export interface Entitlement {
    readonly slot: number;
    readonly fromMs: number;
}

/** Tokens that one host lent to another, until they expire. */
interface Loan {
    readonly microtokens: number;
    readonly untilMs: number;
}

/** Token buckets and borrowed tokens of one host. */
export interface Quota {
    /** Replaces the limits. */
    setLimits(limits: ReadonlyMap<string, Limit>): void;
    /** Replaces the slots that this host accrues for; the tokens of other slots are discarded. */
    setEntitlements(entitlements: readonly Entitlement[]): void;
    /** Numbers of the slots that accrue tokens for the organisation, whichever hosts hold them. */
    slotsOf(organisation: string): readonly number[];
    /** Spends the tokens and returns true, or returns false if this host has too few. */
    spend(organisation: string, tokens: number, nowMs: number): boolean;
    /** Tokens that this host lacks to spend the given number; 0 when it has enough. */
    shortage(organisation: string, tokens: number, nowMs: number): number;
    /** Lends up to the wanted number of tokens from this host's buckets; returns how many. */
    lend(organisation: string, wanted: number, nowMs: number): number;
    /** Adds tokens lent by another host; `requestedMs` is when the loan was requested. */
    borrow(organisation: string, tokens: number, requestedMs: number): void;
    /** Time in which all hosts together accrue the tokens, in milliseconds; at least 1. */
    accrualTimeMs(organisation: string, tokens: number): number;
    /** Tokens in this host's buckets, plus those borrowed and not expired. */
    balance(organisation: string, nowMs: number): number;
}

/** Tokens of one organisation accrued for one slot. */
interface Bucket {
    microtokens: number;
    updatedMs: number;
    lent: readonly Loan[];
}

const millisecondsPerSecond = 1000;
const microtokensPerToken = 1_000_000;

const toMicrotokens = (tokens: number): number => Math.round(tokens * microtokensPerToken);
const toTokens = (microtokens: number): number => microtokens / microtokensPerToken;

/**
 * Creates the quota of one host, without limits and entitlements.
 * `createQuota({ slots: 9, slotsPerOrganisation: 3, loanMs: 500, entitlementsValid: () => true })`
 */
export function createQuota(options: Options): Quota {
    const buckets = new Map<string, Bucket>();
    const borrowed = new Map<string, readonly Loan[]>();
    const slotsPerOrganisation = Math.min(options.slotsPerOrganisation, options.slots);
    const slotCache = new Map<string, readonly number[]>();
    let limits: ReadonlyMap<string, Limit> = new Map();
    let entitlements: readonly Entitlement[] = [];

    function slotsOf(organisation: string): readonly number[] {
        const cached = slotCache.get(organisation);
        if (cached !== undefined) {
            return cached;
        }
        const slots = Array.from({ length: options.slots }, (_, slot) => String(slot));
        const chosen = rendezvous.rank(`quota/${organisation}`, slots).slice(0, slotsPerOrganisation).map(Number);
        slotCache.set(organisation, chosen);
        return chosen;
    }

    /** Returns the slot's bucket with the tokens accrued up to now; a new bucket is empty. */
    function refill(organisation: string, limit: Limit, entitlement: Entitlement, nowMs: number): Bucket {
        const name = `${entitlement.slot}/${organisation}`;
        const bucket = buckets.get(name) ?? { microtokens: 0, updatedMs: nowMs, lent: [] };
        buckets.set(name, bucket);
        bucket.lent = unexpired(bucket.lent, nowMs);
        const microtokensPerMs = limit.ratePerSecond * microtokensPerToken / slotsPerOrganisation
            / millisecondsPerSecond;
        const sinceMs = Math.max(bucket.updatedMs, entitlement.fromMs);
        const gained = Math.floor(Math.max(0, nowMs - sinceMs) * microtokensPerMs);
        const capacity = Math.floor(limit.burst * microtokensPerToken / slotsPerOrganisation) - totalOf(bucket.lent);
        bucket.microtokens = Math.max(0, Math.min(capacity, bucket.microtokens + gained));
        // Advances only by the time that the whole microtokens took to accrue, so that fractions of one are not lost.
        bucket.updatedMs = gained > 0 ? Math.min(nowMs, sinceMs + gained / microtokensPerMs) : Math.min(nowMs, sinceMs);
        return bucket;
    }

    /** Buckets from which this host may currently spend and lend. */
    function usableBuckets(organisation: string, nowMs: number): readonly Bucket[] {
        const limit = limits.get(organisation);
        if (limit === undefined || !options.entitlementsValid()) {
            return [];
        }
        return entitlements
            .filter(entitlement => slotsOf(organisation).includes(entitlement.slot))
            .map(entitlement => refill(organisation, limit, entitlement, nowMs));
    }

    function unexpiredLoans(organisation: string, nowMs: number): readonly Loan[] {
        return unexpired(borrowed.get(organisation) ?? [], nowMs);
    }

    /** The balance in microtokens. */
    function balanceOf(organisation: string, nowMs: number): number {
        const accrued = usableBuckets(organisation, nowMs).reduce((total, bucket) => total + bucket.microtokens, 0);
        return accrued + totalOf(unexpiredLoans(organisation, nowMs));
    }

    return {
        slotsOf,
        balance: (organisation, nowMs) => toTokens(balanceOf(organisation, nowMs)),
        shortage: (organisation, tokens, nowMs) =>
            toTokens(Math.max(0, toMicrotokens(tokens) - balanceOf(organisation, nowMs))),
        setLimits(next) {
            limits = next;
        },
        setEntitlements(next) {
            const held = new Set(next.map(entitlement => entitlement.slot));
            for (const name of buckets.keys()) {
                // The name of a bucket starts with the number of its slot.
                if (!held.has(Number.parseInt(name, 10))) {
                    buckets.delete(name);
                }
            }
            entitlements = next;
        },
        spend(organisation, tokens, nowMs) {
            const wanted = toMicrotokens(tokens);
            if (balanceOf(organisation, nowMs) < wanted) {
                return false;
            }
            const before = unexpiredLoans(organisation, nowMs);
            const after = debit(before, wanted);
            let outstanding = wanted - (totalOf(before) - totalOf(after));
            borrowed.set(organisation, after);
            for (const bucket of usableBuckets(organisation, nowMs)) {
                const used = Math.min(outstanding, bucket.microtokens);
                bucket.microtokens -= used;
                outstanding -= used;
            }
            return true;
        },
        lend(organisation, wanted, nowMs) {
            let outstanding = toMicrotokens(wanted);
            for (const bucket of usableBuckets(organisation, nowMs)) {
                const microtokens = Math.min(outstanding, bucket.microtokens);
                if (microtokens > 0) {
                    bucket.microtokens -= microtokens;
                    bucket.lent = [...bucket.lent, { microtokens, untilMs: nowMs + options.loanMs }];
                    outstanding -= microtokens;
                }
            }
            return toTokens(toMicrotokens(wanted) - outstanding);
        },
        borrow(organisation, tokens, requestedMs) {
            const loan = { microtokens: toMicrotokens(tokens), untilMs: requestedMs + options.loanMs };
            borrowed.set(organisation, [...borrowed.get(organisation) ?? [], loan]);
        },
        accrualTimeMs(organisation, tokens) {
            const rate = limits.get(organisation)?.ratePerSecond ?? 1;
            return Math.max(1, tokens * millisecondsPerSecond / rate);
        },
    };
}

function unexpired(loans: readonly Loan[], nowMs: number): readonly Loan[] {
    return loans.every(loan => loan.untilMs > nowMs) ? loans : loans.filter(loan => loan.untilMs > nowMs);
}

function totalOf(loans: readonly Loan[]): number {
    return loans.reduce((total, loan) => total + loan.microtokens, 0);
}

/** Deducts up to the given number of microtokens from the loans, in the order in which they were received. */
function debit(loans: readonly Loan[], microtokens: number): readonly Loan[] {
    let outstanding = microtokens;
    const remaining: Loan[] = [];
    for (const loan of loans) {
        const used = Math.min(outstanding, loan.microtokens);
        outstanding -= used;
        if (loan.microtokens > used) {
            remaining.push({ microtokens: loan.microtokens - used, untilMs: loan.untilMs });
        }
    }
    return remaining;
}
