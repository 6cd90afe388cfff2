import * as chai from "chai";
import * as fc from "fast-check";
import * as digests from "./digestcodec.js";
import * as messages from "./messages.js";

const self: messages.Member = {
    id: "host-1",
    address: "10.1.0.1:7560",
    failureDomain: "cluj-a",
    incarnation: "a",
    leaving: false,
};

const name = fc.constantFrom("cluj", "iasi", "oradea", "arad", "sibiu");
const age = fc.nat(10_000);
const maybe = fc.option(age, { nil: undefined });

const account = fc.dictionary(
    name,
    fc.record({
        demandPerSecond: fc.nat(900).map(tenths => tenths / 10),
        admittedCount: fc.nat(),
        remaining: fc.integer(),
    }),
);
const use = fc.dictionary(name, fc.tuple(fc.nat(99), fc.nat(99)));

const digest: fc.Arbitrary<messages.Digest> = fc.record({
    self: fc.boolean().map(leaving => ({ ...self, leaving })),
    configurationVersion: fc.nat(3),
    primaryRecords: fc.uniqueArray(name, { maxLength: 3 }).map(groups =>
        groups.map(group => ({ group, epoch: 1, changing: false, primary: "i-1", term: 2 }))
    ),
    proofAgeMs: maybe,
    storeResponseAgeMs: maybe,
    endpointListing: fc.option(fc.record({ hash: name, ageMs: age }), { nil: undefined }),
    positionSamples: fc.array(
        fc.record({ group: name, position: fc.record({ term: fc.nat(9), index: fc.nat() }), ageMs: age }),
    ),
    primaryContacts: fc.array(fc.record({ group: name, epoch: fc.nat(9), answerAgeMs: maybe, failingForMs: maybe })),
    organisationUsage: account,
    endpointUsage: use,
    knownMembers: fc.constant([]),
    cellSummaries: fc.array(
        fc.record({
            cell: name,
            baselineId: fc.nat(),
            ageMs: age,
            liveHosts: fc.nat(16),
            suspectedHosts: fc.nat(16),
            pollAgeMs: maybe,
            proofAgeMs: maybe,
            organisationUsage: account,
            endpointUsage: use,
        }),
        { maxLength: 3 },
    ),
});

/** A host that keeps the outline it was sent last, as far as messages arrive. */
interface Reader {
    outline: { readonly number: number; readonly value: messages.DigestHeader } | undefined;
}

describe("digests", () => {
    it("arrive as they were told, whatever is lost on the way, once the outline has arrived", () => {
        fc.assert(fc.property(fc.array(fc.tuple(digest, fc.boolean(), fc.boolean())), steps => {
            const packer = digests.createEncoder(7);
            const reader: Reader = { outline: undefined };
            let theyHave: number | undefined;
            for (const [told, lost, restarted] of steps) {
                const telling = messages.encodedDigest.parse(packer.encode(told, theyHave, undefined));
                if (restarted) {
                    reader.outline = undefined;
                }
                if (lost) {
                    continue;
                }
                const [, number, outline] = telling;
                if (outline !== null) {
                    reader.outline = { number, value: outline };
                }
                if (reader.outline?.number === number) {
                    chai.expect(digests.decode(telling, reader.outline.value)).to.deep.equal(told);
                }
                else {
                    chai.expect(theyHave).to.equal(number);
                }
                theyHave = reader.outline?.number;
            }
        }));
    });

    it("send the outline to a host that lacks it, and not again", () => {
        const [told] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const packer = digests.createEncoder(7);
        const [, number, outline] = packer.encode(told, undefined, undefined);
        chai.expect(outline).to.not.equal(null);
        chai.expect(packer.encode({ ...told, proofAgeMs: 7 }, number, undefined)[2]).to.equal(null);
        chai.expect(packer.encode({ ...told, configurationVersion: 9 }, number, undefined)[2]?.version).to.equal(9);
    });

    it("say which outline of the other side is known", () => {
        const [told] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        chai.expect(digests.createEncoder(7).encode(told, undefined, 77)[3]).to.equal(77);
    });

    it("leave out what the outline does not name", () => {
        const [told] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const telling = digests.createEncoder(7).encode(told, undefined, undefined);
        const empty: messages.DigestHeader = {
            self,
            version: 0,
            tenures: [],
            known: [],
            organisations: [],
            endpoints: [],
            groups: [],
        };
        const read = digests.decode(telling, empty);
        chai.expect([read.positionSamples, read.primaryContacts, read.organisationUsage, read.endpointUsage]).to.deep
            .equal([[], [], {}, {}]);
    });
});
