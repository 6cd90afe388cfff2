/** A stand-in of the platform's store and of its promotion call, by PROTOCOL.md. Each host has an address of its own. */
import * as http from "node:http";

const pageItems = 500;
const historyMs = 20_000;

export function createStore(note) {
    const items = new Map();
    const leases = new Map();
    const waiting = new Set();
    let history = [];
    let compacted = 0;
    let revision = 100;
    let nextLease = 1_000;
    const servers = [];
    const sockets = new Set();

    function commit(changes) {
        revision += 1;
        for (const [key, stored] of changes) {
            if (stored === undefined) {
                items.delete(key);
                history.push({ at: Date.now(), event: { key, revision, tombstone: true } });
            }
            else {
                const created = items.get(key)?.created_at ?? revision;
                const item = { key, ...stored, revision, created_at: created };
                items.set(key, item);
                history.push({ at: Date.now(), event: item });
            }
        }
        while (history.length > 0 && history[0].at < Date.now() - historyMs) {
            compacted = history[0].event.revision;
            history = history.slice(1);
        }
        [...waiting].forEach(wake => wake());
        return revision;
    }

    function endLease(id) {
        clearTimeout(leases.get(id)?.timer);
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => [item.key, undefined]);
        if (keys.length > 0) {
            commit(keys);
        }
    }

    async function watch(query) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const untilMs = Date.now() + Math.min(30_000, Number(query.get("wait_ms")));
        for (;;) {
            if (after < compacted) {
                return [410, {}];
            }
            const events = history.map(entry => entry.event)
                .filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 || Date.now() >= untilMs) {
                return [200, { events, current_rev: revision }];
            }
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timer);
                    waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, untilMs - Date.now());
                waiting.add(done);
            });
        }
    }

    function transact({ precondition = [], writes = [], deletes = [] }) {
        if (precondition.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            return [412, { items: precondition.flatMap(row => items.get(row.key) ?? []) }];
        }
        if (writes.some(row => (row.lease ?? 0) !== 0 && !leases.has(row.lease))) {
            return [404, {}];
        }
        const at = commit([
            ...writes.map(({ key, value, lease }) => [key, { value, lease: lease ?? 0 }]),
            ...deletes.filter(key => items.has(key)).map(key => [key, undefined]),
        ]);
        return [200, { revision: at }];
    }

    async function answer(method, url, body) {
        const path = url.pathname.replace("/hyssophatch/", "");
        const query = url.searchParams;
        if (path === "kv-key") {
            const item = items.get(query.get("key"));
            return item === undefined ? [404, { current_rev: revision }] : [200, { ...item, current_rev: revision }];
        }
        if (path === "kv-range") {
            const found = [...items.values()]
                .filter(({ key }) => key.startsWith(query.get("prefix") ?? "") && key > (query.get("after") ?? ""))
                .sort((left, right) => (left.key < right.key ? -1 : 1));
            const page = found.slice(0, pageItems);
            return [200, { items: page, has_more: found.length > page.length, current_rev: revision }];
        }
        if (path === "kv-watch") {
            return watch(query);
        }
        if (path === "kv-txn") {
            return transact(body);
        }
        if (path === "kv-lease") {
            nextLease += 1;
            const id = nextLease;
            const lease = { ttlMs: body.ttl_ms, timer: setTimeout(() => endLease(id), body.ttl_ms) };
            leases.set(id, lease);
            return [200, { lease: id, ttl_ms: body.ttl_ms }];
        }
        const [kind, id] = path.split("/");
        if (kind === "kv-keep") {
            const lease = leases.get(Number(id));
            lease?.timer.refresh();
            return lease === undefined ? [404, {}] : [200, { ttl_ms: lease.ttlMs }];
        }
        if (kind === "kv-lease-end") {
            endLease(Number(id));
            return [200, {}];
        }
        return [404, {}];
    }

    /** Starts an address of the store; `promote` answers the promotion call: true, false (not running). */
    async function listen(host, port, promote) {
        const server = http.createServer((request, response) => {
            const pieces = [];
            request.on("data", piece => pieces.push(piece));
            request.on("end", async () => {
                const text = Buffer.concat(pieces).toString("utf8");
                const body = text === "" ? {} : JSON.parse(text);
                const url = new URL(request.url ?? "/", "http://store");
                if (url.pathname === "/promote") {
                    const holder = String(request.headers["x-lease-holder"]);
                    const token = String(request.headers["x-fencing-token"]);
                    const done = promote(body.service, body.id);
                    note(`promote ${body.id} of ${body.service} by ${holder}, token ${token}: ${done ? 200 : 409}`);
                    response.writeHead(done ? 200 : 409, { "content-type": "application/json" }).end("{}");
                    return;
                }
                const [status, reply] = await answer(request.method, url, body);
                response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(reply));
            });
        });
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("error", () => socket.destroy());
            socket.on("close", () => sockets.delete(socket));
        });
        servers.push(server);
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
    }

    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        listen,
        put: (key, value) => commit([[key, { value: encode(value), lease: 0 }]]),
        remove: key => void (items.has(key) && commit([[key, undefined]])),
        get: key => JSON.parse(Buffer.from(items.get(key)?.value ?? "bnVsbA==", "base64").toString("utf8")),
        keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        close() {
            leases.forEach(lease => clearTimeout(lease.timer));
            servers.forEach(server => server.close());
            sockets.forEach(socket => socket.destroy());
        },
    };
}
