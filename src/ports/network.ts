/** Ports to other processes: hosts of the fleet and the platform. */
import type * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as messages from "./messages.js";

/** A promised result. */
export type Outcome<T> = Promise<neverthrow.Result<T, failure.Failure>>;

/** Calls methods of one other process. */
export interface Channel {
    call<Request, Reply>(
        method: messages.Method<Request, Reply>,
        request: Request,
        timeoutMs: number,
    ): Outcome<Reply>;
    close(): void;
}

/** Opens channels by address. */
export interface Network {
    openChannel(address: string): Channel;
    close(): void;
}

/** A method with the code that answers it. */
export interface Handler {
    readonly name: string;
    handle(request: unknown): Promise<unknown>;
}
