/**
 * Replaces primaries. One host at a time has the duty, by a key in the store that lives with the host's
 * registration. A replacement changes the group's record first, waits until no host relies on the old one,
 * and only then asks the platform to promote.
 */
import type * as directory from "../core/directory.js";
import * as failure from "../core/failure.js";
import * as succession from "../core/succession.js";
import type * as tenure from "../core/tenure.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as follower from "./follower.js";
import type * as groups from "./group.js";
import * as messages from "./messages.js";
import type * as peers from "./peers.js";
import * as registry from "./registry.js";

/** Settings of the duty. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly events: events.Events;
    readonly store: store.Store;
    readonly promotions: store.Promotions;
    readonly dialer: connections.Dialer;
    readonly follower: follower.Follower;
    readonly peers: peers.Peers;
    readonly tenures: tenure.Tenures;
    readonly proofMs: number;
    groups(): readonly groups.Group[];
    endpoints(group: string): readonly directory.Endpoint[];
    /** Organisation in whose name endpoints are asked. */
    account(): string | undefined;
    /** Takes in a record that this host has written. */
    learn(record: tenure.Record): void;
}

/** The duty of one host. */
export interface Promoter {
    /** Takes in what the store holds. */
    observe(contents: registry.Contents): void;
    /** True while this host replaces primaries. */
    holds(): boolean;
    start(): void;
    close(): void;
}

/** Time between two looks at every primary, in milliseconds. */
const lookMs = 150;
/** Gap between two looks that shows that this host stood still, in milliseconds. */
const pauseMs = 600;
const probeMs = 400;
const confirmMs = 250;
const storeMs = 1_000;
/** Time for which the store must have answered steadily for confirmations to replace waiting, in milliseconds. */
const steadyMs = 10_000;
/** Longest wait for a replica to receive the last commits of a primary that stepped down, in milliseconds. */
const catchUpMs = 800;
/** Longest wait for a promoted replica to lead, in milliseconds. */
const leadMs = 3_000;
const leadPollMs = 40;
/** Rest after a failed attempt, in milliseconds. */
const restMs = 250;
/** Time without any primary before a group without a record gets one by promotion, in milliseconds. */
const orphanMs = 2_500;
/** Least time that a replacement for unreachability from some hosts rests on a new primary, in milliseconds. */
const settleMs = 3_000;

interface Probe {
    readonly address: string;
    readonly connection: connections.Connection;
}

interface Watch {
    /** True while a step on the group runs. */
    acting: boolean;
    restUntilMs: number;
    orphanedMs: number | undefined;
    resigned: boolean;
    changedMs: number;
    looking: boolean;
}

/** Creates the duty; it is taken once started. */
export function createPromoter(options: Options): Promoter {
    const { clock, events, self, store: remote, tenures } = options;
    const probes = new Map<string, Probe>();
    const watches = new Map<string, Watch>();
    const revisions = new Map<string, registry.Stored>();
    let token: number | undefined;
    let vacantMs: number | undefined;
    let acquiring = false;
    let lastLookMs = -Infinity;
    let stop: (() => void) | undefined;

    function holds(): boolean {
        return token !== undefined && options.follower.lease() !== undefined;
    }

    function watch(group: string): Watch {
        const known = watches.get(group);
        if (known !== undefined) {
            return known;
        }
        const created = {
            acting: false,
            restUntilMs: 0,
            orphanedMs: undefined,
            resigned: false,
            changedMs: -Infinity,
            looking: false,
        };
        watches.set(group, created);
        return created;
    }

    async function probe(endpoint: directory.Endpoint): Promise<connections.Connection | undefined> {
        const known = probes.get(endpoint.id);
        if (known !== undefined && known.address === endpoint.address && known.connection.open()) {
            return known.connection;
        }
        const organisation = options.account();
        if (organisation === undefined) {
            return undefined;
        }
        const target = { endpoint: endpoint.id, group: endpoint.group, address: endpoint.address, organisation };
        const dialed = await options.dialer.dial(target, probeMs);
        if (dialed.isErr()) {
            return undefined;
        }
        const raced = probes.get(endpoint.id);
        if (raced !== undefined && raced.connection.open()) {
            dialed.value.close();
            return raced.connection;
        }
        probes.set(endpoint.id, { address: endpoint.address, connection: dialed.value });
        return dialed.value;
    }

    /** Asks an endpoint; "busy" shows that it lives. */
    async function order(
        endpoint: directory.Endpoint,
        request: connections.Order,
    ): Promise<connections.Status | "busy" | undefined> {
        const connection = await probe(endpoint);
        if (connection === undefined) {
            return undefined;
        }
        const answered = await connection.order(request, probeMs);
        if (answered.isOk()) {
            return answered.value;
        }
        return answered.error === "busy" ? "busy" : undefined;
    }

    async function statuses(
        endpoints: readonly directory.Endpoint[],
    ): Promise<ReadonlyMap<string, connections.Status>> {
        const answers = await Promise.all(endpoints.map(async endpoint => {
            for (let attempt = 0; attempt < 3; attempt += 1) {
                const answer = await order(endpoint, { kind: "status" });
                if (answer !== "busy") {
                    return [endpoint.id, answer] as const;
                }
                await clock.sleep(leadPollMs);
            }
            return [endpoint.id, undefined] as const;
        }));
        return new Map(answers.flatMap(([id, status]) => (status === undefined ? [] : [[id, status]])));
    }

    /** Changes a group's record; a lost answer is read back. */
    async function write(record: tenure.Record): Promise<boolean> {
        const key = registry.primaryKey(record.group);
        const held = revisions.get(record.group);
        const value = JSON.stringify(record);
        const changed = await remote.change({
            conditions: [{ key, revision: held?.revision ?? 0 }],
            writes: [{ key, value }],
            deletes: [],
        });
        if (changed.isOk()) {
            revisions.set(record.group, { record, revision: changed.value });
            options.learn(record);
            return true;
        }
        const read = await remote.read(key);
        if (read.isErr()) {
            return false;
        }
        const contents = registry.read([read.value.item]);
        contents.records.forEach(stored => {
            revisions.set(record.group, stored);
            options.learn(stored.record);
        });
        return read.value.item.value === value;
    }

    /** Tells every other host of a record; true when each that exists has confirmed. */
    async function tell(record: tenure.Record): Promise<boolean> {
        const confirmed = await Promise.all(
            options.peers.all().map(async peer => {
                const reply = await options.peers.call(peer.member, messages.peer.record, record, confirmMs);
                // A machine that refuses the connection runs no host, and one that starts later reads the new record.
                return reply.isOk() || reply.error.code === failure.Code.ownerUnreachable;
            }),
        );
        return confirmed.every(value => value);
    }

    /** Waits until no host relies on the record that this one replaced. */
    async function fence(record: tenure.Record): Promise<boolean> {
        const writtenMs = clock.now();
        const contents = await options.follower.refresh();
        const everyone = await tell(record);
        if (contents === undefined || !everyone || options.follower.steadyMs() < steadyMs) {
            await clock.sleep(Math.max(0, writtenMs + options.proofMs - clock.now()));
        }
        const current = tenures.find(record.group);
        const kept = holds() && current?.epoch === record.epoch;
        if (kept) {
            events.emit("primaryFenced", {
                group: record.group,
                epoch: record.epoch,
                confirmed: everyone,
                waitedMs: Math.round(clock.now() - writtenMs),
            });
        }
        return kept;
    }

    async function settle(group: string, primary: string, term: number): Promise<boolean> {
        const epoch = (revisions.get(group)?.record.epoch ?? 0) + 1;
        const record = { group, epoch, changing: false, primary, term };
        if (!await write(record)) {
            return false;
        }
        watch(group).changedMs = clock.now();
        await tell(record);
        return true;
    }

    /** Makes the old primary stop, and returns the position that its log ends at. */
    async function stepDown(
        endpoint: directory.Endpoint | undefined,
        term: number,
    ): Promise<connections.Status | undefined> {
        const answer = endpoint === undefined ? undefined : await order(endpoint, { kind: "stepDown", term });
        return answer === "busy" ? undefined : answer;
    }

    async function awaitLead(endpoint: directory.Endpoint, term: number): Promise<number | undefined> {
        const deadlineMs = clock.now() + leadMs;
        while (clock.now() < deadlineMs && holds()) {
            const status = await order(endpoint, { kind: "status" });
            if (status !== undefined && status !== "busy" && status.primary && status.term > term) {
                return status.term;
            }
            await clock.sleep(leadPollMs);
        }
        return undefined;
    }

    /** Replaces the primary of a group; false when it has to be tried again. */
    async function replace(group: groups.Group, reason: string): Promise<boolean> {
        const stored = revisions.get(group.name);
        if (stored === undefined) {
            return false;
        }
        const { record: before } = stored;
        events.emit("primarySuspected", { group: group.name, primary: before.primary, reason, epoch: before.epoch });
        const fencing = { ...before, epoch: before.epoch + 1, changing: true };
        if (!await write(fencing) || !await fence(fencing)) {
            return false;
        }
        const endpoints = options.endpoints(group.name);
        const old = endpoints.find(endpoint => endpoint.id === before.primary);
        const seen = await statuses(endpoints);
        const led = [...seen].find(([, status]) => status.primary && status.term > before.term);
        if (led !== undefined) {
            return settle(group.name, led[0], led[1].term);
        }
        const standing = seen.get(before.primary);
        const alone = ![...seen.keys()].some(id => id !== before.primary);
        if (alone && standing?.primary === true) {
            // No replica can take over, so the primary stays.
            return settle(group.name, before.primary, standing.term);
        }
        const term = Math.max(before.term, ...[...seen.values()].map(status => status.term));
        const ended = alone ? undefined : await stepDown(old, term + 1);
        const heir = alone ? old : await pick(group, endpoints, before.primary, ended);
        if (heir === undefined || token === undefined || !holds()) {
            return false;
        }
        const promoted = await options.promotions.promote(group.name, heir.id, self.id, token);
        if (promoted.isOk() && !promoted.value) {
            return false;
        }
        const next = await awaitLead(heir, before.term);
        if (next === undefined) {
            return false;
        }
        events.emit("primaryPromoted", { group: group.name, primary: heir.id, term: next, replaced: before.primary });
        return settle(group.name, heir.id, next);
    }

    /** Chooses the replica to promote, once it has received all that a stopped primary held. */
    async function pick(
        group: groups.Group,
        endpoints: readonly directory.Endpoint[],
        old: string,
        ended: connections.Status | undefined,
    ): Promise<directory.Endpoint | undefined> {
        const replicas = endpoints.filter(endpoint => endpoint.id !== old);
        const deadlineMs = clock.now() + (ended === undefined ? 0 : catchUpMs);
        for (;;) {
            const seen = await statuses(replicas);
            const heirs = replicas.flatMap(endpoint => {
                const status = seen.get(endpoint.id);
                return status === undefined ? [] : [{
                    endpoint: endpoint.id,
                    received: status.received,
                    draining: endpoint.draining,
                    roundTripMs: group.roundTripMs(endpoint.id),
                }];
            });
            const heir = succession.choose(heirs);
            const complete = ended === undefined || (heir?.received.index ?? 0) >= ended.received.index;
            if (heir !== undefined && (complete || clock.now() >= deadlineMs)) {
                return replicas.find(endpoint => endpoint.id === heir.endpoint);
            }
            if (clock.now() >= deadlineMs) {
                return undefined;
            }
            await clock.sleep(leadPollMs);
        }
    }

    /** Gives a group its first record. */
    async function found(group: groups.Group): Promise<boolean> {
        const endpoints = options.endpoints(group.name);
        const seen = await statuses(endpoints);
        const leaders = [...seen].filter(([, status]) => status.primary);
        leaders.sort(([, left], [, right]) => right.term - left.term);
        const leader = leaders[0];
        const entry = watch(group.name);
        if (leader !== undefined) {
            entry.orphanedMs = undefined;
            return settle(group.name, leader[0], leader[1].term);
        }
        entry.orphanedMs ??= clock.now();
        const [heir] = [...seen].sort(([, left], [, right]) => right.received.index - left.received.index);
        if (clock.now() - entry.orphanedMs < orphanMs || heir === undefined) {
            return false;
        }
        const record = { group: group.name, epoch: 1, changing: true, primary: "", term: heir[1].term };
        return write(record);
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
        const status = await order(endpoint, { kind: "status" });
        entry.looking = false;
        group.reached(endpoint.id, status !== undefined);
        if (status === undefined || status === "busy") {
            return;
        }
        entry.resigned = !status.primary;
        if (status.primary && group.leads(endpoint.id)) {
            group.learn(status.received, askedMs);
        }
    }

    function judge(group: groups.Group, record: tenure.Record): succession.Verdict {
        const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
        const others = options.peers.heard().flatMap(peer => {
            const contact = peer.digest?.contacts.find(entry =>
                entry.group === group.name && entry.primary === record.primary
            );
            if (contact === undefined) {
                return [];
            }
            // What a host said ages until it speaks again.
            const sinceMs = clock.now() - peer.heardMs;
            const age = (ms: number | undefined): number | undefined => (ms === undefined ? undefined : ms + sinceMs);
            return [{ answeredMs: age(contact.answeredMs), failingMs: contact.failingMs }];
        });
        const verdict = succession.judge({
            gone: endpoint === undefined,
            draining: endpoint?.draining ?? false,
            resigned: watch(group.name).resigned,
            own: group.contact(),
            others,
        });
        const young = clock.now() - watch(group.name).changedMs < settleMs;
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
        const stored = revisions.get(group.name);
        if (entry.acting || clock.now() < entry.restUntilMs || options.endpoints(group.name).length === 0) {
            return;
        }
        if (stored === undefined) {
            void act(group, () => found(group));
            return;
        }
        const { record } = stored;
        if (record.changing) {
            void act(group, () => replace(group, "unfinished"));
            return;
        }
        void look(group, record);
        const verdict = judge(group, record);
        if (verdict.replace) {
            void act(group, () => replace(group, verdict.reason));
        }
    }

    async function acquire(): Promise<void> {
        const lease = options.follower.lease();
        if (acquiring || lease === undefined) {
            return;
        }
        acquiring = true;
        const value = JSON.stringify({ holder: self.id, incarnation: self.incarnation });
        const taken = await remote.change({
            conditions: [{ key: registry.dutyKey, revision: 0 }],
            writes: [{ key: registry.dutyKey, value, lease }],
            deletes: [],
        });
        if (taken.isOk()) {
            take(taken.value);
        }
        // Without an answer the next reading of the keys tells.
        acquiring = false;
    }

    function take(next: number): void {
        if (token !== next) {
            token = next;
            events.emit("dutyTaken", { token });
        }
    }

    function tick(): void {
        const nowMs = clock.now();
        const paused = nowMs - lastLookMs > pauseMs;
        lastLookMs = nowMs;
        if (vacantMs !== undefined && nowMs - vacantMs >= rank() * storeMs / 5) {
            void acquire();
        }
        if (!holds() || paused) {
            return;
        }
        options.groups().forEach(supervise);
    }

    /** Place of this host among those that may take the duty: they try one after the other. */
    function rank(): number {
        const ids = options.peers.heard().filter(peer => !peer.member.leaving).map(peer => peer.member.id);
        return ids.filter(id => id < self.id).length;
    }

    return {
        holds,
        observe(contents) {
            contents.records.forEach(stored => {
                const known = revisions.get(stored.record.group);
                if (known === undefined || stored.revision > known.revision) {
                    revisions.set(stored.record.group, stored);
                }
            });
            const { duty } = contents;
            if (duty === undefined) {
                vacantMs ??= clock.now();
            }
            else {
                vacantMs = undefined;
            }
            if (duty?.holder === self.id && duty.incarnation === self.incarnation) {
                take(duty.token);
            }
            else if (token !== undefined && (duty === undefined || duty.token > token)) {
                token = undefined;
                events.emit("dutyLost", { holder: duty?.holder });
            }
        },
        start() {
            stop = clock.every(lookMs, tick);
        },
        close() {
            stop?.();
            token = undefined;
            probes.forEach(entry => entry.connection.close());
        },
    };
}
