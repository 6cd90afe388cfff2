/** The operators' policy in force: databases, organisations, keys and limits. */
import type * as homes from "./homes.js";

/** Which commits the reads of a database must see. */
export type Consistency =
    /** All commits. */
    | { readonly kind: "primary" }
    /** Commits older than the age, in milliseconds (bounded staleness). */
    | { readonly kind: "bounded"; readonly maxAgeMs: number }
    /** Commits older than the age, in milliseconds, and all commits of the own session (read your writes). */
    | { readonly kind: "session"; readonly maxAgeMs: number };

/** A database under the name that callers use. */
export interface Route {
    readonly database: string;
    /** Database group whose endpoints serve the route. */
    readonly group: string;
    readonly consistency: Consistency;
    /** Time limit of one statement, in milliseconds. */
    readonly statementTimeoutMs: number;
    /** Target for the latency of one operation, in milliseconds. */
    readonly latencyTargetMs: number;
    /** Scheduling priority; 0 is the most urgent. */
    readonly priority: number;
    /** True when callers need no key. */
    readonly allowsAnonymous: boolean;
    /** Regions in which the route's requests may be handled; everywhere if undefined. */
    readonly homes?: homes.Homes;
}

/** One organisation and its limits. */
export interface Organisation {
    readonly name: string;
    /** Operations per second over all hosts. */
    readonly ratePerSecond: number;
    /** Number of operations that may exceed the rate at once, over all hosts. */
    readonly burst: number;
    /** Regions in which the organisation's requests may be handled; everywhere if undefined. */
    readonly homes?: homes.Homes;
}

/** A database group: a primary and its replicas. */
export interface Group {
    readonly name: string;
    /** Maximum number of connections to each endpoint from all hosts together. */
    readonly maxConnections: number;
    /** Replicas that must have received a commit before the primary acknowledges it. */
    readonly syncReplicas: number;
    /** Time for which an endpoint is slow after its start, in milliseconds; absent if it never is. */
    readonly coldStartMs?: number;
    /** Requests a second that a slow endpoint is meant to get from all hosts together; absent if there is no bound. */
    readonly coldPerSecond?: number;
}

/** One version of the policy. */
export interface Policy {
    /** Increases with each change. */
    readonly version: number;
    readonly routes: ReadonlyMap<string, Route>;
    readonly groups: ReadonlyMap<string, Group>;
    readonly organisations: ReadonlyMap<string, Organisation>;
    /** Organisation name by key. */
    readonly keys: ReadonlyMap<string, string>;
    /** Names of organisations that are left out, with their keys, because endpoints can't be told their names. */
    readonly leftOut?: readonly string[];
    /** Idle time after which an open transaction may be rolled back, in milliseconds. */
    readonly transactionIdleMs: number;
}

/** Policy that permits nothing, in force until the first one is read. */
export const empty: Policy = {
    version: 0,
    routes: new Map(),
    groups: new Map(),
    organisations: new Map(),
    keys: new Map(),
    transactionIdleMs: 0,
};

/** Regions that routes and organisations name as homes. */
export function homeRegions(policy: Policy): readonly string[] {
    const entries = [...policy.routes.values(), ...policy.organisations.values()];
    return [...new Set(entries.flatMap(entry => [...entry.homes ?? []]))];
}

/** The policy with the higher version; a host never returns to an earlier one. */
export function newer(held: Policy, offered: Policy): Policy {
    return offered.version > held.version ? offered : held;
}
