/** Comparison of endpoint listings, on one host and between hosts. */
import * as crypto from "node:crypto";
import type * as directory from "../core/directory.js";

/** Length of the hash of an endpoint listing, in base64 characters. */
const hashLength = 10;

/** Text that is the same for equal listings, in whatever order. */
export function serialise(endpoints: readonly directory.Endpoint[]): string {
    const rows = endpoints.map(entry =>
        JSON.stringify([entry.id, entry.address, entry.draining, entry.primary, entry.born])
    );
    return rows.sort().join();
}

/** Hash of a listing, which hosts tell each other instead of the listing. */
export function hash(endpoints: readonly directory.Endpoint[]): string {
    return crypto.createHash("sha1").update(serialise(endpoints)).digest("base64").slice(0, hashLength);
}
