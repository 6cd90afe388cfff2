import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as adapters from "../adapters/runtime.js";
import type * as caller from "../ports/caller.js";
import * as callers from "./callers.js";

describe("callers of the platform's wire protocol", () => {
    it("does not run a request that arrives after this host has closed the connection", async () => {
        const handledIds: string[] = [];
        const session: caller.Session = {
            handle: async id => {
                handledIds.push(id);
                return { result: neverthrow.ok({ rows: [], signature: "s" }), state: "idle", position: undefined };
            },
            idle: () => true,
            close: () => undefined,
        };
        const login = { open: () => neverthrow.ok(session) };
        const listener = await callers.listen({ host: "127.0.0.1", port: 0, login, log: adapters.silent });
        const socket = net.connect({ port: listener.port, host: "127.0.0.1", allowHalfOpen: true });
        socket.write("STARTUP orders key\r\n");
        await new Promise(resolve => socket.once("data", resolve));
        listener.closeIdle();
        socket.write("QUERY late READ saddle\r\n");
        await delay(50);
        socket.destroy();
        listener.close();
        chai.expect(handledIds).to.deep.equal([]);
    });

    it("does not run requests queued behind one whose answer closes the connection", async () => {
        const handledIds: string[] = [];
        const session: caller.Session = {
            async handle(id) {
                handledIds.push(id);
                await delay(20);
                return {
                    result: neverthrow.ok({ rows: [], signature: "s" }),
                    state: "idle",
                    position: undefined,
                    closeConnection: true,
                };
            },
            idle: () => true,
            close: () => undefined,
        };
        const login = { open: () => neverthrow.ok(session) };
        const listener = await callers.listen({ host: "127.0.0.1", port: 0, login, log: adapters.silent });
        const socket = net.connect({ port: listener.port, host: "127.0.0.1" });
        socket.write("STARTUP orders key\r\nQUERY first READ saddle\r\nQUERY second WRITE saddle red\r\n");
        await delay(150);
        socket.destroy();
        listener.close();
        chai.expect(handledIds).to.deep.equal(["first"]);
    });

    it("ends only the session in which an unexpected error is thrown", async () => {
        const login: caller.Login = {
            open(database) {
                if (database === "broken") {
                    throw new Error("unexpected");
                }
                return neverthrow.ok({
                    handle: async () => ({
                        result: neverthrow.ok({ rows: [], signature: "s" }),
                        state: "idle",
                        position: undefined,
                    }),
                    idle: () => true,
                    close: () => undefined,
                });
            },
        };
        const listener = await callers.listen({ host: "127.0.0.1", port: 0, login, log: adapters.silent });
        const broken = net.connect({ port: listener.port, host: "127.0.0.1" });
        const closed = new Promise(resolve => broken.once("close", resolve));
        broken.on("error", () => undefined);
        broken.write("STARTUP broken key\r\n");
        await closed;
        const socket = net.connect({ port: listener.port, host: "127.0.0.1" });
        socket.write("STARTUP orders key\r\n");
        chai.expect(String(await new Promise(resolve => socket.once("data", resolve)))).to.match(/^READY /);
        socket.destroy();
        listener.close();
    });
});
