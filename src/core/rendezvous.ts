/** Rendezvous (highest random weight) hashing: hosts with the same list of members pick the same member for a key. */
import * as crypto from "node:crypto";

function weightOf(key: string, member: string): string {
    return crypto.hash("sha1", `${key}\0${member}`, "hex");
}

/** Members by descending weight for the key. `rank("orders/ro-nord", ["h1", "h2"])` */
export function rank(key: string, members: readonly string[]): readonly string[] {
    const weighted = members.map(member => ({ member, weight: weightOf(key, member) }));
    weighted.sort((left, right) => (left.weight < right.weight ? 1 : -1));
    return weighted.map(entry => entry.member);
}

/** The member with the highest weight for the key; undefined without members. */
export function pick(key: string, members: readonly string[]): string | undefined {
    return rank(key, members)[0];
}
