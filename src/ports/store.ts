/** Port to the platform's store: items with revisions, conditions, leases and watches. */
import type * as neverthrow from "neverthrow";

/** Why a call to the store gave nothing. */
export type StoreError =
    /** Nothing was done. */
    | { readonly kind: "refused"; readonly message: string }
    /** A condition did not hold. */
    | { readonly kind: "conflict" }
    /** No such key, lease or history. */
    | { readonly kind: "missing" }
    /** No answer: the call may have taken effect, or may do so later. */
    | { readonly kind: "unanswered"; readonly message: string };

/** A stored item. */
export interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    /** 0 without a lease. */
    readonly lease: number;
}

/** Items with the store's revision when they were read. */
export interface Range {
    readonly items: readonly Item[];
    readonly revision: number;
}

/** A change to make if all its conditions hold. */
export interface Change {
    /** Revision that each key must have; 0 for a key that must not exist. */
    readonly conditions: readonly { readonly key: string; readonly revision: number }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease?: number }[];
    readonly deletes: readonly string[];
}

/** A promised result. */
export type Outcome<T> = Promise<neverthrow.Result<T, StoreError>>;

/** The store, as one process calls it. */
export interface Store {
    /** One item, with the store's revision when it was read. */
    read(key: string): Outcome<{ readonly item: Item; readonly revision: number }>;
    /** All items below a prefix, in pages. */
    range(prefix: string): Outcome<Range>;
    /** Waits for changes below a prefix after a revision; resolves to the revision to go on from. */
    watch(
        prefix: string,
        after: number,
        waitMs: number,
    ): Outcome<{ readonly changed: boolean; readonly revision: number }>;
    /** Resolves to the revision of the change. */
    change(change: Change): Outcome<number>;
    grant(ttlMs: number): Outcome<{ readonly lease: number; readonly ttlMs: number }>;
    renew(lease: number): Outcome<void>;
    revoke(lease: number): Outcome<void>;
    close(): void;
}

/** Calls that name the primary of a database group. */
export interface Promotions {
    /**
     * Resolves to true when the endpoint takes over, to false when it is not running.
     * The token orders holders of the duty.
     */
    promote(group: string, endpoint: string, holder: string, token: number): Outcome<boolean>;
}
