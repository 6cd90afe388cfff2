/** Connections to endpoints over the platform's wire protocol. */
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import type * as caller from "../ports/caller.js";
import type * as connection from "../ports/connection.js";
import * as wire from "./wire.js";

/** Counts bytes sent to or received from an address. */
export type ByteCounter = (address: string, bytes: number) => void;

/** A request in flight; replies arrive in the order of the requests. */
interface PendingRequest {
    readonly rows: string[];
    outcome: connection.Reply["outcome"] | undefined;
    readonly settle: (reply: neverthrow.Result<connection.Reply, connection.ConnectionError>) => void;
    readonly timer: NodeJS.Timeout;
}

const keepAliveMs = 1_000;

/** Creates a dialer; `countBytes` counts all traffic except the startup message. */
export function createDialer(countBytes: ByteCounter = () => undefined): connection.Dialer {
    return { dial: (target, timeoutMs) => dial(target, timeoutMs, countBytes) };
}

/** Starts to connect; undefined if the address can't be one. */
function connect(address: string): net.Socket | undefined {
    const colon = address.lastIndexOf(":");
    try {
        return net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), noDelay: true });
    }
    catch {
        return undefined;
    }
}

function dial(
    target: connection.Target,
    handshakeTimeoutMs: number,
    countBytes: ByteCounter,
): Promise<neverthrow.Result<connection.Connection, connection.ConnectionError | connection.Refusal>> {
    return new Promise(resolve => {
        const connecting = connect(target.address);
        if (connecting === undefined) {
            const message = `Endpoint ${target.endpoint} has the invalid address ${target.address}.`;
            resolve(neverthrow.err({ sent: false, timedOut: false, message }));
            return;
        }
        const socket = connecting;
        const splitter = wire.createSplitter();
        const pending: PendingRequest[] = [];
        let handshakeDone = false;
        let open = true;

        function fail(message: string, timedOut = false): void {
            open = false;
            socket.destroy();
            clearTimeout(handshakeTimer);
            if (!handshakeDone) {
                handshakeDone = true;
                resolve(neverthrow.err({ sent: false, timedOut, message }));
            }
            for (const request of pending.splice(0)) {
                clearTimeout(request.timer);
                request.settle(neverthrow.err({ sent: true, timedOut, message }));
            }
        }

        const handshakeTimer = setTimeout(
            () => fail(`Endpoint ${target.endpoint} did not accept the connection in time.`, true),
            handshakeTimeoutMs,
        );
        socket.setEncoding(wire.encoding);
        socket.setKeepAlive(true, keepAliveMs);
        socket.on("connect", () => socket.write(wire.formatStartup(target), wire.encoding));
        socket.on("error", error => fail(String(error)));
        socket.on("close", () => fail(`Endpoint ${target.endpoint} closed the connection.`));
        socket.on("data", (chunk: string) => {
            countBytes(target.address, chunk.length);
            const lines = splitter.push(chunk);
            if (lines.isErr()) {
                fail(`Endpoint ${target.endpoint} sent a message longer than 1 MiB.`);
                return;
            }
            lines.value.forEach(handleLine);
        });

        function handleLine(line: string): void {
            const message = wire.parseEndpointMessage(line);
            if (message === undefined) {
                fail(`Endpoint ${target.endpoint} sent an invalid message: ${JSON.stringify(line.slice(0, 80))}.`);
                return;
            }
            if (!handshakeDone) {
                completeHandshake(message);
                return;
            }
            const request = pending[0];
            if (request === undefined) {
                fail(`Endpoint ${target.endpoint} sent a reply without a pending request.`);
                return;
            }
            switch (message.kind) {
                case "row":
                    request.rows.push(message.text);
                    return;
                case "complete":
                    request.outcome = { kind: "done", signature: message.signature };
                    return;
                case "error":
                    request.outcome = { kind: "refused", refusal: message.refusal, text: message.text };
                    return;
                case "ready":
                    completeReply(request, message.state, message.position);
            }
        }

        function completeHandshake(message: wire.EndpointMessage): void {
            if (message.kind === "ready") {
                handshakeDone = true;
                clearTimeout(handshakeTimer);
                resolve(neverthrow.ok(opened));
            }
            else if (message.kind === "error") {
                handshakeDone = true;
                clearTimeout(handshakeTimer);
                open = false;
                socket.destroy();
                resolve(neverthrow.err(message.refusal));
            }
        }

        function completeReply(
            request: PendingRequest,
            state: caller.State,
            position: connection.Reply["position"],
        ): void {
            if (request.outcome === undefined) {
                fail(`Endpoint ${target.endpoint} ended a reply without an outcome.`);
                return;
            }
            pending.shift();
            clearTimeout(request.timer);
            request.settle(neverthrow.ok({ rows: request.rows, outcome: request.outcome, state, position }));
        }

        function send(
            id: string,
            text: string,
            timeoutMs: number,
        ): Promise<neverthrow.Result<connection.Reply, connection.ConnectionError>> {
            if (!open) {
                const message = `The connection to endpoint ${target.endpoint} is closed.`;
                return Promise.resolve(neverthrow.err({ sent: false, timedOut: false, message }));
            }
            return new Promise(settle => {
                const timer = setTimeout(
                    () => fail(`Endpoint ${target.endpoint} did not reply within ${Math.round(timeoutMs)} ms.`, true),
                    timeoutMs,
                );
                pending.push({ rows: [], outcome: undefined, settle, timer });
                const line = wire.formatRequest(id, text);
                countBytes(target.address, line.length);
                socket.write(line, wire.encoding);
            });
        }

        const opened: connection.Connection = {
            run: (id, command, timeoutMs) => send(id, wire.formatCommand(command), timeoutMs),
            async control(command, timeoutMs) {
                const reply = await send(wire.controlId, wire.formatControlCommand(command), timeoutMs);
                return reply
                    .mapErr((error): connection.ConnectionError | connection.Refusal => error)
                    .andThen(received => parseStatus(received, target.endpoint));
            },
            isOpen: () => open,
            close() {
                if (open && pending.length === 0) {
                    open = false;
                    socket.end();
                }
                else if (open) {
                    fail(`The connection to endpoint ${target.endpoint} was closed by this host.`);
                }
            },
        };
    });
}

function parseStatus(
    reply: connection.Reply,
    endpoint: string,
): neverthrow.Result<connection.Status, connection.ConnectionError | connection.Refusal> {
    if (reply.outcome.kind === "refused") {
        return neverthrow.err(reply.outcome.refusal);
    }
    const status = wire.parseStatus(reply.rows[0] ?? "", reply.position);
    return status === undefined
        ? neverthrow.err({
            sent: true,
            timedOut: false,
            message: `Endpoint ${endpoint} sent an invalid status row.`,
        })
        : neverthrow.ok(status);
}
