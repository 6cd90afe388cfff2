/** gRPC channels and servers. Messages are encoded as MessagePack, and both ends validate what they receive. */
import * as grpc from "@grpc/grpc-js";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as failure from "../core/failure.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";

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

function decodeAs<T>(schema: z.ZodType<T>, bytes: Buffer, subject: string): neverthrow.Result<T, failure.Failure> {
    return decode(bytes)
        .mapErr(message => malformedFailure(subject, message))
        .andThen(value => {
            const parsed = schema.safeParse(value);
            return parsed.success
                ? neverthrow.ok(parsed.data)
                : neverthrow.err(malformedFailure(subject, parsed.error.message));
        });
}

/** Creates the handler of a method; a request that does not match the method's schema gets a failure. */
export function handle<Request, Reply>(
    method: messages.Method<Request, Reply>,
    answer: (request: Request) => network.Outcome<Reply>,
): network.Handler {
    return {
        name: method.name,
        async handle(request): Promise<Envelope> {
            const checked = decodeAs(method.request, request as Buffer, method.name);
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
    const implementation: Record<string, grpc.handleUnaryCall<Buffer, Buffer>> = {};
    for (const handler of handlers) {
        definition[handler.name] = {
            path: methodPath(handler.name),
            requestStream: false,
            responseStream: false,
            requestSerialize: identity,
            requestDeserialize: identity,
            responseSerialize: identity,
            responseDeserialize: identity,
        };
        implementation[handler.name] = (call, callback) => {
            handler.handle(call.request).then(
                value => callback(null, encode(value)),
                thrown => callback({ code: grpc.status.INTERNAL, details: String(thrown) }),
            );
        };
    }
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
function toFailure(address: string, name: string, error: grpc.ServiceError): failure.Failure {
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
        let closed = false;
        return {
            call(method, request, timeoutMs) {
                if (closed) {
                    const message = `The channel to ${address} is closed.`;
                    const cause = failure.create(failure.Code.peerUnreachable, address, message, reconnectMs);
                    return Promise.resolve(neverthrow.err(cause));
                }
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
                                resolve(neverthrow.err(toFailure(address, method.name, error as grpc.ServiceError)));
                                return;
                            }
                            resolve(decodeReply(method, reply));
                        },
                    );
                });
            },
            close() {
                closed = true;
                channels.delete(address);
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

function decodeReply<Request, Reply>(
    method: messages.Method<Request, Reply>,
    bytes: Buffer,
): neverthrow.Result<Reply, failure.Failure> {
    return decodeAs(envelope, bytes, method.name).andThen(reply => {
        if (reply.failure !== undefined) {
            return neverthrow.err(reply.failure);
        }
        const parsed = method.reply.safeParse(reply.value);
        return parsed.success
            ? neverthrow.ok(parsed.data)
            : neverthrow.err(malformedFailure(method.name, parsed.error.message));
    });
}
