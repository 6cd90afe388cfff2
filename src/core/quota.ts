/**
 * Rate and burst of each organisation across the fleet.
 *
 * The rate is divided among a fixed number of slots; the host that holds a slot accrues that
 * slot's share and lends tokens to other hosts. A loan is debited before it is sent, expires, and keeps
 * its place in the lender's capacity until then, so that the tokens in existence never exceed the burst,
 * whatever messages are lost and whatever the hosts believe about each other.
 *
 * Times are monotonic milliseconds; tokens are statements, fractions allowed. Inside, tokens are whole
 * millionths, so that parts lent by several hosts add up to exactly one.
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
    readonly slotsPerOrganisation: number;
    readonly loanMs: number;
    /** True while this host may rely on the entitlements that it knows. */
    entitlementsValid(): boolean;
}

/** The right to accrue for one slot, from a moment on. */
export interface Entitlement {
    readonly slot: number;
    readonly fromMs: number;
}

/** Parts of tokens held outside a bucket until an expiry. */
interface Loan {
    readonly parts: number;
    readonly untilMs: number;
}

/** Token state of one host. */
export interface Quota {
    /** Replaces the limits. */
    setLimits(limits: ReadonlyMap<string, Limit>): void;
    /** Sets the slots that this host accrues for; slots left out are given up with their tokens. */
    setEntitlements(entitlements: readonly Entitlement[]): void;
    /** Slots that accrue for the organisation. */
    slotsOf(organisation: string): readonly number[];
    /** Takes the tokens when this host has them all. */
    spend(organisation: string, tokens: number, nowMs: number): boolean;
    /** Tokens missing to spend the given number. */
    shortage(organisation: string, tokens: number, nowMs: number): number;
    /** Lends up to the wanted number from this host's buckets. */
    lend(organisation: string, wanted: number, nowMs: number): number;
    /** Adds tokens lent by another host; `requestedMs` is when the loan was asked for. */
    borrow(organisation: string, tokens: number, requestedMs: number): void;
    /** Time until the fleet accrues the wanted number, in milliseconds. */
    accrualTimeMs(organisation: string, tokens: number): number;
    /** Tokens in this host's buckets and in loans it holds. */
    balance(organisation: string, nowMs: number): number;
}

/** Tokens of one organisation accrued for one slot, in parts. */
interface Bucket {
    level: number;
    updatedMs: number;
    lent: readonly Loan[];
}

const millisecondsPerSecond = 1000;
const partsPerToken = 1_000_000;

const toParts = (tokens: number): number => Math.round(tokens * partsPerToken);
const toTokens = (parts: number): number => parts / partsPerToken;

/** Creates the token state of one host. `createQuota({ slots: 9, banks: 3, loanMs: 500 })` */
export function createQuota(options: Options): Quota {
    const buckets = new Map<string, Bucket>();
    const borrowed = new Map<string, readonly Loan[]>();
    const bankCount = Math.min(options.slotsPerOrganisation, options.slots);
    const bankCache = new Map<string, readonly number[]>();
    let limits: ReadonlyMap<string, Limit> = new Map();
    let entitlements: readonly Entitlement[] = [];

    function banks(organisation: string): readonly number[] {
        const known = bankCache.get(organisation);
        if (known !== undefined) {
            return known;
        }
        const members = Array.from({ length: options.slots }, (_, slot) => String(slot));
        const chosen = rendezvous.rank(`quota/${organisation}`, members).slice(0, bankCount).map(Number);
        bankCache.set(organisation, chosen);
        return chosen;
    }

    /** The bucket of a slot, brought up to date; it starts empty. */
    function fill(organisation: string, limit: Limit, right: Entitlement, nowMs: number): Bucket {
        const name = `${right.slot}/${organisation}`;
        const bucket = buckets.get(name) ?? { level: 0, updatedMs: nowMs, lent: [] };
        buckets.set(name, bucket);
        bucket.lent = live(bucket.lent, nowMs);
        const perMs = limit.ratePerSecond * partsPerToken / bankCount / millisecondsPerSecond;
        const sinceMs = Math.max(bucket.updatedMs, right.fromMs);
        const gained = Math.floor(Math.max(0, nowMs - sinceMs) * perMs);
        const room = Math.floor(limit.burst * partsPerToken / bankCount) - sum(bucket.lent);
        bucket.level = Math.max(0, Math.min(room, bucket.level + gained));
        bucket.updatedMs = gained > 0 ? Math.min(nowMs, sinceMs + gained / perMs) : Math.min(nowMs, sinceMs);
        return bucket;
    }

    /** Buckets that this host may use for the organisation now. */
    function open(organisation: string, nowMs: number): readonly Bucket[] {
        const limit = limits.get(organisation);
        if (limit === undefined || !options.entitlementsValid()) {
            return [];
        }
        return entitlements
            .filter(right => banks(organisation).includes(right.slot))
            .map(right => fill(organisation, limit, right, nowMs));
    }

    function loans(organisation: string, nowMs: number): readonly Loan[] {
        return live(borrowed.get(organisation) ?? [], nowMs);
    }

    /** Parts in this host's buckets and in loans it holds. */
    function count(organisation: string, nowMs: number): number {
        const accrued = open(organisation, nowMs).reduce((total, bucket) => total + bucket.level, 0);
        return accrued + sum(loans(organisation, nowMs));
    }

    return {
        slotsOf: banks,
        balance: (organisation, nowMs) => toTokens(count(organisation, nowMs)),
        shortage: (organisation, tokens, nowMs) => toTokens(Math.max(0, toParts(tokens) - count(organisation, nowMs))),
        setLimits(next) {
            limits = next;
        },
        setEntitlements(next) {
            const kept = new Set(next.map(right => right.slot));
            for (const name of buckets.keys()) {
                if (!kept.has(Number.parseInt(name, 10))) {
                    buckets.delete(name);
                }
            }
            entitlements = next;
        },
        spend(organisation, tokens, nowMs) {
            const wanted = toParts(tokens);
            if (count(organisation, nowMs) < wanted) {
                return false;
            }
            const before = loans(organisation, nowMs);
            const after = take(before, wanted);
            let rest = wanted - (sum(before) - sum(after));
            borrowed.set(organisation, after);
            for (const bucket of open(organisation, nowMs)) {
                const used = Math.min(rest, bucket.level);
                bucket.level -= used;
                rest -= used;
            }
            return true;
        },
        lend(organisation, wanted, nowMs) {
            let rest = toParts(wanted);
            for (const bucket of open(organisation, nowMs)) {
                const parts = Math.min(rest, bucket.level);
                if (parts > 0) {
                    bucket.level -= parts;
                    bucket.lent = [...bucket.lent, { parts, untilMs: nowMs + options.loanMs }];
                    rest -= parts;
                }
            }
            return toTokens(toParts(wanted) - rest);
        },
        borrow(organisation, tokens, requestedMs) {
            const loan = { parts: toParts(tokens), untilMs: requestedMs + options.loanMs };
            borrowed.set(organisation, [...borrowed.get(organisation) ?? [], loan]);
        },
        accrualTimeMs(organisation, tokens) {
            const rate = limits.get(organisation)?.ratePerSecond ?? 1;
            return Math.max(1, tokens * millisecondsPerSecond / rate);
        },
    };
}

function live(loans: readonly Loan[], nowMs: number): readonly Loan[] {
    return loans.every(loan => loan.untilMs > nowMs) ? loans : loans.filter(loan => loan.untilMs > nowMs);
}

function sum(loans: readonly Loan[]): number {
    return loans.reduce((total, loan) => total + loan.parts, 0);
}

/** Removes up to the given parts from the loans, those that expire first going first. */
function take(loans: readonly Loan[], parts: number): readonly Loan[] {
    let rest = parts;
    const left: Loan[] = [];
    for (const loan of loans) {
        const used = Math.min(rest, loan.parts);
        rest -= used;
        if (loan.parts > used) {
            left.push({ parts: loan.parts - used, untilMs: loan.untilMs });
        }
    }
    return left;
}
