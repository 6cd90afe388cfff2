/** The steps of replacing a primary: change the record, wait until no host relies on the old one, promote a replica. */
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import * as decisions from "../core/relocation.js";
import * as storeEra from "../core/storeera.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as peers from "./peers.js";
import type * as probers from "./prober.js";
import * as recordNotices from "./recordnotice.js";
import * as registry from "./registry.js";
import type * as relocations from "./relocation.js";
import * as replicaSets from "./replicasets.js";
import type * as storeSyncs from "./storesync.js";
import * as successorChoices from "./successorchoice.js";

/** Settings of a replacer. */
export interface Options {
    /** Id of this host. */
    readonly hostId: string;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    readonly store: store.Store;
    readonly era: store.Era;
    readonly promotions: store.Promotions;
    readonly storeSync: storeSyncs.StoreSync;
    readonly peers: peers.Peers;
    readonly prober: probers.Prober;
    readonly leadership: leadership.Leadership;
    readonly relocation: relocations.Relocation;
    /** Maximum age of the proof on which other hosts still rely, in milliseconds. */
    readonly maxProofAgeMs: number;
    /** Fencing token of the failover lock; undefined unless this host holds it. */
    fencingToken(): number | undefined;
    endpoints(group: string): readonly directory.Endpoint[];
    /** Applies a record that this host has written to or read from the store. */
    applyRecord(record: leadership.Record): void;
    /** Applies a record; resolves once this host no longer acknowledges work done at the primary that it replaces. */
    applyAndFence(record: leadership.Record): Promise<void>;
}

/** Replaces primaries; only the holder of the failover lock may call it. */
export interface Replacer {
    /** Applies records read from the store. */
    observe(records: readonly registry.StoredRecord[]): void;
    /** Forgets the stored records, whose revisions mean nothing in a new era of the store. */
    storeRestored(): void;
    /** The newest known record of a group. */
    record(group: string): leadership.Record | undefined;
    /** Replaces the primary of a group. Resolves to false when the attempt failed and has to be repeated. */
    replace(group: groups.Group, reason: string): Promise<boolean>;
    /** Creates the first record of a group. Resolves to false when the attempt has to be repeated. */
    createRecord(group: groups.Group): Promise<boolean>;
    /** Brings the set of the group's replicas that may hold acknowledged commits up to date. */
    reviewReplicas(group: groups.Group): Promise<void>;
    /** Time since this host last completed a replacement in the group, in milliseconds; Infinity when it never did. */
    sinceReplacementMs(group: string): number;
}

/** Time for which peers are told of the record that ends a replacement; those that miss it learn it from digests. */
const finalNoticeTimeoutMs = 500;
/**
 * If a request to the store failed within this time, the old proofs are left to expire even when all peers have
 * confirmed the new record.
 */
const minStoreUptimeMs = 3_000;
/** Hosts that one log line names at most. */
const maxLoggedHosts = 5;
/** Time limit for a promoted replica to report itself as primary. */
const promotionTimeoutMs = 3_000;
/** Time limit for one query of a promoted replica, which may be slow. */
const statusTimeoutMs = 1_500;
/** Pause between two queries of an endpoint's status. */
const statusPollIntervalMs = 40;
/** Time for which a group without a record must have had no primary before a replica is promoted. */
const noPrimaryTimeoutMs = 2_500;

/** Creates a replacer that knows no records. */
export function createReplacer(options: Options): Replacer {
    const { clock, events, store: client, leadership, prober } = options;
    const { send, statuses } = prober;
    const notice = recordNotices.createRecordNotice({ clock, peers: options.peers });
    const successorChoice = successorChoices.createSuccessorChoice(options);
    const storedRecords = new Map<string, registry.StoredRecord>();
    const replicas = replicaSets.createReplicaSets({
        ...options,
        syncReplicas: successorChoice.syncReplicas,
        mayContact: endpoint => options.relocation.mayContact(endpoint),
        record: group => storedRecords.get(group)?.record,
        async write(record, set) {
            const token = options.fencingToken();
            const epoch = storeEra.next(record.epoch, options.era.current() ?? 0);
            return token !== undefined && write({ ...record, epoch, replicas: set }, token);
        },
    });
    const noPrimarySinceMs = new Map<string, number>();
    const replacedAtMs = new Map<string, number>();
    /**
     * Until then, hosts that this one hasn't met may rely on a poll that an earlier process at its address answered.
     */
    const earlierAnswersUntilMs = clock.now() + options.maxProofAgeMs;

    /** True while this host still holds the lock that it held when an attempt began. */
    const holdsLock = (token: number): boolean => options.fencingToken() === token;

    /** Changes a group's record. If the change seems to fail, reads the record back to find out whether it was made. */
    async function write(record: leadership.Record, token: number): Promise<boolean> {
        const era = options.era.current();
        if (era === undefined || !holdsLock(token)) {
            return false;
        }
        const key = registry.recordKey(era, record.group);
        const current = storedRecords.get(record.group);
        const value = JSON.stringify(record);
        const changed = await client.change({
            conditions: [{ key, revision: current?.revision ?? 0 }],
            writes: [{ key, value }],
            deletes: [],
        });
        if (changed.isOk()) {
            storedRecords.set(record.group, { record, revision: changed.value });
            options.applyRecord(record);
            return true;
        }
        if (options.era.current() !== era) {
            return false;
        }
        const read = await client.read(key);
        if (read.isErr()) {
            return false;
        }
        const snapshot = registry.parse(era, [read.value.item]);
        snapshot.records.forEach(stored => {
            storedRecords.set(record.group, stored);
            options.applyRecord(stored.record);
        });
        return read.value.item.value === value;
    }

    /**
     * Waits until no host relies on the previous record: every host has confirmed the new one, or every proof of the
     * previous one has expired. False when the new record is no longer in force or the lock is lost.
     */
    async function fence(record: leadership.Record, token: number): Promise<boolean> {
        const writtenAtMs = clock.now();
        const expiredAtMs = writtenAtMs + options.maxProofAgeMs;
        const snapshot = await options.storeSync.refresh();
        const [unconfirmed] = await Promise.all([
            notice.confirmAll(record, expiredAtMs),
            options.applyAndFence(record),
        ]);
        const isConfirmed = snapshot !== undefined && unconfirmed.length === 0;
        const mustExpire = !isConfirmed || options.storeSync.sinceStoreFailureMs() < minStoreUptimeMs;
        const untilMs = mustExpire ? expiredAtMs : earlierAnswersUntilMs;
        if (untilMs > clock.now()) {
            await clock.sleep(untilMs - clock.now());
        }
        const current = leadership.find(record.group);
        const inForce = holdsLock(token) && current?.epoch === record.epoch;
        if (inForce) {
            events.emit("primaryFenced", {
                group: record.group,
                epoch: record.epoch,
                confirmed: isConfirmed,
                unconfirmedHosts: unconfirmed.length,
                unconfirmed: unconfirmed.slice(0, maxLoggedHosts),
                waitedMs: Math.round(clock.now() - writtenAtMs),
            });
        }
        return inForce;
    }

    /** Writes the record that ends a replacement, and sends it to the peers. */
    async function finish(group: string, primary: string, term: number, token: number): Promise<boolean> {
        const epoch = storeEra.next(storedRecords.get(group)?.record.epoch ?? 0, options.era.current() ?? 0);
        const record = { group, epoch, changing: false, primary, term, ...replicas.next(group) };
        if (!await write(record, token)) {
            return false;
        }
        replacedAtMs.set(group, clock.now());
        await notice.confirmAll(record, clock.now() + finalNoticeTimeoutMs);
        return true;
    }

    /** Makes the old primary a replica. Resolves to its status, with the end of its log; undefined without a reply. */
    async function stepDown(
        endpoint: directory.Endpoint | undefined,
        term: number,
    ): Promise<connections.Status | undefined> {
        const status = endpoint === undefined ? undefined : await send(endpoint, { kind: "stepDown", term });
        return status === "busy" ? undefined : status;
    }

    /** Waits until a promoted endpoint reports itself as primary. Resolves to its term, or undefined on a time-out. */
    async function waitForPrimary(
        endpoint: directory.Endpoint,
        term: number,
        token: number,
    ): Promise<number | undefined> {
        const deadlineMs = clock.now() + promotionTimeoutMs;
        while (clock.now() < deadlineMs && holdsLock(token)) {
            const status = await send(endpoint, { kind: "status" }, statusTimeoutMs);
            if (status !== undefined && status !== "busy" && status.primary && status.term > term) {
                return status.term;
            }
            await clock.sleep(statusPollIntervalMs);
        }
        return undefined;
    }

    /**
     * True if a planned replacement can succeed without a long interruption of the writes: a successor answers and has
     * received nearly all of the log, and the fence need not wait for answers of an earlier process. Near its bound it goes
     * ahead without that.
     */
    async function canBegin(group: groups.Group, primary: string, reason: string): Promise<boolean> {
        const endpoints = options.endpoints(group.name);
        const successors = options.relocation.successors(group.name, primary, reason);
        const statusById = await statuses(endpoints.filter(({ id }) => id === primary || successors.has(id)));
        const isUrgent = options.relocation.isUrgent(endpoints.find(({ id }) => id === primary));
        const endsAtOnce = clock.now() >= earlierAnswersUntilMs;
        const end = statusById.get(primary)?.received;
        return [...statusById].some(([id, { received }]) =>
            id !== primary && successors.has(id)
            && (isUrgent || (endsAtOnce && decisions.isCaughtUp(received, end)))
        );
    }

    async function replace(group: groups.Group, reason: string): Promise<boolean> {
        const stored = storedRecords.get(group.name);
        const token = options.fencingToken();
        if (stored === undefined || token === undefined) {
            return false;
        }
        const { record: previous } = stored;
        if (decisions.isPlanned(reason) && !await canBegin(group, previous.primary, reason)) {
            return false;
        }
        events.emit("primarySuspected", {
            group: group.name,
            primary: previous.primary,
            reason,
            epoch: previous.epoch,
        });
        const changingRecord = {
            ...previous,
            epoch: previous.epoch + 1,
            changing: true,
            ...replicas.next(group.name),
        };
        if (!await write(changingRecord, token) || !await fence(changingRecord, token)) {
            return false;
        }
        // A replica may have joined and gone since the last listing, and be the only one to hold commits acknowledged before the fence.
        if (successorChoice.syncReplicas(group.name) > 0 && !await options.storeSync.readEndpoints()) {
            return false;
        }
        const endpoints = options.endpoints(group.name);
        const oldPrimary = endpoints.find(endpoint => endpoint.id === previous.primary);
        // The step-down is also sent to a primary that no host reaches, in case it comes back, but not waited for.
        const unreachable = reason === "silent" || reason === "gone";
        const statusById = await statuses(
            unreachable ? endpoints.filter(endpoint => endpoint !== oldPrimary) : endpoints,
        );
        const alreadyPromoted = [...statusById].find(([, status]) => status.primary && status.term > previous.term);
        if (alreadyPromoted !== undefined) {
            return finish(group.name, alreadyPromoted[0], alreadyPromoted[1].term, token);
        }
        const oldStatus = statusById.get(previous.primary);
        const successors = options.relocation.successors(group.name, previous.primary, reason);
        const noReplica = ![...statusById.keys()].some(id => id !== previous.primary && successors.has(id));
        if (noReplica && oldStatus?.primary === true) {
            // No replica answers, so the primary stays.
            return finish(group.name, previous.primary, oldStatus.term, token);
        }
        if (noReplica && !successors.has(previous.primary)) {
            return false;
        }
        const term = Math.max(previous.term, ...[...statusById.values()].map(status => status.term));
        const stepDownResult = noReplica ? undefined : stepDown(oldPrimary, term + 1);
        const finalStatus = unreachable ? undefined : await stepDownResult;
        const candidate = noReplica && successorChoice.syncReplicas(group.name) === 0
            ? oldPrimary
            : await successorChoice.choose(group, {
                endpoints,
                previous: previous.primary,
                successors,
                finalStatus: noReplica ? oldStatus : finalStatus,
                listed: () => options.endpoints(group.name),
                replicas: replicas.next(group.name).replicas ?? [],
            });
        if (candidate === undefined || !holdsLock(token)) {
            return false;
        }
        // Without a response, the replica may have been promoted all the same, so its status decides.
        const promoted = await options.promotions.promote(group.name, candidate.id, options.hostId, token);
        if (promoted.isOk() && !promoted.value) {
            return false;
        }
        const newTerm = await waitForPrimary(candidate, previous.term, token);
        if (newTerm === undefined) {
            return false;
        }
        // It may have been out of reach until now, which must not count against it as the new primary.
        group.recordAnswer(candidate.id);
        options.relocation.countReplacement(group.name);
        events.emit("primaryPromoted", {
            group: group.name,
            primary: candidate.id,
            term: newTerm,
            replaced: previous.primary,
        });
        return finish(group.name, candidate.id, newTerm, token);
    }

    async function createRecord(group: groups.Group): Promise<boolean> {
        const [era, token] = [options.era.current(), options.fencingToken()];
        if (era === undefined || token === undefined) {
            return false;
        }
        const endpoints = options.endpoints(group.name);
        const statusById = await statuses(endpoints);
        const primaries = [...statusById].filter(([, status]) => status.primary);
        primaries.sort(([, left], [, right]) => right.term - left.term);
        const primary = primaries[0];
        if (primary !== undefined) {
            noPrimarySinceMs.delete(group.name);
            return finish(group.name, primary[0], primary[1].term, token);
        }
        const sinceMs = noPrimarySinceMs.get(group.name) ?? clock.now();
        noPrimarySinceMs.set(group.name, sinceMs);
        const [candidate] = [...statusById].sort(([, left], [, right]) => right.received.index - left.received.index);
        if (clock.now() - sinceMs < noPrimaryTimeoutMs || candidate === undefined) {
            return false;
        }
        // A record that is marked as changing makes the coordinator promote a replica.
        const epoch = storeEra.next(0, era);
        const { term } = candidate[1];
        const record = { group: group.name, epoch, changing: true, primary: "", term, ...replicas.next(group.name) };
        return write(record, token);
    }

    return {
        replace,
        createRecord,
        reviewReplicas: replicas.review,
        record: group => storedRecords.get(group)?.record,
        storeRestored: () => storedRecords.clear(),
        sinceReplacementMs: group => clock.now() - (replacedAtMs.get(group) ?? -Infinity),
        observe: records =>
            records.forEach(stored => {
                const known = storedRecords.get(stored.record.group);
                if (known === undefined || stored.revision > known.revision) {
                    storedRecords.set(stored.record.group, stored);
                }
            }),
    };
}
