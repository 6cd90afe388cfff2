/** Messages between hosts, and between hosts and the platform: a Zod schema for each, and the type inferred from it. */
import * as z from "zod";
import * as freshness from "../core/freshness.js";
import * as membership from "../core/membership.js";
import * as positions from "../core/position.js";

/** A remote method: its name, and the schemas of its request and its reply. */
export interface Method<Request, Reply> {
    readonly name: string;
    readonly request: z.ZodType<Request>;
    readonly reply: z.ZodType<Reply>;
    /** True when requests or replies are large, so that other calls to the same process must not wait behind them. */
    readonly large?: boolean;
}

function method<Request, Reply>(
    name: string,
    request: z.ZodType<Request>,
    reply: z.ZodType<Reply>,
): Method<Request, Reply> {
    return { name, request, reply };
}

const empty = z.object({}).readonly();

/** One column of a result: its name and its MySQL type code. */
const column = z.object({ name: z.string(), type: z.number() }).readonly();

/** A value of a row as text; `null` stands for SQL NULL, here and on the wire. */
const cell = z.string().nullable();

/** Complete result of one statement. */
export const answer = z.object({
    columns: z.array(column).readonly(),
    rows: z.array(z.array(cell).readonly()).readonly(),
    affectedRows: z.number(),
    insertId: z.number(),
    /** Log position of a write, set once a majority holds it. */
    position: positions.schema.optional(),
    endpoint: z.string().optional(),
    replica: z.boolean().optional(),
}).readonly();
/** Complete result of one statement. */
export type Answer = z.infer<typeof answer>;

/** One endpoint of a database group. */
const endpoint = z.object({
    id: z.string(),
    host: z.string(),
    port: z.number(),
    region: z.string(),
    failureDomain: z.string(),
    /** Number of statements that the endpoint runs concurrently. */
    slots: z.number(),
    /** Number of connections that the endpoint accepts. */
    connections: z.number(),
    leaving: z.boolean(),
}).readonly();
/** One endpoint of a database group. */
export type Endpoint = z.infer<typeof endpoint>;

/** Platform's record of a database group: its term, primary and endpoints. */
const group = z.object({
    database: z.string(),
    term: z.number(),
    /** Absent while a promotion is in progress. */
    primary: z.string().optional(),
    endpoints: z.array(endpoint).readonly(),
}).readonly();
/** Platform's record of a database group: its term, primary and endpoints. */
export type Group = z.infer<typeof group>;

/** Records of all groups, and the revision at which they were read; a higher revision is newer. */
const groups = z.object({ revision: z.number(), groups: z.array(group).readonly() }).readonly();
/** Records of all groups, and the revision at which they were read; a higher revision is newer. */
export type Groups = z.infer<typeof groups>;

/** A host registered with the platform. */
const listedHost = z.object({ id: z.string(), address: z.string(), leaving: z.boolean() }).readonly();
/** A host registered with the platform. */
export type ListedHost = z.infer<typeof listedHost>;

/** A stored value and its revision; a key that does not exist has revision 0. */
const entry = z.object({ value: z.string().optional(), revision: z.number() }).readonly();
/** A stored value and its revision; a key that does not exist has revision 0. */
export type Entry = z.infer<typeof entry>;

/** Methods of the platform. */
export const platform = {
    read: method("read", z.object({ key: z.string() }).readonly(), entry),
    /** Compare-and-swap: replaces the value if the key has the expected revision. A value may expire after a lease. */
    swap: method(
        "swap",
        z.object({
            key: z.string(),
            expected: z.number(),
            value: z.string().optional(),
            leaseMs: z.number().optional(),
        }).readonly(),
        z.object({ swapped: z.boolean(), entry }).readonly(),
    ),
    /** Waits for a revision of the key after the given one. */
    watch: method("watch", z.object({ key: z.string(), after: z.number(), waitMs: z.number() }).readonly(), entry),
    /** Waits for a revision of the groups after the given one. */
    groups: method("groups", z.object({ after: z.number(), waitMs: z.number() }).readonly(), groups),
    /** Sets the term and the primary of a group if the group has the expected term. */
    change: method(
        "change",
        z.object({ database: z.string(), expected: z.number(), term: z.number(), primary: z.string().optional() })
            .readonly(),
        z.object({ changed: z.boolean(), group }).readonly(),
    ),
    hosts: method("hosts", empty, z.object({ hosts: z.array(listedHost).readonly() }).readonly()),
} as const;

/** Gossip digest: members that the sender knows, and the revisions of the state that it holds. */
const digest = z.object({
    members: z.array(membership.schema).readonly(),
    groupsRevision: z.number(),
    /** Keys of the platform's store that the sender watches. */
    registers: z.array(
        z.object({
            key: z.string(),
            revision: z.number(),
            /** Time since the sender last confirmed that its value is the newest, in milliseconds. */
            freshMs: z.number().optional(),
        }).readonly(),
    ).readonly(),
    /** Reachability of the store, as last reported from each failure domain. */
    words: z.array(freshness.schema).readonly(),
}).readonly();
/** Gossip digest: members that the sender knows, and the revisions of the state that it holds. */
export type Digest = z.infer<typeof digest>;

const execution = z.object({
    request: z.string(),
    organisation: z.string(),
    database: z.string(),
    text: z.string(),
    kind: z.enum(["read", "write"]),
    /** Session named by the caller; absent when the session is the caller's connection. */
    session: z.string().optional(),
    /** Idempotency key: a repeated request with the same id is not run again. */
    idempotencyId: z.string().optional(),
    /** Lowest log position that the read may be served from. */
    floor: positions.schema.optional(),
    /** Maximum staleness that the read accepts, in milliseconds. */
    maxAgeMs: z.number().optional(),
    timeoutMs: z.number(),
    transaction: z.string().optional(),
    /** True to run a read on the primary. */
    onPrimary: z.boolean().optional(),
}).readonly();
/** Request to execute one statement, sent to the host that owns its database. */
export type Execution = z.infer<typeof execution>;

const transactionBoundary = z.object({
    request: z.string(),
    organisation: z.string(),
    database: z.string(),
    transaction: z.string().optional(),
    session: z.string().optional(),
    timeoutMs: z.number(),
}).readonly();
/** Request to begin, commit or roll back a transaction. */
export type TransactionBoundary = z.infer<typeof transactionBoundary>;

/** Methods that hosts call on each other. */
export const peer = {
    /** Exchanges gossip digests. */
    exchange: method("exchange", digest, digest),
    configuration: method(
        "configuration",
        empty,
        z.object({
            revision: z.number(),
            /** Store revision of the configuration index that the document was loaded from. */
            stored: z.number(),
            document: z.string(),
        }).readonly(),
    ),
    groups: method("groups", empty, groups),
    value: method("value", z.object({ key: z.string() }).readonly(), entry),
    execute: method("execute", execution, answer),
    begin: method("begin", transactionBoundary, z.object({ transaction: z.string() }).readonly()),
    commit: method("commit", transactionBoundary, answer),
    rollback: method("rollback", transactionBoundary, answer),
    /** Returns the lowest log position that reads of a session may be served from. */
    floor: method(
        "floor",
        z.object({ database: z.string(), session: z.string(), timeoutMs: z.number() }).readonly(),
        z.object({ floor: positions.schema }).readonly(),
    ),
    /** Asks for a share of the receiver's rate-limit tokens. */
    lend: method(
        "lend",
        z.object({ organisation: z.string(), wanted: z.number() }).readonly(),
        z.object({
            tokens: z.number(),
            /** Tokens that the lender has left. */
            left: z.number(),
        }).readonly(),
    ),
    status: method("status", empty, z.object({ report: z.string() }).readonly()),
    explain: method(
        "explain",
        z.object({ route: z.string(), organisation: z.string(), text: z.string() }).readonly(),
        z.object({ report: z.string() }).readonly(),
    ),
    drain: method("drain", empty, empty),
} as const;
