/** HTTP server for the platform's readiness check: status 200 while this host accepts new callers, otherwise 503. */
import * as http from "node:http";

/** The running server. */
export interface Listener {
    close(): void;
}

const path = "/hyssophatch/ready";

/** Starts the server; rejects when the address can't be bound. */
export async function listen(host: string, port: number, ready: () => boolean): Promise<Listener> {
    const server = http.createServer((request, response) => {
        const isReadinessCheck = request.method === "GET" && request.url?.split("?")[0] === path;
        response.writeHead(isReadinessCheck ? (ready() ? 200 : 503) : 404, { "content-length": "0" });
        response.end();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return { close: () => server.close() };
}
