/** Port for calls to other processes: the other hosts and the platform. */
import type * as neverthrow from "neverthrow";
import type * as failure from "../core/failure.js";
import type * as messages from "./messages.js";

/** Promise of a call's result or failure. */
export type Outcome<T> = Promise<neverthrow.Result<T, failure.Failure>>;

/** Channel to one remote process. */
export interface Channel {
    /** Calls a method; fails when no reply arrives within the time limit. */
    call<Request, Reply>(
        method: messages.Method<Request, Reply>,
        request: Request,
        timeoutMs: number,
    ): Outcome<Reply>;
    close(): void;
}

/** Opens channels to remote processes. */
export interface Network {
    /** Returns the open channel to the address, or opens one. */
    openChannel(address: string): Channel;
    close(): void;
}

/** Handler of one remote method. */
export interface Handler {
    readonly name: string;
    /** Checks the request and answers it with a value or a failure. */
    handle(request: unknown): Promise<unknown>;
}
