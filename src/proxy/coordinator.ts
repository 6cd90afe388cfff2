/**
 * The failover coordinator: probes the primaries and replaces those that fail. Only the holder of the failover lock
 * acts; the lock is a key in the store, bound to the lease of the host's registration.
 */
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import * as promotion from "../core/promotion.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as messages from "./messages.js";
import type * as peers from "./peers.js";
import type * as probers from "./prober.js";
import * as registry from "./registry.js";
import type * as replacement from "./replacement.js";
import type * as storeSyncs from "./storesync.js";

/** Settings of the failover coordinator. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly store: store.Store;
    readonly storeSync: storeSyncs.StoreSync;
    readonly peers: peers.Peers;
    readonly prober: probers.Prober;
    readonly replacer: replacement.Replacer;
    readonly lock: HeldLock;
    groups(): readonly groups.Group[];
    endpoints(group: string): readonly directory.Endpoint[];
}

/** Failover coordinator of one host. */
export interface FailoverCoordinator {
    /** Applies a snapshot of the store: the records, and who holds the failover lock. */
    observe(snapshot: registry.Snapshot): void;
    start(): void;
    close(): void;
}

/** Whether this host holds the failover lock. */
export interface HeldLock {
    /** Fencing token of the lock; undefined unless this host is certain to hold it. */
    fencingToken(): number | undefined;
    /** Records the token of an acquired lock, or undefined once the lock is lost. */
    set(token: number | undefined): void;
}

/** Creates the state of a lock that this host doesn't hold. A held lock is valid only while the host's lease is. */
export function createHeldLock(storeSync: () => storeSyncs.StoreSync): HeldLock {
    let token: number | undefined;
    return {
        fencingToken: () => (storeSync().leaseId() === undefined ? undefined : token),
        set(next) {
            token = next;
        },
    };
}

/** Interval at which each primary is probed. */
const probeIntervalMs = 150;
/** Gap between two ticks that shows that the process was paused. What it knows is then out of date: it skips a tick. */
const pauseThresholdMs = 600;
/** Delay for each host of a lower rank before a host tries to acquire a free lock. */
const rankDelayMs = 200;
/** Pause after a failed attempt to replace a primary. */
const retryPauseMs = 250;
/** Time after a replacement during which another one for partial unreachability is suppressed. */
const partialReplacementHoldOffMs = 3_000;

interface GroupState {
    /** True while a replacement or the creation of the record runs. */
    replacing: boolean;
    retryAtMs: number;
    /** True when the recorded primary reports that it is a replica. */
    demoted: boolean;
    probing: boolean;
}

/** Creates a failover coordinator; it competes for the lock once started. */
export function createFailoverCoordinator(options: Options): FailoverCoordinator {
    const { clock, events, self, store: client, replacer, lock } = options;
    const states = new Map<string, GroupState>();
    let lockFreeSinceMs: number | undefined;
    let acquiring = false;
    let heldToken: number | undefined;
    let lastTickMs = -Infinity;
    let stop: (() => void) | undefined;

    function stateOf(group: string): GroupState {
        const known = states.get(group);
        if (known !== undefined) {
            return known;
        }
        const created = { replacing: false, retryAtMs: 0, demoted: false, probing: false };
        states.set(group, created);
        return created;
    }

    /** Queries the status of the primary. The position in its reply also serves as a new sample for all hosts. */
    async function probe(group: groups.Group, record: leadership.Record): Promise<void> {
        const state = stateOf(group.name);
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        if (endpoint === undefined || state.probing) {
            return;
        }
        state.probing = true;
        const requestedAtMs = clock.now();
        const status = await options.prober.send(endpoint, { kind: "status" });
        state.probing = false;
        if (status === undefined) {
            group.recordFailure(endpoint.id, requestedAtMs, { timedOut: false, message: "no answer to a probe" });
            return;
        }
        group.recordAnswer(endpoint.id);
        if (status === "busy") {
            return;
        }
        state.demoted = !status.primary;
        if (status.primary && group.isPrimary(endpoint.id)) {
            group.addSample(status.received, requestedAtMs);
        }
    }

    function decide(group: groups.Group, record: leadership.Record): promotion.Decision {
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        const others = options.peers.live().flatMap(peer => {
            const contact = peer.digest?.primaryContacts.find(candidate =>
                candidate.group === group.name && candidate.epoch === record.epoch
            );
            if (contact === undefined) {
                return [];
            }
            // The time since the digest arrived is added to the age of the last answer, but not to the duration of a
            // failure, which is known only up to the digest.
            const digestAgeMs = clock.now() - peer.lastHeardMs;
            const ageNow = (
                ms: number | undefined,
            ): number | undefined => (ms === undefined ? undefined : ms + digestAgeMs);
            return [{ answerAgeMs: ageNow(contact.answerAgeMs), failingForMs: contact.failingForMs }];
        });
        const decision = promotion.evaluate({
            unlisted: endpoint === undefined,
            draining: endpoint?.draining ?? false,
            demoted: stateOf(group.name).demoted,
            own: group.primaryContact(),
            others,
        });
        const heldOff = replacer.sinceReplacementMs(group.name) < partialReplacementHoldOffMs;
        return decision.reason === "partly unreachable" && heldOff ? { replace: false, reason: "suspected" } : decision;
    }

    /** Runs one attempt to replace a primary or to create a record; a failed one is repeated after a pause. */
    async function attempt(group: groups.Group, task: () => Promise<boolean>): Promise<void> {
        const state = stateOf(group.name);
        state.replacing = true;
        const done = await task();
        state.replacing = false;
        state.demoted = false;
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
        if (record.changing) {
            void attempt(group, () => replacer.replace(group, "unfinished"));
            return;
        }
        void probe(group, record);
        const decision = decide(group, record);
        if (decision.replace) {
            void attempt(group, () => replacer.replace(group, decision.reason));
        }
    }

    async function acquireLock(): Promise<void> {
        const lease = options.storeSync.leaseId();
        if (acquiring || lease === undefined) {
            return;
        }
        acquiring = true;
        const value = JSON.stringify({ holder: self.id, incarnation: self.incarnation });
        const acquired = await client.change({
            conditions: [{ key: registry.failoverLockKey, revision: 0 }],
            writes: [{ key: registry.failoverLockKey, value, lease }],
            deletes: [],
        });
        if (acquired.isOk()) {
            setHeld(acquired.value);
        }
        // Without a response, the next snapshot shows whether the lock was acquired.
        acquiring = false;
    }

    function setHeld(next: number): void {
        if (heldToken !== next) {
            heldToken = next;
            lock.set(next);
            events.emit("dutyTaken", { token: next });
        }
    }

    function tick(): void {
        const nowMs = clock.now();
        const paused = nowMs - lastTickMs > pauseThresholdMs;
        lastTickMs = nowMs;
        if (lockFreeSinceMs !== undefined && nowMs - lockFreeSinceMs >= rank() * rankDelayMs) {
            void acquireLock();
        }
        if (lock.fencingToken() === undefined || paused) {
            return;
        }
        options.groups().forEach(supervise);
    }

    /** Rank of this host among those that may acquire the lock; a host waits longer the higher its rank. */
    function rank(): number {
        const ids = options.peers.live().filter(peer => !peer.member.leaving).map(peer => peer.member.id);
        return ids.filter(id => id < self.id).length;
    }

    return {
        observe(snapshot) {
            replacer.observe(snapshot.records);
            const { failoverLock } = snapshot;
            if (failoverLock === undefined) {
                lockFreeSinceMs ??= clock.now();
            }
            else {
                lockFreeSinceMs = undefined;
            }
            if (failoverLock?.holder === self.id && failoverLock.incarnation === self.incarnation) {
                setHeld(failoverLock.fencingToken);
            }
            else if (heldToken !== undefined && (failoverLock === undefined || failoverLock.fencingToken > heldToken)) {
                heldToken = undefined;
                lock.set(undefined);
                options.prober.close();
                events.emit("dutyLost", { holder: failoverLock?.holder });
            }
        },
        start() {
            stop = clock.every(probeIntervalMs, tick);
        },
        close() {
            stop?.();
            lock.set(undefined);
            options.prober.close();
        },
    };
}
