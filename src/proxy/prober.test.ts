import * as chai from "chai";
import * as endpoints from "../../standins/groups/endpoint.js";
import * as adapters from "../adapters/runtime.js";
import * as platform from "../platform/endpoint.js";
import * as probes from "./prober.js";

describe("probes", () => {
    const clock = {
        ...adapters.createClock(),
        wallClockMs: () => 0,
        after: () => () => undefined,
    };

    it("takes an endpoint without room for a connection as alive", async () => {
        const endpoint = await endpoints.start({ id: "i-1", group: "g", maxConnections: 0, workMs: 1, lagMs: 1 });
        const asked = probes.createProber({ clock, dialer: platform.createDialer(), organisation: () => "cluj" });
        const listed = {
            id: "i-1",
            group: "g",
            address: endpoint.address,
            failureDomain: "z",
            slots: 1,
            draining: false,
            primary: true,
            born: 1,
        };
        chai.expect(await asked.send(listed, { kind: "status" })).to.equal("busy");
        await endpoint.crash();
        chai.expect(await asked.send(listed, { kind: "status" })).to.equal(undefined);
        asked.close();
    });
});
