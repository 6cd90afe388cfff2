import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as adapters from "../adapters/runtime.js";
import type * as caller from "../ports/caller.js";
import * as callers from "./callers.js";

describe("callers on the platform's wire", () => {
    it("does not run a request that reaches a connection this host has closed", async () => {
        const run: string[] = [];
        const session: caller.Session = {
            handle: async id => {
                run.push(id);
                return { result: neverthrow.ok({ rows: [], signature: "s" }), state: "idle", position: undefined };
            },
            idle: () => true,
            close: () => undefined,
        };
        const entrance = { open: () => neverthrow.ok(session) };
        const listener = await callers.listen({ host: "127.0.0.1", port: 0, login: entrance, log: adapters.silent });
        const socket = net.connect({ port: listener.port, host: "127.0.0.1", allowHalfOpen: true });
        socket.write("STARTUP orders key\r\n");
        await new Promise(resolve => socket.once("data", resolve));
        listener.closeIdle();
        socket.write("QUERY late READ saddle\r\n");
        await delay(50);
        socket.destroy();
        listener.close();
        chai.expect(run).to.deep.equal([]);
    });
});
