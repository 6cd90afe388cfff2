/** Log lines to standard output that never block: a reader that stops reading loses lines, not the daemon. */
import bunyan from "bunyan";
import * as fs from "node:fs";
import type * as runtime from "../ports/runtime.js";

/** Most bytes kept for a slow reader. */
const maxPendingBytes = 256 * 1024;
const standardOutput = 1;

/** Writes lines in the background, one write at a time. */
export interface Writer {
    write(line: string): void;
    /** Lines left out because the reader was slow. */
    dropped(): number;
    /** Resolves once everything is written, or after the time. */
    flush(limitMs: number): Promise<void>;
}

/** Creates a writer to a file descriptor. */
export function createWriter(descriptor: number = standardOutput): Writer {
    let pending: string[] = [];
    let bytes = 0;
    let lost = 0;
    let writing = false;

    function send(rest: Buffer): void {
        fs.write(descriptor, rest, (error, count) => {
            if (error !== null && error.code === "EAGAIN") {
                setTimeout(() => send(rest), 10);
                return;
            }
            if (error === null && count < rest.length) {
                send(rest.subarray(count));
                return;
            }
            // A closed output has no reader left to tell.
            writing = false;
            next();
        });
    }

    function next(): void {
        if (writing || pending.length === 0) {
            return;
        }
        writing = true;
        const batch = Buffer.from(pending.join(""));
        pending = [];
        bytes = 0;
        send(batch);
    }

    return {
        write(line) {
            if (bytes + line.length > maxPendingBytes) {
                lost += 1;
                return;
            }
            pending.push(line);
            bytes += line.length;
            // Lines of the same turn share a write.
            setImmediate(next);
        },
        dropped: () => lost,
        flush: limitMs =>
            new Promise(resolve => {
                const startMs = performance.now();
                const look = (): void => {
                    if ((!writing && pending.length === 0) || performance.now() - startMs > limitMs) {
                        resolve();
                    }
                    else {
                        setTimeout(look, 5);
                    }
                };
                look();
            }),
    };
}

/** Creates a log that writes JSON lines through the writer. */
export function createLog(host: string, level: bunyan.LogLevelString, writer: Writer): runtime.Log {
    const stream = { write: (line: string) => writer.write(line) } as unknown as NodeJS.WritableStream;
    return bunyan.createLogger({ name: "hyssophatchd", host, level, streams: [{ type: "stream", stream }] });
}
