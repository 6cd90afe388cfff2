/**
 * Digests as they travel: numbers that refer to an outline, and the outline only to a host that lacks it. An outline
 * holds what rarely changes; each process numbers its own, and says which of the other side's it has.
 */
import type * as allowances from "../core/limiter.js";
import type * as messages from "./messages.js";

/** Turns this host's digests into what one other host still lacks of them. */
export interface Encoder {
    /**
     * Packs a digest for a host that has said which outline it has, and tells it which one of its own this host has;
     * undefined stands for none.
     */
    encode(digest: messages.Digest, theyHave: number | undefined, weHave: number | undefined): messages.EncodedDigest;
}

/** Demand is told in tenths of an operation a second, a whole number. */
const demandScale = 10;
/** Stands for an age that there is none of. */
const none = -1;
/** Names kept in an outline's table beyond those in use before the table is made anew. */
const spareNames = 64;

/** Names that numbers refer to; a name keeps its number until the table is made anew. */
function createNames(): { number(name: string): number; trim(used: number): void; all(): readonly string[] } {
    let numbers = new Map<string, number>();
    return {
        number(name) {
            const known = numbers.get(name);
            if (known !== undefined) {
                return known;
            }
            numbers.set(name, numbers.size);
            return numbers.size - 1;
        },
        trim(used) {
            if (numbers.size > used + spareNames) {
                numbers = new Map();
            }
        },
        all: () => [...numbers.keys()],
    };
}

const age = (ms: number | undefined): number => (ms === undefined ? none : Math.ceil(ms));
const ageOf = (ms: number | undefined): number | undefined => (ms === undefined || ms < 0 ? undefined : ms);

/** Rows of a flat list of numbers. */
function rows(flat: readonly number[], width: number): readonly (readonly number[])[] {
    return Array.from(
        { length: Math.floor(flat.length / width) },
        (_, row) => flat.slice(row * width, row * width + width),
    );
}

/** Creates the packer of a process; outlines are numbered on from the process's own number. */
export function createEncoder(sender: number): Encoder {
    const organisations = createNames();
    const endpoints = createNames();
    const groups = createNames();
    let number = sender;
    let text = "";

    const packAccount = (account: allowances.UsageByOrganisation): readonly number[] =>
        Object.entries(account).flatMap((
            [name, { demandPerSecond: demand, admittedCount: admitted, remaining: left }],
        ) => [organisations.number(name), Math.round(demand * demandScale), admitted, left]);
    const packUse = (use: messages.Digest["endpointUsage"]): readonly number[] =>
        Object.entries(use).flatMap(([id, [load, open]]) => [endpoints.number(id), load, open]);

    return {
        encode(digest, theyHave, weHave) {
            const told = [digest, ...digest.cellSummaries];
            organisations.trim(told.reduce((sum, entry) => sum + Object.keys(entry.organisationUsage).length, 0));
            endpoints.trim(told.reduce((sum, entry) => sum + Object.keys(entry.endpointUsage).length, 0));
            groups.trim(digest.primaryRecords.length);
            const samples = digest.positionSamples.flatMap((
                { group, position, ageMs },
            ) => [groups.number(group), position.term, position.index, age(ageMs)]);
            const contacts = digest.primaryContacts.flatMap((
                { group, epoch, answerAgeMs: answeredMs, failingForMs: failingMs },
            ) => [groups.number(group), epoch, age(answeredMs), age(failingMs)]);
            const account = packAccount(digest.organisationUsage);
            const use = packUse(digest.endpointUsage);
            const summaries = digest.cellSummaries.map(entry =>
                [
                    entry.cell,
                    [
                        entry.baselineId,
                        age(entry.ageMs),
                        entry.liveHosts,
                        entry.suspectedHosts,
                        age(entry.pollAgeMs),
                        age(entry.proofAgeMs),
                    ],
                    packAccount(entry.organisationUsage),
                    packUse(entry.endpointUsage),
                ] as const
            );
            const outline: messages.DigestHeader = {
                self: digest.self,
                version: digest.configurationVersion,
                tenures: digest.primaryRecords,
                known: digest.knownMembers,
                organisations: organisations.all(),
                endpoints: endpoints.all(),
                groups: groups.all(),
            };
            const next = JSON.stringify(outline);
            if (next !== text) {
                text = next;
                number += 1;
            }
            return [
                sender,
                number,
                theyHave === number ? null : outline,
                weHave ?? null,
                age(digest.proofAgeMs),
                age(digest.storeResponseAgeMs),
                digest.endpointListing === undefined
                    ? null
                    : [digest.endpointListing.hash, age(digest.endpointListing.ageMs)],
                samples,
                contacts,
                account,
                use,
                summaries,
            ];
        },
    };
}

function unpackAccount(account: readonly number[], names: readonly string[]): allowances.UsageByOrganisation {
    return Object.fromEntries(
        rows(account, 4).flatMap(([of, demand = 0, admitted = 0, left = 0]) => {
            const name = names[of ?? none];
            return name === undefined
                ? []
                : [
                    [name, {
                        demandPerSecond: demand / demandScale,
                        admittedCount: admitted,
                        remaining: left,
                    }] as const,
                ];
        }),
    );
}

function unpackUse(use: readonly number[], names: readonly string[]): messages.Digest["endpointUsage"] {
    return Object.fromEntries(
        rows(use, 3).flatMap(([of, load = 0, open = 0]) => {
            const name = names[of ?? none];
            return name === undefined ? [] : [[name, [load, open] as const] as const];
        }),
    );
}

/** Reads a digest by the outline that its numbers refer to; numbers without a name are left out. */
export function decode(told: messages.EncodedDigest, outline: messages.DigestHeader): messages.Digest {
    const [, , , , proofAgeMs, storeAgeMs, listing, samples, contacts, account, use, summaries] = told;
    const group = (number: number | undefined): string => outline.groups[number ?? none] ?? "";
    return {
        self: outline.self,
        configurationVersion: outline.version,
        primaryRecords: outline.tenures,
        knownMembers: outline.known,
        proofAgeMs: ageOf(proofAgeMs),
        storeResponseAgeMs: ageOf(storeAgeMs),
        endpointListing: listing === null ? undefined : { hash: listing[0], ageMs: listing[1] },
        positionSamples: rows(samples, 4).map(([of, term = 0, index = 0, ageMs = 0]) => ({
            group: group(of),
            position: { term, index },
            ageMs,
        })).filter(sample => sample.group !== "" && sample.ageMs >= 0),
        primaryContacts: rows(contacts, 4).map(([of, epoch = 0, answeredMs, failingMs]) => ({
            group: group(of),
            epoch,
            answerAgeMs: ageOf(answeredMs),
            failingForMs: ageOf(failingMs),
        })).filter(contact => contact.group !== ""),
        organisationUsage: unpackAccount(account, outline.organisations),
        endpointUsage: unpackUse(use, outline.endpoints),
        cellSummaries: summaries.map((
            [cell, [frame = 0, ageMs = 0, hosts = 0, unheard = 0, oldestMs, proof], ...rest],
        ) => ({
            cell,
            baselineId: frame,
            ageMs: Math.max(0, ageMs),
            liveHosts: hosts,
            suspectedHosts: unheard,
            pollAgeMs: ageOf(oldestMs),
            proofAgeMs: ageOf(proof),
            organisationUsage: unpackAccount(rest[0], outline.organisations),
            endpointUsage: unpackUse(rest[1], outline.endpoints),
        })),
    };
}
