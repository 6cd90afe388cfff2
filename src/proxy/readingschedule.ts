/**
 * When this host calls the store. The hosts of a fleet of one cell read in turn, as the digests that they exchange carry
 * what each of them has read. In a larger fleet one host reads for all, see `core/storereading`.
 */
import * as duties from "../core/duties.js";
import * as registrationLives from "../core/registrationlife.js";
import type * as storeReading from "../core/storereading.js";
import * as storeNews from "./storenews.js";

/** When this host calls the store. */
export interface Schedule {
    /** True when the key prefix is to be read, given the time since this host last requested it. */
    isKeyReadDue(sinceReadMs: number): boolean;
    /** Interval at which that is to be checked, in milliseconds. */
    checkIntervalMs(): number;
    /** Age of the endpoint listing at which this host reads it. */
    maxListingAgeMs(): number;
    /** Time after its start for which a host without a listing leaves it to others to read it, in milliseconds. */
    firstListingDelayMs(): number;
    /** True while the fleet is a single cell. */
    isSingleCell(): boolean;
    /** True if this host is one of those that watch the configuration on behalf of all. */
    watchesConfiguration(): boolean;
    /** Time limit of one watch of the configuration, in milliseconds. */
    watchTimeoutMs(): number;
    /**
     * True if a host that doesn't watch the configuration has to read it, given the times since it last did so and since it
     * started.
     */
    isConfigurationReadDue(sinceReadMs: number, sinceStartMs: number): boolean;
    /** Rank of this host in its cell, if the fleet has several cells; 0 otherwise. */
    cellRank(): number;
    /** The life of a host's registration. */
    registrationLife(): registrationLives.Life;
    /** Rank of this host among those that may acquire the failover lock. */
    lockRank(): number;
}

/** Interval at which the ages of the proof and of the endpoint listing are checked. */
const checkIntervalMs = 250;
/** The same in a fleet of several cells, for the host that reads for it and for the others. */
const readerCheckIntervalMs = 50;
const fleetCheckIntervalMs = 100;
/**
 * Age of the proof at which the host with poll rank 0 reads the key prefix again; the others receive the proof in its
 * digests. Half of the maximum age of a proof.
 */
const proofRefreshMs = 750;
/** The same for the holder of the failover lock, which bases its decisions on what it has read itself. */
const coordinatorProofRefreshMs = 500;
/** Delay for each poll rank, so that a newer proof can arrive from a host of a lower rank first. */
const proofRankDelayMs = 120;
/** Maximum interval between reads of the key prefix, from which a host also learns which hosts are registered. */
const maxReadIntervalMs = 10_000;
/** The same while a host is suspected: once its registration ends, its share of limits and connections is free. */
const suspectedReadIntervalMs = 1_500;
/**
 * Age of the endpoint listing at which the host with poll rank 0 reads it again. Draining endpoints must be noticed
 * within seconds.
 */
const listingRefreshMs = 1_250;
/** Delay for each poll rank, so that a newer listing can arrive from a host of a lower rank first. */
const listingRankDelayMs = 350;
/** Age of the endpoint listing at which a host takes over from the host that reads for the fleet. */
const listingTakeoverMs = 2_300;
/** Age of the newest reading of the keys from which the store counts as away for all hosts. */
const staleReadingMs = 1_500;
/** Time that the reader gets to read the listing and the configuration after the store has come back. */
const readerTimeMs = 2_300;
/** Time for which a host that starts waits for the listing of the first host of its cell, and for each rank there. */
const firstListingDelayMs = 600;
const firstListingRankDelayMs = 100;
/** Number of hosts that poll the store on behalf of a fleet of one cell: one, and two that take over. */
const pollerCount = 3;
/** Number of hosts that watch the configuration on behalf of several cells. */
const fleetWatcherCount = 2;
/** Age of a host's last store response up to which the host is a candidate for polling the store. */
const maxStoreResponseAgeMs = 2_500;
/** Time limit of one watch, so that a connection that has gone silent is noticed; the next one goes on from there. */
const watchTimeoutMs = 2_000;
/** The same in a fleet of several cells, whose reader notices a silent connection by its other calls. */
const fleetWatchTimeoutMs = 10_000;

/** Interval at which a host of a single cell reads the configuration although no watch has shown a change. */
const rereadIntervalMs = 30_000;
/** Time since the configuration was last known to be the newest one, from which a host of a larger fleet reads it. */
const maxConfigurationAgeMs = 15_000;

/** What a host has learnt from the store, and when it calls it. */
export interface Reading {
    readonly news: storeNews.StoreNews;
    readonly schedule: Schedule;
}

/** Creates the reading of a host that has learnt nothing. */
export function createReading(options: storeNews.Options): Reading {
    const news = storeNews.createStoreNews(options);
    return { news, schedule: createSchedule(options, news) };
}

function createSchedule(options: storeNews.Options, news: storeNews.StoreNews): Schedule {
    const { peers } = options;
    /** When this host last found that nobody had read the keys for long. */
    let staleAtMs = -Infinity;
    const selfId = (): string => options.self().id;
    const proofAgeMs = (): number => options.leadership.proofAgeMs(options.clock.now());

    /**
     * Time since the store was last away for all hosts, to this one's knowledge; 0 while it is. Attempts to read the listing
     * or the configuration would then fail as well.
     */
    function storeRespondsForMs(state: storeReading.State): number {
        if (state.readingAgeMs > staleReadingMs) {
            staleAtMs = state.nowMs;
        }
        return state.nowMs - staleAtMs;
    }

    /** True if a host of the same cell polls the store before this one: those with room do so in the order of their ids. */
    function precedes(id: string): boolean {
        const { isStrained } = peers().rooms;
        return isStrained(id) === isStrained(selfId()) ? id < selfId() : !isStrained(id);
    }

    /** Rank of this host among those that poll the store for a single cell; `pollerCount` if it is not one of them. */
    function pollRank(): number {
        const candidates = peers().live()
            .filter(peer =>
                (peer.digest?.storeResponseAgeMs ?? Infinity) < maxStoreResponseAgeMs && !peer.member.leaving
            )
            .map(peer => peer.member.id);
        return Math.min(candidates.filter(precedes).length, pollerCount);
    }

    function isKeyReadDueInCell(sinceReadMs: number): boolean {
        const maxAgeMs = options.holdsFailoverLock()
            ? coordinatorProofRefreshMs
            : proofRefreshMs + pollRank() * proofRankDelayMs;
        const intervalMs = peers().usageReports().suspectedHosts > 0 ? suspectedReadIntervalMs : maxReadIntervalMs;
        return proofAgeMs() > maxAgeMs || sinceReadMs > intervalMs;
    }

    return {
        isKeyReadDue(sinceReadMs) {
            const state = news.readingState();
            return state === undefined ? isKeyReadDueInCell(sinceReadMs) : news.planner.isReadDue(state);
        },
        checkIntervalMs() {
            const state = news.readingState();
            if (state === undefined) {
                return checkIntervalMs;
            }
            return news.readsForOthers(state) ? readerCheckIntervalMs : fleetCheckIntervalMs;
        },
        maxListingAgeMs() {
            const state = news.readingState();
            if (state === undefined) {
                return listingRefreshMs + pollRank() * listingRankDelayMs;
            }
            const respondsForMs = storeRespondsForMs(state);
            if (news.readsForOthers(state)) {
                return respondsForMs > 0 ? listingRefreshMs : Infinity;
            }
            return respondsForMs >= readerTimeMs ? listingTakeoverMs + 2 * state.place.takeoverDelayMs : Infinity;
        },
        firstListingDelayMs() {
            const rank = news.readingState() === undefined ? 0 : peers().cellRank();
            return rank === 0 ? 0 : firstListingDelayMs + rank * firstListingRankDelayMs;
        },
        isSingleCell: () => news.readingState() === undefined,
        watchesConfiguration() {
            const state = news.readingState();
            return state === undefined
                ? pollRank() < pollerCount
                : news.readsForOthers(state) || news.planner.availablePreceding(state) < fleetWatcherCount;
        },
        watchTimeoutMs: () => (news.readingState() === undefined ? watchTimeoutMs : fleetWatchTimeoutMs),
        isConfigurationReadDue(sinceReadMs, sinceStartMs) {
            const state = news.readingState();
            if (state === undefined) {
                return sinceReadMs >= rereadIntervalMs;
            }
            return storeRespondsForMs(state) >= readerTimeMs
                && Math.min(sinceReadMs, sinceStartMs, news.configurationAgeMs()) >= maxConfigurationAgeMs;
        },
        cellRank: () => (peers().cellCount() > 1 ? peers().cellRank() : 0),
        registrationLife: () => registrationLives.lifeOf(peers().all().length + 1, peers().cellCount()),
        lockRank() {
            const state = news.readingState();
            const strained = peers().rooms.isStrained(selfId());
            if (state !== undefined) {
                return duties.acquisitionRank(state.place.rank, strained);
            }
            const ids = peers().live().filter(peer => !peer.member.leaving).map(peer => peer.member.id);
            return duties.acquisitionRank(ids.filter(id => id < selfId()).length, strained);
        },
    };
}
