import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as simulation from "../../standins/simulation.js";
import type * as connections from "../ports/connection.js";
import * as endpoints from "./endpoint.js";

describe("view of an endpoint", () => {
    it("keeps an endpoint suspect as long as requests to it go on failing, and for a while after the last one", async () => {
        const clock = simulation.createClock();
        const dialer: connections.Dialer = { dial: async () => neverthrow.err("busy") };
        const view = endpoints.createEndpointView({
            listed: {
                id: "i-1",
                group: "ledger",
                address: "10.0.0.1:1",
                failureDomain: "a",
                slots: 2,
                draining: false,
                primary: false,
                born: 1,
                sequence: 1,
            },
            clock,
            dialer,
            events: { emit: () => undefined, reportOmitted: () => undefined },
            roundTripMs: 1,
            otherHostsLoad: () => 0,
            viewAgeMs: () => 0,
            metrics: { inverted: () => undefined, abandoned: () => undefined },
            weight: () => 1,
            share: () => ({ guaranteed: 2, spare: 0 }),
        });
        const suspect = (): boolean => view.placementInputs("cluj").suspect;
        for (let count = 0; count < 6; count += 1) {
            view.recordFailure(clock.now(), { timedOut: false, message: "refused" });
            await clock.advance(400);
            chai.expect(suspect()).to.equal(true);
        }
        await clock.advance(1_000);
        chai.expect(suspect()).to.equal(false);
        view.recordFailure(clock.now(), { timedOut: false, message: "refused" });
        view.recordAnswer();
        chai.expect(suspect()).to.equal(false);
        view.pool.close();
    });
});
