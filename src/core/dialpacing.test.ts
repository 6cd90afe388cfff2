import * as chai from "chai";
import * as dialPacing from "./dialpacing.js";

describe("pacing of new connections", () => {
    it("opens few after the start, and twice as many with each round that succeeds", () => {
        const pacing = dialPacing.createDialPacing();
        const rounds = [0, 10, 20, 30, 40, 50].map(nowMs => {
            const count = pacing.room(nowMs);
            Array.from({ length: count }, () => pacing.begin());
            chai.expect(pacing.room(nowMs)).to.equal(0);
            Array.from({ length: count }, () => pacing.end("opened", nowMs, 0));
            return count;
        });
        chai.expect(rounds).to.deep.equal([2, 4, 8, 16, 32, 32]);
    });

    it("asks a full endpoint with one connection at a time, after a pause", () => {
        const pacing = dialPacing.createDialPacing();
        pacing.begin();
        pacing.end("full", 1_000, 0.5);
        chai.expect(pacing.room(1_000)).to.equal(0);
        chai.expect(pacing.pauseMs(1_000)).to.equal(150);
        chai.expect(pacing.room(1_150)).to.equal(1);
        pacing.begin();
        chai.expect(pacing.room(1_150)).to.equal(0);
        pacing.end("opened", 1_160, 0.5);
        chai.expect(pacing.room(1_160)).to.equal(2);
    });
});
