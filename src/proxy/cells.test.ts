import * as chai from "chai";
import * as cells from "./cells.js";
import type * as messages from "./messages.js";

const summary: messages.Summary = {
    cell: "cluj/0",
    frame: 5,
    ageMs: 0,
    hosts: 14,
    unheard: 1,
    oldestMs: 300,
    proofAgeMs: 800,
    account: { cluj: { demand: 5, admitted: 100, left: 10 } },
    endpoints: { "i-1": [3, 9] },
};

const admitted = (count: number): messages.Summary => ({
    ...summary,
    account: { cluj: { demand: 5, admitted: count, left: 10 } },
});

describe("other cells", () => {
    it("count once, whoever tells of them", () => {
        const view = cells.createCells();
        view.take(1, summary, 1_000, undefined);
        view.take(2, summary, 1_100, undefined);
        chai.expect(view.accounts(1_200).map(entry => [entry.id, entry.hosts, entry.ageMs]))
            .to.deep.equal([["cluj/0", 14, 100]]);
        chai.expect(view.use("i-1", 1_200)).to.deep.equal([3, 9]);
    });

    it("lose nothing that was admitted when the one that told of them ends", () => {
        const view = cells.createCells();
        view.take(1, admitted(100), 1_000, undefined);
        view.take(1, admitted(103), 2_000, undefined);
        view.take(2, admitted(108), 3_000, undefined);
        chai.expect(view.accounts(3_000)[0]?.account["cluj"]?.admitted).to.equal(8);
    });

    it("are not heard once their summaries are old", () => {
        const view = cells.createCells();
        view.take(1, summary, 1_000, undefined);
        chai.expect([view.unheard("cluj/0", 15, 2_000), view.unheard("cluj/0", 15, 9_000)]).to.deep.equal([1, 15]);
        chai.expect(view.use("i-1", 9_000)).to.deep.equal([0, 0]);
    });

    it("forget what a process told that ended, also what it showed of the store", () => {
        const view = cells.createCells();
        view.take(1, summary, 1_000, 990);
        view.keep(new Set([summary.cell]), 9_000);
        view.take(1, summary, 9_100, undefined);
        chai.expect(view.witness("cluj/0", 9_100).heardMs).to.equal(Infinity);
    });

    it("show the store only as of a moment after the question, and pass its age on", () => {
        const view = cells.createCells();
        view.take(1, summary, 1_000, undefined);
        chai.expect(view.witness("cluj/0", 1_000).heardMs).to.equal(Infinity);
        view.take(1, { ...summary, ageMs: 50 }, 1_400, 1_390);
        chai.expect(view.witness("cluj/0", 1_500)).to.deep.equal({ heardMs: 410, proofAgeMs: 800 });
        const [passed] = view.summaries(1_500);
        chai.expect([passed?.ageMs, passed?.oldestMs, passed?.proofAgeMs]).to.deep.equal([150, 410, 800]);
    });

    it("keep a proof that was told until all hosts were asked again", () => {
        const view = cells.createCells();
        view.take(1, { ...summary, proofAgeMs: 100 }, 1_000, 990);
        view.take(1, { ...summary, proofAgeMs: undefined }, 1_200, undefined);
        chai.expect(view.witness("cluj/0", 1_300).proofAgeMs).to.equal(100);
        view.take(1, { ...summary, proofAgeMs: undefined }, 1_400, 1_390);
        chai.expect(view.witness("cluj/0", 1_400).proofAgeMs).to.equal(undefined);
    });
});
