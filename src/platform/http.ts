/**
 * HTTP requests with a limit on the time without progress, so that a long response over a slow link isn't cut off. A
 * request that times out destroys its connection, as the other end may never respond on it again.
 */
import * as neverthrow from "neverthrow";
import * as http from "node:http";

/** A complete response. */
export interface Response {
    readonly status: number;
    /** Names are in lower case. */
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
}

/** A request; the body is sent as JSON. */
export interface Request {
    readonly address: string;
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    /** Time in which the response must begin, and longest pause within it. */
    readonly timeoutMs: number;
    readonly agent: http.Agent;
}

/** Longest time for a whole response, however steadily it arrives: a response of 1 MiB over a link of 1 Mbit/s. */
const maxResponseMs = 10_000;

/** Sends a request; the error says why no complete response arrived. */
export function send(request: Request): Promise<neverthrow.Result<Response, string>> {
    return new Promise(resolve => {
        const colon = request.address.lastIndexOf(":");
        // With a text as payload, Node would encode the headers as UTF-8 together with it.
        const payload = request.body === undefined ? undefined : Buffer.from(JSON.stringify(request.body), "utf8");
        const contentHeaders = payload === undefined
            ? undefined
            : { "content-type": "application/json", "content-length": String(payload.length) };
        const clientRequest = http.request({
            host: request.address.slice(0, colon),
            port: Number(request.address.slice(colon + 1)),
            method: request.method,
            path: request.path,
            headers: { ...contentHeaders, ...request.headers },
            agent: request.agent,
        });
        const timer = setTimeout(
            () => clientRequest.destroy(new Error(`no progress within ${request.timeoutMs} ms`)),
            request.timeoutMs,
        );
        const limit = setTimeout(
            () => clientRequest.destroy(new Error(`no complete response within ${maxResponseMs} ms`)),
            Math.max(maxResponseMs, request.timeoutMs),
        );
        const settle = (result: neverthrow.Result<Response, string>): void => {
            clearTimeout(timer);
            clearTimeout(limit);
            resolve(result);
        };
        clientRequest.on("error", error => settle(neverthrow.err(error.message)));
        clientRequest.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                timer.refresh();
            });
            response.on("error", error => settle(neverthrow.err(error.message)));
            response.on("aborted", () => settle(neverthrow.err("the response was truncated")));
            response.on("end", () => {
                settle(
                    neverthrow.ok({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString("utf8"),
                    }),
                );
            });
        });
        clientRequest.end(payload);
    });
}
