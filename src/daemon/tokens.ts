/** Admission by rate and burst: this host's quota slots, and loans from and to other hosts. */
import * as neverthrow from "neverthrow";
import type * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import type * as memberships from "../core/membership.js";
import * as quotas from "../core/quota.js";
import * as rendezvous from "../core/rendezvous.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";

/** Settings of admission. */
export interface Options {
    readonly self: memberships.Member;
    readonly slots: number;
    readonly banks: number;
    readonly loanMs: number;
    readonly leaseMs: number;
    readonly platform: network.Channel;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    fleet(): fleets.Fleet;
}

/** Admission of one host. */
export interface Tokens {
    /** Takes one token, here or on loan. */
    admit(organisation: string): Promise<neverthrow.Result<void, failure.Failure>>;
    lend(organisation: string, wanted: number): number;
    limit(document: configuration.Document): void;
    held(organisation: string): number;
    slots(): readonly number[];
    start(): void;
    /** Gives the slots back, so that a successor need not wait for the lease to end. */
    release(): Promise<void>;
}

/** A slot held, and when its lease was last renewed. */
interface Claim extends quotas.Entitlement {
    readonly renewedMs: number;
}

interface Demand {
    count: number;
    sinceMs: number;
    perMs: number;
}

const callTimeoutMs = 2_000;
const lendTimeoutMs = 300;
const reviewMs = 1_000;
const renewalsPerLease = 6;
const rounds = 3;
const prefetchMs = 20;
const demandWindowMs = 100;
const slotKey = (slot: number): string => `quota/slot/${slot}`;

/** Creates admission without a slot. */
export function createTokens(options: Options): Tokens {
    const { clock, log, self } = options;
    const quota = quotas.createQuota({ slots: options.slots, banks: options.banks, loanMs: options.loanMs });
    const borrowing = new Map<string, Promise<void>>();
    const emptyUntil = new Map<string, number>();
    const demands = new Map<string, Demand>();
    let limits: ReadonlyMap<string, quotas.Limit> = new Map();
    let claims: readonly Claim[] = [];
    let released = false;

    function publish(next: readonly Claim[]): void {
        claims = next;
        quota.hold(next);
        options.fleet().describe({ slots: next.map(claim => claim.slot) });
    }

    /** Takes or renews a slot that is free, or held by an earlier process of this host, which has ended. */
    async function take(slot: number): Promise<Claim | undefined> {
        const found = await options.platform.call(messages.platform.read, { key: slotKey(slot) }, callTimeoutMs);
        if (found.isErr() || (found.value.value !== undefined && found.value.value !== self.id)) {
            return undefined;
        }
        const askedMs = clock.now();
        const request = {
            key: slotKey(slot),
            expected: found.value.revision,
            value: self.id,
            leaseMs: options.leaseMs,
        };
        const swap = await options.platform.call(messages.platform.swap, request, callTimeoutMs);
        if (swap.isErr() || !swap.value.swapped) {
            return undefined;
        }
        const known = claims.find(claim => claim.slot === slot);
        const fromMs = known?.fromMs ?? clock.now() + options.loanMs;
        return { slot, fromMs, untilMs: askedMs + options.leaseMs, renewedMs: askedMs };
    }

    async function free(slot: number): Promise<void> {
        const found = await options.platform.call(messages.platform.read, { key: slotKey(slot) }, callTimeoutMs);
        if (found.isOk() && found.value.value === self.id) {
            const request = { key: slotKey(slot), expected: found.value.revision, value: undefined };
            await options.platform.call(messages.platform.swap, request, callTimeoutMs);
        }
    }

    /** Slots this host should hold: an even share among the live hosts. */
    function target(): number {
        const hosts = options.fleet().live().map(member => member.id);
        const rank = Math.max(0, hosts.indexOf(self.id));
        return Math.floor(options.slots / hosts.length) + (rank < options.slots % hosts.length ? 1 : 0);
    }

    async function acquire(): Promise<void> {
        const order = rendezvous.order(self.id, Array.from({ length: options.slots }, (_, slot) => String(slot)));
        for (const slot of order.map(Number)) {
            if (released || claims.length >= target()) {
                return;
            }
            const held = claims.some(claim => claim.slot === slot) ? undefined : await take(slot);
            if (held !== undefined && !released) {
                publish([...claims, held]);
                log.info({ slot, held: claims.length, reason: "below an even share" }, "Quota slot taken.");
            }
        }
    }

    async function renew(): Promise<void> {
        for (const claim of claims) {
            const due = clock.now() - claim.renewedMs >= options.leaseMs / renewalsPerLease;
            const renewed = due && !released ? await take(claim.slot) : undefined;
            if (renewed !== undefined && !released) {
                publish(claims.map(known => (known.slot === claim.slot ? renewed : known)));
            }
        }
    }

    async function yieldOne(): Promise<void> {
        const given = claims[claims.length - 1];
        if (given === undefined || claims.length <= target()) {
            return;
        }
        publish(claims.slice(0, -1));
        log.info({ slot: given.slot, held: claims.length, reason: "above an even share" }, "Quota slot given back.");
        await clock.sleep(options.loanMs);
        await free(given.slot);
    }

    async function keep(): Promise<void> {
        while (!released) {
            await renew();
            if (claims.length < target()) {
                await acquire();
            }
            await yieldOne();
            await clock.sleep(reviewMs);
        }
    }

    function note(organisation: string): Demand {
        const nowMs = clock.now();
        const demand = demands.get(organisation) ?? { count: 0, sinceMs: nowMs, perMs: 0 };
        demands.set(organisation, demand);
        if (nowMs - demand.sinceMs >= demandWindowMs) {
            demand.perMs = demand.count / (nowMs - demand.sinceMs);
            demand.count = 0;
            demand.sinceMs = nowMs;
        }
        demand.count += 1;
        return demand;
    }

    /** Hosts that accrue for the organisation, those of this host's region first. */
    function lenders(organisation: string): readonly memberships.Member[] {
        const banks = quota.banks(organisation);
        const others = options.fleet().known().filter(member =>
            member.id !== self.id && member.slots.some(slot => banks.includes(slot))
        );
        return [...others].sort((left, right) =>
            Number(right.region === self.region) - Number(left.region === self.region)
        );
    }

    async function borrow(organisation: string, wanted: number): Promise<void> {
        for (const lender of lenders(organisation)) {
            const missing = quota.shortage(organisation, wanted, clock.now());
            if (missing <= 0) {
                return;
            }
            const askedMs = clock.now();
            const channel = options.fleet().channel(lender);
            const loan = await channel.call(messages.peer.lend, { organisation, wanted: missing }, lendTimeoutMs);
            if (loan.isOk() && loan.value.tokens > 0) {
                quota.borrow(organisation, loan.value.tokens, askedMs);
            }
        }
    }

    /** One loan at a time for each organisation; later arrivals wait for it. */
    function share(organisation: string, wanted: number): Promise<void> {
        const running = borrowing.get(organisation)
            ?? borrow(organisation, wanted).finally(() => borrowing.delete(organisation));
        borrowing.set(organisation, running);
        return running;
    }

    function refuse(organisation: string): neverthrow.Result<void, failure.Failure> {
        const waitMs = quota.waitMs(organisation, 1);
        const message = `Organisation ${organisation} is over its rate or burst.`;
        return neverthrow.err(failure.create(failure.Code.rateExceeded, organisation, message, waitMs));
    }

    return {
        async admit(organisation) {
            const demand = note(organisation);
            for (let round = 0; round < rounds; round += 1) {
                if (quota.spend(organisation, 1, clock.now())) {
                    return neverthrow.ok(undefined);
                }
                if (clock.now() < (emptyUntil.get(organisation) ?? 0)) {
                    return refuse(organisation);
                }
                await share(organisation, Math.max(1, demand.perMs * prefetchMs));
            }
            if (quota.spend(organisation, 1, clock.now())) {
                return neverthrow.ok(undefined);
            }
            emptyUntil.set(organisation, clock.now() + Math.min(prefetchMs, quota.waitMs(organisation, 1)));
            return refuse(organisation);
        },
        lend: (organisation, wanted) => quota.lend(organisation, wanted, clock.now()),
        limit(document) {
            limits = new Map(Object.entries(document.organisations));
            quota.limit(limits);
        },
        held: organisation => quota.held(organisation, clock.now()),
        slots: () => claims.map(claim => claim.slot),
        start() {
            void keep();
        },
        async release() {
            released = true;
            const held = claims;
            publish([]);
            await clock.sleep(held.length === 0 ? 0 : options.loanMs);
            await Promise.all(held.map(claim => free(claim.slot)));
        },
    };
}
