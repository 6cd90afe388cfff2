/**
 * A stand-in of the platform's metadata store, as PROTOCOL.md describes it: revisions, conditions, leases, ranges, watches.
 */
"use strict";
const http = require("node:http");

const pageItems = 400;

/** Starts the store; `onWrite(key, value)` is called with each key that a call writes. */
async function start(host, onWrite) {
    const items = new Map();
    const leases = new Map();
    const waiting = new Set();
    const sockets = new Set();
    let changes = [];
    let revision = 100;
    let nextLease = 1;

    function write(key, stored) {
        if (stored === undefined) {
            items.delete(key);
        }
        else {
            const created = items.get(key)?.created_at ?? revision;
            items.set(key, { key, revision, created_at: created, ...stored });
        }
        changes.push(items.get(key) ?? { key, revision, tombstone: true });
        changes = changes.slice(-20_000);
    }

    function commit(work) {
        revision += 1;
        work();
        [...waiting].forEach(wake => wake());
        return revision;
    }

    function endLease(id) {
        clearTimeout(leases.get(id)?.timer);
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            commit(() => keys.forEach(key => write(key, undefined)));
        }
    }

    function grant(ttlMs) {
        const id = nextLease;
        nextLease += 1;
        leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
        return [200, { lease: id, ttl_ms: ttlMs }];
    }

    function keep(id) {
        const lease = leases.get(id);
        lease?.timer.refresh();
        return lease === undefined ? [404, {}] : [200, { lease: id, ttl_ms: lease.ttlMs }];
    }

    function transact(body) {
        const rows = body.precondition ?? [];
        if (rows.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            return [412, { items: rows.flatMap(row => items.get(row.key) ?? []) }];
        }
        const writes = body.writes ?? [];
        if (writes.some(row => (row.lease ?? 0) !== 0 && !leases.has(row.lease))) {
            return [404, {}];
        }
        const at = commit(() => {
            writes.forEach(row => write(row.key, { value: row.value, lease: row.lease ?? 0 }));
            (body.deletes ?? []).forEach(key => write(key, undefined));
        });
        writes.forEach(row => onWrite(row.key, Buffer.from(row.value, "base64").toString()));
        return [200, { revision: at }];
    }

    function range(query) {
        const after = query.get("after") ?? "";
        const keys = [...items.keys()].filter(key => key.startsWith(query.get("prefix") ?? "") && key > after).sort();
        const page = keys.slice(0, pageItems).map(key => items.get(key));
        return [200, { items: page, has_more: keys.length > page.length, current_rev: revision }];
    }

    async function watch(query) {
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            const events = changes.filter(change =>
                change.revision > after && change.key.startsWith(query.get("prefix") ?? "")
            );
            const leftMs = deadline - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return [200, { events, current_rev: revision }];
            }
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timer);
                    waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, leftMs);
                waiting.add(done);
            });
        }
    }

    async function answer(url, body) {
        const [, kind = "", id = ""] = /^\/(?:hyssophatch\/)?([a-z-]+)(?:\/(\d+))?$/.exec(url.pathname) ?? [];
        switch (kind) {
            case "kv-key": {
                const item = items.get(url.searchParams.get("key"));
                return item === undefined ? [404, {}] : [200, { ...item, current_rev: revision }];
            }
            case "kv-range":
                return range(url.searchParams);
            case "kv-watch":
                return watch(url.searchParams);
            case "kv-txn":
                return transact(body);
            case "kv-lease":
                return grant(body.ttl_ms);
            case "kv-keep":
                return keep(Number(id));
            case "kv-lease-end":
                endLease(Number(id));
                return [200, {}];
            default:
                return [404, {}];
        }
    }

    const server = http.createServer((request, response) => {
        const pieces = [];
        request.on("data", piece => pieces.push(piece));
        request.on("end", () => {
            const text = Buffer.concat(pieces).toString();
            const url = new URL(request.url, "http://store");
            answer(url, text === "" ? {} : JSON.parse(text)).then(([status, reply]) => {
                response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(reply));
            });
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        put: (key, value) =>
            commit(() => write(key, { value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 })),
        remove: key => commit(() => write(key, undefined)),
        get(key) {
            const item = items.get(key);
            return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
        },
        keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        close() {
            leases.forEach(lease => clearTimeout(lease.timer));
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

module.exports = { start };
