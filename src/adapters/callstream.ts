/**
 * Calls of many methods over one gRPC stream that is kept open between two processes. A call of its own costs a gRPC
 * client and server several times as much processor time as a message on an open stream.
 */
import type * as grpc from "@grpc/grpc-js";
import * as z from "zod";

/** A message on the stream: a call's number with its method and request, or with the reply. */
const requestFrame = z.tuple([z.number(), z.string(), z.unknown()]);
const replyFrame = z.tuple([z.number(), z.unknown()]);

/** Encodes and decodes messages; `decode` throws for bytes that are no message. */
export interface Codec {
    encode(value: unknown): Buffer;
    decode(bytes: Buffer): unknown;
}

/** gRPC status of a request that makes no sense. */
const invalidArgument = 3;

/** Name of the gRPC method that opens a stream. */
export const methodName = "calls";

/** Serves the calls that arrive on a stream. `run` never rejects. */
export function serve(
    stream: grpc.ServerDuplexStream<Buffer, Buffer>,
    codec: Codec,
    run: (method: string, request: unknown) => Promise<unknown>,
): void {
    /** Ends the stream with an error status, which is how gRPC servers report an error of a stream. */
    function reject(details: string): void {
        stream.emit("error", Object.assign(new Error(details), { code: invalidArgument, details }));
    }

    stream.on("data", (bytes: Buffer) => {
        let frame: unknown;
        try {
            frame = codec.decode(bytes);
        }
        catch (thrown) {
            reject(`A message can't be decoded: ${String(thrown)}.`);
            return;
        }
        const parsed = requestFrame.safeParse(frame);
        if (!parsed.success) {
            reject("A message is malformed.");
            return;
        }
        const [id, method, request] = parsed.data;
        void run(method, request).then(reply => {
            if (!stream.destroyed && stream.writable) {
                stream.write(codec.encode([id, reply]));
            }
        });
    });
    stream.on("end", () => stream.end());
    // The caller sees the broken stream too, and fails its calls.
    stream.on("error", () => undefined);
}

/** How a call on a stream ended without a reply. */
export interface Break {
    /** gRPC status; undefined when the stream ended without one. */
    readonly code: number | undefined;
    readonly details: string;
    /** True if the other process had accepted the stream, so that it may have received the call. */
    readonly established: boolean;
}

/** The calling side of a stream. */
export interface CallStream {
    /** True until the stream breaks or is closed; no call may be made after that. */
    isOpen(): boolean;
    /** Sends a call. Exactly one of the handlers is called, unless the returned function is called before. */
    call(
        method: string,
        request: unknown,
        handlers: { reply(value: unknown, receivedBytes: number): void; failed(cause: Break): void },
    ): { readonly sentBytes: number; cancel(): void };
    close(): void;
}

/** Creates the calling side of a stream that was just opened. */
export function create(stream: grpc.ClientDuplexStream<Buffer, Buffer>, codec: Codec): CallStream {
    const pending = new Map<number, { reply(value: unknown, bytes: number): void; failed(cause: Break): void }>();
    let established = false;
    let open = true;
    let nextId = 0;

    function fail(code: number | undefined, details: string): void {
        if (!open) {
            return;
        }
        open = false;
        const cause = { code, details, established };
        const calls = [...pending.values()];
        pending.clear();
        calls.forEach(call => call.failed(cause));
    }

    stream.on("metadata", () => {
        established = true;
    });
    stream.on("data", (bytes: Buffer) => {
        established = true;
        let frame: unknown;
        try {
            frame = codec.decode(bytes);
        }
        catch (thrown) {
            fail(undefined, `a reply can't be decoded: ${String(thrown)}`);
            stream.cancel();
            return;
        }
        const parsed = replyFrame.safeParse(frame);
        if (!parsed.success) {
            fail(undefined, "a reply is malformed");
            stream.cancel();
            return;
        }
        const [id, value] = parsed.data;
        const call = pending.get(id);
        pending.delete(id);
        call?.reply(value, bytes.length);
    });
    stream.on("error", (error: grpc.ServiceError) => fail(error.code, error.details));
    stream.on("end", () => fail(undefined, "the stream ended"));

    return {
        isOpen: () => open,
        call(method, request, handlers) {
            nextId += 1;
            const id = nextId;
            const bytes = codec.encode([id, method, request]);
            pending.set(id, handlers);
            stream.write(bytes);
            return { sentBytes: bytes.length, cancel: () => void pending.delete(id) };
        },
        close() {
            fail(undefined, "the channel was closed");
            stream.cancel();
        },
    };
}
