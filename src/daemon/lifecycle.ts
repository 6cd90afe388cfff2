/** Owns start, drain and close: parts start in order and end in reverse. */
import type * as runtime from "../ports/runtime.js";

/** A part with a life of its own. */
export interface Part {
    readonly name: string;
    start?(): Promise<void> | void;
    /** Finishes work in hand and takes no more. */
    drain?(): Promise<void> | void;
    close?(): Promise<void> | void;
}

/** The life of a process. */
export interface Lifecycle {
    add(part: Part): void;
    start(): Promise<void>;
    /** Drains and closes every part, once. */
    stop(): Promise<void>;
    /** Closes every part without draining. */
    close(): Promise<void>;
}

/** Creates a life cycle without parts. */
export function createLifecycle(log: runtime.Log): Lifecycle {
    const parts: Part[] = [];
    let ending: Promise<void> | undefined;

    async function end(drained: boolean): Promise<void> {
        const reversed = [...parts].reverse();
        for (const part of drained ? reversed : []) {
            log.info({ part: part.name }, "Part drains.");
            await part.drain?.();
        }
        for (const part of reversed) {
            await part.close?.();
        }
        log.info({ drained }, "All parts closed.");
    }

    return {
        add(part) {
            parts.push(part);
        },
        async start() {
            for (const part of parts) {
                await part.start?.();
            }
        },
        stop() {
            ending ??= end(true);
            return ending;
        },
        close() {
            ending ??= end(false);
            return ending;
        },
    };
}
