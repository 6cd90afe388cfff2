/** Connections to endpoints over the platform's wire. */
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import type * as caller from "../ports/caller.js";
import type * as connection from "../ports/connection.js";
import * as wire from "./wire.js";

/** Counts bytes to and from an address. */
export type Meter = (address: string, bytes: number) => void;

interface Pending {
    readonly rows: string[];
    outcome: connection.Reply["outcome"] | undefined;
    readonly settle: (reply: neverthrow.Result<connection.Reply, connection.ConnectionError>) => void;
    readonly timer: NodeJS.Timeout;
}

const keepAliveMs = 1_000;

/** Creates a dialer. */
export function createDialer(meter: Meter = () => undefined): connection.Dialer {
    return { dial: (target, timeoutMs) => dial(target, timeoutMs, meter) };
}

function dial(
    target: connection.Target,
    timeoutMs: number,
    meter: Meter,
): Promise<neverthrow.Result<connection.Connection, connection.ConnectionError | connection.Refusal>> {
    return new Promise(resolve => {
        const separator = target.address.lastIndexOf(":");
        const host = target.address.slice(0, separator);
        const socket = net.connect({ host, port: Number(target.address.slice(separator + 1)), noDelay: true });
        const splitter = wire.createSplitter();
        const pending: Pending[] = [];
        let greeted = false;
        let open = true;

        function fail(message: string, late = false): void {
            open = false;
            socket.destroy();
            clearTimeout(greeting);
            if (!greeted) {
                greeted = true;
                resolve(neverthrow.err({ sent: false, timedOut: late, message }));
            }
            for (const entry of pending.splice(0)) {
                clearTimeout(entry.timer);
                entry.settle(neverthrow.err({ sent: true, timedOut: late, message }));
            }
        }

        const greeting = setTimeout(() => fail(`Endpoint ${target.endpoint} did not answer in time.`, true), timeoutMs);
        socket.setEncoding(wire.encoding);
        socket.setKeepAlive(true, keepAliveMs);
        socket.on("connect", () => socket.write(wire.printStartup(target), wire.encoding));
        socket.on("error", error => fail(String(error)));
        socket.on("close", () => fail(`Endpoint ${target.endpoint} closed the connection.`));
        socket.on("data", (piece: string) => {
            meter(target.address, piece.length);
            const lines = splitter.push(piece);
            if (lines.isErr()) {
                fail(`Endpoint ${target.endpoint} sent a message that is too long.`);
                return;
            }
            lines.value.forEach(take);
        });

        function take(line: string): void {
            const message = wire.readEndpoint(line);
            if (message === undefined) {
                fail(`Endpoint ${target.endpoint} sent ${JSON.stringify(line.slice(0, 80))}.`);
                return;
            }
            if (!greeted) {
                greet(message);
                return;
            }
            const entry = pending[0];
            if (entry === undefined) {
                fail(`Endpoint ${target.endpoint} sent an answer to nothing.`);
                return;
            }
            switch (message.kind) {
                case "row":
                    entry.rows.push(message.text);
                    return;
                case "done":
                    entry.outcome = { kind: "done", signature: message.signature };
                    return;
                case "error":
                    entry.outcome = { kind: "refused", refusal: message.refusal, text: message.text };
                    return;
                case "ready":
                    complete(entry, message.state, message.position);
            }
        }

        function greet(message: wire.EndpointMessage): void {
            if (message.kind === "ready") {
                greeted = true;
                clearTimeout(greeting);
                resolve(neverthrow.ok(created));
            }
            else if (message.kind === "error") {
                greeted = true;
                clearTimeout(greeting);
                open = false;
                socket.destroy();
                resolve(neverthrow.err(message.refusal));
            }
        }

        function complete(entry: Pending, state: caller.State, position: connection.Reply["position"]): void {
            if (entry.outcome === undefined) {
                fail(`Endpoint ${target.endpoint} ended an answer without an outcome.`);
                return;
            }
            pending.shift();
            clearTimeout(entry.timer);
            entry.settle(neverthrow.ok({ rows: entry.rows, outcome: entry.outcome, state, position }));
        }

        function ask(
            id: string,
            text: string,
            limitMs: number,
        ): Promise<neverthrow.Result<connection.Reply, connection.ConnectionError>> {
            if (!open) {
                const message = `The connection to endpoint ${target.endpoint} is closed.`;
                return Promise.resolve(neverthrow.err({ sent: false, timedOut: false, message }));
            }
            return new Promise(settle => {
                const timer = setTimeout(
                    () => fail(`Endpoint ${target.endpoint} did not answer within ${Math.round(limitMs)} ms.`, true),
                    limitMs,
                );
                pending.push({ rows: [], outcome: undefined, settle, timer });
                const request = wire.printRequest(id, text);
                meter(target.address, request.length);
                socket.write(request, wire.encoding);
            });
        }

        const created: connection.Connection = {
            run: (id, command, limitMs) => ask(id, wire.printCommand(command), limitMs),
            async control(order, limitMs) {
                const reply = await ask(wire.ownId, wire.printOrder(order), limitMs);
                return reply
                    .mapErr((loss): connection.ConnectionError | connection.Refusal => loss)
                    .andThen(value => readStatus(value, target.endpoint));
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

function readStatus(
    reply: connection.Reply,
    endpoint: string,
): neverthrow.Result<connection.Status, connection.ConnectionError | connection.Refusal> {
    if (reply.outcome.kind === "refused") {
        return neverthrow.err(reply.outcome.refusal);
    }
    const status = wire.readStatus(reply.rows[0] ?? "", reply.position);
    return status === undefined
        ? neverthrow.err({
            sent: true,
            timedOut: false,
            message: `Endpoint ${endpoint} reported a status that can't be read.`,
        })
        : neverthrow.ok(status);
}
