/** Rendezvous (highest random weight) hashing: every host with the same members picks the same home. */
import * as crypto from "node:crypto";

function weigh(key: string, member: string): string {
    return crypto.createHash("sha1").update(key).update("\0").update(member).digest("hex");
}

/** Members by falling weight for the key. `order("orders/ro-nord", ["h1", "h2"])` */
export function rank(key: string, members: readonly string[]): readonly string[] {
    const weighed = members.map(member => ({ member, weight: weigh(key, member) }));
    weighed.sort((left, right) => (left.weight < right.weight ? 1 : -1));
    return weighed.map(entry => entry.member);
}

/** The home of the key, or undefined without members. */
export function pick(key: string, members: readonly string[]): string | undefined {
    return rank(key, members)[0];
}
