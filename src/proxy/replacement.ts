/** The steps of replacing a primary: change the record, wait until no host relies on the old one, promote. */
import type * as directory from "../core/directory.js";
import * as failure from "../core/failure.js";
import type * as tenure from "../core/leadership.js";
import * as succession from "../core/promotion.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import * as messages from "./messages.js";
import type * as peers from "./peers.js";
import type * as probesPart from "./prober.js";
import * as registry from "./registry.js";
import type * as follower from "./storesync.js";

/** Settings of replacements. */
export interface Options {
    /** Id of this host. */
    readonly hostId: string;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly store: store.Store;
    readonly promotions: store.Promotions;
    readonly storeSync: follower.StoreSync;
    readonly peers: peers.Peers;
    readonly prober: probesPart.Prober;
    readonly leadership: tenure.Leadership;
    /** Age up to which other hosts rely on their proof, in milliseconds. */
    readonly proofMs: number;
    /** Token of the duty while this host holds it. */
    fencingToken(): number | undefined;
    endpoints(group: string): readonly directory.Endpoint[];
    /** Takes in a record that this host has written. */
    applyRecord(record: tenure.Record): void;
    /** Resolves once this host acknowledges nothing done at the primary that the record replaces. */
    applyAndFence(record: tenure.Record): Promise<void>;
}

/** Replaces primaries. */
export interface Replacer {
    /** Takes in records from the store. */
    observe(records: readonly registry.StoredRecord[]): void;
    record(group: string): tenure.Record | undefined;
    /** Replaces the primary of a group; false when it has to be tried again. */
    replace(group: groups.Group, reason: string): Promise<boolean>;
    /** Gives a group its first record. */
    createRecord(group: groups.Group): Promise<boolean>;
    /** Time since this host last settled a group's record, in milliseconds. */
    sinceReplacementMs(group: string): number;
}

const confirmMs = 250;
/** Time for which the store must have answered steadily for confirmations to replace waiting, in milliseconds. */
const steadyMs = 3_000;
/** Longest wait for a replica to receive the last commits of a primary that stepped down, in milliseconds. */
const catchUpMs = 800;
/** Longest wait for a promoted replica to lead, in milliseconds. */
const leadMs = 3_000;
const leadPollMs = 40;
/** Time without any primary before a group without a record gets one by promotion, in milliseconds. */
const orphanMs = 2_500;

/** Creates replacements that know no records. */
export function createReplacer(options: Options): Replacer {
    const { clock, events, store: remote, leadership: tenures, prober: probes } = options;
    const { send: order, statuses } = probes;
    const revisions = new Map<string, registry.StoredRecord>();
    const orphaned = new Map<string, number>();
    const settled = new Map<string, number>();

    const holds = (): boolean => options.fencingToken() !== undefined;

    /** Changes a group's record; a lost answer is read back. */
    async function write(record: tenure.Record): Promise<boolean> {
        const key = registry.recordKey(record.group);
        const held = revisions.get(record.group);
        const value = JSON.stringify(record);
        const changed = await remote.change({
            conditions: [{ key, revision: held?.revision ?? 0 }],
            writes: [{ key, value }],
            deletes: [],
        });
        if (changed.isOk()) {
            revisions.set(record.group, { record, revision: changed.value });
            options.applyRecord(record);
            return true;
        }
        const read = await remote.read(key);
        if (read.isErr()) {
            return false;
        }
        const contents = registry.parse([read.value.item]);
        contents.records.forEach(stored => {
            revisions.set(record.group, stored);
            options.applyRecord(stored.record);
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
        const contents = await options.storeSync.refresh();
        const [everyone] = await Promise.all([tell(record), options.applyAndFence(record)]);
        if (contents === undefined || !everyone || options.storeSync.sinceStoreFailureMs() < steadyMs) {
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
        settled.set(group, clock.now());
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
        // A primary that no host hears is not waited for; it is still told, in case it comes back.
        const silent = reason === "silent" || reason === "gone";
        const seen = await statuses(silent ? endpoints.filter(endpoint => endpoint !== old) : endpoints);
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
        const stopping = alone ? undefined : stepDown(old, term + 1);
        const ended = silent ? undefined : await stopping;
        const heir = alone ? old : await pick(group, endpoints, before.primary, ended);
        const token = options.fencingToken();
        if (heir === undefined || token === undefined) {
            return false;
        }
        const promoted = await options.promotions.promote(group.name, heir.id, options.hostId, token);
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
            const heir = succession.chooseCandidate(heirs);
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
        if (leader !== undefined) {
            orphaned.delete(group.name);
            return settle(group.name, leader[0], leader[1].term);
        }
        const sinceMs = orphaned.get(group.name) ?? clock.now();
        orphaned.set(group.name, sinceMs);
        const [heir] = [...seen].sort(([, left], [, right]) => right.received.index - left.received.index);
        if (clock.now() - sinceMs < orphanMs || heir === undefined) {
            return false;
        }
        const record = { group: group.name, epoch: 1, changing: true, primary: "", term: heir[1].term };
        return write(record);
    }

    return {
        replace,
        createRecord: found,
        record: group => revisions.get(group)?.record,
        sinceReplacementMs: group => clock.now() - (settled.get(group) ?? -Infinity),
        observe: records =>
            records.forEach(stored => {
                const known = revisions.get(stored.record.group);
                if (known === undefined || stored.revision > known.revision) {
                    revisions.set(stored.record.group, stored);
                }
            }),
    };
}
