/**
 * Calls of many methods over one plain TCP connection: for short and frequent calls, each of which costs gRPC several times as
 * much processor time. The serving side shares its port with gRPC and tells the two by the first byte. Each message is
 * preceded by its length in four bytes.
 */
import * as net from "node:net";
import * as z from "zod";
import type * as callStreams from "./callstream.js";

const requestFrame = z.tuple([z.number(), z.string(), z.unknown()]);
const replyFrame = z.tuple([z.number(), z.unknown()]);

/** Opens a link; HTTP/2, and so gRPC, begins with another letter. */
const greeting = Buffer.from("LINK1\n", "latin1");
const lengthBytes = 4;
const maxFrameBytes = 4 * 1024 * 1024;
const keepAliveMs = 1_000;
/** gRPC status of a call that was not sent, which the callers of links know. */
const unavailable = 14;

/** True if a connection that begins with these bytes is a link. */
export function isLink(bytes: Buffer): boolean {
    return bytes[0] === greeting[0];
}

/** Splits a stream into messages; returns undefined for one that is too long. */
function createSplitter(): (chunk: Buffer) => readonly Buffer[] | undefined {
    let buffered: Buffer = Buffer.alloc(0);
    return chunk => {
        buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
        const messages: Buffer[] = [];
        while (buffered.length >= lengthBytes) {
            const length = buffered.readUInt32BE(0);
            if (length > maxFrameBytes) {
                return undefined;
            }
            if (buffered.length < lengthBytes + length) {
                break;
            }
            messages.push(buffered.subarray(lengthBytes, lengthBytes + length));
            buffered = buffered.subarray(lengthBytes + length);
        }
        return messages;
    };
}

function frame(bytes: Buffer): Buffer {
    const framed = Buffer.allocUnsafe(lengthBytes + bytes.length);
    framed.writeUInt32BE(bytes.length, 0);
    bytes.copy(framed, lengthBytes);
    return framed;
}

/** Serves the calls on a link whose first bytes are still to be read. `run` never rejects. */
export function serve(
    socket: net.Socket,
    codec: callStreams.Codec,
    run: (method: string, request: unknown) => Promise<unknown>,
): void {
    const split = createSplitter();
    let greetingLeft = greeting.length;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, keepAliveMs);
    socket.on("error", () => socket.destroy());

    function handle(bytes: Buffer): void {
        const parsed = requestFrame.safeParse(codec.decode(bytes));
        if (!parsed.success) {
            socket.destroy();
            return;
        }
        const [id, method, request] = parsed.data;
        void run(method, request).then(reply => {
            if (socket.writable) {
                socket.write(frame(codec.encode([id, reply])));
            }
        });
    }

    socket.on("data", (chunk: Buffer) => {
        const skipped = Math.min(greetingLeft, chunk.length);
        greetingLeft -= skipped;
        if (skipped > 0 && greetingLeft === 0) {
            socket.write(greeting);
        }
        const messages = skipped === chunk.length ? [] : split(chunk.subarray(skipped));
        try {
            if (messages === undefined) {
                socket.destroy();
            }
            messages?.forEach(handle);
        }
        catch {
            // The message can't be decoded; the other process sees the link break and fails its calls.
            socket.destroy();
        }
    });
}

interface Pending extends callStreams.Handlers {
    readonly id: number;
    readonly bytes: Buffer;
}

/** Opens a link. Nothing is sent before the other process has greeted, so that a call that fails before was not sent. */
export function connect(address: string, codec: callStreams.Codec): callStreams.CallStream {
    const colon = address.lastIndexOf(":");
    const socket = net.connect({
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        noDelay: true,
    });
    const split = createSplitter();
    const pending = new Map<number, Pending>();
    let greetingLeft = greeting.length;
    let open = true;
    let nextId = 0;
    const isEstablished = (): boolean => greetingLeft === 0;

    function fail(details: string): void {
        if (!open) {
            return;
        }
        open = false;
        socket.destroy();
        const established = isEstablished();
        const calls = [...pending.values()];
        pending.clear();
        const cause = established
            ? { code: undefined, details, established }
            : { code: unavailable, details: `No connection established: ${details}`, established };
        calls.forEach(call => call.failed(cause));
    }

    function handle(bytes: Buffer): void {
        const parsed = replyFrame.safeParse(codec.decode(bytes));
        if (!parsed.success) {
            fail("a reply is malformed");
            return;
        }
        const [id, value] = parsed.data;
        const call = pending.get(id);
        pending.delete(id);
        call?.reply(value, bytes.length);
    }

    socket.setKeepAlive(true, keepAliveMs);
    socket.on("connect", () => socket.write(greeting));
    socket.on("error", error => fail(String(error)));
    socket.on("close", () => fail("the link was closed"));
    socket.on("data", (chunk: Buffer) => {
        const skipped = Math.min(greetingLeft, chunk.length);
        if (
            !greeting.subarray(greeting.length - greetingLeft).subarray(0, skipped).equals(chunk.subarray(0, skipped))
        ) {
            fail("the other process serves no links");
            return;
        }
        greetingLeft -= skipped;
        if (skipped > 0 && isEstablished()) {
            pending.forEach(call => socket.write(call.bytes));
        }
        try {
            const messages = skipped === chunk.length ? [] : split(chunk.subarray(skipped));
            if (messages === undefined) {
                fail("a reply is too long");
            }
            messages?.forEach(handle);
        }
        catch (thrown) {
            fail(`a reply can't be decoded: ${String(thrown)}`);
        }
    });

    return {
        isOpen: () => open,
        call(method, request, handlers) {
            nextId += 1;
            const id = nextId;
            const bytes = frame(codec.encode([id, method, request]));
            pending.set(id, { ...handlers, id, bytes });
            if (isEstablished()) {
                socket.write(bytes);
            }
            return {
                sentBytes: bytes.length,
                cancel() {
                    pending.delete(id);
                    return isEstablished();
                },
            };
        },
        close: () => fail("the channel was closed"),
    };
}
