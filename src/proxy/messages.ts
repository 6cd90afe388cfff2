/** Messages between hosts: each a schema and the type derived from it. */
import * as z from "zod";
import * as positions from "../core/position.js";
import * as tenure from "../core/tenure.js";
import type * as messages from "../ports/messages.js";

/** A host as it describes itself. */
export const member = z.object({
    id: z.string(),
    /** Address for other hosts. */
    address: z.string(),
    failureDomain: z.string(),
    /** Differs between two processes of one host. */
    incarnation: z.string(),
    leaving: z.boolean(),
}).readonly();
/** A host as it describes itself. */
export type Member = z.infer<typeof member>;

const sample = z.object({
    group: z.string(),
    position: positions.schema,
    /** Time since the primary was asked, in milliseconds. */
    ageMs: z.number().min(0),
}).readonly();

const contact = z.object({
    group: z.string(),
    /** Epoch of the record that names the primary. */
    epoch: z.number(),
    answeredMs: z.number().optional(),
    failingMs: z.number().optional(),
}).readonly();

const listing = z.object({
    /** Digest of the endpoints listed: equal for equal listings. */
    hash: z.string(),
    ageMs: z.number().min(0),
}).readonly();

/** What a host tells another about itself and what it knows. */
export const digest = z.object({
    self: member,
    /** Version of the configuration in force. */
    version: z.number(),
    tenures: z.array(tenure.schema).readonly(),
    /** Age of the proof that the records are in force, in milliseconds; absent without any. */
    proofAgeMs: z.number().optional(),
    /** Time since the store last answered this host, in milliseconds; absent when it never did. */
    storeAgeMs: z.number().optional(),
    /** The newest listing of endpoints that the host has. */
    listing: listing.optional(),
    samples: z.array(sample).readonly(),
    contacts: z.array(contact).readonly(),
    /** What this host asked and admitted, by organisation. */
    account: z.record(
        z.string(),
        z.object({ demand: z.number(), admitted: z.number(), left: z.number() }).readonly(),
    ).readonly(),
    /** Statements running and waiting, and connections open, by endpoint; those with neither are left out. */
    endpoints: z.record(z.string(), z.tuple([z.number(), z.number()]).readonly()).readonly(),
    /** Ids and addresses of hosts that the sender knows. */
    known: z.array(member).readonly(),
}).readonly();
/** What a host tells another about itself and what it knows. */
export type Digest = z.infer<typeof digest>;

const endpoint = z.object({
    id: z.string(),
    group: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    slots: z.number(),
    draining: z.boolean(),
    primary: z.boolean(),
    born: z.number(),
}).readonly();

const nothing = z.object({}).readonly();

function method<Request, Reply>(
    name: string,
    request: z.ZodType<Request>,
    reply: z.ZodType<Reply>,
): messages.Method<Request, Reply> {
    return { name, request, reply };
}

/** Calls between hosts. */
export const peer = {
    exchange: method("exchange", digest, digest),
    /** Takes in a record of a primary; the answer confirms that the host no longer relies on an older one. */
    record: method("record", tenure.schema, nothing),
    /** The configuration as stored, and the endpoints, for a host that can't read the store. */
    catalogue: method(
        "catalogue",
        nothing,
        z.object({
            version: z.number(),
            configuration: z.string(),
            endpoints: z.array(endpoint).readonly(),
            /** Age of the listing of endpoints, in milliseconds; absent when there was none. */
            ageMs: z.number().optional(),
        }).readonly(),
    ),
} as const;
