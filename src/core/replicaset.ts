/**
 * The endpoints of a database group whose logs may hold acknowledged commits that no other log holds. Where the primary
 * acknowledges a commit once some replicas have received it, one that is no longer listed, or that has started anew without
 * its log, may have been the only one to receive the newest commits. It stays in the set until other replicas have them.
 */
import * as z from "zod";
import * as positions from "./position.js";

/** Schema of one process of an endpoint. */
export const schema = z.object({
    id: z.string(),
    /** Start time of the process. One with another start time may have lost the log. */
    born: z.number().int(),
    address: z.string(),
    failureDomain: z.string(),
    /** True once its log is known to have had an entry. */
    hasLog: z.boolean(),
}).readonly();

/** One process of an endpoint; the primary's is in the set too, as it becomes a replica when it is replaced. */
export type Replica = z.infer<typeof schema>;

/** Identity of a process. */
export type Process = Pick<Replica, "id" | "born">;

const isSame = (left: Process, right: Process): boolean => left.id === right.id && left.born === right.born;

/** The replicas of the set that are not among the processes. */
export function without<T extends Process>(replicas: readonly T[], processes: readonly Process[]): readonly T[] {
    return replicas.filter(replica => !processes.some(process => isSame(process, replica)));
}

/** The set together with the listed processes; the same array if it has them all. */
export function join(
    replicas: readonly Replica[],
    listed: readonly Omit<Replica, "hasLog">[],
): readonly Replica[] {
    const added = without(listed, replicas).map(({ id, born, address, failureDomain }) => ({
        id,
        born,
        address,
        failureDomain,
        hasLog: false,
    }));
    return added.length === 0 ? replicas : [...replicas, ...added];
}

/** True if the process has ended, because another one with the same id has started since. */
export function isSuperseded(replica: Process, listed: readonly Process[]): boolean {
    return listed.some(({ id, born }) => id === replica.id && born > replica.born);
}

/**
 * True if an endpoint that answers with this end of its log has lost what the replica had received. Its listing may still name
 * the earlier process, as one that has started anew may not reach the store.
 */
export function hasForgotten(replica: Pick<Replica, "hasLog">, received: positions.Position): boolean {
    return replica.hasLog && received.index === 0;
}

/**
 * Number of replicas whose logs contain all of the primary's. Replicas that had gone before the primary was asked for the end of
 * its log hold nothing that these lack.
 */
export function countCaughtUp(received: readonly positions.Position[], primary: positions.Position): number {
    return received.filter(position => positions.compare(position, primary) >= 0).length;
}
