/** Which hosts are alive, by heartbeat counters that hosts exchange. A view steers; no promise rests on it. */
import * as z from "zod";

/** Schema of one member on the wire. */
export const schema = z.object({
    id: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    /** Start time of the process; a larger one replaces a smaller one. */
    incarnation: z.number(),
    heartbeat: z.number(),
    leaving: z.boolean(),
}).readonly();

/** One host as it described itself. */
export type Member = z.infer<typeof schema>;

interface Entry {
    readonly member: Member;
    readonly seenMs: number;
    readonly suspected: boolean;
}

/** This host's view of the fleet. */
export interface Membership {
    /** Advances this host's own heartbeat. */
    advanceHeartbeat(): Member;
    /** Changes this host's own description. */
    updateSelf(change: Partial<Pick<Member, "leaving">>): void;
    /** Takes in what another host knows. */
    merge(members: readonly Member[], nowMs: number): void;
    /** Marks a host as not answering until its heartbeat advances. */
    suspect(id: string): void;
    /** Hosts that answer, this one included, in order of their ids. */
    live(nowMs: number): readonly Member[];
    /** Every host heard of, to be told to others. */
    known(): readonly Member[];
    find(id: string): Member | undefined;
}

/** Settings of a view. */
export interface Options {
    readonly self: Member;
    /** Silence after which a host counts as dead, in milliseconds. */
    readonly timeoutMs: number;
}

/** Silence after which a dead host is forgotten, in units of the timeout. */
const forgetFactor = 20;

/** Creates a view that holds only this host. */
export function createMembership(options: Options): Membership {
    let self = options.self;
    const entries = new Map<string, Entry>();

    function supersedes(next: Member, known: Member): boolean {
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
                if (member.id !== self.id && (known === undefined || supersedes(member, known.member))) {
                    entries.set(member.id, { member, seenMs: nowMs, suspected: false });
                }
            }
            for (const [id, entry] of entries) {
                if (nowMs - entry.seenMs > options.timeoutMs * forgetFactor) {
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
                .filter(entry => !entry.suspected && nowMs - entry.seenMs < options.timeoutMs)
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
