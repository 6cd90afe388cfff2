import * as chai from "chai";
import type * as messages from "../ports/messages.js";
import * as mysqlEndpoints from "./mysqlendpoint.js";

const target: messages.Endpoint = {
    id: "replica-1",
    host: "127.0.0.1",
    port: 3_306,
    region: "north",
    failureDomain: "north-a",
    slots: 1,
    connections: 1,
    leaving: false,
};

describe("mysqlendpoint", () => {
    // Guards against an entry with an impossible port in a group's record: the driver threw, which ended the process, and for
    // port 0 it connected to its default port.
    it("returns a failure for a port that can't be one, without connecting", async () => {
        const dialer = mysqlEndpoints.createDialer({ user: "app", password: "secret" });
        for (const port of [70_000, 65_536, 0, -1, 1.5]) {
            const dialed = await dialer.dial({ ...target, port }, 500);
            chai.expect(dialed.isErr() && dialed.error).to.deep.equal({
                kind: "unsent",
                message: `The endpoint at 127.0.0.1 has the invalid port ${port}.`,
            });
        }
    });
});
