import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import * as failure from "../core/failure.js";
import type * as messages from "../ports/messages.js";
import * as grpc from "./grpc.js";

const shape = z.object({ text: z.string() });
const method = (frequent: boolean): messages.Method<{ text: string }, { text: string }> => ({
    name: frequent ? "frequent" : "usual",
    request: shape,
    reply: shape,
    frequent,
});

/** Serves both methods, which answer after the number of milliseconds that the text begins with. */
function serve(port = 0, handled: string[] = []): Promise<grpc.Server> {
    const answer = async ({ text }: { text: string }) => {
        handled.push(text);
        await delay(Number.parseInt(text, 10));
        return neverthrow.ok({ text: `${text}!` });
    };
    return grpc.serve("127.0.0.1", port, [grpc.handle(method(true), answer), grpc.handle(method(false), answer)]);
}

describe("links for frequent calls", () => {
    it("share a port with gRPC, and give each of many calls its own reply", async () => {
        const server = await serve();
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${server.port}`);
        const texts = Array.from({ length: 60 }, (_, number) => `${(number * 7) % 20} ${"x".repeat(number * 999)}`);
        const replies = await Promise.all(
            texts.map((text, number) => channel.call(method(number % 3 > 0), { text }, 2_000)),
        );
        chai.expect(replies.map(reply => reply.isOk() && reply.value.text)).to.deep.equal(
            texts.map(text => `${text}!`),
        );
        network.close();
        await server.close();
    });

    it("tell what was certainly not sent from what may have been", async () => {
        const handled: string[] = [];
        const server = await serve(0, handled);
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${server.port}`);
        chai.expect((await channel.call(method(true), { text: "0" }, 500)).isOk()).to.equal(true);
        const inFlight = channel.call(method(true), { text: "400" }, 2_000);
        await delay(50);
        await server.close();
        const broken = await inFlight;
        chai.expect(broken.isErr() && broken.error.code).to.equal(failure.Code.peerUnreachable);
        const refused = await channel.call(method(true), { text: "1" }, 500);
        chai.expect(refused.isErr() && refused.error.code).to.equal(failure.Code.ownerUnreachable);
        const again = await serve(server.port, handled);
        chai.expect((await channel.call(method(true), { text: "2" }, 500)).isOk()).to.equal(true);
        chai.expect(handled).to.deep.equal(["0", "400", "2"]);
        network.close();
        await again.close();
    });

    it("send nothing to a process that does not greet, nor later", async () => {
        const received: string[] = [];
        const silent = net.createServer(socket => socket.on("data", bytes => received.push(String(bytes))));
        await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
        const bound = silent.address();
        const port = typeof bound === "object" && bound !== null ? bound.port : 0;
        const network = grpc.createNetwork();
        const reply = await network.openChannel(`127.0.0.1:${port}`).call(method(true), { text: "secret" }, 100);
        chai.expect(reply.isErr() && reply.error.code).to.equal(failure.Code.ownerUnreachable);
        await delay(50);
        chai.expect(received.join("")).to.not.include("secret");
        network.close();
        silent.close();
    });

    it("close a connection that sends garbage, and go on serving", async () => {
        const server = await serve();
        const socket = net.connect(server.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.resume();
        const closed = new Promise(resolve => socket.on("close", resolve));
        socket.write("LINK1\n\xff\xff\xff\xff garbage", "latin1");
        await closed;
        const network = grpc.createNetwork();
        const reply = await network.openChannel(`127.0.0.1:${server.port}`).call(method(true), { text: "0" }, 500);
        chai.expect(reply.isOk()).to.equal(true);
        network.close();
        await server.close();
    });
});
