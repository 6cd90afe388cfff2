/** Answers the platform's question whether this host takes new callers. */
import * as http from "node:http";

/** The listener of the readiness question. */
export interface Readiness {
    close(): void;
}

const path = "/hyssophatch/ready";

/** Starts to answer. */
export async function listen(host: string, port: number, ready: () => boolean): Promise<Readiness> {
    const server = http.createServer((request, response) => {
        const known = request.method === "GET" && request.url?.split("?")[0] === path;
        response.writeHead(known ? (ready() ? 200 : 503) : 404, { "content-length": "0" });
        response.end();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return { close: () => server.close() };
}
