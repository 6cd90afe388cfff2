/** A stand-in of the platform's store and of its promote call, as PROTOCOL.md describes them. */
import * as http from "node:http";

const pageItems = 500;
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a store; `promote(service, id)` answers a promotion with true, or false if the instance doesn't run. */
export async function startStore({ promote, answerMs = 4 }) {
    const items = new Map();
    const leases = new Map();
    const waiting = new Set();
    const promotions = [];
    let changes = [];
    let revision = 100;
    let nextLease = 1;

    function write(key, value, lease) {
        if (value === undefined) {
            items.delete(key);
        }
        else {
            items.set(key, { value, lease, revision, created_at: items.get(key)?.created_at ?? revision });
        }
        changes.push({ key, revision, item: items.get(key) });
        changes = changes.slice(-5_000);
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
        const keys = [...items].filter(([, item]) => item.lease === id).map(([key]) => key);
        if (keys.length > 0) {
            commit(() => keys.forEach(key => write(key)));
        }
    }

    const show = (key, item) => ({ key, ...item });

    async function watch(query) {
        const [prefix, after] = [query.get("prefix"), Number(query.get("after"))];
        const deadline = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            const events = changes
                .filter(change => change.revision > after && change.key.startsWith(prefix))
                .map(({ key, revision: at, item }) =>
                    item === undefined ? { key, revision: at, tombstone: true } : show(key, { ...item, revision: at })
                );
            const leftMs = deadline - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return [200, { events, current_rev: revision }];
            }
            await new Promise(resolve => {
                const timer = setTimeout(done, leftMs);
                function done() {
                    clearTimeout(timer);
                    waiting.delete(done);
                    resolve();
                }
                waiting.add(done);
            });
        }
    }

    function transact({ precondition = [], writes = [], deletes = [] }) {
        if (precondition.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            const present = precondition.filter(row => items.has(row.key));
            return [412, { items: present.map(row => show(row.key, items.get(row.key))) }];
        }
        if (writes.some(row => (row.lease ?? 0) !== 0 && !leases.has(row.lease))) {
            return [404, {}];
        }
        return [200, {
            revision: commit(() => {
                writes.forEach(row => write(row.key, row.value, row.lease ?? 0));
                deletes.forEach(key => write(key));
            }),
        }];
    }

    async function answer(method, url, body, headers) {
        const query = url.searchParams;
        const [, kind, id] = /^\/(?:hyssophatch\/)?([a-z-]+)(?:\/(\d+))?$/.exec(url.pathname) ?? [];
        if (kind !== "kv-watch") {
            await sleep(answerMs);
        }
        switch (kind) {
            case "kv-key": {
                const item = items.get(query.get("key"));
                return item === undefined
                    ? [404, {}]
                    : [200, { ...show(query.get("key"), item), current_rev: revision }];
            }
            case "kv-range": {
                const [prefix, after] = [query.get("prefix") ?? "", query.get("after") ?? ""];
                const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
                const page = keys.slice(0, pageItems).map(key => show(key, items.get(key)));
                return [200, { items: page, has_more: keys.length > page.length, current_rev: revision }];
            }
            case "kv-watch":
                return watch(query);
            case "kv-txn":
                return transact(body);
            case "kv-lease": {
                const lease = nextLease;
                nextLease += 1;
                leases.set(lease, { timer: setTimeout(() => endLease(lease), body.ttl_ms) });
                return [200, { lease, ttl_ms: body.ttl_ms }];
            }
            case "kv-keep":
                leases.get(Number(id))?.timer.refresh();
                return leases.has(Number(id)) ? [200, {}] : [404, {}];
            case "kv-lease-end":
                endLease(Number(id));
                return [200, {}];
            case "promote": {
                const done = promote(body.service, body.id);
                promotions.push({ id: body.id, holder: headers["x-lease-holder"], token: headers["x-fencing-token"] });
                return [done ? 200 : 409, {}];
            }
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
            void answer(request.method, url, text === "" ? {} : JSON.parse(text), request.headers).then(
                ([status, reply]) =>
                    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(reply)),
            );
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        address: `127.0.0.1:${server.address().port}`,
        promotions,
        /** Writes as the operator or an instance does; the returned revision is the acknowledgement. */
        put: (key, value) => commit(() => write(key, encode(value), 0)),
        remove: key => commit(() => write(key)),
        get: key => (items.has(key) ? JSON.parse(Buffer.from(items.get(key).value, "base64").toString()) : undefined),
        keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
        close() {
            leases.forEach(lease => clearTimeout(lease.timer));
            server.closeAllConnections();
            server.close();
        },
    };
}
