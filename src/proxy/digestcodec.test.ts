import * as chai from "chai";
import * as fc from "fast-check";
import * as digestCodec from "./digestcodec.js";
import * as messages from "./messages.js";

const self: messages.Member = {
    id: "host-1",
    address: "10.1.0.1:7560",
    failureDomain: "cluj-a",
    incarnation: "a",
    leaving: false,
    capacity: 1,
};

const name = fc.constantFrom("cluj", "iasi", "oradea", "arad", "sibiu");
const ageMs = fc.nat(10_000);
const optionalAgeMs = fc.option(ageMs, { nil: undefined });

const organisationUsage = fc.dictionary(
    name,
    fc.record({
        demandPerSecond: fc.nat(900).map(tenths => tenths / 10),
        admittedCount: fc.nat(),
        remaining: fc.integer(),
    }),
);
const endpointUsage = fc.dictionary(name, fc.tuple(fc.nat(99), fc.nat(99)));
const tenths = fc.nat(900).map(value => value / 10);
const endpointOutcomes = fc.dictionary(name, fc.record({ served: tenths, failed: tenths }));

const part = fc.nat(100).map(value => value / 100);
const room = fc.record({
    spare: part,
    strained: fc.boolean(),
    inRotation: fc.boolean(),
    claim: fc.option(fc.integer({ min: 1, max: 100 }).map(value => value / 100), { nil: undefined }),
});
const rooms = fc.record({
    idsHash: fc.nat(),
    reports: fc.array(fc.option(fc.record({ spare: part, strained: fc.boolean() }), { nil: undefined })),
});
/** Adds an optional field to some of the records. */
function withOptional<Base extends object, Name extends string, Value>(
    base: fc.Arbitrary<Base>,
    name: Name,
    value: fc.Arbitrary<Value>,
): fc.Arbitrary<Base> {
    return fc.tuple(base, fc.option(value, { nil: undefined })).map(([record, added]) =>
        added === undefined ? record : { ...record, [name]: added }
    );
}

const plainDigest: fc.Arbitrary<messages.Digest> = fc.record({
    self: fc.boolean().map(leaving => ({ ...self, leaving })),
    configurationVersion: fc.nat(3),
    storeEra: fc.option(fc.nat(3), { nil: undefined }),
    primaryRecords: fc.uniqueArray(name, { maxLength: 3 }).map(groups =>
        groups.map(group => ({ group, epoch: 1, changing: false, primary: "i-1", term: 2 }))
    ),
    proofAgeMs: optionalAgeMs,
    storeResponseAgeMs: optionalAgeMs,
    endpointListing: fc.option(fc.record({ hash: name, ageMs }), { nil: undefined }),
    positionSamples: fc.array(
        fc.record({ group: name, position: fc.record({ term: fc.nat(9), index: fc.nat() }), ageMs }),
    ),
    primaryContacts: fc.array(
        fc.record({ group: name, epoch: fc.nat(9), answerAgeMs: optionalAgeMs, failingForMs: optionalAgeMs }),
    ),
    organisationUsage,
    endpointUsage,
    endpointOutcomes,
    knownMembers: fc.constant([]),
    evacuations: fc.option(fc.record({ revision: fc.nat(), failureDomains: fc.array(name) }), { nil: undefined }),
    cellSummaries: fc.array(
        withOptional(
            fc.record({
                cell: name,
                baselineId: fc.nat(),
                ageMs,
                liveHosts: fc.nat(16),
                suspectedHosts: fc.nat(16),
                pollAgeMs: optionalAgeMs,
                proofAgeMs: optionalAgeMs,
                organisationUsage,
                endpointUsage,
                endpointOutcomes,
            }),
            "rooms",
            rooms,
        ),
        { maxLength: 3 },
    ),
});

const digest = withOptional(plainDigest, "room", room);

/** The receiving host, which keeps the newest header that has arrived. */
interface Receiver {
    header: { readonly number: number; readonly value: messages.DigestHeader } | undefined;
}

describe("the digest codec", () => {
    it("decodes what was encoded once a header has arrived, whichever messages are lost", () => {
        fc.assert(fc.property(fc.array(fc.tuple(digest, fc.boolean(), fc.boolean())), steps => {
            const encoder = digestCodec.createEncoder(7);
            const receiver: Receiver = { header: undefined };
            let acknowledgedHeader: number | undefined;
            for (const [sent, lost, restarted] of steps) {
                const encoded = messages.encodedDigest.parse(encoder.encode(sent, acknowledgedHeader, undefined));
                if (restarted) {
                    receiver.header = undefined;
                }
                if (lost) {
                    continue;
                }
                const [, headerNumber, header] = encoded;
                if (header !== null) {
                    receiver.header = { number: headerNumber, value: header };
                }
                if (receiver.header?.number === headerNumber) {
                    chai.expect(digestCodec.decode(encoded, receiver.header.value)).to.deep.equal(sent);
                }
                else {
                    chai.expect(acknowledgedHeader).to.equal(headerNumber);
                }
                acknowledgedHeader = receiver.header?.number;
            }
        }));
    });

    it("sends the header to a host that lacks it, and not again", () => {
        const [sent] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const encoder = digestCodec.createEncoder(7);
        const [, headerNumber, header] = encoder.encode(sent, undefined, undefined);
        chai.expect(header).to.not.equal(null);
        chai.expect(encoder.encode({ ...sent, proofAgeMs: 7 }, headerNumber, undefined)[2]).to.equal(null);
        chai.expect(encoder.encode({ ...sent, configurationVersion: 9 }, headerNumber, undefined)[2]?.version).to.equal(
            9,
        );
    });

    it("serialises the header only when a part of it was replaced, and numbers it anew only when its contents changed", () => {
        const [sample] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        let serialisedCount = 0;
        const counted = (member: messages.Member): messages.Member =>
            Object.defineProperty({ ...member }, "toJSON", {
                value() {
                    serialisedCount += 1;
                    return member;
                },
            });
        const knownMembers = Array.from({ length: 70 }, (_, index) => counted({ ...self, id: `host-${index}` }));
        const sent: messages.Digest = { ...sample, knownMembers };
        const encoder = digestCodec.createEncoder(7);
        const [, headerNumber] = encoder.encode(sent, undefined, undefined);
        for (let proofAgeMs = 0; proofAgeMs < 100; proofAgeMs += 1) {
            const next = { ...sent, proofAgeMs, knownMembers: [...knownMembers] };
            chai.expect(encoder.encode(next, headerNumber, undefined)[2]).to.equal(null);
        }
        chai.expect(serialisedCount).to.equal(knownMembers.length);
        const renewed = [counted({ ...self, id: "host-0" }), ...knownMembers.slice(1)];
        chai.expect(encoder.encode({ ...sent, knownMembers: renewed }, headerNumber, undefined)[2]).to.equal(null);
        const leaving = [counted({ ...self, id: "host-0", leaving: true }), ...knownMembers.slice(1)];
        const [, nextNumber, header] = encoder.encode({ ...sent, knownMembers: leaving }, headerNumber, undefined);
        chai.expect(nextNumber).to.equal(headerNumber + 1);
        chai.expect(header?.known[0]?.leaving).to.equal(true);
    });

    it("acknowledges the header of the other side", () => {
        const [sent] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        chai.expect(digestCodec.createEncoder(7).encode(sent, undefined, 77)[3]).to.equal(77);
    });

    it("tells hosts of versions without rooms nothing that they can't read, and takes their digests", () => {
        const [sent] = fc.sample(plainDigest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const report = { spare: 0.13, strained: true, inRotation: false, claim: 0.97 };
        const encode = (value: messages.Digest): messages.EncodedDigest =>
            messages.encodedDigest.parse(digestCodec.createEncoder(7).encode(value, undefined, undefined));
        const [before, after] = [encode(sent), encode({ ...sent, room: report })];
        chai.expect(after).to.have.length(before.length);
        // Those hosts pass over rows of endpoint usage whose index is not in the header.
        chai.expect(after[10].slice(0, -3)).to.deep.equal(before[10]);
        chai.expect(after[10].at(-3)).to.equal(-1);
        const header = before[2] as messages.DigestHeader;
        chai.expect(digestCodec.decode(before, header).room).to.equal(undefined);
        chai.expect(digestCodec.decode(after, header).room).to.deep.equal(report);
        chai.expect(digestCodec.decode(after, header).endpointUsage).to.deep.equal(sent.endpointUsage);
    });

    it("leaves out entries whose names the header lacks", () => {
        const [sent] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const encoded = digestCodec.createEncoder(7).encode(sent, undefined, undefined);
        const empty: messages.DigestHeader = {
            self,
            version: 0,
            era: -1,
            tenures: [],
            known: [],
            organisations: [],
            endpoints: [],
            groups: [],
        };
        const decoded = digestCodec.decode(encoded, empty);
        chai.expect([
            decoded.positionSamples,
            decoded.primaryContacts,
            decoded.organisationUsage,
            decoded.endpointUsage,
        ]).to.deep
            .equal([[], [], {}, {}]);
    });
});
