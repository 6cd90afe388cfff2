/** HTTP clients for the platform's metadata store and for its promotion call. */
import * as neverthrow from "neverthrow";
import * as http from "node:http";
import * as z from "zod";
import * as decode from "../core/decode.js";
import * as storeEra from "../core/storeera.js";
import type * as store from "../ports/store.js";
import * as httpClient from "./http.js";
import * as wire from "./wire.js";

/** Counts a call by its kind and its result: the HTTP status, or "none" without a response. */
export type CallCounter = (kind: string, result: string, responseBytes: number) => void;

/** Settings of a client. */
export interface Options {
    readonly address: string;
    readonly timeoutMs: number;
    readonly countCall?: CallCounter;
}

/** Settings of a client of the store. */
export interface StoreOptions extends Options {
    readonly era: store.Era;
}

const basePath = "/hyssophatch";
/** Limit on the pages of one range read, against a store that reports more pages without end. */
const maxPages = 200;

const itemSchema = z.object({
    key: z.string(),
    /** Base64. */
    value: z.string(),
    revision: z.number(),
    lease: z.number().default(0),
});
const readResponse = itemSchema.extend({ current_rev: z.number() });
const rangeResponse = z.object({
    items: z.array(itemSchema),
    has_more: z.boolean().default(false),
    current_rev: z.number(),
});
const tombstoneSchema = z.object({ key: z.string(), revision: z.number(), tombstone: z.literal(true) });
const watchResponse = z.object({
    events: z.array(z.union([tombstoneSchema, itemSchema])),
    current_rev: z.number(),
});
const changeResponse = z.object({ revision: z.number() });
const grantResponse = z.object({ lease: z.number(), ttl_ms: z.number() });
const ignoredResponse = z.unknown();

function decodeItem(item: z.infer<typeof itemSchema>): store.Item {
    const value = Buffer.from(item.value, "base64").toString("utf8");
    return { key: item.key, value, revision: item.revision, lease: item.lease };
}

/** Header of every response of the store: its era. A store without it has never come back from a copy. */
const eraHeader = "store-era";
const eraSchema = z.coerce.number().int().min(0).max(storeEra.maxEra).default(0);

const statusOk = 200;
const statusNotFound = 404;
const statusGone = 410;
const statusPreconditionFailed = 412;
const statusTooManyRequests = 429;
const statusUnavailable = 503;

/**
 * Creates a client of the store. HTTP 429 and 503 mean that a call had no effect; after a timeout or an unexpected
 * status it may have had one.
 */
export function createStore(options: StoreOptions): store.Store {
    const agent = new http.Agent({ keepAlive: true, keepAliveMsecs: 1_000, maxSockets: 8, scheduling: "lifo" });
    const countCall = options.countCall ?? (() => undefined);

    async function call<T>(
        kind: string,
        schema: z.ZodType<T>,
        request: Pick<httpClient.Request, "method" | "path" | "body">,
        timeoutMs = options.timeoutMs,
    ): Promise<neverthrow.Result<T, store.StoreError>> {
        const eraAtSend = options.era.current();
        const response = await httpClient.send({ ...request, address: options.address, timeoutMs, agent });
        countCall(
            kind,
            response.isOk() ? String(response.value.status) : "none",
            response.isOk() ? response.value.body.length : 0,
        );
        if (response.isErr()) {
            return neverthrow.err({ kind: "unanswered", message: response.error });
        }
        const { status, headers, body } = response.value;
        const era = eraSchema.safeParse(headers[eraHeader]);
        if (!era.success) {
            return neverthrow.err({ kind: "unanswered", message: `The era ${headers[eraHeader]} can't be parsed.` });
        }
        if (!storeEra.accept(options.era, eraAtSend, era.data)) {
            const message = `Sent in era ${eraAtSend}, answered in era ${era.data}.`;
            return neverthrow.err({ kind: "restored", message });
        }
        if (status === statusOk) {
            return parseResponse(schema, body);
        }
        if (status === statusPreconditionFailed) {
            return neverthrow.err({ kind: "conflict" });
        }
        if (status === statusNotFound || status === statusGone) {
            return neverthrow.err({ kind: "missing" });
        }
        const message = `The store responded with HTTP status ${status}.`;
        return status === statusUnavailable || status === statusTooManyRequests
            ? neverthrow.err({ kind: "refused", message })
            : neverthrow.err({ kind: "unanswered", message });
    }

    async function range(prefix: string): Promise<neverthrow.Result<store.Range, store.StoreError>> {
        const items: store.Item[] = [];
        let after = "";
        let firstRevision: number | undefined;
        let era: number | undefined;
        for (let pages = 0; pages < maxPages; pages += 1) {
            const query = new URLSearchParams(after === "" ? { prefix } : { prefix, after });
            const result = await call("range", rangeResponse, { method: "GET", path: `${basePath}/kv-range?${query}` });
            if (result.isErr()) {
                return neverthrow.err(result.error);
            }
            if (firstRevision === undefined) {
                firstRevision = result.value.current_rev;
                era = options.era.current();
            }
            if (era !== options.era.current()) {
                return neverthrow.err({ kind: "restored", message: "The pages of a range are of several eras." });
            }
            items.push(...result.value.items.map(decodeItem));
            after = items[items.length - 1]?.key ?? "";
            if (!result.value.has_more || result.value.items.length === 0) {
                // Later pages may be read at later revisions; a watch from the first page's revision misses no change.
                return neverthrow.ok({ items, revision: firstRevision });
            }
        }
        return neverthrow.err({ kind: "refused", message: `The range ${prefix} has too many pages.` });
    }

    return {
        range,
        async read(key) {
            const query = new URLSearchParams({ key });
            const result = await call("read", readResponse, { method: "GET", path: `${basePath}/kv-key?${query}` });
            return result.map(value => ({ item: decodeItem(value), revision: value.current_rev }));
        },
        async watch(prefix, after, waitMs) {
            const query = new URLSearchParams({ prefix, after: String(after), wait_ms: String(Math.round(waitMs)) });
            const path = `${basePath}/kv-watch?${query}`;
            const result = await call("watch", watchResponse, { method: "GET", path }, waitMs + options.timeoutMs);
            return result.map(value => ({
                items: value.events.flatMap(event => ("tombstone" in event ? [] : [decodeItem(event)])),
                removed: value.events.flatMap(event =>
                    "tombstone" in event ? [{ key: event.key, revision: event.revision }] : []
                ),
                revision: value.current_rev,
            }));
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
            const result = await call("change", changeResponse, { method: "POST", path: `${basePath}/kv-txn`, body });
            return result.map(value => value.revision);
        },
        async grant(ttlMs) {
            const result = await call("grant", grantResponse, {
                method: "POST",
                path: `${basePath}/kv-lease`,
                body: { ttl_ms: ttlMs },
            });
            return result.map(value => ({ lease: value.lease, ttlMs: value.ttl_ms }));
        },
        async renew(lease) {
            const result = await call("renew", ignoredResponse, {
                method: "POST",
                path: `${basePath}/kv-keep/${lease}`,
            });
            return result.map(() => undefined);
        },
        close: () => agent.destroy(),
    };
}

function parseResponse<T>(schema: z.ZodType<T>, body: string): neverthrow.Result<T, store.StoreError> {
    return decode.json(schema, body === "" ? "{}" : body).mapErr(reason => ({
        kind: "unanswered",
        message: `The store's response can't be parsed: ${reason}.`,
    }));
}

/** Creates a client of the platform's call that promotes an endpoint to primary. */
export function createPromotions(options: Options): store.Promotions {
    const agent = new http.Agent({ keepAlive: false });
    return {
        async promote(group, endpoint, holder, token) {
            const response = await httpClient.send({
                address: options.address,
                method: "POST",
                path: "/promote",
                headers: { "x-lease-holder": wire.encodeText(holder), "x-fencing-token": String(token) },
                body: { service: group, id: endpoint },
                timeoutMs: options.timeoutMs,
                agent,
            });
            options.countCall?.("promote", response.isOk() ? String(response.value.status) : "none", 0);
            if (response.isErr()) {
                return neverthrow.err({ kind: "unanswered", message: response.error });
            }
            const { status } = response.value;
            if (status === statusOk) {
                return neverthrow.ok(true);
            }
            // 409: the endpoint is not running.
            return status === 409
                ? neverthrow.ok(false)
                : neverthrow.err({ kind: "refused", message: `The platform responded with HTTP status ${status}.` });
        },
    };
}
