/**
 * Transfers the configuration from host to host: compressed, in parts, and at most half of the time, so that a large
 * configuration leaves room on a slow link for the messages on which registrations and proofs rest.
 */
import * as crypto from "node:crypto";
import * as zlib from "node:zlib";
import * as backoffs from "../core/backoff.js";
import type * as runtime from "../ports/runtime.js";
import type * as events from "./events.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** A configuration as stored. */
export interface Configuration {
    readonly version: number;
    readonly text: string;
}

/** Serves the configuration in force. */
export interface Source {
    /** The part that begins at the offset, in bytes of the compressed text. */
    part(offset: number): messages.ConfigurationPart;
}

/** Size of a part, in bytes: 0.13 s on a link of 2 Mbit/s. */
const partBytes = 32 * 1_024;
const hashLength = 12;

/** Creates a source; it compresses each version once, when it is first asked for. */
export function createSource(current: () => Configuration): Source {
    let compressed: { readonly version: number; readonly bytes: Buffer; readonly hash: string } | undefined;

    function compress(): NonNullable<typeof compressed> {
        const { version, text } = current();
        if (compressed?.version !== version) {
            const bytes = zlib.gzipSync(text);
            const hash = crypto.createHash("sha1").update(bytes).digest("base64").slice(0, hashLength);
            compressed = { version, bytes, hash };
        }
        return compressed;
    }

    return {
        part(offset) {
            const { version, bytes, hash } = compress();
            return { version, sizeBytes: bytes.length, hash, bytes: bytes.subarray(offset, offset + partBytes) };
        },
    };
}

/** Settings of a fetcher. */
export interface Options {
    readonly clock: runtime.Clock;
    readonly events: events.EventLog;
    readonly peers: () => Pick<gossip.Peers, "call">;
    /** A random number in [0, 1). */
    random(): number;
    /** Version in force at this host. */
    version(): number;
    /** The host to fetch from; undefined if none has a newer version. */
    source(): messages.Member | undefined;
    /** Applies a fetched configuration if it is valid and newer. */
    offer(text: string): void;
}

/** Fetches the configuration from other hosts. */
export interface Fetcher {
    /**
     * Fetches until this host has the newest version that another host has; one fetch runs at a time. It begins with the
     * preferred host and leaves it when it doesn't answer.
     */
    fetch(preferred?: messages.Member): Promise<void>;
}

/** Time limit for one part. */
const partTimeoutMs = 1_500;
const retryPauses = { firstMs: 200, maxMs: 2_000 } as const;
/** Consecutive failures after which a fetch ends; the next digest of a host with a newer version begins another one. */
const maxFailures = 6;

/** Creates a fetcher. */
export function createFetcher(options: Options): Fetcher {
    const { clock, events } = options;
    let fetching = false;

    async function fetchNewest(preferred: messages.Member | undefined): Promise<void> {
        let parts: Uint8Array[] = [];
        const backoff = backoffs.createBackoff(retryPauses);
        let received = 0;
        let hash = "";
        const nextSource = (): messages.Member | undefined =>
            backoff.failures() === 0 && preferred !== undefined
                ? preferred
                : backoff.failures() < maxFailures
                ? options.source()
                : undefined;
        for (let member = nextSource(); member !== undefined; member = nextSource()) {
            const startedMs = clock.now();
            const reply = await options.peers().call(
                member,
                messages.peer.configuration,
                { offset: received },
                partTimeoutMs,
            );
            if (reply.isErr()) {
                events.emit("catalogueMissed", { peer: member.id, reason: reply.error.message, received });
                await clock.sleep(backoff.fail(options.random()));
                continue;
            }
            const part = reply.value;
            if (part.version <= options.version()) {
                return;
            }
            if (part.hash !== hash) {
                // Parts of another version, or compressed otherwise, don't fit those received before.
                const usable = received === 0;
                [hash, parts, received] = [part.hash, [], 0];
                if (!usable) {
                    continue;
                }
            }
            backoff.succeed();
            parts.push(part.bytes);
            received += part.bytes.length;
            if (received >= part.sizeBytes) {
                apply(member.id, Buffer.concat(parts));
                return;
            }
            await clock.sleep(clock.now() - startedMs);
        }
    }

    function apply(peer: string, compressed: Buffer): void {
        try {
            options.offer(zlib.gunzipSync(compressed).toString("utf8"));
        }
        catch (thrown) {
            events.emit("catalogueMissed", { peer, reason: String(thrown), received: compressed.length });
        }
    }

    return {
        async fetch(preferred) {
            if (!fetching) {
                fetching = true;
                await fetchNewest(preferred);
                fetching = false;
            }
        },
    };
}
