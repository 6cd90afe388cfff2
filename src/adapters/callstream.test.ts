import * as grpcjs from "@grpc/grpc-js";
import * as chai from "chai";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as messages from "../ports/messages.js";
import * as callStreams from "./callstream.js";
import * as grpc from "./grpc.js";

const timeoutMs = 2_000;
const identity = (bytes: Buffer): Buffer => bytes;
const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Lends as many tokens as are wanted, after as many milliseconds. */
const lend = grpc.handle(messages.peer.lend, async ({ wanted }) => {
    await pause(wanted);
    return neverthrow.ok({ tokens: wanted, left: 0 });
});
const status = grpc.handle(messages.peer.status, () => Promise.reject(new Error("no report")));

describe("call stream", () => {
    it("gives each of many calls in flight its own reply, whatever the order of the replies", async () => {
        const server = await grpc.serve("127.0.0.1", 0, [lend]);
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${server.port}`);
        const wanted = Array.from({ length: 40 }, (_, index) => 40 - index);
        const replies = await Promise.all(
            wanted.map(tokens => channel.call(messages.peer.lend, { organisation: "a", wanted: tokens }, timeoutMs)),
        );
        chai.expect(replies.map(reply => reply._unsafeUnwrap().tokens)).to.deep.equal(wanted);
        network.close();
        await server.close();
    });

    it("fails only the call whose handler throws", async () => {
        const server = await grpc.serve("127.0.0.1", 0, [lend, status]);
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${server.port}`);
        const [failed, served] = await Promise.all([
            channel.call(messages.peer.status, {}, timeoutMs),
            channel.call(messages.peer.lend, { organisation: "a", wanted: 5 }, timeoutMs),
        ]);
        chai.expect(failed._unsafeUnwrapErr().message).to.contain("no report");
        chai.expect(served._unsafeUnwrap().tokens).to.equal(5);
        network.close();
        await server.close();
    });

    it("fails the calls in flight when the other process ends, and goes on when it is back", async () => {
        const first = await grpc.serve("127.0.0.1", 0, [lend]);
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${first.port}`);
        const request = { organisation: "a", wanted: 1 };
        await channel.call(messages.peer.lend, request, timeoutMs);
        const inFlight = channel.call(messages.peer.lend, { ...request, wanted: 1_000 }, timeoutMs);
        await pause(20);
        await first.close();
        // The other process may have run the call.
        chai.expect((await inFlight)._unsafeUnwrapErr().code).to.equal(failure.Code.peerUnreachable);
        const refused = await channel.call(messages.peer.lend, request, timeoutMs);
        chai.expect(refused._unsafeUnwrapErr().code).to.equal(failure.Code.ownerUnreachable);
        const second = await grpc.serve("127.0.0.1", first.port, [lend]);
        let served = false;
        for (let attempt = 0; attempt < 50 && !served; attempt += 1) {
            served = (await channel.call(messages.peer.lend, request, timeoutMs)).isOk();
            await pause(50);
        }
        chai.expect(served).to.equal(true);
        network.close();
        await second.close();
    });

    it("ends a stream with a malformed message, and serves other streams", async () => {
        const server = await grpc.serve("127.0.0.1", 0, [lend]);
        const address = `127.0.0.1:${server.port}`;
        for (const bytes of [Buffer.from([0xc1]), Buffer.from([0x01])]) {
            const client = new grpcjs.Client(address, grpcjs.credentials.createInsecure());
            const stream = client.makeBidiStreamRequest(`/hyssophatch/${callStreams.methodName}`, identity, identity);
            const ended = new Promise(resolve => stream.on("error", resolve));
            stream.write(bytes);
            await ended;
            client.close();
        }
        const network = grpc.createNetwork();
        const served = await network.openChannel(address)
            .call(messages.peer.lend, { organisation: "a", wanted: 1 }, timeoutMs);
        chai.expect(served._unsafeUnwrap().tokens).to.equal(1);
        network.close();
        await server.close();
    });

    it("calls a process of a version without the stream one call at a time", async () => {
        const server = new grpcjs.Server();
        const bytes = { requestSerialize: identity, requestDeserialize: identity };
        const definition = { ...bytes, responseSerialize: identity, responseDeserialize: identity };
        server.addService(
            { lend: { path: "/hyssophatch/lend", requestStream: false, responseStream: false, ...definition } },
            {
                lend: (_call: unknown, callback: grpcjs.sendUnaryData<Buffer>) =>
                    callback(null, new msgpackr.Packr({ useRecords: true }).pack({ value: { tokens: 3, left: 0 } })),
            },
        );
        const port = await new Promise<number>((resolve, reject) =>
            server.bindAsync(
                "127.0.0.1:0",
                grpcjs.ServerCredentials.createInsecure(),
                (error, bound) => error === null ? resolve(bound) : reject(error),
            )
        );
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${port}`);
        for (let call = 0; call < 3; call += 1) {
            const reply = await channel.call(messages.peer.lend, { organisation: "a", wanted: 3 }, timeoutMs);
            chai.expect(reply._unsafeUnwrap().tokens).to.equal(3);
        }
        network.close();
        server.forceShutdown();
    });
});
