/** Non-blocking log output: if the reader of standard output is too slow, lines are dropped. */
import bunyan from "bunyan";
import * as fs from "node:fs";
import * as net from "node:net";
import type * as runtime from "../ports/runtime.js";

/** Limit of the buffer for a slow reader; lines beyond it are dropped. */
const maxPendingBytes = 256 * 1024;
const stdoutDescriptor = 1;
const flushPollIntervalMs = 5;

/** Writes lines in the background, with at most one write in progress. */
export interface Writer {
    write(line: string): void;
    /** Number of lines dropped because the buffer was full. */
    dropped(): number;
    /** Resolves once all lines are written, or after the time limit. */
    flush(timeoutMs: number): Promise<void>;
}

/** Writes a batch, and calls back once it is written or the write has failed. */
type Sink = (batch: Buffer, done: () => void) => void;

/**
 * Creates the sink of a file descriptor. Pipes and sockets are written by a non-blocking socket, because an
 * `fs.write` that blocks in a worker thread would delay the exit of the process.
 */
function createSink(descriptor: number): Sink {
    const stats = fs.fstatSync(descriptor);
    if (stats.isFIFO() || stats.isSocket()) {
        const socket = new net.Socket({ fd: descriptor, readable: false, writable: true });
        // Nobody reads a closed output, so the error can't be reported there.
        socket.on("error", () => undefined);
        socket.unref();
        return (batch, done) => void socket.write(batch, () => done());
    }
    const write: Sink = (batch, done) =>
        fs.write(descriptor, batch, (error, writtenBytes) => {
            if (error === null && writtenBytes < batch.length) {
                write(batch.subarray(writtenBytes), done);
                return;
            }
            done();
        });
    return write;
}

/** Creates a writer to a file descriptor, standard output by default. */
export function createWriter(descriptor: number = stdoutDescriptor): Writer {
    const sink = createSink(descriptor);
    let pending: string[] = [];
    let pendingLength = 0;
    let droppedLines = 0;
    let writing = false;

    function writeNext(): void {
        if (writing || pending.length === 0) {
            return;
        }
        writing = true;
        const batch = Buffer.from(pending.join(""));
        pending = [];
        pendingLength = 0;
        sink(batch, () => {
            writing = false;
            writeNext();
        });
    }

    return {
        write(line) {
            if (pendingLength + line.length > maxPendingBytes) {
                droppedLines += 1;
                return;
            }
            pending.push(line);
            pendingLength += line.length;
            // Lines logged in the same turn of the event loop share one write.
            setImmediate(writeNext);
        },
        dropped: () => droppedLines,
        flush: timeoutMs =>
            new Promise(resolve => {
                const startMs = performance.now();
                const poll = (): void => {
                    if ((!writing && pending.length === 0) || performance.now() - startMs > timeoutMs) {
                        resolve();
                    }
                    else {
                        setTimeout(poll, flushPollIntervalMs);
                    }
                };
                poll();
            }),
    };
}

/** Creates a log that writes JSON lines to the writer. */
export function createLog(host: string, level: bunyan.LogLevelString, writer: Writer): runtime.Log {
    const stream = { write: (line: string) => writer.write(line) } as unknown as NodeJS.WritableStream;
    return bunyan.createLogger({ name: "hyssophatchd", host, level, streams: [{ type: "stream", stream }] });
}
