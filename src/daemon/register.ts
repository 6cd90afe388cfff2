/**
 * Follows one small value of the platform's store: the watchers of each failure domain read it, the other
 * hosts learn it from them, and each knows how old its proof is that the value is the newest.
 */
import type * as memberships from "../core/membership.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";

/** Settings of a register. */
export interface Options {
    readonly key: string;
    readonly platform: network.Channel;
    readonly clock: runtime.Clock;
    /** True while this host is a watcher. */
    watches(): boolean;
    channel(member: memberships.Member): network.Channel;
    /** Told whether the store answered. */
    noted(up: boolean): void;
    /** Told of a newer value and the host it came from, none for the store; false when it can't be used yet. */
    changed(entry: messages.Entry, source: memberships.Member | undefined): Promise<boolean>;
}

/** One followed value. */
export interface Register {
    value(): messages.Entry;
    /** Age of the proof that the value is the newest, in milliseconds. */
    freshMs(): number;
    /** True while another host is known to have a newer value. */
    behind(): boolean;
    /** Takes what another host knows of the value, and when it was asked. */
    learned(source: memberships.Member, revision: number, freshMs: number | undefined, askedMs: number): void;
    /** Changes the value if it is still the one held; true when it was changed. */
    swap(value: string): Promise<boolean>;
    start(): void;
    close(): void;
}

/** Probes overlap, so that a store that hangs is noticed as often as one that refuses. */
const probeMs = 500;
const callTimeoutMs = 2_000;

/** Creates a register without a value. */
export function createRegister(options: Options): Register {
    const { clock, platform, key } = options;
    let held: messages.Entry = { value: undefined, revision: 0 };
    let freshAtMs: number | undefined;
    let newest = 0;
    let pulling = false;
    let closed = false;
    let stop: (() => void) | undefined;

    /** Takes a newer value; false when it can't be used yet. */
    async function take(entry: messages.Entry, source?: memberships.Member): Promise<boolean> {
        if (entry.revision <= held.revision) {
            return true;
        }
        newest = Math.max(newest, entry.revision);
        const usable = await options.changed(entry, source);
        if (usable && entry.revision > held.revision) {
            held = entry;
        }
        return usable;
    }

    function prove(atMs: number): void {
        freshAtMs = Math.max(freshAtMs ?? -Infinity, atMs);
    }

    async function probe(): Promise<void> {
        const askedMs = clock.now();
        const request = { key, after: held.revision, waitMs: 0 };
        const reply = await platform.call(messages.platform.watch, request, callTimeoutMs);
        if (closed) {
            return;
        }
        options.noted(reply.isOk());
        if (reply.isOk() && await take(reply.value)) {
            prove(askedMs);
        }
    }

    async function pull(source: memberships.Member): Promise<void> {
        const reply = await options.channel(source).call(messages.peer.value, { key }, callTimeoutMs);
        if (reply.isOk()) {
            await take(reply.value, source);
        }
    }

    return {
        value: () => held,
        freshMs: () => (freshAtMs === undefined ? Infinity : clock.now() - freshAtMs),
        behind: () => newest > held.revision,
        learned(source, revision, freshMs, askedMs) {
            newest = Math.max(newest, revision);
            if (freshMs !== undefined && revision <= held.revision) {
                prove(askedMs - freshMs);
            }
            if (revision > held.revision && !pulling) {
                pulling = true;
                void pull(source).finally(() => {
                    pulling = false;
                });
            }
        },
        async swap(value) {
            const request = { key, expected: held.revision, value };
            const reply = await platform.call(messages.platform.swap, request, callTimeoutMs);
            options.noted(reply.isOk());
            if (reply.isOk()) {
                await take(reply.value.entry);
            }
            return reply.isOk() && reply.value.swapped;
        },
        start() {
            const review = (): void => {
                if (options.watches()) {
                    void probe();
                }
            };
            review();
            stop = clock.every(probeMs, review);
        },
        close() {
            closed = true;
            stop?.();
        },
    };
}
