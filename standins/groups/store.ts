/** A stand-in of the platform's metadata store, with its faults, and of the call that names a primary. */
import * as http from "node:http";
import type * as net from "node:net";

interface Stored {
    readonly value: string;
    readonly revision: number;
    readonly createdAt: number;
    readonly lease: number;
}

interface Change {
    readonly key: string;
    readonly revision: number;
    readonly stored: Stored | undefined;
}

/** The data of a store at some moment. */
export interface Copy {
    readonly items: ReadonlyMap<string, Stored>;
    readonly changes: readonly Change[];
    readonly revision: number;
    readonly nextLease: number;
}

/** How the store treats a call. */
export type Fault = "none" | "silent" | "refusing" | "lost";

/** A running store. */
export interface Store {
    readonly address: string;
    /** Writes as the operator or an endpoint does. */
    put(key: string, value: string): number;
    remove(key: string): void;
    get(key: string): string | undefined;
    keys(prefix: string): readonly string[];
    /** Sets how calls are treated from now on. */
    fault(fault: Fault): void;
    /** Drops the history, so that watches that are behind get 410. */
    compact(): void;
    /** Copies the data. */
    copy(): Copy;
    /**
     * Comes back from a copy in the next era: later changes and all later leases are gone, and their revisions and ids are
     * given out again. Connections are cut.
     */
    restore(copy: Copy): void;
    era(): number;
    /** Calls received, by kind. */
    readonly calls: ReadonlyMap<string, number>;
    close(): Promise<void>;
}

/** Called for each promotion; true when the endpoint runs. */
export type Promoter = (group: string, endpoint: string, holder: string, token: number) => boolean;

const pageItems = 50;
const maxChanges = 10_000;

/** Starts a store. */
export async function start(promote: Promoter): Promise<Store> {
    const items = new Map<string, Stored>();
    const leases = new Map<number, { readonly ttlMs: number; timer: NodeJS.Timeout }>();
    const waiting = new Set<() => void>();
    const calls = new Map<string, number>();
    const sockets = new Set<net.Socket>();
    let changes: Change[] = [];
    let compacted = 0;
    let revision = 10;
    let nextLease = 1;
    let era = 1;
    let fault: Fault = "none";

    function write(key: string, stored: Omit<Stored, "revision" | "createdAt"> | undefined): void {
        const before = items.get(key);
        if (stored === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, { ...stored, revision, createdAt: before?.createdAt ?? revision });
        }
        changes.push({ key, revision, stored: items.get(key) });
        changes = changes.slice(-maxChanges);
    }

    function commit(work: () => void): number {
        revision += 1;
        work();
        [...waiting].forEach(wake => wake());
        return revision;
    }

    function endLease(id: number): void {
        clearTimeout(leases.get(id)?.timer);
        leases.delete(id);
        const keys = [...items].filter(([, stored]) => stored.lease === id).map(([key]) => key);
        if (keys.length > 0) {
            commit(() => keys.forEach(key => write(key, undefined)));
        }
    }

    const show = (key: string, stored: Stored): object => ({
        key,
        value: stored.value,
        revision: stored.revision,
        created_at: stored.createdAt,
        lease: stored.lease,
    });

    function range(query: URLSearchParams): readonly [number, object] {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, pageItems);
        const shown = page.flatMap(key => {
            const stored = items.get(key);
            return stored === undefined ? [] : [show(key, stored)];
        });
        return [200, { items: shown, has_more: keys.length > page.length, current_rev: revision }];
    }

    async function watch(query: URLSearchParams): Promise<readonly [number, object]> {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            if (after < compacted || after > revision) {
                return [410, {}];
            }
            const events = changes
                .filter(change => change.revision > after && change.key.startsWith(prefix))
                .map(({ key, stored, revision: at }) =>
                    stored === undefined ? { key, revision: at, tombstone: true } : show(key, stored)
                );
            const leftMs = deadline - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return [200, { events, current_rev: revision }];
            }
            await new Promise<void>(resolve => {
                const done = (): void => {
                    clearTimeout(timer);
                    waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, leftMs);
                waiting.add(done);
            });
        }
    }

    interface Transaction {
        readonly precondition?: readonly { readonly key: string; readonly revision: number }[];
        readonly writes?: readonly { readonly key: string; readonly value: string; readonly lease?: number }[];
        readonly deletes?: readonly string[];
    }

    function transact(body: Transaction): readonly [number, object] {
        const broken = (body.precondition ?? []).filter(row => (items.get(row.key)?.revision ?? 0) !== row.revision);
        if (broken.length > 0) {
            return [412, { items: [] }];
        }
        if ((body.writes ?? []).some(row => (row.lease ?? 0) !== 0 && !leases.has(row.lease ?? 0))) {
            return [404, {}];
        }
        const at = commit(() => {
            (body.writes ?? []).forEach(row => write(row.key, { value: row.value, lease: row.lease ?? 0 }));
            (body.deletes ?? []).forEach(key => write(key, undefined));
        });
        return [200, { revision: at }];
    }

    function keep(id: number): readonly [number, object] {
        const lease = leases.get(id);
        if (lease === undefined) {
            return [404, {}];
        }
        lease.timer.refresh();
        return [200, { ttl_ms: lease.ttlMs }];
    }

    function grant(ttlMs: number): readonly [number, object] {
        const id = nextLease;
        nextLease += 1;
        leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
        return [200, { lease: id, ttl_ms: ttlMs }];
    }

    async function answer(
        path: string,
        query: URLSearchParams,
        body: unknown,
        headers: http.IncomingHttpHeaders,
    ): Promise<readonly [number, object]> {
        const [, kind = "", id = ""] = /^\/(?:hyssophatch\/)?([a-z-]+)(?:\/(\d+))?$/.exec(path) ?? [];
        calls.set(kind, (calls.get(kind) ?? 0) + 1);
        switch (kind) {
            case "kv-key": {
                const key = query.get("key") ?? "";
                const stored = items.get(key);
                return stored === undefined ? [404, {}] : [200, { ...show(key, stored), current_rev: revision }];
            }
            case "kv-range":
                return range(query);
            case "kv-watch":
                return watch(query);
            case "kv-txn":
                return transact(body as Transaction);
            case "kv-lease":
                return grant((body as { readonly ttl_ms: number }).ttl_ms);
            case "kv-keep":
                return keep(Number(id));
            case "kv-lease-end":
                endLease(Number(id));
                return [200, {}];
            case "promote": {
                const { service, id: endpoint } = body as { readonly service: string; readonly id: string };
                const token = Number(headers["x-fencing-token"]);
                return promote(service, endpoint, String(headers["x-lease-holder"]), token) ? [200, {}] : [409, {}];
            }
            default:
                return [404, {}];
        }
    }

    const server = http.createServer((request, response) => {
        const pieces: Buffer[] = [];
        request.on("data", (piece: Buffer) => pieces.push(piece));
        request.on("end", () => {
            const present = fault;
            if (present === "silent") {
                return;
            }
            response.setHeader("store-era", era);
            if (present === "refusing") {
                response.writeHead(503).end();
                return;
            }
            const url = new URL(request.url ?? "/", "http://store");
            const text = Buffer.concat(pieces).toString();
            const body: unknown = text === "" ? {} : JSON.parse(text);
            void answer(url.pathname, url.searchParams, body, request.headers).then(([status, reply]) => {
                if (present === "lost" && request.method !== "GET") {
                    return;
                }
                response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(reply));
            });
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    const port = typeof address === "object" && address !== null ? address.port : 0;
    const encode = (value: string): string => Buffer.from(value).toString("base64");

    return {
        calls,
        address: `127.0.0.1:${port}`,
        put: (key, value) => commit(() => write(key, { value: encode(value), lease: 0 })),
        remove: key => void commit(() => write(key, undefined)),
        get(key) {
            const stored = items.get(key);
            return stored === undefined ? undefined : Buffer.from(stored.value, "base64").toString();
        },
        keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        fault(next) {
            fault = next;
        },
        compact() {
            compacted = revision;
            changes = [];
            [...waiting].forEach(wake => wake());
        },
        era: () => era,
        copy: () => ({ items: new Map(items), changes: [...changes], revision, nextLease }),
        restore(copy) {
            sockets.forEach(socket => socket.destroy());
            for (const [id, lease] of leases) {
                if (id >= copy.nextLease) {
                    clearTimeout(lease.timer);
                    leases.delete(id);
                }
            }
            items.clear();
            copy.items.forEach((stored, key) => {
                // A lease that ended after the copy was made has taken its keys with it for good.
                if (stored.lease === 0 || leases.has(stored.lease)) {
                    items.set(key, stored);
                }
            });
            changes = [...copy.changes];
            revision = copy.revision;
            nextLease = copy.nextLease;
            era += 1;
            [...waiting].forEach(wake => wake());
        },
        async close() {
            leases.forEach(lease => clearTimeout(lease.timer));
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}
