/**
 * The failover coordinator: probes the primaries and replaces those that fail. Only the holder of the failover lock
 * acts; the lock is a key in the store, bound to the lease of the host's registration.
 */
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import * as promotion from "../core/promotion.js";
import * as registrationLife from "../core/registrationlife.js";
import * as storeEras from "../core/storeera.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as failoverLocks from "./failoverlock.js";
import type * as groups from "./group.js";
import type * as messages from "./messages.js";
import type * as peers from "./peers.js";
import * as primaryContacts from "./primarycontacts.js";
import * as primaryProbes from "./primaryprobe.js";
import type * as probers from "./prober.js";
import type * as schedules from "./readingschedule.js";
import * as registry from "./registry.js";
import type * as relocations from "./relocation.js";
import type * as replacement from "./replacement.js";
import type * as restoration from "./restoration.js";
import type * as storeSyncs from "./storesync.js";

/** Settings of the failover coordinator. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly store: store.Store;
    readonly era: storeEras.StoreEra;
    readonly storeSync: storeSyncs.StoreSync;
    readonly peers: peers.Peers;
    readonly prober: probers.Prober;
    readonly replacer: replacement.Replacer;
    readonly restorer: restoration.Restorer;
    readonly lock: failoverLocks.HeldLock;
    readonly schedule: Pick<schedules.Schedule, "lockRank" | "registrationLife">;
    readonly relocation: relocations.Relocation;
    /** True while this host lacks room and another one has some. */
    shouldHandOver?(): boolean;
    groups(): readonly groups.Group[];
    endpoints(group: string): readonly directory.Endpoint[];
}

/** Failover coordinator of one host. */
export interface FailoverCoordinator {
    /** Applies a snapshot of the store: the records, and who holds the failover lock. */
    observe(snapshot: registry.Snapshot): void;
    /** Applies what another host has read: whether the era is settled, and who holds the lock. */
    observeNews(news: { readonly settled: boolean; readonly lockHolder: string | undefined }): void;
    /** Gives up the lock, which was held in the previous era of the store. */
    storeRestored(): void;
    /** Treats the lease of the lock as expired until it is renewed, because a clock jump made its age unknown. */
    invalidateLease(): void;
    start(): void;
    /** Deletes the lock from the store if this host holds it, so that another one can acquire it at once. */
    release(): Promise<void>;
    close(): void;
}

/** Interval at which each primary is probed. */
const probeIntervalMs = 150;
/** Gap between two ticks that shows that the process was paused. What it knows is then out of date: it skips a tick. */
const pauseThresholdMs = 600;
/** Delay for each host of a lower rank before a host tries to acquire a free lock. */
const rankDelayMs = 200;
/** Age of a host's own snapshot from which it reads the store again when it acquires the lock. */
const maxSnapshotAgeMs = 1_000;
/** Pause after a failed attempt to replace a primary. */
const retryPauseMs = 250;
/** Time for attempts under way to end before the lock is released; otherwise it expires with the lease. */
const releaseTimeoutMs = 1_000;
/** Time after a replacement during which another one for partial unreachability is suppressed. */
const partialReplacementHoldOffMs = 3_000;

/** Time after a replacement during which a primary isn't replaced for failing statements: evidence of it is young. */
const failingHoldOffMs = 10_000;
/** Shortest time between two hand-overs of the lock for lack of room. */
const minHandOverIntervalMs = 15_000;
/** Time without contact to a primary and to any other host after which this host gives up the lock. */
const isolationTimeoutMs = 1_000;

interface GroupState {
    /** True while a replacement or the creation of the record runs. */
    replacing: boolean;
    retryAtMs: number;
}

/** Creates a failover coordinator; it competes for the lock once started. */
export function createFailoverCoordinator(options: Options): FailoverCoordinator {
    const { clock, events, self, store: client, replacer, lock } = options;
    const states = new Map<string, GroupState>();
    const primaryProbe = primaryProbes.createPrimaryProbe(options);
    const attempts = new Set<Promise<boolean>>();
    let lockFreeSinceMs: number | undefined;
    let acquiring = false;
    let heldToken: number | undefined;
    /** Token of the lock that this host is giving up, or has given up, though a snapshot may still show it. */
    let releasedToken: number | undefined;
    /** Revision of that lock if the newest snapshot shows it, 0 otherwise: the condition for acquiring the lock. */
    let releasedRevision = 0;
    /** True if this host held the lock of the previous era when it learned of the current one. */
    let heldInPreviousEra = false;
    let settled = false;
    let restoring = false;
    let lastTickMs = -Infinity;
    let inquiredAtMs = -Infinity;
    let heldOffUntilMs = -Infinity;
    let handedOverAtMs = -Infinity;
    let stop: (() => void) | undefined;

    function stateOf(group: string): GroupState {
        const known = states.get(group);
        if (known !== undefined) {
            return known;
        }
        const created = { replacing: false, retryAtMs: 0 };
        states.set(group, created);
        return created;
    }

    /** True if another host has answered a poll that was sent since then, or if no other host is registered. */
    function isCorroborated(sinceMs: number): boolean {
        const others = options.peers.all().filter(peer => peer.registered && !peer.member.leaving);
        return others.length === 0 || others.some(peer => peer.lastPolledMs >= sinceMs);
    }

    function isFailing(group: groups.Group, record: leadership.Record): boolean {
        const replicas = options.endpoints(group.name).filter(({ id, draining }) => id !== record.primary && !draining);
        return promotion.isFailing(
            group.choice.outcomes(record.primary),
            replicas.map(({ id }) => group.choice.outcomes(id)),
        );
    }

    function decide(group: groups.Group, record: leadership.Record): promotion.Decision {
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        const own = group.primaryContact();
        if (
            (own.failingForMs ?? 0) >= promotion.inquiryDelayMs
            && clock.now() - inquiredAtMs >= promotion.inquiryDelayMs
        ) {
            inquiredAtMs = clock.now();
            options.peers.pollNow();
        }
        const decision = promotion.evaluate({
            unlisted: endpoint === undefined,
            draining: endpoint?.draining ?? false,
            misplaced: options.relocation.reasonToMove(group.name, record.primary),
            demoted: primaryProbe.isDemoted(group.name),
            failing: replacer.sinceReplacementMs(group.name) >= failingHoldOffMs && isFailing(group, record),
            own,
            others: primaryContacts.contactsWithPrimary(options.peers.live(), record, clock.now()),
            corroborated: isCorroborated(clock.now() - (own.failingForMs ?? 0)),
        });
        if (decision.reason === "isolated" && (own.failingForMs ?? 0) >= isolationTimeoutMs) {
            void yieldLock();
        }
        const heldOff = replacer.sinceReplacementMs(group.name) < partialReplacementHoldOffMs;
        return decision.reason === "partly unreachable" && heldOff ? { replace: false, reason: "suspected" } : decision;
    }

    /** Runs one attempt to replace a primary or to create a record; a failed one is repeated after a pause. */
    async function attempt(group: groups.Group, task: () => Promise<boolean>): Promise<void> {
        const state = stateOf(group.name);
        state.replacing = true;
        // An error that one attempt meets must not keep the group from being supervised.
        const running = task().catch((thrown: unknown) => {
            events.emit("promotionFailed", { group: group.name, error: String(thrown) });
            return false;
        });
        attempts.add(running);
        const done = await running;
        attempts.delete(running);
        state.replacing = false;
        primaryProbe.forgetDemotion(group.name);
        if (!done) {
            state.retryAtMs = clock.now() + retryPauseMs;
            events.emit("promotionFailed", { group: group.name });
        }
    }

    function supervise(group: groups.Group): void {
        const state = stateOf(group.name);
        const record = replacer.record(group.name);
        if (state.replacing || clock.now() < state.retryAtMs || options.endpoints(group.name).length === 0) {
            return;
        }
        if (record === undefined) {
            void attempt(group, () => replacer.createRecord(group));
            return;
        }
        if (!options.relocation.hasSuccessor(group.name)) {
            return;
        }
        if (record.changing) {
            void attempt(group, () => replacer.replace(group, "unfinished"));
            return;
        }
        void primaryProbe.probe(group, record);
        void replacer.reviewReplicas(group);
        const decision = decide(group, record);
        if (decision.replace) {
            void attempt(group, () => replacer.replace(group, decision.reason));
        }
    }

    /**
     * In an era that isn't settled, the holder of the previous era's lock may not know yet that it has lost it. Its lease
     * has expired when the era has been known for the lease's time to live.
     */
    function mayAcquire(): boolean {
        if (lockFreeSinceMs === undefined || clock.now() < heldOffUntilMs) {
            return false;
        }
        const freeMs = clock.now() - lockFreeSinceMs;
        const permittedMs = settled ? freeMs : Math.min(freeMs, options.era.ageMs() - registrationLife.lockLife.ttlMs);
        return heldInPreviousEra || permittedMs >= options.schedule.lockRank() * rankDelayMs;
    }

    async function acquireLock(): Promise<void> {
        if (acquiring) {
            return;
        }
        acquiring = true;
        const lease = await lock.obtainLease();
        const era = options.era.current();
        if (lease !== undefined && era !== undefined) {
            await writeLock(era, lease);
        }
        // Without a response, the next snapshot shows whether the lock was acquired.
        acquiring = false;
    }

    async function writeLock(era: number, lease: number): Promise<void> {
        const key = registry.failoverLockKey(era);
        const value = JSON.stringify({ holder: self.id, incarnation: self.incarnation });
        const acquired = await client.change({
            // A lock that this host gave up without effect gets a new revision, so that a late deletion does not meet it.
            conditions: [{ key, revision: releasedRevision }],
            writes: [{ key, value, lease }],
            deletes: [],
        });
        if (acquired.isOk()) {
            await refreshOutdated();
            setHeld(storeEras.order(era, acquired.value), lease);
        }
        else if (acquired.error.kind === "conflict") {
            // Another host holds the lock, or a deletion that this host sent has taken effect late.
            lockFreeSinceMs = undefined;
        }
        else {
            await clock.sleep(retryPauseMs);
        }
    }

    /** Reads the records that this host is responsible for from now on, unless it has read them recently. */
    async function refreshOutdated(): Promise<void> {
        if (options.storeSync.sinceKeyReadMs() > maxSnapshotAgeMs) {
            await options.storeSync.refresh();
        }
    }

    /** Writes the records of earlier eras again; until that is done, no primary is replaced. */
    async function restore(): Promise<void> {
        if (restoring) {
            return;
        }
        restoring = true;
        if (await options.restorer.restore()) {
            await options.storeSync.refresh();
        }
        else {
            await clock.sleep(retryPauseMs);
        }
        restoring = false;
    }

    function setHeld(token: number, lease: number): void {
        if (heldToken !== token && token !== releasedToken) {
            heldToken = token;
            lock.set({ token, lease });
            events.emit("dutyTaken", { token });
        }
    }

    function tick(): void {
        const nowMs = clock.now();
        const paused = nowMs - lastTickMs > pauseThresholdMs;
        lastTickMs = nowMs;
        if (mayAcquire()) {
            void acquireLock();
        }
        if (lock.fencingToken() === undefined || paused) {
            return;
        }
        if (!settled) {
            void restore();
            return;
        }
        if (
            attempts.size === 0 && nowMs - handedOverAtMs >= minHandOverIntervalMs
            && options.shouldHandOver?.() === true
        ) {
            handedOverAtMs = nowMs;
            void yieldLock();
            return;
        }
        options.groups().forEach(supervise);
    }

    /** Deletes the lock from the store, if no replacement is under way any longer that rests on it. */
    async function releaseLock(): Promise<void> {
        const [era, token] = [options.era.current(), lock.fencingToken()];
        releasedToken = token;
        lock.set(undefined);
        heldToken = undefined;
        // An attempt that is under way ends before its next call, as the token is gone.
        await Promise.race([Promise.all(attempts), clock.sleep(releaseTimeoutMs)]);
        if (era !== undefined && token !== undefined && attempts.size === 0) {
            const key = registry.failoverLockKey(era);
            const conditions = [{ key, revision: storeEras.numberOf(token) }];
            const released = await client.change({ conditions, writes: [], deletes: [key] });
            events.emit("dutyLost", { holder: undefined, released: released.isOk() });
        }
    }

    /** Leaves the lock to a host that reaches the primaries or at least the other hosts, or has more room. */
    async function yieldLock(): Promise<void> {
        if (clock.now() >= heldOffUntilMs) {
            // The hosts that are dead are no longer registered then.
            heldOffUntilMs = clock.now() + options.schedule.registrationLife().ttlMs;
            await releaseLock();
        }
    }

    return {
        observe(snapshot) {
            replacer.observe(snapshot.records);
            const { failoverLock } = snapshot;
            settled = snapshot.settled;
            const showsReleased = failoverLock !== undefined && failoverLock.fencingToken === releasedToken;
            releasedRevision = showsReleased ? storeEras.numberOf(failoverLock.fencingToken) : 0;
            if (failoverLock === undefined || showsReleased) {
                lockFreeSinceMs ??= clock.now();
            }
            else {
                lockFreeSinceMs = undefined;
            }
            if (failoverLock?.holder === self.id && failoverLock.incarnation === self.incarnation) {
                setHeld(failoverLock.fencingToken, failoverLock.lease);
            }
            else if (heldToken !== undefined && (failoverLock === undefined || failoverLock.fencingToken > heldToken)) {
                heldToken = undefined;
                lock.set(undefined);
                options.prober.close();
                events.emit("dutyLost", { holder: failoverLock?.holder });
            }
        },
        observeNews(news) {
            // What another host has read may be older than this host's own acquisition of the lock.
            if (heldToken === undefined && news.lockHolder !== self.id) {
                settled = news.settled;
                lockFreeSinceMs = news.lockHolder === undefined ? lockFreeSinceMs ?? clock.now() : undefined;
            }
        },
        storeRestored() {
            heldInPreviousEra = lock.fencingToken() !== undefined;
            heldToken = undefined;
            lock.set(undefined);
            lockFreeSinceMs = undefined;
            lock.storeRestored();
            releasedRevision = 0;
            settled = false;
            replacer.storeRestored();
        },
        invalidateLease: () => lock.invalidate(),
        start() {
            const stopTicks = clock.every(probeIntervalMs, tick);
            const stopRenewals = clock.every(registrationLife.lockLife.renewIntervalMs, () => void lock.renew());
            stop = () => {
                stopTicks();
                stopRenewals();
            };
        },
        async release() {
            stop?.();
            await releaseLock();
        },
        close() {
            stop?.();
            lock.set(undefined);
            options.prober.close();
        },
    };
}
