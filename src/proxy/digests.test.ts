import * as chai from "chai";
import * as fc from "fast-check";
import * as digests from "./digests.js";
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
    fc.record({ demand: fc.nat(900).map(tenths => tenths / 10), admitted: fc.nat(), left: fc.integer() }),
);
const use = fc.dictionary(name, fc.tuple(fc.nat(99), fc.nat(99)));

const digest: fc.Arbitrary<messages.Digest> = fc.record({
    self: fc.boolean().map(leaving => ({ ...self, leaving })),
    version: fc.nat(3),
    tenures: fc.uniqueArray(name, { maxLength: 3 }).map(groups =>
        groups.map(group => ({ group, epoch: 1, changing: false, primary: "i-1", term: 2 }))
    ),
    proofAgeMs: maybe,
    storeAgeMs: maybe,
    listing: fc.option(fc.record({ hash: name, ageMs: age }), { nil: undefined }),
    samples: fc.array(
        fc.record({ group: name, position: fc.record({ term: fc.nat(9), index: fc.nat() }), ageMs: age }),
    ),
    contacts: fc.array(fc.record({ group: name, epoch: fc.nat(9), answeredMs: maybe, failingMs: maybe })),
    account,
    endpoints: use,
    known: fc.constant([]),
    summaries: fc.array(
        fc.record({
            cell: name,
            frame: fc.nat(),
            ageMs: age,
            hosts: fc.nat(16),
            unheard: fc.nat(16),
            oldestMs: maybe,
            proofAgeMs: maybe,
            account,
            endpoints: use,
        }),
        { maxLength: 3 },
    ),
});

/** A host that keeps the outline it was sent last, as far as messages arrive. */
interface Reader {
    outline: { readonly number: number; readonly value: messages.Outline } | undefined;
}

describe("digests", () => {
    it("arrive as they were told, whatever is lost on the way, once the outline has arrived", () => {
        fc.assert(fc.property(fc.array(fc.tuple(digest, fc.boolean(), fc.boolean())), steps => {
            const packer = digests.createPacker(7);
            const reader: Reader = { outline: undefined };
            let theyHave: number | undefined;
            for (const [told, lost, restarted] of steps) {
                const telling = messages.telling.parse(packer.pack(told, theyHave, undefined));
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
                    chai.expect(digests.unpack(telling, reader.outline.value)).to.deep.equal(told);
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
        const packer = digests.createPacker(7);
        const [, number, outline] = packer.pack(told, undefined, undefined);
        chai.expect(outline).to.not.equal(null);
        chai.expect(packer.pack({ ...told, proofAgeMs: 7 }, number, undefined)[2]).to.equal(null);
        chai.expect(packer.pack({ ...told, version: 9 }, number, undefined)[2]?.version).to.equal(9);
    });

    it("say which outline of the other side is known", () => {
        const [told] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        chai.expect(digests.createPacker(7).pack(told, undefined, 77)[3]).to.equal(77);
    });

    it("leave out what the outline does not name", () => {
        const [told] = fc.sample(digest, { numRuns: 1, seed: 1 }) as [messages.Digest];
        const telling = digests.createPacker(7).pack(told, undefined, undefined);
        const empty: messages.Outline = {
            self,
            version: 0,
            tenures: [],
            known: [],
            organisations: [],
            endpoints: [],
            groups: [],
        };
        const read = digests.unpack(telling, empty);
        chai.expect([read.samples, read.contacts, read.account, read.endpoints]).to.deep.equal([[], [], {}, {}]);
    });
});
