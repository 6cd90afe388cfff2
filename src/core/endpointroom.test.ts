import * as chai from "chai";
import * as endpointRooms from "./endpointroom.js";

describe("room at an endpoint", () => {
    const view = (change: Partial<endpointRooms.View> = {}): endpointRooms.View => ({
        slots: 4,
        othersLoad: 0,
        ownLoad: 0,
        ageMs: 500,
        ...change,
    });

    it("learns the work time apart from the time spent behind others", () => {
        const room = endpointRooms.createEndpointRoom();
        for (let count = 0; count < 60; count += 1) {
            // 11 statements before it: two rounds of four slots wait, and then 14 ms of work.
            room.recordAnswer(42, view({ othersLoad: 11 }));
        }
        chai.expect(room.waitMs(view({ othersLoad: 3 }))).to.equal(0);
        chai.expect(room.waitMs(view({ othersLoad: 11 }))).to.be.closeTo(28, 0.1);
    });

    it("sees no more room on an old view than on the last fresh one", () => {
        const room = endpointRooms.createEndpointRoom();
        const before = room.waitMs(view({ othersLoad: 40 }));
        chai.expect(room.waitMs(view({ othersLoad: 0, ageMs: 5_000 }))).to.equal(before);
        chai.expect(room.waitMs(view({ othersLoad: 0 }))).to.equal(0);
    });
});
