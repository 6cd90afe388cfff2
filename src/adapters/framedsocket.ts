/**
 * Streams of messages over plain TCP connections. A message of a few hundred bytes costs a fraction of the processor time
 * that it costs on an HTTP/2 stream. Each side first sends a preamble, so that processes which speak only gRPC on the same
 * port are recognised, and recognise this. A message is preceded by its length in four bytes.
 */
import * as events from "node:events";
import * as net from "node:net";
import type * as callStreams from "./callstream.js";

/** First bytes of each direction; an HTTP/2 connection begins with other ones, from either side. */
const preamble = Buffer.from("HYS1", "latin1");
const lengthBytes = 4;
const keepAliveMs = 5_000;
/** gRPC statuses that callers of a stream distinguish. */
const unimplemented = 12;
const unavailable = 14;

/** True if the first bytes of an accepted connection are those of such a stream. */
export function isPreamble(bytes: Buffer): boolean {
    return bytes.length > 0 && bytes[0] === preamble[0];
}

/** Takes received bytes; false if they don't belong to such a stream or announce a message that is too long. */
type Receiver = (chunk: Buffer) => boolean;

/** Creates a receiver that passes on each message once it is complete. */
function createReceiver(
    maxMessageBytes: number,
    handlers: { established(): void; message(bytes: Buffer): void },
): Receiver {
    let buffered: Buffer = Buffer.alloc(0);
    let established = false;

    return chunk => {
        buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
        if (!established) {
            const length = Math.min(buffered.length, preamble.length);
            if (buffered.compare(preamble, 0, length, 0, length) !== 0) {
                return false;
            }
            if (length < preamble.length) {
                return true;
            }
            buffered = buffered.subarray(preamble.length);
            established = true;
            handlers.established();
        }
        while (buffered.length >= lengthBytes) {
            const size = buffered.readUInt32BE(0);
            if (size > maxMessageBytes) {
                return false;
            }
            if (buffered.length < lengthBytes + size) {
                return true;
            }
            const message = buffered.subarray(lengthBytes, lengthBytes + size);
            buffered = buffered.subarray(lengthBytes + size);
            handlers.message(message);
        }
        return true;
    };
}

function send(socket: net.Socket, message: Buffer): void {
    const framed = Buffer.allocUnsafe(lengthBytes + message.length);
    framed.writeUInt32BE(message.length, 0);
    message.copy(framed, lengthBytes);
    socket.write(framed);
}

/** Accepts a stream on a connection whose first bytes were found to be the preamble, and put back. */
export function accept(socket: net.Socket, maxMessageBytes: number): callStreams.ServerStream {
    const emitter = new events.EventEmitter();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, keepAliveMs);
    const receive = createReceiver(maxMessageBytes, {
        established: () => void socket.write(preamble),
        message: bytes => void emitter.emit("data", bytes),
    });
    socket.on("data", (chunk: Buffer) => {
        if (!receive(chunk)) {
            socket.destroy();
        }
    });
    socket.on("end", () => emitter.emit("end"));
    socket.on("error", () => undefined);
    // A malformed message ends the stream.
    emitter.on("error", () => socket.destroy());
    return {
        get destroyed() {
            return socket.destroyed;
        },
        get writable() {
            return socket.writable;
        },
        on: (event: string, listener: (...args: never[]) => void) =>
            emitter.on(event, listener as (...args: unknown[]) => void),
        emit: (event, error) => emitter.emit(event, error),
        write: message => send(socket, message),
        end: () => socket.end(),
    };
}

/**
 * Opens a stream. It fails with the status `unimplemented` if the other process speaks only gRPC, and with `unavailable`
 * if the connection could not be established.
 */
export function open(address: string, maxMessageBytes: number): callStreams.ClientStream {
    const colon = address.lastIndexOf(":");
    const emitter = new events.EventEmitter();
    const socket = net.connect({
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        noDelay: true,
    });
    let established = false;
    let ended = false;
    const receive = createReceiver(maxMessageBytes, {
        established() {
            established = true;
            emitter.emit("metadata");
        },
        message: bytes => void emitter.emit("data", bytes),
    });

    function fail(code: number | undefined, details: string): void {
        if (!ended) {
            ended = true;
            socket.destroy();
            emitter.emit("error", { code, details });
        }
    }

    socket.setKeepAlive(true, keepAliveMs);
    socket.write(preamble);
    socket.on("data", (chunk: Buffer) => {
        if (!ended && !receive(chunk)) {
            fail(established ? undefined : unimplemented, "the other process sent unexpected bytes");
        }
    });
    socket.on("error", error => fail(unavailable, error.message));
    socket.on("close", () => {
        if (!ended) {
            ended = true;
            emitter.emit("end");
        }
    });
    return {
        on: (event: string, listener: (...args: never[]) => void) =>
            emitter.on(event, listener as (...args: unknown[]) => void),
        write: message => send(socket, message),
        cancel() {
            ended = true;
            socket.destroy();
        },
    };
}
