/** What this host knows, and how it learns: from the store, from other hosts, and from its own clocks. */
import type * as allowances from "../core/allowance.js";
import type * as directories from "../core/directory.js";
import * as shares from "../core/share.js";
import * as suspensions from "../core/suspension.js";
import type * as tenure from "../core/tenure.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as eventsPart from "./events.js";
import * as fleets from "./fleet.js";
import * as followers from "./follower.js";
import * as groupsPart from "./group.js";
import * as messages from "./messages.js";
import type * as peersPart from "./peers.js";
import type * as promoters from "./promoter.js";
import type * as registry from "./registry.js";

/** Settings of the knowledge, and the parts that it joins; those that rest on it are got when needed. */
export interface Options {
    readonly failureDomain: string;
    /** Region of each failure domain. */
    readonly failureDomains: Readonly<Record<string, string>>;
    readonly clock: runtime.HostClock;
    /** Time for which work under way at a primary being replaced may end, in milliseconds. */
    readonly handoverMs: number;
    readonly events: eventsPart.Events;
    readonly tenures: tenure.Tenures;
    readonly directory: directories.Directory;
    readonly allowance: allowances.Allowance;
    readonly dialer: connections.Dialer;
    self(): messages.Member;
    peers(): peersPart.Peers;
    follower(): followers.Follower;
    promoter(): promoters.Promoter;
    /** Called after something that readiness rests on has changed. */
    updated(): void;
}

/** What this host knows. */
export interface Knowledge {
    /** Notices a suspension before anything that rests on ages is used. */
    look(): void;
    group(name: string): groupsPart.Group;
    groups(): readonly groupsPart.Group[];
    /** Takes in that the policy or the endpoints changed. */
    changed(): void;
    learn(record: tenure.Record): void;
    /** Takes in a record and, if it replaces a primary, resolves once nothing done there is acknowledged any more. */
    handOver(record: tenure.Record): Promise<void>;
    /** Takes in this product's own keys as they were at the moment. */
    read(contents: registry.Contents, askedMs: number): void;
    /** What this host tells others. */
    digest(): fleets.Told;
    /** Takes in what another host told; the moment is when it was asked, absent when it spoke first. */
    heard(told: messages.Digest, askedMs: number | undefined): void;
    /** Judges anew whether the records of primaries may be relied on. */
    judgeProof(): void;
    /** Asks another host for what the store has not given for a while. */
    refresh(): void;
    /** The youngest listing of endpoints that another host has. */
    listing(): messages.Listing | undefined;
    /** Place of this host among those that follow the store for all; the number of them for every other host. */
    turn(): number;
    /** True when this host is one of those that watch the configuration for all. */
    watching(): boolean;
}

/** Age of the endpoints' listing from which another host is asked for a newer one, in milliseconds. */
const staleListingMs = 2_500;
const catalogueTimeoutMs = 1_000;
/** Time since the store answered a host within which the host counts on to watch it, in milliseconds. */
const ableMs = 2_500;
/** Connections of each endpoint kept free for the probe of the host that replaces primaries. */
const reservedConnections = 1;

/** An age in whole milliseconds, rounded up so that nothing looks younger than it is; undefined without any. */
function whole(ageMs: number | undefined): number | undefined {
    return ageMs === undefined || !Number.isFinite(ageMs) ? undefined : Math.ceil(ageMs);
}

/** Creates the knowledge of a host that knows nothing. */
export function createKnowledge(options: Options): Knowledge {
    const { clock, events, tenures, directory, allowance, peers, follower, promoter } = options;
    const suspension = suspensions.createSuspension();
    const groups = new Map<string, groupsPart.Group>();
    const division = shares.createDivision();
    let steppedMs = -Infinity;
    let wasProven = false;
    let catchingUp = false;

    /** Notices a suspension before anything that rests on ages is used. */
    function look(): void {
        const nowMs = clock.now();
        if (!suspension.stepped(nowMs, clock.day())) {
            return;
        }
        steppedMs = nowMs;
        tenures.doubt();
        follower().doubt();
        groups.forEach(entry => entry.doubt());
        events.emit("suspended", {});
    }

    const trusts = (sinceMs: number): boolean => sinceMs > steppedMs;

    function group(name: string): groupsPart.Group {
        const known = groups.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = groupsPart.createGroup({
            name,
            failureDomain: options.failureDomain,
            clock,
            dialer: options.dialer,
            events: events,
            tenures: tenures,
            trusts,
            regionOf: domain => options.failureDomains[domain],
            share: endpoint => share(name, endpoint),
            otherLoad: endpoint => peers().use(endpoint)[0],
            endpoints: () => directory.ofGroup(name),
        });
        groups.set(name, created);
        created.sweep();
        return created;
    }

    function share(name: string, endpoint: string): shares.Share {
        const most = (follower().policy().groups.get(name)?.maxConnections ?? 1) - reservedConnections;
        const open = peers().use(endpoint)[1] + (groups.get(name)?.pool(endpoint)?.size() ?? 0);
        return division.share(most, endpoint, peers().holders(), options.self().id, open);
    }

    function changed(): void {
        const policy = follower().policy();
        allowance.limit(policy.organisations);
        policy.groups.forEach((_, name) => group(name));
        groups.forEach((entry, name) => {
            if (policy.groups.has(name) || directory.ofGroup(name).length > 0) {
                entry.sweep();
            }
        });
        options.updated();
    }

    function learn(record: tenure.Record): void {
        const before = tenures.find(record.group);
        if (tenures.learn(record, clock.now())) {
            events.emit("tenureChanged", { ...record, replaced: before });
            const group = groups.get(record.group);
            group?.wake();
            if (record.changing && record.primary !== "") {
                // What still runs there then can't be acknowledged any more, so nobody waits for it.
                clock.after(options.handoverMs, () => group?.pool(record.primary)?.abort());
            }
        }
    }

    async function handOver(record: tenure.Record): Promise<void> {
        learn(record);
        if (record.changing) {
            await group(record.group).untilQuiet(record.primary, options.handoverMs);
            tenures.confirm(record.group);
        }
    }

    function read(contents: registry.Contents, askedMs: number): void {
        look();
        contents.records.forEach(stored => learn(stored.record));
        // Whoever replaces a primary asks the hosts that are registered.
        const self = options.self();
        const registered = contents.hosts.some(host => host.id === self.id && host.incarnation === self.incarnation);
        if (registered && trusts(askedMs)) {
            tenures.prove(askedMs);
        }
        peers().register(contents.hosts);
        promoter().observe(contents);
        judgeProof();
    }

    function judgeProof(): void {
        const others = peers().witnesses();
        tenures.witness(others, clock.now());
        const proven = tenures.proven(clock.now());
        if (proven !== wasProven) {
            wasProven = proven;
            events.emit(proven ? "proofRegained" : "proofLost", {
                ageMs: Math.round(Math.min(tenures.ageMs(clock.now()), Number.MAX_SAFE_INTEGER)),
                hosts: others.length,
            });
        }
        if (proven) {
            groups.forEach(entry => entry.wake());
        }
    }

    /** Statements and connections of this host, by endpoint. */
    function use(): messages.Digest["endpoints"] {
        const used = [...groups.values()].flatMap(entry => {
            const load = entry.load();
            return Object.entries(entry.connections()).map(([id, open]) => [id, [load[id] ?? 0, open]] as const);
        });
        return Object.fromEntries(used.filter(([, [load, open]]) => load > 0 || open > 0));
    }

    function digest(): fleets.Told {
        const nowMs = clock.now();
        const ageMs = tenures.ageMs(nowMs);
        return {
            version: follower().policy().version,
            tenures: tenures.all(),
            proofAgeMs: whole(ageMs),
            storeAgeMs: whole(follower().storeAgeMs()),
            listing: follower().listing(),
            samples: [...groups.values()].flatMap(entry => {
                const newest = entry.newest();
                return newest === undefined
                    ? []
                    : [{ group: entry.name, position: newest.position, ageMs: Math.ceil(nowMs - newest.askedMs) }];
            }),
            contacts: tenures.all().flatMap(record => {
                const { answeredMs, failingMs } = groups.get(record.group)?.contact() ?? {};
                return [{
                    group: record.group,
                    epoch: record.epoch,
                    answeredMs: whole(answeredMs),
                    failingMs: whole(failingMs),
                }];
            }),
            account: allowance.account(nowMs),
            endpoints: use(),
        };
    }

    function heard(told: messages.Digest, askedMs: number | undefined): void {
        look();
        told.tenures.forEach(learn);
        if (askedMs !== undefined && trusts(askedMs)) {
            told.samples.forEach(sample => groups.get(sample.group)?.learn(sample.position, askedMs - sample.ageMs));
            if (told.proofAgeMs !== undefined) {
                tenures.prove(askedMs - told.proofAgeMs);
            }
        }
        judgeProof();
        if (told.version > follower().policy().version) {
            void catchUp();
        }
    }

    /** Takes what this host lacks from another one that was heard lately. */
    async function catchUp(): Promise<void> {
        const best = fleets.bestSource(peers().heard());
        if (catchingUp || best === undefined) {
            return;
        }
        catchingUp = true;
        const askedMs = clock.now();
        const reply = await peers().call(best.member, messages.peer.catalogue, {}, catalogueTimeoutMs);
        catchingUp = false;
        if (reply.isErr()) {
            events.emit("catalogueMissed", { peer: best.member.id, reason: reply.error.message });
            return;
        }
        if (reply.value.version > follower().policy().version) {
            follower().offer(reply.value.configuration);
        }
        if (reply.value.ageMs !== undefined) {
            follower().offerEndpoints(reply.value.endpoints, askedMs - reply.value.ageMs);
        }
    }

    function turn(): number {
        const able = peers().heard()
            .filter(peer => (peer.digest?.storeAgeMs ?? Infinity) < ableMs && !peer.member.leaving)
            .map(peer => peer.member.id);
        return Math.min(able.filter(id => id < options.self().id).length, followers.watchers);
    }

    return {
        look,
        group,
        changed,
        learn,
        handOver,
        read,
        digest,
        heard,
        judgeProof,
        groups: () => [...groups.values()],
        listing() {
            const told = peers().heard().flatMap(peer => {
                const listing = peer.digest?.listing;
                return listing === undefined
                    ? []
                    : [{ hash: listing.hash, ageMs: listing.ageMs + clock.now() - peer.heardMs }];
            });
            return told.reduce<messages.Listing | undefined>(
                (best, next) => (best === undefined || next.ageMs < best.ageMs ? next : best),
                undefined,
            );
        },
        watching: () => turn() < Math.ceil(followers.watchers / peers().cells()),
        turn,
        refresh() {
            const listedMs = follower().listedMs();
            if (listedMs === undefined || clock.now() - listedMs > staleListingMs) {
                void catchUp();
            }
        },
    };
}
