import * as grpcjs from "@grpc/grpc-js";
import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as messages from "../ports/messages.js";
import * as grpc from "./grpc.js";

const timeoutMs = 2_000;

describe("grpc", () => {
    it("answers a malformed message with a failure code and keeps serving", async () => {
        const handler = grpc.handle(messages.peer.lend, async () => neverthrow.ok({ tokens: 1, left: 0 }));
        const server = await grpc.serve("127.0.0.1", 0, [handler]);
        const address = `127.0.0.1:${server.port}`;
        const network = grpc.createNetwork();
        const wrongSchema = { ...messages.peer.lend, request: messages.peer.value.request };
        const refused = await network.openChannel(address).call(wrongSchema, { key: "x" }, timeoutMs);
        chai.expect(refused._unsafeUnwrapErr().code).to.equal(failure.Code.messageMalformed);
        const client = new grpcjs.Client(address, grpcjs.credentials.createInsecure());
        const identity = (bytes: Buffer): Buffer => bytes;
        const reply = await new Promise<Buffer | undefined>(resolve => {
            client.makeUnaryRequest(
                "/hyssophatch/lend",
                identity,
                identity,
                Buffer.from([0xc1]),
                (_error, value) => resolve(value),
            );
        });
        chai.expect(reply?.toString("latin1")).to.contain("malformed");
        const served = await network.openChannel(address).call(
            messages.peer.lend,
            { organisation: "a", wanted: 1 },
            timeoutMs,
        );
        chai.expect(served._unsafeUnwrap().tokens).to.equal(1);
        client.close();
        network.close();
        await server.close();
    });

    it("distinguishes a refused connection from a call without a reply", async () => {
        const network = grpc.createNetwork();
        const refused = await network.openChannel("127.0.0.1:1").call(messages.peer.status, {}, timeoutMs);
        chai.expect(refused._unsafeUnwrapErr().code).to.equal(failure.Code.ownerUnreachable);
        const handler = grpc.handle(messages.peer.status, () => new Promise(() => undefined));
        const server = await grpc.serve("127.0.0.1", 0, [handler]);
        const unanswered = await network.openChannel(`127.0.0.1:${server.port}`).call(
            messages.peer.status,
            {},
            timeoutMs / 10,
        );
        chai.expect(unanswered._unsafeUnwrapErr().code).to.equal(failure.Code.peerUnreachable);
        network.close();
        await server.close();
    });

    it("fails a call on a closed channel without leaving a timer that throws later", async () => {
        const network = grpc.createNetwork();
        const channel = network.openChannel("127.0.0.1:1");
        channel.close();
        const closed = await channel.call(messages.peer.status, {}, 10);
        chai.expect(closed._unsafeUnwrapErr().code).to.equal(failure.Code.peerUnreachable);
        await new Promise(resolve => setTimeout(resolve, 30));
        network.close();
    });
});
