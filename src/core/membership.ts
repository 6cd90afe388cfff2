/**
 * Gossip membership: which hosts are alive, by heartbeat counters that the hosts exchange. The view only guides where
 * work goes; no guarantee depends on it.
 */
import * as z from "zod";

/** Schema of one member on the wire. */
export const schema = z.object({
    id: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    /** Start time of the process; a higher one replaces a lower one. */
    incarnation: z.number(),
    /** Counter that the host increments while it runs. */
    heartbeat: z.number(),
    /** True when the host is shutting down. */
    leaving: z.boolean(),
}).readonly();

/** A host as described by itself. */
export type Member = z.infer<typeof schema>;

interface Entry {
    readonly member: Member;
    /** When the heartbeat last advanced, on the clock of this host. */
    readonly advancedAtMs: number;
    readonly suspected: boolean;
}

/** This host's view of the fleet. */
export interface Membership {
    /** Increments the heartbeat of this host. */
    advanceHeartbeat(): Member;
    /** Changes the description of this host. */
    updateSelf(change: Partial<Pick<Member, "leaving">>): void;
    /** Merges the members known to another host. */
    merge(members: readonly Member[], nowMs: number): void;
    /** Marks a host as suspected until its heartbeat advances. */
    suspect(id: string): void;
    /** Hosts that are neither silent nor suspected, this one included, ordered by id. */
    live(nowMs: number): readonly Member[];
    /** All known hosts, to be sent to other hosts. */
    known(): readonly Member[];
    find(id: string): Member | undefined;
}

/** This host, and the limit for the others. */
export interface Options {
    readonly self: Member;
    /** Time without a heartbeat after which a host counts as dead, in milliseconds. */
    readonly timeoutMs: number;
}

/** Time without a heartbeat after which a host is removed, as a multiple of the timeout. */
const removalFactor = 20;

/** Creates a view that contains only this host. */
export function createMembership(options: Options): Membership {
    let self = options.self;
    const entries = new Map<string, Entry>();

    function isNewer(next: Member, known: Member): boolean {
        return next.incarnation > known.incarnation
            || (next.incarnation === known.incarnation && next.heartbeat > known.heartbeat);
    }

    return {
        advanceHeartbeat() {
            self = { ...self, heartbeat: self.heartbeat + 1 };
            return self;
        },
        updateSelf(change) {
            self = { ...self, ...change };
        },
        merge(members, nowMs) {
            for (const member of members) {
                const known = entries.get(member.id);
                if (member.id !== self.id && (known === undefined || isNewer(member, known.member))) {
                    entries.set(member.id, { member, advancedAtMs: nowMs, suspected: false });
                }
            }
            for (const [id, entry] of entries) {
                if (nowMs - entry.advancedAtMs > options.timeoutMs * removalFactor) {
                    entries.delete(id);
                }
            }
        },
        suspect(id) {
            const entry = entries.get(id);
            if (entry !== undefined) {
                entries.set(id, { ...entry, suspected: true });
            }
        },
        live(nowMs) {
            const others = [...entries.values()]
                .filter(entry => !entry.suspected && nowMs - entry.advancedAtMs < options.timeoutMs)
                .map(entry => entry.member);
            return [self, ...others].sort((left, right) => (left.id < right.id ? -1 : 1));
        },
        known() {
            return [self, ...[...entries.values()].map(entry => entry.member)];
        },
        find(id) {
            return id === self.id ? self : entries.get(id)?.member;
        },
    };
}
