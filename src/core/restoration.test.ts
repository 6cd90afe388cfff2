import * as chai from "chai";
import type * as leadership from "./leadership.js";
import * as restoration from "./restoration.js";
import * as storeEra from "./storeera.js";

const record = (change: Partial<leadership.Record>): leadership.Record => ({
    group: "ledger",
    epoch: 3,
    changing: false,
    primary: "i-1",
    term: 2,
    ...change,
});
const evidence: restoration.Evidence = {
    stored: [],
    remembered: undefined,
    endpoints: [{ primary: true, term: 2 }, { primary: false, term: 2 }],
    allAnswered: true,
};

describe("restoration of a group's record in a new era of the store", () => {
    it("writes the remembered record when the store has an older one, with an epoch above all earlier ones", () => {
        const remembered = record({ epoch: 5, primary: "i-2", term: 3 });
        const restored = restoration.restore({ ...evidence, stored: [record({})], remembered }, 2);
        chai.expect(restored).to.deep.equal({ ...remembered, epoch: storeEra.order(2, 1) });
    });

    it("writes the stored record when hosts remember an older one", () => {
        const restored = restoration.restore(
            { ...evidence, stored: [record({})], remembered: record({ epoch: 2 }) },
            1,
        );
        chai.expect(restored?.primary).to.equal("i-1");
        chai.expect(restored?.epoch).to.equal(storeEra.order(1, 1));
    });

    it("continues a change of primary that was under way", () => {
        const remembered = record({ epoch: 4, changing: true });
        chai.expect(restoration.restore({ ...evidence, stored: [record({})], remembered }, 1)?.changing).to.equal(true);
    });

    it("has the primary replaced when an endpoint leads a later term that nobody remembers", () => {
        const endpoints = [{ primary: true, term: 2 }, { primary: true, term: 3 }];
        const restored = restoration.restore({ ...evidence, stored: [record({})], endpoints }, 1);
        chai.expect(restored?.changing).to.equal(true);
    });

    it("does not rely on a record that nobody remembers while an endpoint is silent", () => {
        const unsure = { ...evidence, stored: [record({})], allAnswered: false };
        chai.expect(restoration.restore(unsure, 1)?.changing).to.equal(true);
        chai.expect(restoration.restore({ ...unsure, remembered: record({}) }, 1)?.changing).to.equal(false);
    });

    it("writes nothing for a group without a record", () => {
        chai.expect(restoration.restore(evidence, 1)).to.equal(undefined);
    });
});
