/**
 * Encodes digests as lists of numbers that refer to a header, and adds the header only for a host that lacks it. The
 * header holds what rarely changes. Each process numbers its own headers, and acknowledges the newest one of the other
 * side.
 */
import type * as limiters from "../core/limiter.js";
import type * as messages from "./messages.js";
import * as roomCodec from "./roomcodec.js";

/** Encodes the digests of this host. */
export interface Encoder {
    /**
     * Encodes a digest for one receiver. `acknowledgedHeader` is the number of this host's header that the receiver
     * has, `headerToAcknowledge` that of the receiver's header that this host has; undefined stands for none.
     */
    encode(
        digest: messages.Digest,
        acknowledgedHeader: number | undefined,
        headerToAcknowledge: number | undefined,
    ): messages.EncodedDigest;
}

/** Demand is sent as a whole number of tenths of an operation a second. */
const demandScale = 10;
/** Outcomes are sent as whole numbers of tenths of a statement. */
const outcomeScale = 10;
/** Encodes a missing age, and is no valid index. */
const absent = -1;
/** Unused names that a table may hold before it is rebuilt. */
const maxUnusedNames = 64;

/** Creates a table that assigns indices to names; a name keeps its index until the table is rebuilt. */
function createNameTable(): {
    indexOf(name: string): number;
    clearIfSparse(usedCount: number): void;
    all(): readonly string[];
    /** Rises with each change of the table. */
    version(): number;
} {
    let indices = new Map<string, number>();
    let version = 0;
    return {
        indexOf(name) {
            const index = indices.get(name);
            if (index !== undefined) {
                return index;
            }
            indices.set(name, indices.size);
            version += 1;
            return indices.size - 1;
        },
        clearIfSparse(usedCount) {
            if (indices.size > usedCount + maxUnusedNames) {
                indices = new Map();
                version += 1;
            }
        },
        all: () => [...indices.keys()],
        version: () => version,
    };
}

const encodeAge = (ms: number | undefined): number => (ms === undefined ? absent : Math.ceil(ms));
const decodeAge = (ms: number | undefined): number | undefined => (ms === undefined || ms < 0 ? undefined : ms);

/** Splits a flat list of numbers into rows. */
function rows(flat: readonly number[], width: number): readonly (readonly number[])[] {
    return Array.from(
        { length: Math.floor(flat.length / width) },
        (_, row) => flat.slice(row * width, row * width + width),
    );
}

/** Creates the encoder of a process, whose headers are numbered upwards from `sender`, the number of the process. */
export function createEncoder(sender: number): Encoder {
    const organisations = createNameTable();
    const endpoints = createNameTable();
    const groups = createNameTable();
    let headerNumber = sender;
    let headerText = "";
    let header: messages.DigestHeader | undefined;
    /** What that header was made of. */
    let headerParts: readonly unknown[] = [];

    const encodeOrganisationUsage = (usage: limiters.UsageByOrganisation): readonly number[] =>
        Object.entries(usage).flatMap((
            [name, { demandPerSecond, admittedCount, remaining }],
        ) => [organisations.indexOf(name), Math.round(demandPerSecond * demandScale), admittedCount, remaining]);
    const encodeEndpointUsage = (usage: messages.Digest["endpointUsage"]): readonly number[] =>
        Object.entries(usage).flatMap(([id, [load, connections]]) => [endpoints.indexOf(id), load, connections]);
    const encodeOutcomes = (outcomes: messages.Digest["endpointOutcomes"]): readonly number[] =>
        Object.entries(outcomes).flatMap(([id, { served, failed }]) => [
            endpoints.indexOf(id),
            Math.round(served * outcomeScale),
            Math.round(failed * outcomeScale),
        ]);

    /**
     * Updates the header, and its number if it has changed. Its parts hold the same objects as long as nothing changes; only
     * if one was replaced, perhaps by an equal one, the contents are compared.
     */
    function updateHeader(digest: messages.Digest): messages.DigestHeader {
        const parts = [
            digest.self,
            digest.configurationVersion,
            digest.storeEra,
            digest.evacuations,
            digest.lockHolder?.[0],
            digest.lockHolder?.[1],
            organisations.version(),
            endpoints.version(),
            groups.version(),
            digest.primaryRecords.length,
            ...digest.primaryRecords,
            ...digest.knownMembers,
        ];
        if (
            header !== undefined && parts.length === headerParts.length
            && parts.every((part, index) => part === headerParts[index])
        ) {
            return header;
        }
        headerParts = parts;
        const next: messages.DigestHeader = {
            self: digest.self,
            version: digest.configurationVersion,
            era: digest.storeEra ?? absent,
            tenures: digest.primaryRecords,
            known: digest.knownMembers,
            organisations: organisations.all(),
            endpoints: endpoints.all(),
            groups: groups.all(),
            ...(digest.evacuations === undefined ? {} : { evacuations: digest.evacuations }),
            lockHolder: digest.lockHolder ?? null,
        };
        const nextText = JSON.stringify(next);
        if (nextText !== headerText) {
            headerText = nextText;
            headerNumber += 1;
        }
        header = next;
        return next;
    }

    return {
        encode(digest, acknowledgedHeader, headerToAcknowledge) {
            const reports = [digest, ...digest.cellSummaries];
            organisations.clearIfSparse(
                reports.reduce((sum, entry) => sum + Object.keys(entry.organisationUsage).length, 0),
            );
            endpoints.clearIfSparse(reports.reduce(
                (sum, entry) =>
                    sum + Object.keys(entry.endpointUsage).length + Object.keys(entry.endpointOutcomes).length,
                0,
            ));
            groups.clearIfSparse(digest.primaryRecords.length);
            const positionSamples = digest.positionSamples.flatMap((
                { group, position, ageMs },
            ) => [groups.indexOf(group), position.term, position.index, encodeAge(ageMs)]);
            const primaryContacts = digest.primaryContacts.flatMap((
                { group, epoch, answerAgeMs, failingForMs },
            ) => [groups.indexOf(group), epoch, encodeAge(answerAgeMs), encodeAge(failingForMs)]);
            const organisationUsage = encodeOrganisationUsage(digest.organisationUsage);
            const endpointUsage = [
                ...encodeEndpointUsage(digest.endpointUsage),
                ...roomCodec.encodeReport(digest.room),
            ];
            const cellSummaries = digest.cellSummaries.map(entry =>
                [
                    entry.cell,
                    [
                        entry.baselineId,
                        encodeAge(entry.ageMs),
                        entry.liveHosts,
                        entry.suspectedHosts,
                        encodeAge(entry.pollAgeMs),
                        encodeAge(entry.proofAgeMs),
                        ...roomCodec.encodeCellRooms(entry.rooms),
                    ],
                    encodeOrganisationUsage(entry.organisationUsage),
                    encodeEndpointUsage(entry.endpointUsage),
                    encodeOutcomes(entry.endpointOutcomes),
                ] as const
            );
            const endpointOutcomes = encodeOutcomes(digest.endpointOutcomes);
            const current = updateHeader(digest);
            return [
                sender,
                headerNumber,
                acknowledgedHeader === headerNumber ? null : current,
                headerToAcknowledge ?? null,
                encodeAge(digest.proofAgeMs),
                encodeAge(digest.storeResponseAgeMs),
                digest.endpointListing === undefined
                    ? null
                    : [digest.endpointListing.hash, encodeAge(digest.endpointListing.ageMs)],
                positionSamples,
                primaryContacts,
                organisationUsage,
                endpointUsage,
                cellSummaries,
                endpointOutcomes,
            ];
        },
    };
}

function decodeOrganisationUsage(usage: readonly number[], names: readonly string[]): limiters.UsageByOrganisation {
    return Object.fromEntries(
        rows(usage, 4).flatMap(([nameIndex, demandTenths = 0, admittedCount = 0, remaining = 0]) => {
            const name = names[nameIndex ?? absent];
            return name === undefined
                ? []
                : [
                    [name, {
                        demandPerSecond: demandTenths / demandScale,
                        admittedCount,
                        remaining,
                    }] as const,
                ];
        }),
    );
}

function decodeEndpointUsage(usage: readonly number[], names: readonly string[]): messages.Digest["endpointUsage"] {
    return Object.fromEntries(
        rows(usage, 3).flatMap(([nameIndex, load = 0, connections = 0]) => {
            const name = names[nameIndex ?? absent];
            return name === undefined ? [] : [[name, [load, connections] as const] as const];
        }),
    );
}

function decodeOutcomes(outcomes: readonly number[], names: readonly string[]): messages.Digest["endpointOutcomes"] {
    return Object.fromEntries(
        rows(outcomes, 3).flatMap(([nameIndex, served = 0, failed = 0]) => {
            const name = names[nameIndex ?? absent];
            return name === undefined
                ? []
                : [[name, { served: served / outcomeScale, failed: failed / outcomeScale }] as const];
        }),
    );
}

/** Decodes a digest with the header that it refers to; entries whose index has no name in the header are left out. */
export function decode(encoded: messages.EncodedDigest, header: messages.DigestHeader): messages.Digest {
    const [
        ,
        ,
        ,
        ,
        proofAgeMs,
        storeResponseAgeMs,
        listing,
        positionSamples,
        primaryContacts,
        organisationUsage,
        endpointUsage,
        cellSummaries,
        endpointOutcomes,
    ] = encoded;
    const room = roomCodec.decodeReport(endpointUsage);
    const groupAt = (index: number | undefined): string => header.groups[index ?? absent] ?? "";
    return {
        self: header.self,
        configurationVersion: header.version,
        storeEra: header.era < 0 ? undefined : header.era,
        ...header.lockHolder ? { lockHolder: header.lockHolder } : {},
        primaryRecords: header.tenures,
        knownMembers: header.known,
        evacuations: header.evacuations,
        proofAgeMs: decodeAge(proofAgeMs),
        storeResponseAgeMs: decodeAge(storeResponseAgeMs),
        endpointListing: listing === null ? undefined : { hash: listing[0], ageMs: listing[1] },
        positionSamples: rows(positionSamples, 4).map(([nameIndex, term = 0, index = 0, ageMs = 0]) => ({
            group: groupAt(nameIndex),
            position: { term, index },
            ageMs,
        })).filter(sample => sample.group !== "" && sample.ageMs >= 0),
        primaryContacts: rows(primaryContacts, 4).map(([nameIndex, epoch = 0, answerAgeMs, failingForMs]) => ({
            group: groupAt(nameIndex),
            epoch,
            answerAgeMs: decodeAge(answerAgeMs),
            failingForMs: decodeAge(failingForMs),
        })).filter(contact => contact.group !== ""),
        organisationUsage: decodeOrganisationUsage(organisationUsage, header.organisations),
        endpointUsage: decodeEndpointUsage(endpointUsage, header.endpoints),
        endpointOutcomes: decodeOutcomes(endpointOutcomes, header.endpoints),
        ...room === undefined ? {} : { room },
        cellSummaries: cellSummaries.map((
            [
                cell,
                [baselineId = 0, ageMs = 0, liveHosts = 0, suspectedHosts = 0, pollAgeMs, proofAgeMs, ...cellRooms],
                ...rest
            ],
        ) => ({
            cell,
            baselineId,
            ageMs: Math.max(0, ageMs),
            liveHosts,
            suspectedHosts,
            pollAgeMs: decodeAge(pollAgeMs),
            proofAgeMs: decodeAge(proofAgeMs),
            organisationUsage: decodeOrganisationUsage(rest[0], header.organisations),
            endpointUsage: decodeEndpointUsage(rest[1], header.endpoints),
            endpointOutcomes: decodeOutcomes(rest[2], header.endpoints),
            ...cellRooms.length === 0 ? {} : { rooms: roomCodec.decodeCellRooms(cellRooms) },
        })),
    };
}
