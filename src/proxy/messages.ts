/** Messages between hosts: the schema of each and the type derived from it. */
import * as z from "zod";
import type * as evacuation from "../core/evacuation.js";
import type * as evidence from "../core/evidence.js";
import * as leadership from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import type * as positions from "../core/position.js";
import type * as promotion from "../core/promotion.js";
import type * as rooms from "../core/room.js";
import type * as messages from "../ports/messages.js";

/** The description that a host gives of itself. */
export const member = z.object({
    id: z.string(),
    /** Address on which the host serves other hosts. */
    address: z.string(),
    failureDomain: z.string(),
    /** Identifies the process: it changes with each restart of the host. */
    incarnation: z.string(),
    /** True once the host has begun to shut down. */
    leaving: z.boolean(),
    /** Processor capacity of the host, in cores. */
    capacity: z.number().positive().default(1),
}).readonly();
/** The description that a host gives of itself. */
export type Member = z.infer<typeof member>;

/** The state of a host, as exchanged by gossip; ages in milliseconds. */
export interface Digest {
    readonly self: Member;
    /** Version of the configuration in force. */
    readonly configurationVersion: number;
    /** The newest era of the store that the host knows; undefined if none. */
    readonly storeEra: number | undefined;
    readonly primaryRecords: readonly leadership.Record[];
    /** Age of the proof that the records are in force; undefined without a proof. */
    readonly proofAgeMs: number | undefined;
    /** Time since the last response of the store to this host; undefined if there was none. */
    readonly storeResponseAgeMs: number | undefined;
    /** The newest endpoint listing that the host has. */
    readonly endpointListing: EndpointListing | undefined;
    /** The newest sample of each group. */
    readonly positionSamples: readonly PositionSample[];
    readonly primaryContacts: readonly PrimaryContact[];
    /** Demand and admitted operations of this host, by organisation. */
    readonly organisationUsage: limiters.UsageByOrganisation;
    /** Running and queued statements, and open connections, by endpoint; idle endpoints are left out. */
    readonly endpointUsage: Readonly<Record<string, readonly [load: number, connections: number]>>;
    /** Outcomes of this host's recent statements, by endpoint; only for endpoints that some host saw fail. */
    readonly endpointOutcomes: Readonly<Record<string, evidence.Outcomes>>;
    /** Every host that the sender knows. */
    readonly knownMembers: readonly Member[];
    /** A summary of the sender's own cell; a delegate adds those of the other cells in digests to its own cell. */
    readonly cellSummaries: readonly CellSummary[];
    /** Evacuated failure domains; undefined if the host doesn't know them. */
    readonly evacuations?: evacuation.EvacuationSet;
    /** The holder of the failover lock: its fencing token and the host's id; absent if the sender has not heard of any. */
    readonly lockHolder?: readonly [token: number, host: string] | undefined;
    /** Room of the sender; absent if it doesn't measure it. */
    readonly room?: rooms.Report | undefined;
}

/** The state of all hosts of a cell together, as seen by one of them. */
export interface CellSummary {
    readonly cell: string;
    /** Identifies the baseline that the cell's counts of admitted operations refer to. */
    readonly baselineId: number;
    /** Mean age of the digests that are summarised. */
    readonly ageMs: number;
    /** Hosts of the cell that are live, the summarising host included. */
    readonly liveHosts: number;
    /** Registered hosts of the cell that are silent. */
    readonly suspectedHosts: number;
    /** Every host of the cell was polled within this time; undefined if one never was. */
    readonly pollAgeMs: number | undefined;
    /** Age of the newest proof among the hosts; undefined without a proof. */
    readonly proofAgeMs: number | undefined;
    readonly organisationUsage: limiters.UsageByOrganisation;
    readonly endpointUsage: Digest["endpointUsage"];
    readonly endpointOutcomes: Digest["endpointOutcomes"];
    /** Rooms of the cell's hosts; absent from hosts of older versions. */
    readonly rooms?: CellRooms | undefined;
}

/** Rooms of the hosts of a cell, in the order of their ids. */
export interface CellRooms {
    /** Hash of the ids of the cell's hosts, by which a receiver tells whether it knows the same ones. */
    readonly idsHash: number;
    /** Undefined for hosts that are silent or don't report their room. */
    readonly reports: readonly (CellRoom | undefined)[];
}

/** Room of a host of another cell. */
export type CellRoom = Pick<rooms.Report, "spare" | "strained">;

/** Hash and age of a host's endpoint listing, which is the list of all endpoints as read from the store. */
export interface EndpointListing {
    /** Hash of the listed endpoints: equal for equal listings. */
    readonly hash: string;
    readonly ageMs: number;
}

/** A replication position that a group's primary reported, and the time since it was requested. */
export interface PositionSample {
    readonly group: string;
    readonly position: positions.Position;
    readonly ageMs: number;
}

/** How well a host reaches a group's primary. */
export interface PrimaryContact extends promotion.Contact {
    readonly group: string;
    /** Epoch of the record that names the primary. */
    readonly epoch: number;
}

/** The part of a digest that rarely changes, and the tables of names that an encoded digest refers to by index. */
export const digestHeader = z.object({
    self: member,
    /** Version of the configuration in force. */
    version: z.number(),
    /** The newest era of the store that the sender knows; -1 if none. */
    era: z.number(),
    /** Records of the groups' primaries. */
    tenures: z.array(leadership.schema).readonly(),
    /** Every host that the sender knows. */
    known: z.array(member).readonly(),
    organisations: z.array(z.string()).readonly(),
    endpoints: z.array(z.string()).readonly(),
    groups: z.array(z.string()).readonly(),
    /** Evacuated failure domains; absent if the sender doesn't know them. */
    evacuations: z.object({
        revision: z.number(),
        failureDomains: z.array(z.string()).readonly(),
    }).readonly().optional(),
    /** The holder of the failover lock: its fencing token and the host's id. */
    lockHolder: z.tuple([z.number(), z.string()]).readonly().nullish(),
}).readonly();
/** The part of a digest that rarely changes, and the tables of names that an encoded digest refers to by index. */
export type DigestHeader = z.infer<typeof digestHeader>;

/** A list of numbers, checked in one pass: digests hold hundreds of them, and a schema of each number costs as much. */
const numberList = z.custom<readonly number[]>(
    value => Array.isArray(value) && value.every(Number.isFinite),
    "A list of numbers is expected.",
);

/**
 * A digest encoded for one receiver, without the header if the receiver has it. Ages are in milliseconds, -1 for none;
 * organisations, endpoints and groups are indices into the tables of the header.
 */
export const encodedDigest = z.tuple([
    z.number().describe("number of the sending process"),
    z.number().describe("number of the sender's current header"),
    digestHeader.nullable().describe("the header, unless the receiver has it"),
    z.number().nullable().describe("number of the receiver's header that the sender has"),
    z.number().describe("age of the proof"),
    z.number().describe("time since the last response of the store"),
    z.tuple([z.string(), z.number()]).readonly().nullable().describe("endpoint listing: hash, age"),
    numberList.describe("position samples: group, term, index, age"),
    numberList.describe("contacts with primaries: group, epoch, age of the last answer, age of the first failure"),
    numberList.describe(
        "usage by organisation: organisation, demand in tenths of an operation a second, admitted, remaining",
    ),
    numberList.describe(
        "usage by endpoint: endpoint, statements, connections; a row of endpoint -1 holds the room of the sender",
    ),
    z.array(
        z.tuple([
            z.string().describe("cell"),
            numberList.describe(
                "baseline, age, live hosts, suspected hosts, time since all were polled, age of the proof, rooms of the hosts",
            ),
            numberList.describe("usage by organisation, as above"),
            numberList.describe("usage by endpoint, as above"),
            numberList.describe("outcomes by endpoint: endpoint, tenths of statements served and failed"),
        ]).readonly(),
    ).readonly().describe("summaries of cells"),
    numberList.describe("outcomes by endpoint, as above"),
]).readonly();
/** A digest encoded for one receiver, without the header if the receiver has it. */
export type EncodedDigest = z.infer<typeof encodedDigest>;

/** An endpoint, with the fields of `directory.Endpoint`. */
const endpoint = z.object({
    id: z.string(),
    group: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    slots: z.number(),
    draining: z.boolean(),
    primary: z.boolean(),
    born: z.number(),
    sequence: z.number(),
    coldRemainingMs: z.number().optional(),
}).readonly();

const empty = z.object({}).readonly();

/** A question for what another host has learnt from the store; the answer is held back until there is something new. */
export const newsQuestion = z.object({
    /** Process that the sender asked before, and the number of its newest answer. */
    known: z.object({ incarnation: z.string(), number: z.number() }).readonly().optional(),
    /** Hash of the records of primaries that the sender knows. */
    records: z.string(),
    /** Hash of the registered hosts that the sender knows. */
    hosts: z.string(),
}).readonly();
/** A question for what another host has learnt from the store. */
export type NewsQuestion = z.infer<typeof newsQuestion>;

/** What a host has learnt from the store, by itself or from another host; ages in milliseconds at the answer. */
export const newsAnswer = z.object({
    incarnation: z.string(),
    /** Rises with each change of what the host has to tell. */
    number: z.number(),
    /** Time for which the answer was held back. */
    heldMs: z.number(),
    /** The newest era of the store that the host knows; what follows holds for that era. */
    era: z.number().optional(),
    /** Age of the newest reading of the keys; absent without any. */
    readingAgeMs: z.number().optional(),
    /** True if that reading showed a settled era. */
    settled: z.boolean(),
    /** Holder of the failover lock in that reading; absent if nobody held it. */
    lockHolder: z.string().optional(),
    /** Age of the proof that the records are in force; absent without a proof. */
    proofAgeMs: z.number().optional(),
    /** The records of primaries, unless the asking host knows the same ones. */
    records: z.array(leadership.schema).readonly().optional(),
    /** The registered hosts in that reading, unless the asking host knows the same ones. */
    hosts: z.array(member).readonly().optional(),
    /** The newest endpoint listing. */
    listing: z.object({ hash: z.string(), ageMs: z.number() }).readonly().optional(),
    /** Version of the configuration in force, and the time since the store confirmed it as the newest one. */
    configuration: z.object({ version: z.number(), ageMs: z.number().optional() }).readonly(),
}).readonly();
/** What a host has learnt from the store. */
export type NewsAnswer = z.infer<typeof newsAnswer>;

const configurationPart = z.object({
    version: z.number(),
    /** Size of the whole compressed text. */
    sizeBytes: z.number(),
    /** Hash of the whole compressed text. */
    hash: z.string(),
    bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array),
}).readonly();
/** A part of a host's configuration, compressed by gzip. */
export type ConfigurationPart = z.infer<typeof configurationPart>;

function method<Request, Reply>(
    name: string,
    request: z.ZodType<Request>,
    reply: z.ZodType<Reply>,
): messages.Method<Request, Reply> {
    return { name, request, reply };
}

/** RPC methods between hosts. */
export const peer = {
    /** Exchanges the digests of two hosts. */
    exchange: method("exchange", encodedDigest, encodedDigest),
    /** Applies the record of a group's primary. The reply confirms that the host no longer relies on an older one. */
    record: method("record", leadership.schema, empty),
    /** Returns the part of the compressed configuration that begins at the offset. */
    configuration: {
        ...method("configuration", z.object({ offset: z.number().int().min(0) }).readonly(), configurationPart),
        large: true,
    },
    /** Returns what the host has learnt from the store, once there is something that the sender doesn't know. */
    news: method("news", newsQuestion, newsAnswer),
    /** Issues permits for requests to a cold endpoint. */
    permit: method(
        "permit",
        z.object({
            endpoint: z.string(),
            immediate: z.number().int().min(1),
            held: z.number().int().min(0),
        }).readonly(),
        z.object({ granted: z.boolean(), retryAfterMs: z.number() }).readonly(),
    ),
    /** Returns the endpoint listing to a host that doesn't read the store. */
    catalogue: {
        ...method(
            "catalogue",
            empty,
            z.object({
                endpoints: z.array(endpoint).readonly(),
                /** Age of the endpoint listing, in milliseconds; absent if there is none. */
                ageMs: z.number().optional(),
            }).readonly(),
        ),
        large: true,
    },
} as const;
