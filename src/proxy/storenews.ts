/**
 * What this host has learnt from the store, by itself or from another host, and the exchange of it. In a fleet of several
 * cells a host keeps a question open at the host that it learns from, which answers once it has something new. An answer
 * carries ages, and the time for which it was held back; the asking host counts both from its own question, so that
 * nothing looks newer than it is.
 */
import * as crypto from "node:crypto";
import type * as leaderships from "../core/leadership.js";
import * as storeReading from "../core/storereading.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as clusterViews from "./clusterview.js";
import type * as coordinators from "./coordinator.js";
import type * as eventLogs from "./events.js";
import * as messages from "./messages.js";
import type * as metrics from "./metrics.js";
import type * as gossip from "./peers.js";
import type * as registry from "./registry.js";
import type * as storeSyncs from "./storesync.js";

/** Settings and collaborators. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly era: store.Era;
    readonly events: eventLogs.EventLog;
    readonly leadership: leaderships.Leadership;
    /** A random number in [0, 1). */
    random(): number;
    self(): messages.Member;
    peers(): gossip.Peers;
    storeSync(): storeSyncs.StoreSync;
    clusterView(): clusterViews.ClusterView;
    coordinator(): coordinators.FailoverCoordinator;
    holdsFailoverLock(): boolean;
    /** Counts an answered or failed question. */
    count(result: "newer" | "unchanged" | "failed"): void;
}

/** What this host has learnt from the store. */
export interface StoreNews {
    /** Answers another host once there is something that it doesn't know, or after a time limit. */
    answer(question: messages.NewsQuestion): Promise<messages.NewsAnswer>;
    /** Applies what this host has read itself with a request sent at that time. */
    applySnapshot(snapshot: registry.Snapshot, requestedAtMs: number): void;
    /** Answers the open questions of other hosts, because what this host has to tell has changed. */
    publish(): void;
    /** Asks other hosts as planned; to be called at short intervals. */
    check(): void;
    /** What the decisions about reading the store are based on; undefined while the fleet is a single cell. */
    readingState(): storeReading.State | undefined;
    readonly planner: storeReading.Planner;
    /** True if this host reads the store for the others: by its place, or because no other host has done so lately. */
    readsForOthers(state: storeReading.State): boolean;
    gauges(): metrics.ReadingGauges;
    /** Time since the store confirmed the configuration of this host as the newest one, in milliseconds. */
    configurationAgeMs(): number;
    close(): void;
}

/** A reading of the product's keys. */
interface Reading {
    readonly era: number;
    readonly requestedAtMs: number;
    readonly settled: boolean;
    readonly lockHolder: string | undefined;
    readonly hosts: readonly messages.Member[];
    readonly hostsHash: string;
    /** Id of the host that it came from. */
    readonly source: string;
}

/** Longest time for which an answer is held back. */
const maxHoldMs = 1_000;
/** Time limit of a question beyond that. */
const answerTimeoutMs = 500;
/** Difference from which a reading counts as newer than another one that may be the same. */
const minProgressMs = 20;
/** Time for which the place among the hosts that read is kept, as it follows from all known hosts. */
const placeTtlMs = 200;
/** Number of readings in a row from which a host counts as one that reads for the others. */
const minOwnReadings = 2;
const hashLength = 10;

const hash = (rows: readonly string[]): string =>
    crypto.createHash("sha1").update([...rows].sort().join()).digest("base64").slice(0, hashLength);
const hashRecords = (records: readonly leaderships.Record[]): string =>
    hash(records.map(record => `${record.group} ${record.epoch}`));
const hashHosts = (hosts: readonly messages.Member[]): string =>
    hash(hosts.map(host => `${host.id} ${host.incarnation} ${host.address}`));
/** Rounds an age up, so that nothing looks newer than it is; undefined if there is none. */
const wholeMs = (ageMs: number): number | undefined => (Number.isFinite(ageMs) ? Math.ceil(ageMs) : undefined);

/** Creates an instance that has learnt nothing. */
export function createStoreNews(options: Options): StoreNews {
    const { clock, era, events, leadership, peers, storeSync, clusterView } = options;
    const planner = storeReading.createPlanner(options);
    const waiting = new Set<() => void>();
    const knownByHost = new Map<string, messages.NewsQuestion["known"]>();
    let newest: Reading | undefined;
    /** The era in which a reading has shown this host as registered. */
    let registeredEra: number | undefined;
    let number = 0;
    let configurationAtMs = -Infinity;
    let closed = false;

    /** Number of readings in a row that this host has read itself. */
    let ownReadingCount = 0;
    let cachedPlace:
        | { readonly lockHolder: string | undefined; readonly atMs: number; readonly value: storeReading.Place }
        | undefined;

    /** The newest reading, unless it is of another era or its age is not known since a clock jump. */
    function reading(): Reading | undefined {
        const isKnown = newest !== undefined && clusterView().noClockJumpSince(newest.requestedAtMs);
        return isKnown && newest?.era === era.current() ? newest : undefined;
    }

    function publish(): void {
        number += 1;
        [...waiting].forEach(finish => finish());
    }

    function adopt(next: Reading): void {
        if (newest === undefined || newest.source !== next.source) {
            events.emit("readingSourceChanged", {
                source: next.source,
                previous: newest?.source,
                ageMs: Math.round(clock.now() - next.requestedAtMs),
                lockHolder: next.lockHolder,
            });
        }
        newest = next;
        ownReadingCount = next.source === options.self().id ? ownReadingCount + 1 : 0;
        const isRegistered = isRegisteredIn(next.hosts);
        registeredEra = isRegistered ? next.era : registeredEra;
        storeSync().observeRegistration(isRegistered, next.requestedAtMs);
    }

    function isRegisteredIn(hosts: readonly messages.Member[]): boolean {
        const self = options.self();
        return hosts.some(host => host.id === self.id && host.incarnation === self.incarnation);
    }

    function readingAgeMs(): number {
        return clock.now() - (reading()?.requestedAtMs ?? -Infinity);
    }

    function configurationAgeMs(): number {
        return clock.now() - Math.max(configurationAtMs, storeSync().configurationReadMs());
    }

    function placeFor(lockHolder: string | undefined): storeReading.Place {
        const nowMs = clock.now();
        if (
            cachedPlace === undefined || cachedPlace.lockHolder !== lockHolder || nowMs - cachedPlace.atMs > placeTtlMs
        ) {
            const layout = { self: options.self().id, lockHolder, ...peers().actingHosts() };
            cachedPlace = { lockHolder, atMs: nowMs, value: storeReading.placeOf(layout) };
        }
        return cachedPlace.value;
    }

    function readingState(): storeReading.State | undefined {
        if (peers().cellCount() === 1) {
            return undefined;
        }
        const holdsLock = options.holdsFailoverLock();
        return {
            nowMs: clock.now(),
            place: placeFor(holdsLock ? options.self().id : reading()?.lockHolder),
            holdsLock,
            readingAgeMs: Math.min(readingAgeMs(), leadership.proofAgeMs(clock.now())),
            sinceOwnReadMs: storeSync().sinceKeyReadMs(),
            ownReadFailed: storeSync().keyReadFailed(),
            settled: reading()?.settled ?? false,
        };
    }

    function untilPublished(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                waiting.delete(finish);
                stop();
                resolve();
            };
            const stop = clock.after(timeoutMs, finish);
            waiting.add(finish);
        });
    }

    async function answer(question: messages.NewsQuestion): Promise<messages.NewsAnswer> {
        const receivedAtMs = clock.now();
        const { incarnation } = options.self();
        if (question.known?.incarnation === incarnation && question.known.number === number && !closed) {
            await untilPublished(maxHoldMs);
        }
        clusterView().checkSuspension();
        const current = reading();
        const records = leadership.all();
        return {
            incarnation,
            number,
            heldMs: Math.floor(clock.now() - receivedAtMs),
            era: era.current(),
            readingAgeMs: wholeMs(readingAgeMs()),
            settled: current?.settled ?? false,
            lockHolder: current?.lockHolder,
            proofAgeMs: wholeMs(leadership.proofAgeMs(clock.now())),
            records: hashRecords(records) === question.records ? undefined : records,
            hosts: current === undefined || current.hostsHash === question.hosts ? undefined : current.hosts,
            listing: storeSync().endpointListing.summary(clock.now()),
            configuration: { version: storeSync().policy().version, ageMs: wholeMs(configurationAgeMs()) },
        };
    }

    /** Applies an answer; returns true if it brought a newer reading. */
    function apply(news: messages.NewsAnswer, source: messages.Member, requestedAtMs: number): boolean {
        clusterView().checkSuspension();
        if (news.era !== undefined) {
            era.observe(news.era);
        }
        news.records?.forEach(clusterView().applyRecord);
        if (news.configuration.version > storeSync().policy().version) {
            clusterView().fetchConfiguration(source);
        }
        if (news.era === undefined || news.era !== era.current() || !clusterView().noClockJumpSince(requestedAtMs)) {
            return false;
        }
        // The answer was given at this time or later.
        const answeredAtMs = requestedAtMs + Math.min(news.heldMs, clock.now() - requestedAtMs);
        const proofAgeMs = leadership.proofAgeMs(clock.now());
        const hasNewReading = adoptReading(news, source.id, answeredAtMs);
        if (news.proofAgeMs !== undefined && registeredEra === news.era) {
            leadership.renewProof(answeredAtMs - news.proofAgeMs);
        }
        const isNewer = hasNewReading || proofAgeMs - leadership.proofAgeMs(clock.now()) >= minProgressMs;
        const { version, ageMs } = news.configuration;
        if (ageMs !== undefined && version === storeSync().policy().version) {
            configurationAtMs = Math.max(configurationAtMs, answeredAtMs - ageMs);
        }
        if (news.listing !== undefined) {
            clusterView().confirmListing(source, news.listing.hash, answeredAtMs - news.listing.ageMs);
        }
        clusterView().evaluateProof();
        if (isNewer) {
            publish();
        }
        return isNewer;
    }

    function adoptReading(news: messages.NewsAnswer, source: string, answeredAtMs: number): boolean {
        const { settled, lockHolder } = news;
        const known = reading();
        const requestedAtMs = answeredAtMs - (news.readingAgeMs ?? Infinity);
        const progressMs = requestedAtMs - (known?.requestedAtMs ?? -Infinity);
        const differs = news.hosts !== undefined || settled !== known?.settled || lockHolder !== known.lockHolder;
        const hosts = news.hosts ?? known?.hosts;
        if (news.era === undefined || hosts === undefined || !(progressMs >= (differs ? 1 : minProgressMs))) {
            return false;
        }
        const hostsHash = news.hosts === undefined ? known?.hostsHash ?? "" : hashHosts(hosts);
        adopt({ era: news.era, requestedAtMs, settled, lockHolder, hosts, hostsHash, source });
        peers().register(hosts, requestedAtMs);
        options.coordinator().observeNews({ settled, lockHolder });
        return true;
    }

    async function ask(id: string): Promise<void> {
        const requestedAtMs = clock.now();
        planner.asked(id, requestedAtMs);
        const source = peers().find(id)?.member;
        const question = {
            known: knownByHost.get(id),
            records: hashRecords(leadership.all()),
            hosts: reading()?.hostsHash ?? "",
        };
        const timeoutMs = maxHoldMs + answerTimeoutMs;
        const reply = source === undefined
            ? undefined
            : await peers().call(source, messages.peer.news, question, timeoutMs);
        if (closed) {
            return;
        }
        if (source === undefined || reply === undefined || reply.isErr()) {
            planner.failed(id, clock.now());
            options.count("failed");
            return;
        }
        knownByHost.set(id, { incarnation: reply.value.incarnation, number: reply.value.number });
        const isNewer = apply(reply.value, source, requestedAtMs);
        planner.answered(id, isNewer, clock.now());
        options.count(isNewer ? "newer" : "unchanged");
        check();
    }

    function check(): void {
        const state = closed ? undefined : readingState();
        if (state !== undefined) {
            planner.hostsToAsk(state).forEach(id => void ask(id));
        }
    }

    return {
        answer,
        publish,
        check,
        readingState,
        planner,
        readsForOthers: state =>
            state.holdsLock || planner.isReader(state)
            || (reading() !== undefined && ownReadingCount >= minOwnReadings),
        configurationAgeMs,
        gauges: () => ({
            readsStoreForOthers: reading()?.source === options.self().id,
            storeReadingAgeMs: readingAgeMs(),
            listingAgeMs: storeSync().endpointListing.summary(clock.now())?.ageMs ?? Infinity,
        }),
        applySnapshot(snapshot, requestedAtMs) {
            clusterView().applyStoreContents(snapshot, requestedAtMs);
            const isRegistered = isRegisteredIn(snapshot.hosts);
            // A settled reading without this host's registration proves nothing, so another host has to read as well.
            if (snapshot.era !== era.current() || (snapshot.settled && !isRegistered)) {
                storeSync().observeRegistration(isRegistered, requestedAtMs);
                return;
            }
            adopt({
                era: snapshot.era,
                requestedAtMs,
                settled: snapshot.settled,
                lockHolder: snapshot.failoverLock?.holder,
                hosts: snapshot.hosts,
                hostsHash: hashHosts(snapshot.hosts),
                source: options.self().id,
            });
            publish();
        },
        close() {
            closed = true;
            publish();
        },
    };
}
