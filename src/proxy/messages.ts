/** Messages between hosts: each a schema and the type derived from it. */
import * as z from "zod";
import * as tenure from "../core/leadership.js";
import type * as allowances from "../core/limiter.js";
import type * as positions from "../core/position.js";
import type * as succession from "../core/promotion.js";
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

/** What a host tells another about itself and what it knows; ages in milliseconds. */
export interface Digest {
    readonly self: Member;
    /** Version of the configuration in force. */
    readonly configurationVersion: number;
    readonly primaryRecords: readonly tenure.Record[];
    /** Age of the proof that the records are in force; absent without any. */
    readonly proofAgeMs: number | undefined;
    /** Time since the store last answered this host; absent when it never did. */
    readonly storeResponseAgeMs: number | undefined;
    /** The newest listing of endpoints that the host has. */
    readonly endpointListing: EndpointListing | undefined;
    readonly positionSamples: readonly PositionSample[];
    readonly primaryContacts: readonly PrimaryContact[];
    /** What this host asked and admitted, by organisation. */
    readonly organisationUsage: allowances.UsageByOrganisation;
    /** Statements running and waiting, and connections open, by endpoint; those with neither are left out. */
    readonly endpointUsage: Readonly<Record<string, readonly [load: number, open: number]>>;
    /** Hosts that the sender knows. */
    readonly knownMembers: readonly Member[];
    /** What the sender tells of cells: of its own to another cell, of the others to its own. */
    readonly cellSummaries: readonly CellSummary[];
}

/** What the hosts of a cell are and do together, as one of its speakers heard it. */
export interface CellSummary {
    readonly cell: string;
    /** Number of the frame in which the cell's hosts count what they admit. */
    readonly baselineId: number;
    /** Time since the hosts told what is summed up, on average. */
    readonly ageMs: number;
    /** Hosts that the speaker heard, itself included. */
    readonly liveHosts: number;
    /** Hosts of the cell that exist but were not heard. */
    readonly suspectedHosts: number;
    /** Time since each of the hosts had been asked for its proof; absent when one never was. */
    readonly pollAgeMs: number | undefined;
    /** Age of the youngest proof among the hosts; absent without any. */
    readonly proofAgeMs: number | undefined;
    readonly organisationUsage: allowances.UsageByOrganisation;
    readonly endpointUsage: Digest["endpointUsage"];
}

/** A listing of endpoints that a host has. */
export interface EndpointListing {
    /** Digest of the endpoints listed: equal for equal listings. */
    readonly hash: string;
    readonly ageMs: number;
}

/** A position that a group's primary reported, and the time since it was asked. */
export interface PositionSample {
    readonly group: string;
    readonly position: positions.Position;
    readonly ageMs: number;
}

/** A host's contact with a group's primary. */
export interface PrimaryContact extends succession.Contact {
    readonly group: string;
    /** Epoch of the record that names the primary. */
    readonly epoch: number;
}

/** What of a digest rarely changes, and the names that a telling's numbers stand for. */
export const digestHeader = z.object({
    self: member,
    version: z.number(),
    tenures: z.array(tenure.schema).readonly(),
    known: z.array(member).readonly(),
    organisations: z.array(z.string()).readonly(),
    endpoints: z.array(z.string()).readonly(),
    groups: z.array(z.string()).readonly(),
}).readonly();
/** What of a digest rarely changes, and the names that a telling's numbers stand for. */
export type DigestHeader = z.infer<typeof digestHeader>;

const numbers = z.array(z.number()).readonly();

/** A digest for one host, without what that host has; ages in milliseconds, -1 for none. */
export const encodedDigest = z.tuple([
    z.number().describe("number of the sending process"),
    z.number().describe("number of the outline that is in force"),
    digestHeader.nullable().describe("the outline, unless the other host has it"),
    z.number().nullable().describe("number of the other host's outline that the sender has"),
    z.number().describe("age of the proof"),
    z.number().describe("time since the store answered"),
    z.tuple([z.string(), z.number()]).readonly().nullable().describe("listing of endpoints: digest and age"),
    numbers.describe("samples: group, term, number, age"),
    numbers.describe("contacts: group, epoch, time since the answer, time since the first failure"),
    numbers.describe("account: organisation, demand in tenths a second, admitted, left"),
    numbers.describe("use: endpoint, statements, connections"),
    z.array(
        z.tuple([
            z.string().describe("cell"),
            numbers.describe("frame, age, hosts heard, hosts not heard, time since all were asked, age of the proof"),
            numbers.describe("account, as above"),
            numbers.describe("use, as above"),
        ]).readonly(),
    ).readonly().describe("summaries of cells"),
]).readonly();
/** A digest for one host, without what that host has. */
export type EncodedDigest = z.infer<typeof encodedDigest>;

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
    exchange: method("exchange", encodedDigest, encodedDigest),
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
