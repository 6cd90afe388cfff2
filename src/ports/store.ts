/** Port to the platform's key-value store: revisions, conditional transactions, leases and watches. */
import type * as neverthrow from "neverthrow";

/** Why a call to the store failed. */
export type StoreError =
    /** The store rejected the call; it had no effect. */
    | { readonly kind: "refused"; readonly message: string }
    /** A condition of the transaction did not hold. */
    | { readonly kind: "conflict" }
    /** The key or lease does not exist, or the history asked for is no longer kept. */
    | { readonly kind: "missing" }
    /** No reply arrived: the call may have taken effect, or may still do so. */
    | { readonly kind: "unanswered"; readonly message: string }
    /** The store came back from an older copy of its data, before or while it handled the call. */
    | { readonly kind: "restored"; readonly message: string };

/** The newest era of the store: it rises each time the store comes back from an older copy of its data. */
export interface Era {
    /** The newest known era; undefined until the store has responded. */
    current(): number | undefined;
    /** Called with the era of each response, errors included. */
    observe(era: number): void;
}

/** A stored key and value. */
export interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    /** Id of the lease that the item is attached to; 0 if none. */
    readonly lease: number;
}

/** Items, and the store revision at which they were read. */
export interface Range {
    readonly items: readonly Item[];
    readonly revision: number;
}

/** What changed under a prefix, and the store revision up to which that is known. */
export interface Changes extends Range {
    /** Keys that were removed. One that was written again since then is among the items too, with a higher revision. */
    readonly removed: readonly { readonly key: string; readonly revision: number }[];
}

/** Transaction that is applied only if all its conditions hold. */
export interface Change {
    /** Revision that each key must have; 0 means that the key must not exist. */
    readonly conditions: readonly { readonly key: string; readonly revision: number }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease?: number }[];
    readonly deletes: readonly string[];
}

/** Promise of a call's result or error. */
export type Outcome<T> = Promise<neverthrow.Result<T, StoreError>>;

/** Client of the store. A result of any call holds for the era that was current when the call was made. */
export interface Store {
    /** Reads one item, and the store revision at which it was read. */
    read(key: string): Outcome<{ readonly item: Item; readonly revision: number }>;
    /** Reads all items whose keys have the prefix, page by page. */
    range(prefix: string): Outcome<Range>;
    /**
     * Waits up to `waitMs` for a change under the prefix. Resolves to the items that were written or removed since, and to
     * the revision to pass as `after` next time.
     */
    watch(prefix: string, after: number, waitMs: number): Outcome<Changes>;
    /** Applies a transaction; resolves to its revision. */
    change(change: Change): Outcome<number>;
    /** Creates a lease; resolves to its id and the time to live that the store granted. */
    grant(ttlMs: number): Outcome<{ readonly lease: number; readonly ttlMs: number }>;
    renew(lease: number): Outcome<void>;
    close(): void;
}

/** Promotion of endpoints to primary. */
export interface Promotions {
    /**
     * Promotes an endpoint of a group. Resolves to true when it becomes primary, to false when it is not running.
     * Fencing tokens order the holders of the failover lock, so that calls of a former holder can be recognised.
     */
    promote(group: string, endpoint: string, holder: string, token: number): Outcome<boolean>;
}
