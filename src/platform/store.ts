/** The platform's metadata store over HTTP. */
import * as neverthrow from "neverthrow";
import * as http from "node:http";
import * as z from "zod";
import * as decode from "../core/decode.js";
import type * as store from "../ports/store.js";
import * as calls from "./http.js";

/** Counts calls by kind and result. */
export type Meter = (kind: string, result: string, bytes: number) => void;

/** Settings of a client. */
export interface Options {
    readonly address: string;
    readonly timeoutMs: number;
    readonly meter?: Meter;
}

const base = "/hyssophatch";
/** Pages of one listing; a listing of more is taken as a fault of the store. */
const maxPages = 200;

const wireItem = z.object({
    key: z.string(),
    /** Base64. */
    value: z.string(),
    revision: z.number(),
    lease: z.number().default(0),
});
const single = wireItem.extend({ current_rev: z.number() });
const page = z.object({ items: z.array(wireItem), has_more: z.boolean().default(false), current_rev: z.number() });
const news = z.object({ events: z.array(z.unknown()), current_rev: z.number() });
const changed = z.object({ revision: z.number() });
const granted = z.object({ lease: z.number(), ttl_ms: z.number() });
const anything = z.unknown();

function readItem(item: z.infer<typeof wireItem>): store.Item {
    const value = Buffer.from(item.value, "base64").toString("utf8");
    return { key: item.key, value, revision: item.revision, lease: item.lease };
}

const statusOk = 200;
const statusMissing = 404;
const statusGone = 410;
const statusConflict = 412;
const statusTooMany = 429;
const statusUnavailable = 503;

/** Creates a client. */
export function createStore(options: Options): store.Store {
    const agent = new http.Agent({ keepAlive: true, keepAliveMsecs: 1_000, maxSockets: 8, scheduling: "lifo" });
    const meter = options.meter ?? (() => undefined);

    async function call<T>(
        kind: string,
        schema: z.ZodType<T>,
        request: Pick<calls.Call, "method" | "path" | "body">,
        timeoutMs = options.timeoutMs,
    ): Promise<neverthrow.Result<T, store.StoreError>> {
        const sent = await calls.send({ ...request, address: options.address, timeoutMs, agent });
        meter(kind, sent.isOk() ? String(sent.value.status) : "none", sent.isOk() ? sent.value.body.length : 0);
        if (sent.isErr()) {
            return neverthrow.err({ kind: "unanswered", message: sent.error });
        }
        const { status, body } = sent.value;
        if (status === statusOk) {
            return read(schema, body);
        }
        if (status === statusConflict) {
            return neverthrow.err({ kind: "conflict" });
        }
        if (status === statusMissing || status === statusGone) {
            return neverthrow.err({ kind: "missing" });
        }
        const message = `The store answered ${status}.`;
        return status === statusUnavailable || status === statusTooMany
            ? neverthrow.err({ kind: "refused", message })
            : neverthrow.err({ kind: "unanswered", message });
    }

    async function range(prefix: string): Promise<neverthrow.Result<store.Range, store.StoreError>> {
        const items: store.Item[] = [];
        let after = "";
        let first: number | undefined;
        for (let count = 0; count < maxPages; count += 1) {
            const query = new URLSearchParams(after === "" ? { prefix } : { prefix, after });
            const got = await call("range", page, { method: "GET", path: `${base}/kv-range?${query}` });
            if (got.isErr()) {
                return neverthrow.err(got.error);
            }
            first ??= got.value.current_rev;
            items.push(...got.value.items.map(readItem));
            after = items[items.length - 1]?.key ?? "";
            if (!got.value.has_more || got.value.items.length === 0) {
                // Pages are no snapshot: only what the first page was read at is known of all of them.
                return neverthrow.ok({ items, revision: first });
            }
        }
        return neverthrow.err({ kind: "refused", message: `The listing of ${prefix} does not end.` });
    }

    return {
        range,
        async read(key) {
            const query = new URLSearchParams({ key });
            const got = await call("read", single, { method: "GET", path: `${base}/kv-key?${query}` });
            return got.map(value => ({ item: readItem(value), revision: value.current_rev }));
        },
        async watch(prefix, after, waitMs) {
            const query = new URLSearchParams({ prefix, after: String(after), wait_ms: String(Math.round(waitMs)) });
            const path = `${base}/kv-watch?${query}`;
            const got = await call("watch", news, { method: "GET", path }, waitMs + options.timeoutMs);
            return got.map(value => ({ changed: value.events.length > 0, revision: value.current_rev }));
        },
        async change(change) {
            const body = {
                precondition: change.conditions,
                writes: change.writes.map(write => ({
                    key: write.key,
                    value: Buffer.from(write.value, "utf8").toString("base64"),
                    ...(write.lease === undefined ? {} : { lease: write.lease }),
                })),
                deletes: change.deletes,
            };
            const got = await call("change", changed, { method: "POST", path: `${base}/kv-txn`, body });
            return got.map(value => value.revision);
        },
        async grant(ttlMs) {
            const got = await call("grant", granted, {
                method: "POST",
                path: `${base}/kv-lease`,
                body: { ttl_ms: ttlMs },
            });
            return got.map(value => ({ lease: value.lease, ttlMs: value.ttl_ms }));
        },
        async renew(lease) {
            const got = await call("renew", anything, { method: "POST", path: `${base}/kv-keep/${lease}` });
            return got.map(() => undefined);
        },
        async revoke(lease) {
            const got = await call("end", anything, { method: "DELETE", path: `${base}/kv-lease-end/${lease}` });
            return got.map(() => undefined);
        },
        close: () => agent.destroy(),
    };
}

function read<T>(schema: z.ZodType<T>, body: string): neverthrow.Result<T, store.StoreError> {
    return decode.json(schema, body === "" ? "{}" : body).mapErr(reason => ({
        kind: "unanswered",
        message: `The store's answer can't be read: ${reason}.`,
    }));
}

/** Creates the client of the calls that name a primary. */
export function createPromotions(options: Options): store.Promotions {
    const agent = new http.Agent({ keepAlive: false });
    return {
        async promote(group, endpoint, holder, token) {
            const sent = await calls.send({
                address: options.address,
                method: "POST",
                path: "/promote",
                headers: { "x-lease-holder": holder, "x-fencing-token": String(token) },
                body: { service: group, id: endpoint },
                timeoutMs: options.timeoutMs,
                agent,
            });
            options.meter?.("promote", sent.isOk() ? String(sent.value.status) : "none", 0);
            if (sent.isErr()) {
                return neverthrow.err({ kind: "unanswered", message: sent.error });
            }
            const { status } = sent.value;
            if (status === statusOk) {
                return neverthrow.ok(true);
            }
            return status === 409
                ? neverthrow.ok(false)
                : neverthrow.err({ kind: "refused", message: `The platform answered ${status}.` });
        },
    };
}
