/** Chooses the endpoint that follows a primary, by the ends of the logs. */
import type * as directory from "../core/directory.js";
import * as promotion from "../core/promotion.js";
import * as replicaSet from "../core/replicaset.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import type * as groups from "./group.js";
import type * as probers from "./prober.js";
import type * as relocations from "./relocation.js";
import type * as storeSyncs from "./storesync.js";

/** Collaborators of the choice. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    readonly prober: Pick<probers.Prober, "statuses">;
    readonly relocation: Pick<relocations.Relocation, "servedRoutes">;
    readonly storeSync: Pick<storeSyncs.StoreSync, "policy">;
}

/** Endpoints among which a new primary is chosen, once no host acknowledges commits of the old one. */
export interface Candidates {
    /** All endpoints of the group. */
    readonly endpoints: readonly directory.Endpoint[];
    /** Id of the old primary. */
    readonly previous: string;
    /** Endpoints that may become primary. */
    readonly successors: ReadonlySet<string>;
    /** Status of the old primary after it stepped down; undefined without a reply. */
    readonly finalStatus: connections.Status | undefined;
    /** Endpoints that may hold acknowledged commits, whether they are listed or not. */
    readonly replicas: readonly replicaSet.Replica[];
    /** The endpoints of the group that are listed at the moment of the call. */
    listed(): readonly directory.Endpoint[];
}

/** The choice of new primaries. */
export interface SuccessorChoice {
    /** Replicas that must have received a commit of the group before it was acknowledged. */
    syncReplicas(group: string): number;
    /**
     * Chooses the replica with most of the log, once it has received the old primary's whole log or the time limit is over.
     * One that shuts down itself would soon have to be replaced, so one that stays gets until the time limit to catch up.
     * With synchronous replicas it must hold every acknowledged commit, so the wait is longer; if none does, the old primary
     * stays if its log is known. Resolves to undefined if nothing can be promoted in this attempt.
     */
    choose(group: groups.Group, candidates: Candidates): Promise<directory.Endpoint | undefined>;
}

/** Time limit for a replica to receive the last commits of a primary that stepped down. */
const catchUpTimeoutMs = 800;
/** Time limit for the replicas to tell the ends of their logs; one that is slow or busy answers after some seconds. */
const logsTimeoutMs = 2_000;
/** Pause between two queries of the logs. */
const pollIntervalMs = 40;

/** Creates the choice of new primaries. */
export function createSuccessorChoice(options: Options): SuccessorChoice {
    const { clock } = options;

    const syncReplicas = (group: string): number => options.storeSync.policy().groups.get(group)?.syncReplicas ?? 0;

    /** True if a replica that stays may still answer, or receive what the candidate, which shuts down, already has. */
    function mayOvertake(
        candidate: promotion.Candidate | undefined,
        successors: readonly directory.Endpoint[],
        answered: ReadonlySet<string>,
        canCatchUp: boolean,
    ): boolean {
        return candidate?.draining === true
            && successors.some(({ id, draining }) => !draining && (canCatchUp || !answered.has(id)));
    }

    /** The holders without those that answer and are still listed as the same process, with their logs. */
    function withoutAnswer(
        holders: readonly replicaSet.Replica[],
        listed: readonly directory.Endpoint[],
        statusById: ReadonlyMap<string, connections.Status>,
    ): readonly replicaSet.Replica[] {
        return holders.filter(holder => {
            const status = statusById.get(holder.id);
            return status === undefined || replicaSet.without([holder], listed).length > 0
                || replicaSet.hasForgotten(holder, status.received);
        });
    }

    async function choose(group: groups.Group, candidates: Candidates): Promise<directory.Endpoint | undefined> {
        const { endpoints, previous, successors, finalStatus } = candidates;
        const copies = syncReplicas(group.name);
        const holders = candidates.replicas.filter(({ id }) => id !== previous);
        const oldProcesses = candidates.replicas.filter(({ id }) => id === previous);
        const isSynchronous = copies > 0;
        const startMs = clock.now();
        const timeoutMs = finalStatus !== undefined ? catchUpTimeoutMs : isSynchronous ? logsTimeoutMs : 0;
        const oldPrimary = endpoints.find(({ id }) => id === previous);
        const replicas = endpoints.filter(endpoint => endpoint !== oldPrimary);
        const mayLead = ({ id }: directory.Endpoint): boolean => successors.has(id);
        const asked = isSynchronous ? replicas : replicas.filter(mayLead);
        const eligible = asked.filter(mayLead);
        const hasLostLog = finalStatus !== undefined
            && oldProcesses.some(replica => replicaSet.hasForgotten(replica, finalStatus.received));
        const patienceMs = isSynchronous && finalStatus === undefined ? logsTimeoutMs : undefined;
        for (;;) {
            const statusById = await options.prober.statuses(asked, patienceMs);
            const candidate = promotion.chooseCandidate(
                eligible.flatMap(endpoint => {
                    const status = statusById.get(endpoint.id);
                    return status === undefined ? [] : [{
                        endpoint: endpoint.id,
                        received: status.received,
                        draining: endpoint.draining,
                        servedRoutes: options.relocation.servedRoutes(endpoint),
                        roundTripMs: group.roundTripMs(endpoint.id),
                    }];
                }),
            );
            const missing = withoutAnswer(holders, candidates.listed(), statusById);
            const logs: promotion.Logs = {
                unanswered: missing.length,
                // The unknown old primary of a group without a record is one of the endpoints.
                copies: isSynchronous && previous === "" ? copies + 1 : copies,
                answered: [...statusById.values()].map(status => status.received),
                oldPrimary: hasLostLog ? undefined : finalStatus?.received,
                reported: group.newestSample()?.position,
            };
            const answered = new Set(statusById.keys());
            const waitsForOther = mayOvertake(candidate, eligible, answered, finalStatus !== undefined);
            const isLate = clock.now() - startMs >= (waitsForOther ? Math.max(timeoutMs, catchUpTimeoutMs) : timeoutMs);
            const isComplete = isSynchronous || finalStatus === undefined
                || (candidate?.received.index ?? 0) >= finalStatus.received.index;
            const isChosen = candidate !== undefined && promotion.holdsAcknowledged(candidate.received, logs)
                && ((isComplete && !waitsForOther) || isLate);
            const stays = !isChosen && isLate && isSynchronous && oldPrimary !== undefined && mayLead(oldPrimary)
                && finalStatus !== undefined && promotion.holdsAcknowledged(finalStatus.received, logs);
            if (isChosen || isLate) {
                options.events.emit(isChosen || stays ? "successorChosen" : "promotionWithheld", {
                    group: group.name,
                    chosen: stays ? previous : candidate?.endpoint,
                    syncReplicas: copies,
                    received: Object.fromEntries([...statusById].map(([id, { received }]) => [id, received])),
                    draining: eligible.filter(({ draining }) => draining).map(({ id }) => id),
                    unanswered: asked.filter(({ id }) => !statusById.has(id)).map(({ id }) => id),
                    missing: isSynchronous ? missing.map(({ id, born }) => ({ id, born })) : [],
                    oldPrimary: logs.oldPrimary,
                    reported: logs.reported,
                    waitedMs: Math.round(clock.now() - startMs),
                });
                return stays ? oldPrimary : isChosen ? asked.find(({ id }) => id === candidate.endpoint) : undefined;
            }
            await clock.sleep(pollIntervalMs);
        }
    }

    return { syncReplicas, choose };
}
