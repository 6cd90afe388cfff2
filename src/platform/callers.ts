/**
 * Listener for callers over the platform's wire protocol. Each connection holds one session, which runs one request at
 * a time and responds in the order of the requests.
 */
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import type * as runtime from "../ports/runtime.js";
import * as wire from "./wire.js";

/** Settings of the listener. */
export interface Options {
    readonly host: string;
    readonly port: number;
    readonly login: caller.Login;
    readonly log: runtime.Log;
}

/** The running listener and its connections. */
export interface Listener {
    readonly port: number;
    /** Number of open connections. */
    count(): number;
    /** Number of connections with a request running or a transaction open. */
    busy(): number;
    /** Bytes received and sent since the start. */
    byteCount(): number;
    /**
     * Closes the connections that have neither a request running nor a transaction open, and from now on each other one as
     * soon as that is true of it.
     */
    closeIdle(): void;
    /** Stops listening and closes all connections. */
    close(): void;
}

interface Connection {
    readonly socket: net.Socket;
    session: caller.Session | undefined;
    running: boolean;
    /** True once this host has started to close the connection; requests that arrive after that are not run. */
    closing: boolean;
}

/** Pipelined requests of a connection at which the host stops reading from it until some are processed. */
const maxPipelinedRequests = 64;
const keepAliveMs = 5_000;
/** Accept queue of the socket. Hundreds of callers reconnect at once after an outage; the default queue is short. */
const backlog = 1_024;

/** Starts to listen; rejects when the address can't be bound. */
export async function listen(options: Options): Promise<Listener> {
    const connections = new Set<Connection>();
    /** True once connections are closed as they become idle. */
    let draining = false;
    let byteCount = 0;

    function accept(socket: net.Socket): void {
        const connection: Connection = { socket, session: undefined, running: false, closing: false };
        const splitter = wire.createSplitter();
        const queued: wire.CallerMessage[] = [];
        connections.add(connection);
        socket.setEncoding(wire.encoding);
        socket.setNoDelay(true);
        socket.setKeepAlive(true, keepAliveMs);

        function disconnect(): void {
            if (connections.delete(connection)) {
                connection.session?.close();
            }
            queued.length = 0;
            socket.destroy();
        }

        function send(text: string): void {
            byteCount += text.length;
            if (!socket.destroyed) {
                socket.write(text, wire.encoding);
            }
        }

        function sendAndClose(text: string): void {
            connection.closing = true;
            if (!socket.destroyed) {
                socket.end(text, wire.encoding);
            }
        }

        function login(message: wire.CallerMessage & { kind: "login" }): void {
            const opened = connection.session === undefined
                ? options.login.open(message.database, message.key)
                : neverthrow.err(invalidRequest("The session is already open."));
            if (opened.isErr()) {
                sendAndClose(wire.formatError(opened.error));
                return;
            }
            connection.session = opened.value;
            send(wire.formatReady("idle", undefined));
        }

        async function handleRequest(message: wire.CallerMessage & { kind: "request" }): Promise<void> {
            if (connection.session === undefined) {
                sendAndClose(wire.formatError(invalidRequest("The first message of a session must be STARTUP.")));
                return;
            }
            const response = await connection.session.handle(message.id, message.request);
            const text = wire.formatResponse(response);
            if (response.closeConnection === true) {
                sendAndClose(text);
            }
            else {
                send(text);
            }
        }

        async function processQueue(): Promise<void> {
            connection.running = true;
            for (let message = queued.shift(); message !== undefined; message = queued.shift()) {
                if (message.kind === "terminate") {
                    disconnect();
                }
                else if (message.kind === "login") {
                    login(message);
                }
                else if (message.kind === "malformed") {
                    options.log.warn({ message: message.message }, "Request malformed.");
                    send(
                        wire.formatError(invalidRequest(message.message))
                            + wire.formatReady(sessionState(connection), undefined),
                    );
                }
                else {
                    await handleRequest(message);
                }
                if (connection.closing) {
                    // Nothing could be answered any longer, so nothing may run.
                    queued.length = 0;
                }
                if (queued.length < maxPipelinedRequests && socket.isPaused()) {
                    socket.resume();
                }
            }
            connection.running = false;
            if (draining) {
                closeIfIdle(connection);
            }
        }

        socket.on("data", (chunk: string) => {
            byteCount += chunk.length;
            if (connection.closing) {
                return;
            }
            const lines = splitter.push(chunk);
            if (lines.isErr()) {
                const cause = failure.create(failure.Code.tooLarge, "message", "The message is longer than 1 MiB.");
                options.log.warn({ code: cause.code }, "Message too long.");
                sendAndClose(wire.formatError(cause));
                return;
            }
            queued.push(...lines.value.map(wire.parseCallerMessage));
            if (queued.length >= maxPipelinedRequests) {
                socket.pause();
            }
            if (!connection.running && queued.length > 0) {
                processQueue().catch((thrown: unknown) => {
                    options.log.error({ error: String(thrown) }, "Session failed.");
                    disconnect();
                });
            }
        });
        socket.on("end", disconnect);
        socket.on("close", disconnect);
        socket.on("error", disconnect);
    }

    const server = net.createServer({ allowHalfOpen: false }, accept);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: options.host, port: options.port, backlog }, resolve);
    });
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : options.port,
        count: () => connections.size,
        busy: () =>
            [...connections].filter(connection => connection.running || connection.session?.idle() === false).length,
        byteCount: () => byteCount,
        closeIdle() {
            draining = true;
            connections.forEach(closeIfIdle);
        },
        close() {
            server.close();
            connections.forEach(connection => connection.socket.destroy());
        },
    };
}

function closeIfIdle(connection: Connection): void {
    if (!connection.running && connection.session?.idle() !== false) {
        connection.closing = true;
        connection.socket.end();
    }
}

function sessionState(connection: Connection): caller.State {
    return connection.session?.idle() === false ? "failed" : "idle";
}

function invalidRequest(message: string): failure.Failure {
    return failure.create(failure.Code.statementInvalid, "request", message);
}
