/** Exchanges heartbeats and digests with other hosts, a few at a time. */
import * as freshness from "../core/freshness.js";
import * as memberships from "../core/membership.js";
import * as rendezvous from "../core/rendezvous.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";

/** What a host adds to its digest. */
export type Knowledge = Pick<messages.Digest, "groupsRevision" | "registers">;

/** Settings of the fleet. */
export interface Options {
    readonly self: memberships.Member;
    readonly seeds: readonly string[];
    readonly network: network.Network;
    readonly platform: network.Channel;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly heartbeatMs: number;
    readonly deadMs: number;
    /** A number in [0, 1), for the choice of peers. */
    random(): number;
    knowledge(): Knowledge;
    /** Told what another host knows, and when it was asked. */
    learned(digest: messages.Digest, askedMs: number): void;
}

/** The other hosts, as this one sees them. */
export interface Fleet {
    /** Hosts that take new work, this one included unless it leaves. */
    live(): readonly memberships.Member[];
    /** Hosts that answer, those that leave included. */
    reachable(): readonly memberships.Member[];
    /** Every host heard of lately. */
    known(): readonly memberships.Member[];
    find(id: string): memberships.Member | undefined;
    self(): memberships.Member;
    suspect(id: string): void;
    /** Passes over a host that did not answer this one, for a while; others may still reach it. */
    avoid(id: string): void;
    /** Hosts that answered this one lately. */
    direct(): readonly memberships.Member[];
    /** The home of a key among the live hosts of a region, or of all regions when it has none. */
    home(key: string, region: string): memberships.Member | undefined;
    channel(member: memberships.Member): network.Channel;
    /** Records whether the store answered this host. */
    note(storeUp: boolean): void;
    /** What is heard of the store, by failure domain. */
    words(): readonly freshness.StoreReport[];
    describe(change: Partial<Pick<memberships.Member, "leaving">>): void;
    /** Answers another host's digest. */
    answer(digest: messages.Digest): messages.Digest;
    /** Exchanges at once, to spread news. */
    kick(): Promise<void>;
    start(): void;
    close(): void;
}

const fanOut = 2;
const exchangeTimeoutMs = 800;
const listTimeoutMs = 1_000;
const maxMembers = 6;
const avoidMs = 3_000;

/** When a failure domain last reached the store, and last failed to, on this host's clock. */
interface Heard {
    readonly upAtMs: number;
    readonly downAtMs: number;
}

/** Creates the fleet of one host; it exchanges nothing until started. */
export function createFleet(options: Options): Fleet {
    const { clock, log } = options;
    const membership = memberships.createMembership({ self: options.self, timeoutMs: options.deadMs });
    const words = new Map<string, Heard>();
    const avoided = new Map<string, number>();
    let homes = new Map<string, memberships.Member | undefined>();
    let homesKey = "";
    let stop: (() => void) | undefined;

    function digest(): messages.Digest {
        const members = [...membership.known()];
        const shown = members.length > maxMembers
            ? [members[0] ?? options.self, ...sample(members.slice(1), maxMembers - 1)]
            : members;
        return { members: shown, words: tell(), ...options.knowledge() };
    }

    function sample<T>(items: readonly T[], count: number): readonly T[] {
        const left = [...items];
        const chosen: T[] = [];
        while (left.length > 0 && chosen.length < count) {
            chosen.push(...left.splice(Math.floor(options.random() * left.length), 1));
        }
        return chosen;
    }

    /** Keeps the newest word of each failure domain; ages count from when the sender was asked. */
    function hear(word: freshness.StoreReport, askedMs: number): void {
        const known = words.get(word.failureDomain);
        words.set(word.failureDomain, {
            upAtMs: Math.max(known?.upAtMs ?? -Infinity, askedMs - (word.upMs ?? Infinity)),
            downAtMs: Math.max(known?.downAtMs ?? -Infinity, askedMs - (word.downMs ?? Infinity)),
        });
    }

    function tell(): readonly freshness.StoreReport[] {
        const age = (atMs: number): number | undefined => (Number.isFinite(atMs) ? clock.now() - atMs : undefined);
        return [...words].map(([failureDomain, heard]) => ({
            failureDomain,
            upMs: age(heard.upAtMs),
            downMs: age(heard.downAtMs),
        }));
    }

    function learn(received: messages.Digest, askedMs: number): void {
        const nowMs = clock.now();
        membership.merge(received.members, nowMs);
        received.words.forEach(word => hear(word, askedMs));
        options.learned(received, askedMs);
    }

    function avoid(id: string): void {
        avoided.set(id, clock.now() + avoidMs);
    }

    function direct(): readonly memberships.Member[] {
        return membership.live(clock.now()).filter(member => (avoided.get(member.id) ?? 0) <= clock.now());
    }

    async function exchange(address: string, id: string | undefined): Promise<void> {
        const askedMs = clock.now();
        const reply = await options.network.openChannel(address).call(
            messages.peer.exchange,
            digest(),
            exchangeTimeoutMs,
        );
        if (reply.isOk()) {
            learn(reply.value, askedMs);
        }
        else if (id !== undefined && clock.now() - askedMs < exchangeTimeoutMs / 2) {
            membership.suspect(id);
        }
        else if (id !== undefined) {
            avoid(id);
        }
    }

    /** Addresses to try while no other host is known. */
    async function discover(): Promise<readonly string[]> {
        const listed = await options.platform.call(messages.platform.hosts, {}, listTimeoutMs);
        const hosts = listed.isOk() ? listed.value.hosts.map(host => host.address) : [];
        return [...new Set([...options.seeds, ...hosts])].filter(address => address !== options.self.address);
    }

    async function round(): Promise<void> {
        membership.advanceHeartbeat();
        const others = membership.known().filter(member => member.id !== options.self.id);
        const alive = membership.live(clock.now()).filter(member => member.id !== options.self.id);
        const asked = sample(alive, fanOut).map(member => exchange(member.address, member.id));
        const dead = sample(others.filter(member => !alive.includes(member)), 1);
        asked.push(...dead.map(member => exchange(member.address, undefined)));
        if (alive.length === 0) {
            const addresses = sample(await discover(), fanOut);
            asked.push(...addresses.map(address => exchange(address, undefined)));
        }
        await Promise.all(asked);
    }

    function live(): readonly memberships.Member[] {
        return membership.live(clock.now()).filter(member => !member.leaving);
    }

    function self(): memberships.Member {
        return membership.find(options.self.id) ?? options.self;
    }

    return {
        live,
        self,
        avoid,
        direct,
        reachable: () => membership.live(clock.now()),
        known: () => membership.known(),
        find: id => membership.find(id),
        suspect(id) {
            log.info({ peer: id, reason: "refused a connection" }, "Host suspected.");
            membership.suspect(id);
        },
        home(key, region) {
            const members = direct().filter(member => !member.leaving);
            const view = members.map(member => member.id).join(",");
            if (view !== homesKey) {
                homesKey = view;
                homes = new Map();
            }
            const name = `${region}/${key}`;
            if (!homes.has(name)) {
                const near = members.filter(member => member.region === region);
                const eligible = near.length > 0 ? near : members;
                const chosen = rendezvous.pick(name, eligible.map(member => member.id));
                homes.set(name, eligible.find(member => member.id === chosen));
                log.info(
                    { key, region, home: chosen, members: view, reason: "rendezvous over live hosts" },
                    "Home placed.",
                );
            }
            return homes.get(name);
        },
        channel: member => options.network.openChannel(member.address),
        words: tell,
        note(storeUp) {
            const { failureDomain } = options.self;
            hear(
                { failureDomain, upMs: storeUp ? 0 : undefined, downMs: storeUp ? undefined : 0 },
                clock.now(),
            );
        },
        describe(change) {
            membership.updateSelf(change);
        },
        answer(received) {
            learn({
                ...received,
                words: [],
                registers: received.registers.map(entry => ({ ...entry, freshMs: undefined })),
            }, clock.now());
            return digest();
        },
        async kick() {
            await round();
        },
        start() {
            void round();
            stop = clock.every(options.heartbeatMs, () => void round());
        },
        close() {
            stop?.();
        },
    };
}
