/** The HTTP port for operators: metrics, health and readiness. */
import * as http from "node:http";
import type * as net from "node:net";

/** Settings of the port. */
export interface Options {
    readonly host: string;
    readonly port: number;
    metrics(): Promise<string>;
    /** Undefined when ready, else what the host waits for. */
    waiting(): string | undefined;
}

/** A running port. */
export interface Operations {
    readonly port: number;
    close(): void;
}

const okStatus = 200;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Starts to serve `/metrics`, `/health` and `/ready`. */
export async function createOperations(options: Options): Promise<Operations> {
    const server = http.createServer((request, response) => {
        const answer = async (): Promise<void> => {
            if (request.url === "/metrics") {
                response.writeHead(okStatus, { "content-type": "text/plain; version=0.0.4" });
                response.end(await options.metrics());
                return;
            }
            if (request.url === "/health") {
                response.writeHead(okStatus).end("ok\n");
                return;
            }
            if (request.url === "/ready") {
                const waiting = options.waiting();
                response.writeHead(waiting === undefined ? okStatus : unavailableStatus).end(`${waiting ?? "ready"}\n`);
                return;
            }
            response.writeHead(notFoundStatus).end("Known paths: /metrics, /health, /ready.\n");
        };
        void answer();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, resolve);
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}
