/** Admission by rate and burst: this host's quota slots, and loans from and to other hosts. */
import * as neverthrow from "neverthrow";
import type * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import type * as freshness from "../core/freshness.js";
import type * as memberships from "../core/membership.js";
import * as quotas from "../core/quota.js";
import * as slots from "../core/quotaslots.js";
import * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";
import type * as registers from "./register.js";

/** Settings of admission. */
export interface Options {
    readonly self: memberships.Member;
    readonly slots: number;
    readonly banks: number;
    readonly loanMs: number;
    readonly freshMs: number;
    readonly storeRegion: string;
    readonly register: registers.Register;
    /** Whether the slot table held may be relied on. */
    judge(): freshness.Decision;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    fleet(): fleets.Fleet;
}

/** Admission of one host. */
export interface Tokens {
    /** Takes one token, here or on loan. */
    admit(organisation: string): Promise<neverthrow.Result<void, failure.Failure>>;
    lend(organisation: string, wanted: number): { readonly tokens: number; readonly left: number };
    limit(document: configuration.Document): void;
    held(organisation: string): number;
    slots(): readonly number[];
    /** Takes a newer slot table. */
    assign(value: string | undefined): void;
    start(): void;
    /** Stops to use the slots and hands them over, so that successors need not wait. */
    release(): Promise<void>;
    close(): void;
}

/** A slot held by one grant of the table. */
interface Right extends quotas.Entitlement {
    readonly grant: number;
}

interface Demand {
    waiting: number;
    count: number;
    sinceMs: number;
    perMs: number;
}

const lendTimeoutMs = 150;
const reviewMs = 500;
/** Looks in a row that must agree before slots move. */
const steadyLooks = 3;
/** Looks after which even a minority may move slots: the others are then gone rather than cut off. */
const lonelyLooks = 120;
/** Added to the time that a former holder may go on, for clocks that drift. */
const marginMs = 500;
/** Loans awaited for one statement; each was found sufficient, and others were quicker to spend it. */
const maxRounds = 20;
/** How long a host takes an organisation's banks for empty after all said so, in milliseconds. */
const emptyMs = 50;
const prefetchMs = 20;
const demandWindowMs = 100;

/** Key of the slot table in the store. */
export const slotsKey = "quota/slots";

/** Creates admission without a slot. */
export function createTokens(options: Options): Tokens {
    const { clock, log, self } = options;
    const quota = quotas.createQuota({
        slots: options.slots,
        slotsPerOrganisation: options.banks,
        loanMs: options.loanMs,
        entitlementsValid: () => options.judge().serve,
    });
    const borrowing = new Map<string, Promise<boolean>>();
    const emptyUntil = new Map<string, number>();
    /** Tokens that lenders last said they hold, by organisation and host. */
    const remaining = new Map<string, number>();
    const demands = new Map<string, Demand>();
    let rights: readonly Right[] = [];
    let parsed = { revision: 0, table: slots.empty };
    let view = "";
    let steady = 0;
    let released = false;
    let stop: (() => void) | undefined;

    function table(): slots.Table {
        const { value, revision } = options.register.value();
        if (revision !== parsed.revision) {
            parsed = { revision, table: slots.parse(value, options.slots) };
        }
        return parsed.table;
    }

    /** A former holder may go on until it learns of the change, and its loans end after that. */
    function assign(value: string | undefined): void {
        if (released) {
            return;
        }
        const holder = describe(self);
        const startMs = clock.now() + options.freshMs + options.loanMs + marginMs;
        const former = rights;
        rights = slots.grantsOf(slots.parse(value, options.slots), holder).map(({ slot, inherited, grant }) => {
            const known = rights.find(right => right.slot === slot && right.grant === grant);
            return known ?? { slot, grant, fromMs: inherited ? startMs : clock.now() };
        });
        quota.setEntitlements(rights.filter(right => former.includes(right)));
        quota.setEntitlements(rights);
        log.info({ slots: rights, reason: "slot table" }, "Quota slots held.");
    }

    /** On one host of the fleet: moves slots from processes that are gone, once the view is steady. */
    async function review(): Promise<void> {
        const fleet = options.fleet();
        const live = fleet.live();
        const seen = live.map(member => `${member.id}/${member.incarnation}`).join(",");
        steady = seen === view ? steady + 1 : 0;
        view = seen;
        const home = fleet.home(slotsKey, options.storeRegion);
        if (released || steady < steadyLooks || home?.id !== self.id || options.judge().reason !== "fresh") {
            return;
        }
        if (slots.hasQuorum(table(), live.map(describe)) || steady >= lonelyLooks) {
            steady = 0;
            await place(undefined);
        }
    }

    function describe(member: memberships.Member): slots.Holder {
        return { host: member.id, incarnation: member.incarnation };
    }

    async function place(stopped: slots.Holder | undefined): Promise<void> {
        const live = options.fleet().live().map(describe);
        const leaving = options.fleet().reachable().filter(member => member.leaving && member.id !== stopped?.host).map(
            describe,
        );
        const next = slots.plan(table(), { live, leaving, stopped }, options.slots);
        if (next !== undefined) {
            const changed = await options.register.swap(JSON.stringify(next));
            log.info({ changed, slots: next.slots, reason: "hosts came or went" }, "Quota slots placed.");
        }
    }

    function note(organisation: string): Demand {
        const nowMs = clock.now();
        const demand = demands.get(organisation) ?? { waiting: 0, count: 0, sinceMs: nowMs, perMs: 0 };
        demands.set(organisation, demand);
        if (nowMs - demand.sinceMs >= demandWindowMs) {
            demand.perMs = demand.count / (nowMs - demand.sinceMs);
            demand.count = 0;
            demand.sinceMs = nowMs;
        }
        demand.count += 1;
        return demand;
    }

    /** Hosts that accrue for the organisation: those that last had tokens left first, then those of this region. */
    function lenders(organisation: string): readonly memberships.Member[] {
        const held = table();
        const holders = new Set(quota.slotsOf(organisation).map(bank => held.slots[bank]?.host));
        const others = options.fleet().direct().filter(member => member.id !== self.id && holders.has(member.id));
        const rank = (member: memberships.Member): number => {
            const filled = (remaining.get(`${organisation}/${member.id}`) ?? 1) >= 1;
            return Number(filled) * 2 + Number(member.region === self.region);
        };
        return [...others].sort((left, right) => rank(right) - rank(left));
    }

    /** Asks the banks in turn; true when all of them together did not have the wanted tokens. */
    async function borrow(organisation: string, wanted: number): Promise<boolean> {
        for (const lender of lenders(organisation)) {
            const missing = quota.shortage(organisation, wanted, clock.now());
            if (missing <= 0) {
                return false;
            }
            const askedMs = clock.now();
            const channel = options.fleet().channel(lender);
            const loan = await channel.call(messages.peer.lend, { organisation, wanted: missing }, lendTimeoutMs);
            if (loan.isOk()) {
                remaining.set(`${organisation}/${lender.id}`, loan.value.left);
            }
            if (loan.isOk() && loan.value.tokens > 0) {
                quota.borrow(organisation, loan.value.tokens, askedMs);
            }
            if (loan.isErr()) {
                options.fleet().avoid(lender.id);
            }
        }
        return quota.shortage(organisation, wanted, clock.now()) > 0;
    }

    /** One loan at a time for each organisation; later arrivals wait for it. */
    function share(organisation: string, wanted: number): Promise<boolean> {
        const running = borrowing.get(organisation)
            ?? borrow(organisation, wanted).finally(() => borrowing.delete(organisation));
        borrowing.set(organisation, running);
        return running;
    }

    /** Spends one token, after loans where needed; false once all banks are found empty. */
    async function obtain(organisation: string, demand: Demand): Promise<boolean> {
        for (let round = 0; round < maxRounds; round += 1) {
            if (quota.spend(organisation, 1, clock.now())) {
                return true;
            }
            if (clock.now() < (emptyUntil.get(organisation) ?? 0)) {
                return false;
            }
            const exhausted = await share(organisation, demand.waiting + demand.perMs * prefetchMs);
            if (exhausted) {
                return spendLast(organisation);
            }
        }
        return false;
    }

    /** Spends one of the tokens that empty banks still gave, or notes that they are empty. */
    function spendLast(organisation: string): boolean {
        const spent = quota.spend(organisation, 1, clock.now());
        if (!spent) {
            emptyUntil.set(organisation, clock.now() + emptyMs);
        }
        return spent;
    }

    function refuse(organisation: string): neverthrow.Result<void, failure.Failure> {
        const waitMs = Math.max(emptyMs, quota.accrualTimeMs(organisation, 1));
        const message = `Organisation ${organisation} is over its rate or burst.`;
        return neverthrow.err(failure.create(failure.Code.rateExceeded, organisation, message, waitMs));
    }

    return {
        async admit(organisation) {
            const demand = note(organisation);
            demand.waiting += 1;
            const admitted = await obtain(organisation, demand);
            demand.waiting -= 1;
            return admitted ? neverthrow.ok(undefined) : refuse(organisation);
        },
        lend(organisation, wanted) {
            const tokens = quota.lend(organisation, wanted, clock.now());
            return { tokens, left: quota.balance(organisation, clock.now()) };
        },
        limit(document) {
            quota.setLimits(new Map(Object.entries(document.organisations)));
        },
        held: organisation => quota.balance(organisation, clock.now()),
        assign,
        slots: () => rights.map(right => right.slot),
        start() {
            stop = clock.every(reviewMs, () => void review());
        },
        async release() {
            const held = rights.length;
            released = true;
            rights = [];
            quota.setEntitlements([]);
            if (held > 0) {
                await clock.sleep(options.loanMs);
                await place(describe(self));
            }
        },
        close() {
            stop?.();
        },
    };
}
