import * as chai from "chai";
import * as processorTimes from "./processortime.js";

describe("processor time by activity", () => {
    let processorMs = 0;
    let endTurn: () => void = () => undefined;
    const create = (): processorTimes.ProcessorTime => {
        processorMs = 0;
        return processorTimes.create({
            usedMs: () => processorMs,
            atEndOfTurn(action) {
                endTurn = action;
            },
        });
    };

    it("belongs to the activity up to the next one and to the end of the turn", () => {
        const time = create();
        processorMs = 100;
        time.endStart();
        processorMs = 101;
        time.enter("exchange");
        processorMs = 104;
        time.enter("store");
        processorMs = 110;
        endTurn();
        processorMs = 130;
        time.enter("exchange");
        processorMs = 131;
        chai.expect(time.usedMs()).to.deep.equal({ start: 100, other: 21, exchange: 4, store: 6 });
    });

    it("belongs to the start until that has ended, apart from activities", () => {
        const time = create();
        processorMs = 50;
        time.enter("store");
        processorMs = 60;
        endTurn();
        processorMs = 90;
        time.enter("store");
        processorMs = 95;
        time.endStart();
        processorMs = 96;
        endTurn();
        processorMs = 100;
        chai.expect(time.usedMs()).to.deep.equal({ start: 80, store: 16, other: 4 });
    });

    it("adds up to all that the process has used", () => {
        const time = create();
        for (let step = 1; step <= 50; step += 1) {
            processorMs += step;
            time.enter(`activity-${step % 4}`);
            if (step % 3 === 0) {
                processorMs += 1;
                endTurn();
            }
        }
        chai.expect(Object.values(time.usedMs()).reduce((sum, ms) => sum + ms, 0)).to.equal(processorMs);
    });
});
