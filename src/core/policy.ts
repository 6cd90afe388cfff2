/** The operators' rules in force: databases, organisations, their keys and their limits. */

/** What a database's reads may miss. */
export type Consistency =
    /** Every commit is seen. */
    | { readonly kind: "primary" }
    /** Commits older than the age are seen. */
    | { readonly kind: "bounded"; readonly maxAgeMs: number }
    /** Commits older than the age are seen, and all of the session's own. */
    | { readonly kind: "session"; readonly maxAgeMs: number };

/** One database as callers name it. */
export interface Route {
    readonly database: string;
    /** Database group whose endpoints serve the route. */
    readonly group: string;
    readonly consistency: Consistency;
    /** Time limit of one statement, in milliseconds. */
    readonly statementTimeoutMs: number;
    /** Time in which an operation should end, in milliseconds. */
    readonly latencyTargetMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** True when callers need no key. */
    readonly allowsAnonymous: boolean;
}

/** One organisation and its limits. */
export interface Organisation {
    readonly name: string;
    /** Operations a second over all hosts. */
    readonly ratePerSecond: number;
    /** Operations above the rate over all hosts. */
    readonly burst: number;
}

/** One database group. */
export interface Group {
    readonly name: string;
    /** Connections that each endpoint accepts from all hosts together. */
    readonly maxConnections: number;
}

/** All rules of one version. */
export interface Policy {
    /** Later versions have higher numbers. */
    readonly version: number;
    readonly routes: ReadonlyMap<string, Route>;
    readonly groups: ReadonlyMap<string, Group>;
    readonly organisations: ReadonlyMap<string, Organisation>;
    /** Organisation of each key. */
    readonly keys: ReadonlyMap<string, string>;
    /** Silence of a caller inside a transaction after which it may be rolled back, in milliseconds. */
    readonly transactionIdleMs: number;
}

/** Rules that allow nothing, in force before any are known. */
export const empty: Policy = {
    version: 0,
    routes: new Map(),
    groups: new Map(),
    organisations: new Map(),
    keys: new Map(),
    transactionIdleMs: 0,
};

/** The later of two policies: a host never goes back. */
export function newer(held: Policy, offered: Policy): Policy {
    return offered.version > held.version ? offered : held;
}
