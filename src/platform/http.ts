/** One HTTP call with a deadline. A call that gets no answer gives up its connection, which may be silent for good. */
import * as neverthrow from "neverthrow";
import * as http from "node:http";

/** What a call gave. */
export interface Response {
    readonly status: number;
    readonly body: string;
}

/** One call. */
export interface Call {
    readonly address: string;
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMs: number;
    readonly agent: http.Agent;
}

/** Makes a call; the error tells why no whole answer came. */
export function send(call: Call): Promise<neverthrow.Result<Response, string>> {
    return new Promise(resolve => {
        const separator = call.address.lastIndexOf(":");
        const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
        const content = payload === undefined
            ? undefined
            : { "content-type": "application/json", "content-length": String(Buffer.byteLength(payload)) };
        const request = http.request({
            host: call.address.slice(0, separator),
            port: Number(call.address.slice(separator + 1)),
            method: call.method,
            path: call.path,
            headers: { ...content, ...call.headers },
            agent: call.agent,
        });
        const timer = setTimeout(
            () => request.destroy(new Error(`no answer within ${call.timeoutMs} ms`)),
            call.timeoutMs,
        );
        const settle = (result: neverthrow.Result<Response, string>): void => {
            clearTimeout(timer);
            resolve(result);
        };
        request.on("error", error => settle(neverthrow.err(error.message)));
        request.on("response", response => {
            const pieces: Buffer[] = [];
            response.on("data", (piece: Buffer) => pieces.push(piece));
            response.on("error", error => settle(neverthrow.err(error.message)));
            response.on("aborted", () => settle(neverthrow.err("the answer was cut off")));
            response.on("end", () => {
                settle(
                    neverthrow.ok({ status: response.statusCode ?? 0, body: Buffer.concat(pieces).toString("utf8") }),
                );
            });
        });
        request.end(payload);
    });
}
