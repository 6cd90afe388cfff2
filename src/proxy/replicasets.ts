/** Keeps the set of replicas that may hold acknowledged commits in the records of groups with synchronous replicas. */
import * as backoffs from "../core/backoff.js";
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import * as positions from "../core/position.js";
import * as replicaSet from "../core/replicaset.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as probers from "./prober.js";

/** Collaborators of the replica sets. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    readonly prober: Pick<probers.Prober, "send" | "statuses">;
    /** Replicas that must have received a commit of the group before it is acknowledged. */
    syncReplicas(group: string): number;
    endpoints(group: string): readonly directory.Endpoint[];
    /** False for an endpoint that may be sent nothing, not even a probe. */
    mayContact(endpoint: directory.Endpoint): boolean;
    /** The newest stored record of a group. */
    record(group: string): leadership.Record | undefined;
    /** Stores the record with another set of replicas; resolves to false if the attempt has to be repeated. */
    write(record: leadership.Record, replicas: readonly replicaSet.Replica[]): Promise<boolean>;
}

/** The replica sets of all groups. */
export interface ReplicaSets {
    /** The set for the group's next record: the stored one and, with synchronous replicas, all listed endpoints. */
    next(group: string): Pick<leadership.Record, "replicas">;
    /** Stores endpoints that have joined the group, and leaves out those that are gone once others have their commits. */
    review(group: groups.Group): Promise<void>;
}

/** Pause after a failed attempt to store endpoints that have joined. */
const joinPauseMs = 250;
/** Pauses after reviews that had to keep an endpoint that is gone, or found one without a log. */
const reviewPauses: backoffs.Options = { firstMs: 500, maxMs: 2_000 };
/** No jitter: only the host with the failover lock reviews. */
const evenPause = 0.5;
/** Queries of the replicas until they have received what the primary had. */
const catchUpQueries = 5;
/** Pause between two of these queries. */
const catchUpPauseMs = 60;

interface State {
    reviewing: boolean;
    joinAtMs: number;
    maintainAtMs: number;
    readonly backoff: backoffs.Backoff;
}

/** Creates the replica sets; nothing is stored before the first review. */
export function createReplicaSets(options: Options): ReplicaSets {
    const { clock, events, prober } = options;
    const states = new Map<string, State>();

    function stateOf(group: string): State {
        const known = states.get(group);
        if (known !== undefined) {
            return known;
        }
        const backoff = backoffs.createBackoff(reviewPauses);
        const created = { reviewing: false, joinAtMs: 0, maintainAtMs: 0, backoff };
        states.set(group, created);
        return created;
    }

    function next(group: string): Pick<leadership.Record, "replicas"> {
        const stored = options.record(group)?.replicas;
        if (options.syncReplicas(group) === 0) {
            return stored === undefined ? {} : { replicas: stored };
        }
        return { replicas: replicaSet.join(stored ?? [], options.endpoints(group)) };
    }

    /** True if the endpoint answers although it isn't listed: it may go on to receive commits. */
    async function isAlive(group: string, replica: replicaSet.Replica): Promise<boolean> {
        const listed = options.endpoints(group);
        if (replicaSet.isSuperseded(replica, listed)) {
            return false;
        }
        const endpoint = { ...replica, group, slots: 1, draining: false, primary: false, sequence: 0 };
        return !options.mayContact(endpoint) || await prober.send(endpoint, { kind: "status" }) !== undefined;
    }

    /** Number of replicas that have received all of the primary's log; waits a moment for those that lack the end. */
    async function countCaughtUp(
        replicas: readonly directory.Endpoint[],
        primary: positions.Position,
        copies: number,
    ): Promise<number> {
        for (let query = 1;; query += 1) {
            const statusById = await prober.statuses(replicas);
            const count = replicaSet.countCaughtUp([...statusById.values()].map(({ received }) => received), primary);
            if (count >= copies || query === catchUpQueries) {
                return count;
            }
            await clock.sleep(catchUpPauseMs);
        }
    }

    /** End of the primary's log; undefined if it doesn't answer as primary, or has lost a part of its log. */
    async function primaryEnd(
        group: groups.Group,
        record: leadership.Record,
    ): Promise<positions.Position | undefined> {
        const primary = options.endpoints(group.name).find(({ id }) => id === record.primary);
        const status = primary === undefined ? undefined : await prober.send(primary, { kind: "status" });
        return status !== undefined && status !== "busy" && status.primary && status.term === record.term
                && positions.compare(status.received, group.newestSample()?.position ?? positions.zero) >= 0
            ? status.received
            : undefined;
    }

    /** Leaves out absent replicas that do not answer. Resolves to false if some have to stay in the set. */
    async function release(
        group: groups.Group,
        record: leadership.Record,
        replicas: readonly replicaSet.Replica[],
        absent: readonly replicaSet.Replica[],
    ): Promise<boolean> {
        const copies = options.syncReplicas(group.name);
        const startMs = clock.now();
        const [primary, alive] = await Promise.all([
            primaryEnd(group, record),
            Promise.all(absent.map(replica => isAlive(group.name, replica))),
        ]);
        const gone = absent.filter((_, index) => alive[index] !== true);
        const others = options.endpoints(group.name).filter(({ id }) => id !== record.primary);
        const caughtUp = primary === undefined || gone.length === 0 ? 0 : await countCaughtUp(others, primary, copies);
        const isUnchanged = options.record(group.name)?.epoch === record.epoch
            && replicaSet.without(gone, options.endpoints(group.name)).length === gone.length;
        const released = gone.length > 0 && caughtUp >= copies && isUnchanged
            && await options.write(record, replicaSet.without(replicas, gone));
        events.emit(released ? "replicasReleased" : "replicasKept", {
            group: group.name,
            epoch: record.epoch,
            gone: gone.map(({ id, born }) => ({ id, born })),
            answering: replicaSet.without(absent, gone).map(({ id, born }) => ({ id, born })),
            primary: record.primary,
            primaryReceived: primary,
            caughtUp,
            syncReplicas: copies,
            tookMs: Math.round(clock.now() - startMs),
        });
        return released && gone.length === absent.length;
    }

    /**
     * Notes which endpoints have a log, so that one that has lost it can be told from one that never had any. Resolves to
     * undefined if there is nothing to note, otherwise to whether it was stored.
     */
    async function noteLogs(
        group: groups.Group,
        record: leadership.Record,
        replicas: readonly replicaSet.Replica[],
    ): Promise<boolean | undefined> {
        const listed = options.endpoints(group.name);
        const unknown = replicaSet.without(
            replicas.filter(({ hasLog }) => !hasLog),
            replicaSet.without(replicas, listed),
        );
        if (unknown.length === 0) {
            return undefined;
        }
        const statusById = await prober.statuses(listed.filter(({ id }) => unknown.some(replica => replica.id === id)));
        const noted = unknown.filter(({ id }) => (statusById.get(id)?.received.index ?? 0) > 0);
        if (noted.length === 0 || options.record(group.name)?.epoch !== record.epoch) {
            return undefined;
        }
        return options.write(
            record,
            replicas.map(replica => (noted.includes(replica) ? { ...replica, hasLog: true } : replica)),
        );
    }

    async function storeJoined(
        group: groups.Group,
        record: leadership.Record,
        replicas: readonly replicaSet.Replica[],
    ): Promise<boolean> {
        const stored = await options.write(record, replicas);
        events.emit("replicasJoined", {
            group: group.name,
            epoch: record.epoch,
            joined: replicaSet.without(replicas, record.replicas ?? []).map(({ id, born }) => ({ id, born })),
            replicas: replicas.length,
            stored,
        });
        return stored;
    }

    /** Notes logs and releases what is gone. Resolves to false if there is more to do after a pause. */
    async function maintain(group: groups.Group, record: leadership.Record): Promise<boolean> {
        const { replicas = [] } = record;
        const noted = await noteLogs(group, record, replicas);
        if (noted !== undefined) {
            return noted;
        }
        const absent = replicaSet.without(replicas, options.endpoints(group.name));
        return absent.length === 0
            ? replicas.every(({ hasLog }) => hasLog)
            : release(group, record, replicas, absent);
    }

    return {
        next,
        async review(group) {
            const { name } = group;
            const record = options.record(name);
            const state = stateOf(name);
            if (record === undefined || record.changing || options.syncReplicas(name) === 0 || state.reviewing) {
                return;
            }
            const { replicas = [] } = next(name);
            const hasJoined = replicas !== record.replicas;
            if (clock.now() < (hasJoined ? state.joinAtMs : state.maintainAtMs)) {
                return;
            }
            state.reviewing = true;
            try {
                if (hasJoined) {
                    state.joinAtMs = await storeJoined(group, record, replicas) ? 0 : clock.now() + joinPauseMs;
                }
                else if (await maintain(group, record)) {
                    state.backoff.succeed();
                }
                else {
                    state.maintainAtMs = clock.now() + state.backoff.fail(evenPause);
                }
            }
            finally {
                state.reviewing = false;
            }
        },
    };
}
