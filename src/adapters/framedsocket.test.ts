import * as grpcjs from "@grpc/grpc-js";
import * as chai from "chai";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import * as messages from "../ports/messages.js";
import * as callStreams from "./callstream.js";
import * as framedSockets from "./framedsocket.js";
import * as grpc from "./grpc.js";

const timeoutMs = 2_000;
const maxMessageBytes = 1_000;
const identity = (bytes: Buffer): Buffer => bytes;
const lend = grpc.handle(
    messages.peer.lend,
    async ({ wanted }) => neverthrow.ok({ tokens: wanted, left: 0 }),
);

async function listen(accept: (socket: net.Socket) => void): Promise<{ readonly address: string; close(): void }> {
    const server = net.createServer(accept);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close: () => server.close() };
}

describe("framed socket", () => {
    it("carries the calls of a channel with few bytes and without HTTP/2", async () => {
        const server = await grpc.serve("127.0.0.1", 0, [lend]);
        let bytesBothWays = 0;
        const proxy = await listen(socket => {
            const onward = net.connect(server.port, "127.0.0.1");
            const count = (chunk: Buffer): void => {
                bytesBothWays += chunk.length;
            };
            socket.on("data", count).pipe(onward).on("data", count).pipe(socket);
        });
        const network = grpc.createNetwork();
        const channel = network.openChannel(proxy.address);
        for (let call = 1; call <= 20; call += 1) {
            const reply = await channel.call(messages.peer.lend, { organisation: "a", wanted: call }, timeoutMs);
            chai.expect(reply._unsafeUnwrap().tokens).to.equal(call);
        }
        // On a gRPC stream the same calls take 2,130 bytes.
        chai.expect(bytesBothWays).to.be.below(1_700);
        network.close();
        proxy.close();
        await server.close();
    });

    it("gives way to gRPC with a process that speaks only that", async () => {
        const packer = new msgpackr.Packr({ useRecords: true });
        const server = new grpcjs.Server();
        const bytes = {
            requestSerialize: identity,
            requestDeserialize: identity,
            responseSerialize: identity,
            responseDeserialize: identity,
        };
        const path = `/hyssophatch/${callStreams.methodName}`;
        server.addService({ calls: { path, requestStream: true, responseStream: true, ...bytes } }, {
            calls: (stream: grpcjs.ServerDuplexStream<Buffer, Buffer>) =>
                callStreams.serve(
                    stream,
                    { encode: value => packer.pack(value), decode: chunk => packer.unpack(chunk) as unknown },
                    (_, request) => lend.handle(request),
                ),
        });
        const port = await new Promise<number>((resolve, reject) =>
            server.bindAsync(
                "127.0.0.1:0",
                grpcjs.ServerCredentials.createInsecure(),
                (error, bound) => error === null ? resolve(bound) : reject(error),
            )
        );
        const network = grpc.createNetwork();
        const channel = network.openChannel(`127.0.0.1:${port}`);
        const replies = await Promise.all(
            [1, 2, 3].map(wanted => channel.call(messages.peer.lend, { organisation: "a", wanted }, timeoutMs)),
        );
        chai.expect(replies.map(reply => reply._unsafeUnwrap().tokens)).to.deep.equal([1, 2, 3]);
        network.close();
        server.forceShutdown();
    });

    it("puts messages together that arrive in pieces, and ends at one that is too long", async () => {
        const received: string[] = [];
        const server = await listen(socket =>
            framedSockets.accept(socket, maxMessageBytes).on("data", bytes => received.push(bytes.toString()))
        );
        const socket = net.connect(Number(server.address.split(":")[1]), "127.0.0.1");
        const ended = new Promise(resolve => socket.on("close", resolve));
        socket.on("error", () => undefined).resume();
        const bytes = Buffer.from("HYS1\0\0\0\u0003one\0\0\0\u0002up\0\0\0\0\0\0\u0003\u00e9too", "latin1");
        for (const byte of bytes) {
            socket.write(Buffer.from([byte]));
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        await ended;
        chai.expect(received).to.deep.equal(["one", "up", ""]);
        server.close();
    });

    it("tells a refused connection from one that broke", async () => {
        const server = await listen(socket => socket.destroy());
        const broken = framedSockets.open(server.address, maxMessageBytes);
        await new Promise<void>(resolve => {
            broken.on("end", resolve);
            broken.on("error", () => resolve());
        });
        server.close();
        const refused = framedSockets.open(server.address, maxMessageBytes);
        const error = await new Promise<{ readonly code?: number; readonly details: string }>(resolve =>
            refused.on("error", resolve)
        );
        chai.expect(error.code).to.equal(grpcjs.status.UNAVAILABLE);
        chai.expect(error.details).to.contain("ECONNREFUSED");
    });
});
