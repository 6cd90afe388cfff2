/** Callers over the platform's wire: one session a connection, one request at a time, answers in order. */
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

/** The listener and its connections. */
export interface Callers {
    readonly port: number;
    /** Connections open. */
    count(): number;
    /** Connections with a request running or a transaction open. */
    busy(): number;
    /** Closes the connections that have nothing in hand. */
    closeIdle(): void;
    /** Closes everything. */
    close(): void;
}

interface Line {
    readonly socket: net.Socket;
    session: caller.Session | undefined;
    running: boolean;
    /** True once this host has closed the connection; what still arrives is not run. */
    closing: boolean;
}

/** Requests that a caller may send ahead of answers before its connection is not read further. */
const maxAhead = 64;
const keepAliveMs = 5_000;
/** Callers arrive by the hundred after an outage; the platform's queue is otherwise short. */
const backlog = 1_024;

/** Starts to listen. */
export async function listen(options: Options): Promise<Callers> {
    const lines = new Set<Line>();

    function accept(socket: net.Socket): void {
        const line: Line = { socket, session: undefined, running: false, closing: false };
        const splitter = wire.createSplitter();
        const waiting: wire.CallerMessage[] = [];
        lines.add(line);
        socket.setEncoding(wire.encoding);
        socket.setNoDelay(true);
        socket.setKeepAlive(true, keepAliveMs);

        function drop(): void {
            if (lines.delete(line)) {
                line.session?.close();
            }
            waiting.length = 0;
            socket.destroy();
        }

        function send(text: string): void {
            if (!socket.destroyed) {
                socket.write(text, wire.encoding);
            }
        }

        function finish(text: string): void {
            line.closing = true;
            if (!socket.destroyed) {
                socket.end(text, wire.encoding);
            }
        }

        function login(message: wire.CallerMessage & { kind: "login" }): void {
            const opened = line.session === undefined
                ? options.login.open(message.database, message.key)
                : neverthrow.err(invalid("The session is open already."));
            if (opened.isErr()) {
                finish(wire.printError(opened.error));
                return;
            }
            line.session = opened.value;
            send(wire.printReady("idle", undefined));
        }

        async function answer(message: wire.CallerMessage & { kind: "request" }): Promise<void> {
            if (line.session === undefined) {
                finish(wire.printError(invalid("A session starts with a login.")));
                return;
            }
            const answered = await line.session.handle(message.id, message.request);
            const text = wire.printAnswer(answered);
            if (answered.closeConnection === true) {
                finish(text);
            }
            else {
                send(text);
            }
        }

        async function serve(): Promise<void> {
            line.running = true;
            for (let message = waiting.shift(); message !== undefined; message = waiting.shift()) {
                if (message.kind === "leave") {
                    drop();
                }
                else if (message.kind === "login") {
                    login(message);
                }
                else if (message.kind === "malformed") {
                    options.log.warn({ message: message.message }, "Request malformed.");
                    send(wire.printError(invalid(message.message)) + wire.printReady(stateOf(line), undefined));
                }
                else {
                    await answer(message);
                }
                if (waiting.length < maxAhead && socket.isPaused()) {
                    socket.resume();
                }
            }
            line.running = false;
        }

        socket.on("data", (piece: string) => {
            if (line.closing) {
                return;
            }
            const cut = splitter.push(piece);
            if (cut.isErr()) {
                const cause = failure.create(failure.Code.tooLarge, "message", "The message is longer than 1 MiB.");
                options.log.warn({ code: cause.code }, "Message too long.");
                finish(wire.printError(cause));
                return;
            }
            waiting.push(...cut.value.map(wire.readCaller));
            if (waiting.length >= maxAhead) {
                socket.pause();
            }
            if (!line.running && waiting.length > 0) {
                serve().catch((thrown: unknown) => {
                    options.log.error({ error: String(thrown) }, "Session failed.");
                    drop();
                });
            }
        });
        socket.on("end", drop);
        socket.on("close", drop);
        socket.on("error", drop);
    }

    const server = net.createServer({ allowHalfOpen: false }, accept);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: options.host, port: options.port, backlog }, resolve);
    });
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : options.port,
        count: () => lines.size,
        busy: () => [...lines].filter(line => line.running || line.session?.idle() === false).length,
        closeIdle() {
            lines.forEach(line => {
                if (!line.running && line.session?.idle() !== false) {
                    line.closing = true;
                    line.socket.end();
                }
            });
        },
        close() {
            server.close();
            lines.forEach(line => line.socket.destroy());
        },
    };
}

function stateOf(line: Line): caller.State {
    return line.session?.idle() === false ? "failed" : "idle";
}

function invalid(message: string): failure.Failure {
    return failure.create(failure.Code.statementInvalid, "request", message);
}
