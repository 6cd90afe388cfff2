/**
 * Replication among simulated endpoints, and the writes of a caller: a commit is acknowledged once enough replicas have received
 * it and a host passes the answer on. Tells which promotions lose acknowledged commits.
 */
import * as simulatedEndpoints from "./simulatedendpoints.js";
import type * as simulatedFleets from "./simulatedfleet.js";

/** The replication of one group. */
export interface Replication {
    /** Replicas that receive nothing. */
    readonly deaf: Set<string>;
    /** Number of log entries that were acknowledged. */
    acknowledged(): number;
    /** Promotions so far that lacked acknowledged commits. */
    readonly losses: readonly string[];
    /** Lets replicas receive, and places a write; to be called at each step of the clock. */
    step(nowMs: number): void;
    /** Ends an endpoint's process; its entry lapses unless it starts again. */
    crash(id: string): void;
    /** Starts an endpoint's process again, with its log or without. */
    restart(id: string, keepsLog: boolean): void;
}

const writeIntervalMs = 20;
const lapseMs = 3_600;

/** Creates the replication of the fleet's group, whose commits need that many replicas. */
export function createReplication(fleet: simulatedFleets.Fleet, copies: number): Replication {
    const { endpoints, clock } = fleet;
    const deaf = new Set<string>();
    const losses: string[] = [];
    const deadSinceMs = new Map<string, number>();
    let acknowledged = 1;
    let newestTerm = Math.max(...endpoints.map(endpoint => endpoint.term));

    const find = (id: string): simulatedEndpoints.Endpoint => endpoints.find(endpoint => endpoint.id === id) as never;

    function leader(): simulatedEndpoints.Endpoint | undefined {
        const leading = endpoints.filter(endpoint => endpoint.alive && endpoint.primary);
        return leading.sort((left, right) => right.term - left.term)[0];
    }

    function checkPromotion(): void {
        const leading = leader();
        if (leading !== undefined && leading.term > newestTerm) {
            newestTerm = leading.term;
            if (leading.received < acknowledged) {
                losses.push(`${leading.id} leads with ${leading.received} of ${acknowledged} at ${clock.now()} ms`);
                acknowledged = leading.received;
            }
        }
    }

    /** A replica follows the newest primary: it drops what that one lacks, and receives what itself lacks. */
    function replicate(): readonly simulatedEndpoints.Endpoint[] {
        const leading = leader();
        const followers = endpoints.filter(endpoint =>
            endpoint !== leading && endpoint.alive && !endpoint.primary && !deaf.has(endpoint.id)
            && endpoint.term <= (leading?.term ?? -1)
        );
        followers.forEach(follower => {
            follower.term = leading?.term ?? follower.term;
            follower.received = leading?.received ?? follower.received;
        });
        return followers;
    }

    function write(): void {
        const passing = fleet.hosts.flatMap((host, number) => {
            const primary = host.leadership.find(simulatedEndpoints.group)?.primary ?? "";
            const reached = endpoints.find(({ id, alive, cutFrom }) => id === primary && alive && !cutFrom.has(number));
            const acknowledges = !fleet.down.has(number) && !fleet.frozen.has(number)
                && host.leadership.isPrimary(simulatedEndpoints.group, primary, clock.now());
            return reached?.primary === true && acknowledges ? [reached] : [];
        });
        const target = passing[0];
        if (target !== undefined) {
            target.received += 1;
            const receivers = target === leader() ? replicate() : [];
            acknowledged = receivers.length >= copies ? Math.max(acknowledged, target.received) : acknowledged;
        }
    }

    return {
        deaf,
        losses,
        acknowledged: () => acknowledged,
        step(nowMs) {
            checkPromotion();
            replicate();
            if (nowMs % writeIntervalMs === 0) {
                write();
            }
            for (const [id, sinceMs] of deadSinceMs) {
                if (nowMs - sinceMs >= lapseMs) {
                    find(id).listed = false;
                }
            }
        },
        crash(id) {
            find(id).alive = false;
            deadSinceMs.set(id, clock.now());
        },
        restart(id, keepsLog) {
            const endpoint = find(id);
            deadSinceMs.delete(id);
            const isNewest = endpoint.term >= Math.max(...endpoints.map(other => other.term));
            Object.assign(endpoint, { alive: true, listed: true, born: endpoint.born + 1 });
            endpoint.primary = endpoint.primary && isNewest && keepsLog;
            if (!keepsLog) {
                Object.assign(endpoint, { received: 0, term: 0 });
            }
        },
    };
}
