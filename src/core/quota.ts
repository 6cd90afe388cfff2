/**
 * Rate and burst of each organisation across the fleet.
 *
 * The rate is divided among a fixed number of slots; the host that holds a slot accrues that
 * slot's share and lends tokens to other hosts. A loan is debited before it is sent, expires, and keeps
 * its place in the lender's capacity until then, so that the tokens in existence never exceed the burst,
 * whatever messages are lost and whatever the hosts believe about each other.
 *
 * Times are monotonic milliseconds; tokens are statements, fractions allowed.
 */
import * as rendezvous from "./rendezvous.js";

/** Limits of one organisation across the fleet. */
export interface Limit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Sizes that every host must agree on, and the life of a loan. */
export interface Options {
    readonly slots: number;
    /** Number of slots that accrue tokens for one organisation. */
    readonly banks: number;
    readonly loanMs: number;
    /** True while this host may rely on the entitlements that it knows. */
    entitled(): boolean;
}

/** The right to accrue for one slot, from a moment on. */
export interface Entitlement {
    readonly slot: number;
    readonly fromMs: number;
}

/** Tokens held outside a bucket until an expiry. */
interface Loan {
    readonly tokens: number;
    readonly untilMs: number;
}

/** Token state of one host. */
export interface Quota {
    /** Replaces the limits. */
    limit(limits: ReadonlyMap<string, Limit>): void;
    /** Sets the slots that this host accrues for; slots left out are given up with their tokens. */
    hold(entitlements: readonly Entitlement[]): void;
    /** Slots that accrue for the organisation. */
    banks(organisation: string): readonly number[];
    /** Takes the tokens when this host has them all. */
    spend(organisation: string, tokens: number, nowMs: number): boolean;
    /** Tokens missing to spend the given number. */
    shortage(organisation: string, tokens: number, nowMs: number): number;
    /** Lends up to the wanted number from this host's buckets. */
    lend(organisation: string, wanted: number, nowMs: number): number;
    /** Adds tokens lent by another host; `requestedMs` is when the loan was asked for. */
    borrow(organisation: string, tokens: number, requestedMs: number): void;
    /** Time until the fleet accrues the wanted number, in milliseconds. */
    waitMs(organisation: string, tokens: number): number;
    /** Tokens in this host's buckets and in loans it holds. */
    held(organisation: string, nowMs: number): number;
}

/** Tokens of one organisation accrued for one slot. */
interface Bucket {
    level: number;
    updatedMs: number;
    lent: readonly Loan[];
}

const millisecondsPerSecond = 1000;

/** Creates the token state of one host. `createQuota({ slots: 9, banks: 3, loanMs: 500 })` */
export function createQuota(options: Options): Quota {
    const buckets = new Map<string, Bucket>();
    const borrowed = new Map<string, readonly Loan[]>();
    const bankCount = Math.min(options.banks, options.slots);
    const bankCache = new Map<string, readonly number[]>();
    let limits: ReadonlyMap<string, Limit> = new Map();
    let entitlements: readonly Entitlement[] = [];

    function banks(organisation: string): readonly number[] {
        const known = bankCache.get(organisation);
        if (known !== undefined) {
            return known;
        }
        const members = Array.from({ length: options.slots }, (_, slot) => String(slot));
        const chosen = rendezvous.order(`quota/${organisation}`, members).slice(0, bankCount).map(Number);
        bankCache.set(organisation, chosen);
        return chosen;
    }

    /** The bucket of a slot, brought up to date; it starts empty. */
    function fill(organisation: string, limit: Limit, right: Entitlement, nowMs: number): Bucket {
        const name = `${right.slot}/${organisation}`;
        const bucket = buckets.get(name) ?? { level: 0, updatedMs: nowMs, lent: [] };
        buckets.set(name, bucket);
        bucket.lent = live(bucket.lent, nowMs);
        const sinceMs = Math.max(bucket.updatedMs, right.fromMs);
        const gained = Math.max(0, nowMs - sinceMs) * limit.ratePerSecond / bankCount / millisecondsPerSecond;
        const room = limit.burst / bankCount - sum(bucket.lent);
        bucket.level = Math.max(0, Math.min(room, bucket.level + gained));
        bucket.updatedMs = nowMs;
        return bucket;
    }

    /** Buckets that this host may use for the organisation now. */
    function open(organisation: string, nowMs: number): readonly Bucket[] {
        const limit = limits.get(organisation);
        if (limit === undefined || !options.entitled()) {
            return [];
        }
        return entitlements
            .filter(right => banks(organisation).includes(right.slot))
            .map(right => fill(organisation, limit, right, nowMs));
    }

    function loans(organisation: string, nowMs: number): readonly Loan[] {
        return live(borrowed.get(organisation) ?? [], nowMs);
    }

    function held(organisation: string, nowMs: number): number {
        const accrued = open(organisation, nowMs).reduce((total, bucket) => total + bucket.level, 0);
        return accrued + sum(loans(organisation, nowMs));
    }

    return {
        banks,
        held,
        shortage: (organisation, tokens, nowMs) => Math.max(0, tokens - held(organisation, nowMs)),
        limit(next) {
            limits = next;
        },
        hold(next) {
            const kept = new Set(next.map(right => right.slot));
            for (const name of buckets.keys()) {
                if (!kept.has(Number.parseInt(name, 10))) {
                    buckets.delete(name);
                }
            }
            entitlements = next;
        },
        spend(organisation, tokens, nowMs) {
            if (held(organisation, nowMs) < tokens) {
                return false;
            }
            const before = loans(organisation, nowMs);
            const after = take(before, tokens);
            let rest = tokens - (sum(before) - sum(after));
            borrowed.set(organisation, after);
            for (const bucket of open(organisation, nowMs)) {
                const used = Math.min(rest, bucket.level);
                bucket.level -= used;
                rest -= used;
            }
            return true;
        },
        lend(organisation, wanted, nowMs) {
            let given = 0;
            for (const bucket of open(organisation, nowMs)) {
                const tokens = Math.min(wanted - given, bucket.level);
                if (tokens > 0) {
                    bucket.level -= tokens;
                    bucket.lent = [...bucket.lent, { tokens, untilMs: nowMs + options.loanMs }];
                    given += tokens;
                }
            }
            return given;
        },
        borrow(organisation, tokens, requestedMs) {
            const loan = { tokens, untilMs: requestedMs + options.loanMs };
            borrowed.set(organisation, [...borrowed.get(organisation) ?? [], loan]);
        },
        waitMs(organisation, tokens) {
            const rate = limits.get(organisation)?.ratePerSecond ?? 1;
            return Math.max(1, tokens * millisecondsPerSecond / rate);
        },
    };
}

function live(loans: readonly Loan[], nowMs: number): readonly Loan[] {
    return loans.every(loan => loan.untilMs > nowMs) ? loans : loans.filter(loan => loan.untilMs > nowMs);
}

function sum(loans: readonly Loan[]): number {
    return loans.reduce((total, loan) => total + loan.tokens, 0);
}

/** Removes up to the given tokens from the loans, those that expire first going first. */
function take(loans: readonly Loan[], tokens: number): readonly Loan[] {
    let rest = tokens;
    const left: Loan[] = [];
    for (const loan of loans) {
        const used = Math.min(rest, loan.tokens);
        rest -= used;
        if (loan.tokens > used) {
            left.push({ tokens: loan.tokens - used, untilMs: loan.untilMs });
        }
    }
    return left;
}
