/**
 * Watches primaries and has them replaced. One host at a time has the duty, by a key in the store that lives
 * with the host's registration.
 */
import type * as directory from "../core/directory.js";
import type * as tenure from "../core/leadership.js";
import * as succession from "../core/promotion.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as messages from "./messages.js";
import type * as peers from "./peers.js";
import type * as probesPart from "./prober.js";
import * as registry from "./registry.js";
import type * as replacement from "./replacement.js";
import type * as follower from "./storesync.js";

/** Settings of the duty. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly store: store.Store;
    readonly storeSync: follower.StoreSync;
    readonly peers: peers.Peers;
    readonly prober: probesPart.Prober;
    readonly replacer: replacement.Replacer;
    readonly lock: HeldLock;
    groups(): readonly groups.Group[];
    endpoints(group: string): readonly directory.Endpoint[];
}

/** The duty of one host. */
export interface FailoverCoordinator {
    /** Takes in what the store holds. */
    observe(contents: registry.Snapshot): void;
    start(): void;
    close(): void;
}

/** Whether this host has the duty. */
export interface HeldLock {
    /** Token of the duty while this host certainly holds it. */
    fencingToken(): number | undefined;
    set(token: number | undefined): void;
}

/** Creates the state of the duty; it counts only while the host's registration holds. */
export function createHeldLock(follower: () => follower.StoreSync): HeldLock {
    let token: number | undefined;
    return {
        fencingToken: () => (follower().leaseId() === undefined ? undefined : token),
        set(next) {
            token = next;
        },
    };
}

/** Time between two looks at every primary, in milliseconds. */
const lookMs = 150;
/** Gap between two looks that shows that this host stood still, in milliseconds. */
const pauseMs = 600;
/** Time by which a host waits for each one before it to take a vacant duty, in milliseconds. */
const turnMs = 200;
/** Rest after a failed attempt, in milliseconds. */
const restMs = 250;
/** Least time that a replacement for unreachability from some hosts rests on a new primary, in milliseconds. */
const settleMs = 3_000;

interface Watch {
    /** True while a step on the group runs. */
    acting: boolean;
    restUntilMs: number;
    /** True when the primary itself says that it is none. */
    resigned: boolean;
    looking: boolean;
}

/** Creates the duty; it is taken once started. */
export function createFailoverCoordinator(options: Options): FailoverCoordinator {
    const { clock, events, self, store: remote, replacer: replacements, lock: duty } = options;
    const watches = new Map<string, Watch>();
    let vacantMs: number | undefined;
    let acquiring = false;
    let held: number | undefined;
    let lastLookMs = -Infinity;
    let stop: (() => void) | undefined;

    function watch(group: string): Watch {
        const known = watches.get(group);
        if (known !== undefined) {
            return known;
        }
        const created = { acting: false, restUntilMs: 0, resigned: false, looking: false };
        watches.set(group, created);
        return created;
    }

    /** Asks the primary how it is; what it answers also serves as a fresh sample for all hosts. */
    async function look(group: groups.Group, record: tenure.Record): Promise<void> {
        const entry = watch(group.name);
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        if (endpoint === undefined || entry.looking) {
            return;
        }
        entry.looking = true;
        const askedMs = clock.now();
        const status = await options.prober.send(endpoint, { kind: "status" });
        entry.looking = false;
        if (status === undefined) {
            group.recordFailure(endpoint.id, askedMs, { timedOut: false, message: "no answer to a probe" });
            return;
        }
        group.recordAnswer(endpoint.id);
        if (status === "busy") {
            return;
        }
        entry.resigned = !status.primary;
        if (status.primary && group.isPrimary(endpoint.id)) {
            group.addSample(status.received, askedMs);
        }
    }

    function judge(group: groups.Group, record: tenure.Record): succession.Decision {
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        const others = options.peers.live().flatMap(peer => {
            const contact = peer.digest?.primaryContacts.find(entry =>
                entry.group === group.name && entry.epoch === record.epoch
            );
            if (contact === undefined) {
                return [];
            }
            // What a host said ages until it speaks again.
            const sinceMs = clock.now() - peer.lastHeardMs;
            const age = (ms: number | undefined): number | undefined => (ms === undefined ? undefined : ms + sinceMs);
            return [{ answerAgeMs: age(contact.answerAgeMs), failingForMs: contact.failingForMs }];
        });
        const verdict = succession.evaluate({
            unlisted: endpoint === undefined,
            draining: endpoint?.draining ?? false,
            demoted: watch(group.name).resigned,
            own: group.primaryContact(),
            others,
        });
        const young = replacements.sinceReplacementMs(group.name) < settleMs;
        return verdict.reason === "partly unreachable" && young ? { replace: false, reason: "suspected" } : verdict;
    }

    async function act(group: groups.Group, work: () => Promise<boolean>): Promise<void> {
        const entry = watch(group.name);
        entry.acting = true;
        const done = await work();
        entry.acting = false;
        entry.resigned = false;
        if (!done) {
            entry.restUntilMs = clock.now() + restMs;
            events.emit("promotionFailed", { group: group.name });
        }
    }

    function supervise(group: groups.Group): void {
        const entry = watch(group.name);
        const record = replacements.record(group.name);
        if (entry.acting || clock.now() < entry.restUntilMs || options.endpoints(group.name).length === 0) {
            return;
        }
        if (record === undefined) {
            void act(group, () => replacements.createRecord(group));
            return;
        }
        if (record.changing) {
            void act(group, () => replacements.replace(group, "unfinished"));
            return;
        }
        void look(group, record);
        const verdict = judge(group, record);
        if (verdict.replace) {
            void act(group, () => replacements.replace(group, verdict.reason));
        }
    }

    async function acquire(): Promise<void> {
        const lease = options.storeSync.leaseId();
        if (acquiring || lease === undefined) {
            return;
        }
        acquiring = true;
        const value = JSON.stringify({ holder: self.id, incarnation: self.incarnation });
        const taken = await remote.change({
            conditions: [{ key: registry.failoverLockKey, revision: 0 }],
            writes: [{ key: registry.failoverLockKey, value, lease }],
            deletes: [],
        });
        if (taken.isOk()) {
            take(taken.value);
        }
        // Without an answer the next reading of the keys tells.
        acquiring = false;
    }

    function take(next: number): void {
        if (held !== next) {
            held = next;
            duty.set(next);
            events.emit("dutyTaken", { token: next });
        }
    }

    function tick(): void {
        const nowMs = clock.now();
        const paused = nowMs - lastLookMs > pauseMs;
        lastLookMs = nowMs;
        if (vacantMs !== undefined && nowMs - vacantMs >= rank() * turnMs) {
            void acquire();
        }
        if (duty.fencingToken() === undefined || paused) {
            return;
        }
        options.groups().forEach(supervise);
    }

    /** Place of this host among those that may take the duty: they try one after the other. */
    function rank(): number {
        const ids = options.peers.live().filter(peer => !peer.member.leaving).map(peer => peer.member.id);
        return ids.filter(id => id < self.id).length;
    }

    return {
        observe(contents) {
            replacements.observe(contents.records);
            const { failoverLock: holder } = contents;
            if (holder === undefined) {
                vacantMs ??= clock.now();
            }
            else {
                vacantMs = undefined;
            }
            if (holder?.holder === self.id && holder.incarnation === self.incarnation) {
                take(holder.fencingToken);
            }
            else if (held !== undefined && (holder === undefined || holder.fencingToken > held)) {
                held = undefined;
                duty.set(undefined);
                options.prober.close();
                events.emit("dutyLost", { holder: holder?.holder });
            }
        },
        start() {
            stop = clock.every(lookMs, tick);
        },
        close() {
            stop?.();
            duty.set(undefined);
            options.prober.close();
        },
    };
}
