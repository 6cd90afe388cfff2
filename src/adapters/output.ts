/** Log lines to standard output that never block: a reader that stops reading loses lines, not the daemon. */
import bunyan from "bunyan";
import * as fs from "node:fs";
import * as net from "node:net";
import type * as runtime from "../ports/runtime.js";

/** Most bytes kept for a slow reader. */
const maxPendingBytes = 256 * 1024;
const standardOutput = 1;
const flushPollMs = 5;

/** Writes lines in the background, one write at a time. */
export interface Writer {
    write(line: string): void;
    /** Lines left out because the reader was slow. */
    dropped(): number;
    /** Resolves once everything is written, or after the time. */
    flush(limitMs: number): Promise<void>;
}

/** Hands bytes to the output, and calls back once they are taken or given up. */
type Sink = (batch: Buffer, done: () => void) => void;

/** A pipe is written without blocking: a write that waits in a thread would hold up the end of the process. */
function createSink(descriptor: number): Sink {
    const kind = fs.fstatSync(descriptor);
    if (kind.isFIFO() || kind.isSocket()) {
        const socket = new net.Socket({ fd: descriptor, readable: false, writable: true });
        // A closed output has no reader left to tell.
        socket.on("error", () => undefined);
        socket.unref();
        return (batch, done) => void socket.write(batch, () => done());
    }
    const write: Sink = (batch, done) =>
        fs.write(descriptor, batch, (error, count) => {
            if (error === null && count < batch.length) {
                write(batch.subarray(count), done);
                return;
            }
            done();
        });
    return write;
}

/** Creates a writer to a file descriptor. */
export function createWriter(descriptor: number = standardOutput): Writer {
    const sink = createSink(descriptor);
    let pending: string[] = [];
    let bytes = 0;
    let lost = 0;
    let writing = false;

    function next(): void {
        if (writing || pending.length === 0) {
            return;
        }
        writing = true;
        const batch = Buffer.from(pending.join(""));
        pending = [];
        bytes = 0;
        sink(batch, () => {
            writing = false;
            next();
        });
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
                        setTimeout(look, flushPollMs);
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
