/** Messages between the system's processes, and with the platform: each a schema and the type derived from it. */
import * as z from "zod";
import * as freshness from "../core/freshness.js";
import * as membership from "../core/membership.js";
import * as positions from "../core/position.js";

/** A call: its name, the schema of what is asked and of what is answered. */
export interface Method<Request, Reply> {
    readonly name: string;
    readonly request: z.ZodType<Request>;
    readonly reply: z.ZodType<Reply>;
}

function method<Request, Reply>(
    name: string,
    request: z.ZodType<Request>,
    reply: z.ZodType<Reply>,
): Method<Request, Reply> {
    return { name, request, reply };
}

const nothing = z.object({}).readonly();

/** One column of a result: its name and its MySQL type code. */
const column = z.object({ name: z.string(), type: z.number() }).readonly();

/** A value as text; SQL's NULL is `null` here, as on the wire. */
const cell = z.string().nullable();

/** The whole answer to one statement. */
export const answer = z.object({
    columns: z.array(column).readonly(),
    rows: z.array(z.array(cell).readonly()).readonly(),
    affectedRows: z.number(),
    insertId: z.number(),
    /** Position of the write, once a majority holds it. */
    position: positions.schema.optional(),
    endpoint: z.string().optional(),
    replica: z.boolean().optional(),
}).readonly();
/** The whole answer to one statement. */
export type Answer = z.infer<typeof answer>;

/** One endpoint of a database group. */
const endpoint = z.object({
    id: z.string(),
    host: z.string(),
    port: z.number(),
    region: z.string(),
    failureDomain: z.string(),
    /** Statements that the endpoint runs at once. */
    slots: z.number(),
    /** Connections that the endpoint accepts. */
    connections: z.number(),
    leaving: z.boolean(),
}).readonly();
/** One endpoint of a database group. */
export type Endpoint = z.infer<typeof endpoint>;

/** A database group as the platform records it. */
const group = z.object({
    database: z.string(),
    term: z.number(),
    /** Absent while a promotion is under way. */
    primary: z.string().optional(),
    endpoints: z.array(endpoint).readonly(),
}).readonly();
/** A database group as the platform records it. */
export type Group = z.infer<typeof group>;

/** All groups, with the revision that orders them. */
const groups = z.object({ revision: z.number(), groups: z.array(group).readonly() }).readonly();
/** All groups, with the revision that orders them. */
export type Groups = z.infer<typeof groups>;

/** A host on the platform's list. */
const listed = z.object({ id: z.string(), address: z.string(), leaving: z.boolean() }).readonly();
/** A host on the platform's list. */
export type Listed = z.infer<typeof listed>;

/** A stored value; absent values have revision 0. */
const entry = z.object({ value: z.string().optional(), revision: z.number() }).readonly();
/** A stored value; absent values have revision 0. */
export type Entry = z.infer<typeof entry>;

/** The platform's calls. */
export const platform = {
    read: method("read", z.object({ key: z.string() }).readonly(), entry),
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
    watch: method("watch", z.object({ key: z.string(), after: z.number(), waitMs: z.number() }).readonly(), entry),
    groups: method("groups", z.object({ after: z.number(), waitMs: z.number() }).readonly(), groups),
    change: method(
        "change",
        z.object({ database: z.string(), expected: z.number(), term: z.number(), primary: z.string().optional() })
            .readonly(),
        z.object({ changed: z.boolean(), group }).readonly(),
    ),
    hosts: method("hosts", nothing, z.object({ hosts: z.array(listed).readonly() }).readonly()),
} as const;

/** What a host tells another about itself and what it knows. */
const digest = z.object({
    members: z.array(membership.schema).readonly(),
    groupsRevision: z.number(),
    /** Values of the store that the sender follows. */
    registers: z.array(
        z.object({
            key: z.string(),
            revision: z.number(),
            /** Age of the sender's proof that its value is the newest, in milliseconds. */
            freshMs: z.number().optional(),
        }).readonly(),
    ).readonly(),
    words: z.array(freshness.schema).readonly(),
}).readonly();
/** What a host tells another about itself and what it knows. */
export type Digest = z.infer<typeof digest>;

const execution = z.object({
    request: z.string(),
    organisation: z.string(),
    database: z.string(),
    text: z.string(),
    kind: z.enum(["read", "write"]),
    /** Session named by the caller; absent when the session is one connection. */
    session: z.string().optional(),
    /** Id that makes the request idempotent. */
    idempotencyId: z.string().optional(),
    floor: positions.schema.optional(),
    maxAgeMs: z.number().optional(),
    timeoutMs: z.number(),
    transaction: z.string().optional(),
    /** Run the read on the primary. */
    onPrimary: z.boolean().optional(),
}).readonly();
/** One statement on its way to the owner of its database. */
export type Execution = z.infer<typeof execution>;

const boundary = z.object({
    request: z.string(),
    organisation: z.string(),
    database: z.string(),
    transaction: z.string().optional(),
    session: z.string().optional(),
    timeoutMs: z.number(),
}).readonly();
/** The start or the end of a transaction. */
export type Boundary = z.infer<typeof boundary>;

/** Calls between hosts. */
export const peer = {
    exchange: method("exchange", digest, digest),
    configuration: method(
        "configuration",
        nothing,
        z.object({
            revision: z.number(),
            /** Revision of the index in the store that the document was read by. */
            stored: z.number(),
            document: z.string(),
        }).readonly(),
    ),
    groups: method("groups", nothing, groups),
    value: method("value", z.object({ key: z.string() }).readonly(), entry),
    execute: method("execute", execution, answer),
    begin: method("begin", boundary, z.object({ transaction: z.string() }).readonly()),
    commit: method("commit", boundary, answer),
    rollback: method("rollback", boundary, answer),
    floor: method(
        "floor",
        z.object({ database: z.string(), session: z.string(), timeoutMs: z.number() }).readonly(),
        z.object({ floor: positions.schema }).readonly(),
    ),
    lend: method(
        "lend",
        z.object({ organisation: z.string(), wanted: z.number() }).readonly(),
        z.object({
            tokens: z.number(),
            /** Tokens that the lender still holds. */
            left: z.number(),
        }).readonly(),
    ),
    status: method("status", nothing, z.object({ report: z.string() }).readonly()),
    explain: method(
        "explain",
        z.object({ route: z.string(), organisation: z.string(), text: z.string() }).readonly(),
        z.object({ report: z.string() }).readonly(),
    ),
    drain: method("drain", nothing, nothing),
} as const;
