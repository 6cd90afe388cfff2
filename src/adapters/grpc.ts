/**
 * gRPC channels and servers. Messages are encoded as MessagePack, and both ends validate what they receive. Calls share
 * one stream a channel, except those with large messages, which would hold up the others.
 */
import * as grpc from "@grpc/grpc-js";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as failure from "../core/failure.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import * as callStreams from "./callstream.js";

const packer = new msgpackr.Packr({ useRecords: true, encodeUndefinedAsNil: false });
const maxMessageBytes = 32 * 1024 * 1024;
const reconnectMs = 100;
const maxReconnectMs = 1_000;

const failureSchema = z.object({
    code: z.union(Object.values(failure.Code).map(code => z.literal(code))),
    subject: z.string(),
    message: z.string(),
    retryAfterMs: z.number().optional(),
    endpointErrno: z.number().optional(),
}).readonly();

const envelope = z.object({ value: z.unknown().optional(), failure: failureSchema.optional() });

type Envelope = z.infer<typeof envelope>;

const methodPath = (name: string): string => `/hyssophatch/${name}`;
const encode = (value: unknown): Buffer => packer.pack(value);
const identity = (value: Buffer): Buffer => value;
const codec: callStreams.Codec = { encode, decode: bytes => packer.unpack(bytes) as unknown };

function malformedFailure(subject: string, message: string): failure.Failure {
    return failure.create(failure.Code.messageMalformed, subject, `Message ${subject} is malformed: ${message}.`);
}

function decode(bytes: Buffer): neverthrow.Result<unknown, string> {
    try {
        return neverthrow.ok(packer.unpack(bytes) as unknown);
    }
    catch (thrown) {
        return neverthrow.err(String(thrown));
    }
}

function check<T>(schema: z.ZodType<T>, value: unknown, subject: string): neverthrow.Result<T, failure.Failure> {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? neverthrow.ok(parsed.data)
        : neverthrow.err(malformedFailure(subject, parsed.error.message));
}

/** Creates the handler of a method; a request that does not match the method's schema gets a failure. */
export function handle<Request, Reply>(
    method: messages.Method<Request, Reply>,
    answer: (request: Request) => network.Outcome<Reply>,
): network.Handler {
    return {
        name: method.name,
        async handle(request): Promise<Envelope> {
            const checked = check(method.request, request, method.name);
            const outcome = checked.isErr() ? neverthrow.err(checked.error) : await answer(checked.value);
            return outcome.isOk() ? { value: outcome.value } : { failure: outcome.error };
        },
    };
}

/** A running gRPC server. */
export interface Server {
    readonly port: number;
    /** Stops the server and cancels calls in progress. */
    close(): Promise<void>;
}

/** Starts a server for the handlers; port 0 binds any free port. Rejects if the port can't be bound. */
export async function serve(host: string, port: number, handlers: readonly network.Handler[]): Promise<Server> {
    const server = new grpc.Server({ "grpc.max_receive_message_length": maxMessageBytes });
    const definition: Record<string, grpc.MethodDefinition<Buffer, Buffer>> = {};
    const implementation: grpc.UntypedServiceImplementation = {};
    const byName = new Map(handlers.map(handler => [handler.name, handler]));

    function define(name: string, streamed: boolean): void {
        definition[name] = {
            path: methodPath(name),
            requestStream: streamed,
            responseStream: streamed,
            requestSerialize: identity,
            requestDeserialize: identity,
            responseSerialize: identity,
            responseDeserialize: identity,
        };
    }

    /** Runs a call; an unknown method and a handler that throws give a failure. */
    async function run(name: string, request: unknown): Promise<unknown> {
        try {
            const handler = byName.get(name);
            return handler === undefined
                ? { failure: malformedFailure(name, "no such method") }
                : await handler.handle(request);
        }
        catch (thrown) {
            return {
                failure: failure.create(failure.Code.peerUnreachable, name, `Call ${name} failed: ${String(thrown)}.`),
            };
        }
    }

    for (const { name } of handlers) {
        define(name, false);
        implementation[name] = (call: grpc.ServerUnaryCall<Buffer, Buffer>, callback: grpc.sendUnaryData<Buffer>) => {
            const request = decode(call.request);
            const reply = request.isOk()
                ? run(name, request.value)
                : Promise.resolve({ failure: malformedFailure(name, request.error) });
            void reply.then(value => callback(null, encode(value)));
        };
    }
    define(callStreams.methodName, true);
    implementation[callStreams.methodName] = (stream: grpc.ServerDuplexStream<Buffer, Buffer>) =>
        callStreams.serve(stream, codec, run);
    server.addService(definition, implementation);
    const boundPort = await new Promise<number>((resolve, reject) => {
        server.bindAsync(`${host}:${port}`, grpc.ServerCredentials.createInsecure(), (error, assignedPort) => {
            if (error === null) {
                resolve(assignedPort);
            }
            else {
                reject(error);
            }
        });
    });
    return {
        port: boundPort,
        async close() {
            server.forceShutdown();
        },
    };
}

/** Converts a gRPC error. Only a connection that was never established shows that the request was not sent. */
function toFailure(
    address: string,
    name: string,
    error: { readonly code: number | undefined; readonly details: string },
): failure.Failure {
    const notSent = error.code === grpc.status.UNAVAILABLE
        && /ECONNREFUSED|No connection established/.test(error.details);
    const code = notSent ? failure.Code.ownerUnreachable : failure.Code.peerUnreachable;
    return failure.create(code, address, `Call ${name} to ${address} got no reply: ${error.details}.`, reconnectMs);
}

/** Called after each call with its method, the peer's address, and the bytes sent and received. */
export type Meter = (method: string, address: string, sentBytes: number, receivedBytes: number) => void;

/** Creates the network client of one process. */
export function createNetwork(meter: Meter = () => undefined): network.Network {
    const channels = new Map<string, network.Channel>();

    function createChannel(address: string): network.Channel {
        const client = new grpc.Client(address, grpc.credentials.createInsecure(), {
            "grpc.max_receive_message_length": maxMessageBytes,
            "grpc.initial_reconnect_backoff_ms": reconnectMs,
            "grpc.max_reconnect_backoff_ms": maxReconnectMs,
            "grpc.enable_retries": 0,
        });
        let stream: callStreams.CallStream | undefined;
        /** False once the other process turned out to be of a version that doesn't serve the stream of calls. */
        let streamSupported = true;
        let closed = false;

        function openStream(): callStreams.CallStream {
            if (stream?.isOpen() !== true) {
                const opened = client.makeBidiStreamRequest(
                    methodPath(callStreams.methodName),
                    identity,
                    identity,
                );
                stream = callStreams.create(opened, codec);
            }
            return stream;
        }

        function callOnce<Request, Reply>(
            method: messages.Method<Request, Reply>,
            request: Request,
            timeoutMs: number,
        ): network.Outcome<Reply> {
            const bytes = encode(request);
            return new Promise(resolve => {
                // gRPC deadlines are wall-clock times, and the wall clock may jump.
                const timer = setTimeout(() => call.cancel(), timeoutMs);
                const call = client.makeUnaryRequest(
                    methodPath(method.name),
                    identity,
                    identity,
                    bytes,
                    (error, reply) => {
                        clearTimeout(timer);
                        meter(method.name, address, bytes.length, reply?.length ?? 0);
                        if (error !== null || reply === undefined) {
                            const { code, details } = error ?? { code: undefined, details: "the reply is missing" };
                            resolve(neverthrow.err(toFailure(address, method.name, { code, details })));
                            return;
                        }
                        const value = decode(reply).mapErr(message => malformedFailure(method.name, message));
                        resolve(value.andThen(decoded => checkReply(method, decoded)));
                    },
                );
            });
        }

        function callOnStream<Request, Reply>(
            method: messages.Method<Request, Reply>,
            request: Request,
            timeoutMs: number,
        ): network.Outcome<Reply> {
            return new Promise(resolve => {
                const startedMs = performance.now();
                const timer = setTimeout(() => {
                    call.cancel();
                    const details = `no reply within ${Math.round(timeoutMs)} ms`;
                    resolve(neverthrow.err(toFailure(address, method.name, { code: undefined, details })));
                }, timeoutMs);
                const call = openStream().call(method.name, request, {
                    reply(value, receivedBytes) {
                        clearTimeout(timer);
                        meter(method.name, address, call.sentBytes, receivedBytes);
                        resolve(checkReply(method, value));
                    },
                    failed(cause) {
                        clearTimeout(timer);
                        if (cause.code === grpc.status.UNIMPLEMENTED && !cause.established && !closed) {
                            streamSupported = false;
                            resolve(callOnce(method, request, timeoutMs - (performance.now() - startedMs)));
                            return;
                        }
                        const error = cause.established ? { ...cause, code: undefined } : cause;
                        resolve(neverthrow.err(toFailure(address, method.name, error)));
                    },
                });
            });
        }

        return {
            call(method, request, timeoutMs) {
                if (closed) {
                    const message = `The channel to ${address} is closed.`;
                    const cause = failure.create(failure.Code.peerUnreachable, address, message, reconnectMs);
                    return Promise.resolve(neverthrow.err(cause));
                }
                return streamSupported && method.large !== true
                    ? callOnStream(method, request, timeoutMs)
                    : callOnce(method, request, timeoutMs);
            },
            close() {
                closed = true;
                channels.delete(address);
                stream?.close();
                client.close();
            },
        };
    }

    return {
        openChannel(address) {
            const channel = channels.get(address) ?? createChannel(address);
            channels.set(address, channel);
            return channel;
        },
        close() {
            channels.forEach(channel => channel.close());
            channels.clear();
        },
    };
}

function checkReply<Request, Reply>(
    method: messages.Method<Request, Reply>,
    value: unknown,
): neverthrow.Result<Reply, failure.Failure> {
    return check(envelope, value, method.name).andThen(reply =>
        reply.failure === undefined ? check(method.reply, reply.value, method.name) : neverthrow.err(reply.failure)
    );
}
