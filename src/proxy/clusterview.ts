/** What this host knows, and how it learns: from the store, from other hosts, and from its own clocks. */
import * as shares from "../core/connectionshares.js";
import type * as directories from "../core/directory.js";
import type * as tenure from "../core/leadership.js";
import type * as allowances from "../core/limiter.js";
import * as suspensions from "../core/suspension.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as coordinators from "./coordinator.js";
import type * as eventLogs from "./events.js";
import * as fleets from "./fleet.js";
import * as groupsPart from "./group.js";
import * as messages from "./messages.js";
import type * as peersPart from "./peers.js";
import type * as registry from "./registry.js";
import * as storeSyncs from "./storesync.js";

/** Settings of the knowledge, and the parts that it joins; those that rest on it are got when needed. */
export interface Options {
    readonly failureDomain: string;
    /** Region of each failure domain. */
    readonly regionByFailureDomain: Readonly<Record<string, string>>;
    readonly clock: runtime.HostClock;
    /** Time for which work under way at a primary being replaced may end, in milliseconds. */
    readonly handoverGraceMs: number;
    readonly events: eventLogs.EventLog;
    readonly leadership: tenure.Leadership;
    readonly directory: directories.Directory;
    readonly limiter: allowances.Limiter;
    readonly dialer: connections.Dialer;
    self(): messages.Member;
    peers(): peersPart.Peers;
    storeSync(): storeSyncs.StoreSync;
    coordinator(): coordinators.FailoverCoordinator;
    /** Called after something that readiness rests on has changed. */
    onChange(): void;
}

/** What this host knows. */
export interface ClusterView {
    /** Notices a suspension before anything that rests on ages is used. */
    checkSuspension(): void;
    group(name: string): groupsPart.Group;
    groups(): readonly groupsPart.Group[];
    /** Takes in that the policy or the endpoints changed. */
    configurationChanged(): void;
    applyRecord(record: tenure.Record): void;
    /** Takes in a record and, if it replaces a primary, resolves once nothing done there is acknowledged any more. */
    applyAndFence(record: tenure.Record): Promise<void>;
    /** Takes in this product's own keys as they were at the moment. */
    applyStoreContents(contents: registry.Snapshot, askedMs: number): void;
    /** What this host tells others. */
    localDigest(): fleets.LocalDigest;
    /** Takes in what another host told; the moment is when it was asked, absent when it spoke first. */
    mergeDigest(told: messages.Digest, askedMs: number | undefined): void;
    /** Judges anew whether the records of primaries may be relied on. */
    evaluateProof(): void;
    /** Asks another host for what the store has not given for a while. */
    refreshFromPeer(): void;
    /** The youngest listing of endpoints that another host has. */
    listing(): messages.EndpointListing | undefined;
    /** Place of this host among those that follow the store for all; the number of them for every other host. */
    pollRank(): number;
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
export function createClusterView(options: Options): ClusterView {
    const {
        clock,
        events,
        leadership: tenures,
        directory,
        limiter: allowance,
        peers,
        storeSync: follower,
        coordinator: promoter,
    } = options;
    const suspension = suspensions.createDetector();
    const groups = new Map<string, groupsPart.Group>();
    const division = shares.createAllocator();
    let steppedMs = -Infinity;
    let wasProven = false;
    let catchingUp = false;

    /** Notices a suspension before anything that rests on ages is used. */
    function look(): void {
        const nowMs = clock.now();
        if (!suspension.detect(nowMs, clock.wallClockMs())) {
            return;
        }
        steppedMs = nowMs;
        tenures.dropProof();
        follower().invalidateLease();
        groups.forEach(entry => entry.invalidateAges());
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
            leadership: tenures,
            noClockJumpSince: trusts,
            regionOf: domain => options.regionByFailureDomain[domain],
            share: endpoint => share(name, endpoint),
            otherHostsLoad: endpoint => peers().endpointUsage(endpoint)[0],
            endpoints: () => directory.inGroup(name),
        });
        groups.set(name, created);
        created.reconcileEndpoints();
        return created;
    }

    function share(name: string, endpoint: string): shares.Share {
        const most = (follower().policy().groups.get(name)?.maxConnections ?? 1) - reservedConnections;
        const open = peers().endpointUsage(endpoint)[1] + (groups.get(name)?.pool(endpoint)?.size() ?? 0);
        return division.allocate(most, endpoint, peers().connectionHolders(), options.self().id, open);
    }

    function changed(): void {
        const policy = follower().policy();
        allowance.setLimits(policy.organisations);
        policy.groups.forEach((_, name) => group(name));
        groups.forEach((entry, name) => {
            if (policy.groups.has(name) || directory.inGroup(name).length > 0) {
                entry.reconcileEndpoints();
            }
        });
        options.onChange();
    }

    function learn(record: tenure.Record): void {
        const before = tenures.find(record.group);
        if (tenures.apply(record, clock.now())) {
            events.emit("tenureChanged", { ...record, replaced: before });
            const group = groups.get(record.group);
            group?.notifyWaiters();
            if (record.changing && record.primary !== "") {
                // What still runs there then can't be acknowledged any more, so nobody waits for it.
                clock.after(options.handoverGraceMs, () => group?.pool(record.primary)?.closeInUse());
            }
        }
    }

    async function handOver(record: tenure.Record): Promise<void> {
        learn(record);
        if (record.changing) {
            await group(record.group).waitUntilIdle(record.primary, options.handoverGraceMs);
            tenures.endGrace(record.group);
        }
    }

    function read(contents: registry.Snapshot, askedMs: number): void {
        look();
        contents.records.forEach(stored => learn(stored.record));
        // Whoever replaces a primary asks the hosts that are registered.
        const self = options.self();
        const registered = contents.hosts.some(host => host.id === self.id && host.incarnation === self.incarnation);
        if (registered && trusts(askedMs)) {
            tenures.renewProof(askedMs);
        }
        peers().register(contents.hosts);
        promoter().observe(contents);
        judgeProof();
    }

    function judgeProof(): void {
        const others = peers().peerProofs();
        tenures.assessOutage(others, clock.now());
        const proven = tenures.isTrusted(clock.now());
        if (proven !== wasProven) {
            wasProven = proven;
            events.emit(proven ? "proofRegained" : "proofLost", {
                ageMs: Math.round(Math.min(tenures.proofAgeMs(clock.now()), Number.MAX_SAFE_INTEGER)),
                hosts: others.length,
            });
        }
        if (proven) {
            groups.forEach(entry => entry.notifyWaiters());
        }
    }

    /** Statements and connections of this host, by endpoint. */
    function use(): messages.Digest["endpointUsage"] {
        const used = [...groups.values()].flatMap(entry => {
            const load = entry.loadByEndpoint();
            return Object.entries(entry.connectionsByEndpoint()).map(([id, open]) =>
                [id, [load[id] ?? 0, open]] as const
            );
        });
        return Object.fromEntries(used.filter(([, [load, open]]) => load > 0 || open > 0));
    }

    function digest(): fleets.LocalDigest {
        const nowMs = clock.now();
        const ageMs = tenures.proofAgeMs(nowMs);
        return {
            configurationVersion: follower().policy().version,
            primaryRecords: tenures.all(),
            proofAgeMs: whole(ageMs),
            storeResponseAgeMs: whole(follower().storeResponseAgeMs()),
            endpointListing: follower().endpointListing(),
            positionSamples: [...groups.values()].flatMap(entry => {
                const newest = entry.newestSample();
                return newest === undefined
                    ? []
                    : [{
                        group: entry.name,
                        position: newest.position,
                        ageMs: Math.ceil(nowMs - newest.requestedAtMs),
                    }];
            }),
            primaryContacts: tenures.all().flatMap(record => {
                const { answerAgeMs: answeredMs, failingForMs: failingMs } = groups.get(record.group)?.primaryContact()
                    ?? {};
                return [{
                    group: record.group,
                    epoch: record.epoch,
                    answerAgeMs: whole(answeredMs),
                    failingForMs: whole(failingMs),
                }];
            }),
            organisationUsage: allowance.usage(nowMs),
            endpointUsage: use(),
        };
    }

    function heard(told: messages.Digest, askedMs: number | undefined): void {
        look();
        told.primaryRecords.forEach(learn);
        if (askedMs !== undefined && trusts(askedMs)) {
            told.positionSamples.forEach(sample =>
                groups.get(sample.group)?.addSample(sample.position, askedMs - sample.ageMs)
            );
            if (told.proofAgeMs !== undefined) {
                tenures.renewProof(askedMs - told.proofAgeMs);
            }
        }
        judgeProof();
        if (told.configurationVersion > follower().policy().version) {
            void catchUp();
        }
    }

    /** Takes what this host lacks from another one that was heard lately. */
    async function catchUp(): Promise<void> {
        const best = fleets.chooseConfigurationSource(peers().live());
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
            follower().offerConfiguration(reply.value.configuration);
        }
        if (reply.value.ageMs !== undefined) {
            follower().offerEndpoints(reply.value.endpoints, askedMs - reply.value.ageMs);
        }
    }

    function turn(): number {
        const able = peers().live()
            .filter(peer => (peer.digest?.storeResponseAgeMs ?? Infinity) < ableMs && !peer.member.leaving)
            .map(peer => peer.member.id);
        return Math.min(able.filter(id => id < options.self().id).length, storeSyncs.pollerCount);
    }

    return {
        checkSuspension: look,
        group,
        configurationChanged: changed,
        applyRecord: learn,
        applyAndFence: handOver,
        applyStoreContents: read,
        localDigest: digest,
        mergeDigest: heard,
        evaluateProof: judgeProof,
        groups: () => [...groups.values()],
        listing() {
            const told = peers().live().flatMap(peer => {
                const listing = peer.digest?.endpointListing;
                return listing === undefined
                    ? []
                    : [{ hash: listing.hash, ageMs: listing.ageMs + clock.now() - peer.lastHeardMs }];
            });
            return told.reduce<messages.EndpointListing | undefined>(
                (best, next) => (best === undefined || next.ageMs < best.ageMs ? next : best),
                undefined,
            );
        },
        watching: () => turn() < Math.ceil(storeSyncs.pollerCount / peers().cellCount()),
        pollRank: turn,
        refreshFromPeer() {
            const listedMs = follower().listedAtMs();
            if (listedMs === undefined || clock.now() - listedMs > staleListingMs) {
                void catchUp();
            }
        },
    };
}
