/** Channels and servers over gRPC; messages travel as MessagePack and are checked at both ends. */
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

const path = (name: string): string => `/hyssophatch/${name}`;
const encode = (value: unknown): Buffer => packer.pack(value);
const identity = (value: Buffer): Buffer => value;

function malformed(subject: string, message: string): failure.Failure {
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

function read<T>(schema: z.ZodType<T>, bytes: Buffer, subject: string): neverthrow.Result<T, failure.Failure> {
    return decode(bytes)
        .mapErr(message => malformed(subject, message))
        .andThen(value => {
            const parsed = schema.safeParse(value);
            return parsed.success
                ? neverthrow.ok(parsed.data)
                : neverthrow.err(malformed(subject, parsed.error.message));
        });
}

/** Binds a method to the code that answers it. */
export function handle<Request, Reply>(
    method: messages.Method<Request, Reply>,
    answer: (request: Request) => network.Outcome<Reply>,
): network.Handler {
    return {
        name: method.name,
        async handle(request): Promise<Envelope> {
            const checked = read(method.request, request as Buffer, method.name);
            const outcome = checked.isErr() ? neverthrow.err(checked.error) : await answer(checked.value);
            return outcome.isOk() ? { value: outcome.value } : { failure: outcome.error };
        },
    };
}

/** A running server. */
export interface Server {
    readonly port: number;
    close(): Promise<void>;
}

/** Serves the handlers; port 0 takes any free port. */
export async function serve(host: string, port: number, handlers: readonly network.Handler[]): Promise<Server> {
    const server = new grpc.Server({ "grpc.max_receive_message_length": maxMessageBytes });
    const definition: Record<string, grpc.MethodDefinition<Buffer, Buffer>> = {};
    const implementation: Record<string, grpc.handleUnaryCall<Buffer, Buffer>> = {};
    for (const handler of handlers) {
        definition[handler.name] = {
            path: path(handler.name),
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
    const bound = await new Promise<number>((resolve, reject) => {
        server.bindAsync(`${host}:${port}`, grpc.ServerCredentials.createInsecure(), (error, value) => {
            if (error === null) {
                resolve(value);
            }
            else {
                reject(error);
            }
        });
    });
    return {
        port: bound,
        async close() {
            server.forceShutdown();
        },
    };
}

/** What to say when a call got no answer. */
function explain(address: string, name: string, error: grpc.ServiceError): failure.Failure {
    const unsent = error.code === grpc.status.UNAVAILABLE
        && /ECONNREFUSED|No connection established/.test(error.details);
    const code = unsent ? failure.Code.ownerUnreachable : failure.Code.peerUnreachable;
    return failure.create(code, address, `Call ${name} to ${address} got no answer: ${error.details}.`, reconnectMs);
}

/** Told of each message: the method, the peer's address, and the bytes sent and received. */
export type Meter = (method: string, address: string, sentBytes: number, receivedBytes: number) => void;

/** Creates the network of one process. */
export function createNetwork(meter: Meter = () => undefined): network.Network {
    const channels = new Map<string, network.Channel>();

    function open(address: string): network.Channel {
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
                    // The library's own deadlines follow the time of day, which jumps.
                    const timer = setTimeout(() => started.cancel(), timeoutMs);
                    const started = client.makeUnaryRequest(
                        path(method.name),
                        identity,
                        identity,
                        bytes,
                        (error, reply) => {
                            clearTimeout(timer);
                            meter(method.name, address, bytes.length, reply?.length ?? 0);
                            if (error !== null || reply === undefined) {
                                resolve(neverthrow.err(explain(address, method.name, error as grpc.ServiceError)));
                                return;
                            }
                            resolve(unwrap(method, reply));
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
            const known = channels.get(address) ?? open(address);
            channels.set(address, known);
            return known;
        },
        close() {
            channels.forEach(channel => channel.close());
            channels.clear();
        },
    };
}

function unwrap<Request, Reply>(
    method: messages.Method<Request, Reply>,
    bytes: Buffer,
): neverthrow.Result<Reply, failure.Failure> {
    return read(envelope, bytes, method.name).andThen(opened => {
        if (opened.failure !== undefined) {
            return neverthrow.err(opened.failure);
        }
        const parsed = method.reply.safeParse(opened.value);
        return parsed.success
            ? neverthrow.ok(parsed.data)
            : neverthrow.err(malformed(method.name, parsed.error.message));
    });
}
