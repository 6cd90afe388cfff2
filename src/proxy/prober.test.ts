import * as chai from "chai";
import * as endpoints from "../../standins/groups/endpoint.js";
import * as adapters from "../adapters/runtime.js";
import * as platform from "../platform/endpoint.js";
import * as probers from "./prober.js";

describe("prober", () => {
    const clock = {
        ...adapters.createClock(),
        wallClockMs: () => 0,
        after: () => () => undefined,
    };

    it("reports an endpoint at its connection limit as busy, and a crashed one as unreachable", async () => {
        const endpoint = await endpoints.start({ id: "i-1", group: "g", maxConnections: 0, workMs: 1, lagMs: 1 });
        const prober = probers.createProber({
            clock,
            dialer: platform.createDialer(),
            organisation: () => "cluj",
            mayContact: () => true,
        });
        const listed = {
            id: "i-1",
            group: "g",
            address: endpoint.address,
            failureDomain: "z",
            slots: 1,
            draining: false,
            primary: true,
            born: 1,
            sequence: 1,
        };
        chai.expect(await prober.send(listed, { kind: "status" })).to.equal("busy");
        await endpoint.crash();
        chai.expect(await prober.send(listed, { kind: "status" })).to.equal(undefined);
        prober.close();
    });

    it("waits for the status of an endpoint that answers late if it is asked to", async () => {
        const prober = probers.createProber({
            clock,
            dialer: platform.createDialer(),
            organisation: () => "cluj",
            mayContact: () => true,
        });
        const [quick, slow] = await Promise.all(
            ["i-1", "i-2"].map(id => endpoints.start({ id, group: "g", maxConnections: 16, workMs: 1, lagMs: 1 })),
        );
        slow?.delayStatus(700);
        const listed = [quick, slow].flatMap(endpoint =>
            endpoint === undefined ? [] : [{
                id: endpoint.id,
                group: "g",
                address: endpoint.address,
                failureDomain: "z",
                slots: 1,
                draining: false,
                primary: true,
                born: 1,
                sequence: 1,
            }]
        );
        chai.expect([...(await prober.statuses(listed)).keys()]).to.deep.equal(["i-1"]);
        chai.expect([...(await prober.statuses(listed, 2_000)).keys()].sort()).to.deep.equal(["i-1", "i-2"]);
        prober.close();
        await Promise.all([quick?.crash(), slow?.crash()]);
    });
});
