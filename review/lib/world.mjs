/** A small deployment: the project's daemon as separate processes before stand-ins of the platform and of instances. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as endpoints from "../../dist/standins/groups/endpoint.js";
import { startStore } from "./store.mjs";

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const allZones = ["cluj-a", "buc-a", "cluj-b"];
export const service = "kafi81c";

/** Ports below the range that the system gives to outgoing connections, which would take a port between two uses. */
const firstPort = 20_000;
const portCount = 12_000;

async function freePort() {
    for (;;) {
        const port = firstPort + Math.floor(Math.random() * portCount);
        const server = net.createServer();
        const bound = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (bound) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
}

export const route = (hostname, kind, timeoutMs) => ({
    name: `r-${hostname}`,
    hostname,
    prefix: "/",
    kind,
    timeout_ms: timeoutMs,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: 2,
    ...kind === "primary" ? {} : { max_staleness_ms: kind === "bounded_staleness" ? 1_500 : 2_500 },
    public: false,
});

export const firstConfiguration = {
    version: 7,
    routes: [
        route("orders", "primary", 800),
        route("catalogue", "bounded_staleness", 1_500),
        route("holds", "read_your_writes", 800),
    ],
    services: [{ name: service, health_check_path: "/health", max_connections: 16, protocol: "h1", sync_replicas: 0 }],
    limits: { tx_idle_ms: 3_000 },
    tenants: [
        { name: "nypu920", api_keys: ["key-of-nypu"], priority: 1, rate_per_s: 1_000, burst: 1_000 },
        { name: "boxa15", api_keys: ["key-of-boxa"], priority: 1, rate_per_s: 1_000, burst: 1_000 },
    ],
};

/** Writes the record of a case: what was sent, answered and run. */
export function createRecord(file) {
    const startedMs = performance.now();
    const stream = fs.createWriteStream(file);
    return {
        line: text => void stream.write(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${text}\n`),
        end: () => new Promise(resolve => stream.end(resolve)),
    };
}

/**
 * Starts everything. `through(address)` may put a proxy before an instance; it resolves to the address that the instance
 * registers. `instances(id)` may start other stand-ins of instances than the project's own.
 */
export async function startWorld({ hosts = 3, lagMs = 60, workMs = 14, promoteMs = 300, connections = 16, slots = 4, syncReplicas = 0, through, instances, onPromote, onLead, hostZones = allZones }) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const running = [];
    const store = await startStore({
        promote(name, id) {
            const chosen = running.find(entry => entry.instance.id === id)?.instance;
            const runs = chosen !== undefined && chosen.dark?.() !== true;
            onPromote?.(id, runs);
            if (!runs || chosen.primary()) {
                return runs;
            }
            setTimeout(() => {
                const all = running.map(entry => entry.instance);
                chosen.lead(Math.max(...all.map(entry => entry.term())) + 1, all.filter(entry => entry !== chosen));
                onLead?.(chosen);
                list();
            }, promoteMs);
            return true;
        },
    });
    for (const [number, id] of ["i-9e16b79e8c", "i-5840f93bc3", "i-e2e9145aec"].entries()) {
        const instance = instances === undefined
            ? await endpoints.start({ id, group: service, maxConnections: connections, workMs, lagMs })
            : await instances(id);
        const address = through === undefined ? instance.address : await through(instance.address);
        running.push({ instance, address, zone: allZones[number], state: "ready" });
    }
    running[0].instance.lead(1, running.slice(1).map(entry => entry.instance));

    let sequence = 0;
    function list() {
        sequence += 1;
        running.filter(({ instance }) => instance.dark?.() !== true).forEach(({ instance, address, zone, state }) =>
            store.put(`servers/${instance.id}`, {
                service,
                address,
                zone,
                version: "v1",
                slots,
                state,
                cold_remaining_ms: 0,
                db_role: instance.primary() ? "primary" : "replica",
                sequence,
                born: 1_790_000_000_000,
            })
        );
    }
    list();
    const beat = setInterval(list, 1_200);
    store.put("op/config", {
        ...firstConfiguration,
        services: firstConfiguration.services.map(entry => ({
            ...entry,
            max_connections: connections,
            sync_replicas: syncReplicas,
        })),
    });

    const processes = [];
    const ports = [];
    for (let number = 0; number < hosts; number += 1) {
        ports.push({ callers: await freePort(), ready: await freePort(), peers: await freePort(), metrics: await freePort() });
    }
    function startHost(number) {
        const settings = {
            id: `edge-${number}`,
            region: hostZones[number % hostZones.length] === "buc-a" ? "ro-sud" : "ro-nord",
            failureDomain: hostZones[number % hostZones.length],
            failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "iasi-a": "ro-nord", "buc-a": "ro-sud" },
            callers: `127.0.0.1:${ports[number].callers}`,
            readiness: `127.0.0.1:${ports[number].ready}`,
            peers: `127.0.0.1:${ports[number].peers}`,
            seeds: ports.slice(0, 3).map(entry => `127.0.0.1:${entry.peers}`),
            store: store.address,
            promotions: store.address,
            processor: { share: 0.675, cores: 1 },
            memoryMegabytes: 350,
            linkMegabitsPerSecond: 1_000,
            quotaWindowSeconds: 5,
            quotaOverage: 0.1,
            quotaSlack: 20,
            metricsPort: ports[number].metrics,
            connectionHolders: { enabled: true, minHosts: 48, transactions: true, ownConnections: false },
            graceMs: 6_000,
        };
        const file = path.join(folder, `${number}.json`);
        fs.writeFileSync(file, JSON.stringify(settings));
        const log = fs.openSync(path.join(folder, `${number}.log`), "a");
        processes[number] = childProcess.spawn(
            process.execPath,
            ["--max-old-space-size=160", "target/hyssophatchd.cjs"],
            { cwd: root, env: { PATH: process.env.PATH, HYSSOPHATCH_NODE_FILE: file }, stdio: ["ignore", log, log] },
        );
        fs.closeSync(log);
    }
    ports.forEach((_, number) => startHost(number));

    function isReady(number) {
        return new Promise(resolve => {
            const options = { host: "127.0.0.1", port: ports[number].ready, path: "/hyssophatch/ready", timeout: 500 };
            const request = http.get(options, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    async function waitUntilReady() {
        for (const deadline = performance.now() + 20_000; performance.now() < deadline; await sleep(100)) {
            const ready = await Promise.all(ports.map((_, number) => isReady(number)));
            if (ready.every(value => value)) {
                return true;
            }
        }
        return false;
    }

    return {
        store,
        folder,
        running,
        list,
        ports,
        processes,
        startHost,
        isReady,
        waitUntilReady,
        connect: (number, database, key) => connect(ports[number].callers, database, key),
        configure: configuration => store.put("op/config", configuration),
        /** Ends all processes that were started. */
        async close() {
            clearInterval(beat);
            processes.forEach(child => child.kill("SIGKILL"));
            await Promise.all(running.map(entry => entry.instance.crash()));
            store.close();
            if (process.env.KEEP_LOGS === undefined) {
                fs.rmSync(folder, { recursive: true, force: true });
            }
        },
    };
}

let requests = 0;

/** Opens a client's session; resolves to undefined if it is refused. A client sends one request at a time. */
export function connect(port, database, key) {
    return new Promise(resolve => {
        const socket = net.connect({ port, host: "127.0.0.1", noDelay: true });
        let buffered = "";
        let lines = [];
        let settle;
        let greeted = false;
        socket.setEncoding("latin1");
        socket.on("connect", () => socket.write(`STARTUP ${database} ${key}\r\n`));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            resolve(undefined);
            settle?.([...lines, "closed"]);
        });
        socket.on("data", chunk => {
            buffered += chunk;
            const whole = buffered.split("\r\n");
            buffered = whole.pop();
            for (const line of whole) {
                if (!greeted) {
                    greeted = true;
                    resolve(line.startsWith("READY") ? session : undefined);
                    continue;
                }
                lines.push(line);
                if (line.startsWith("READY")) {
                    const answer = lines;
                    lines = [];
                    settle?.(answer);
                    settle = undefined;
                }
            }
        });
        const session = {
            /** Resolves to the lines of the answer; the last one is "closed" if the connection ended without it. */
            ask(text) {
                requests += 1;
                const id = requests.toString(16).padStart(16, "0");
                return {
                    id,
                    answer: new Promise(done => {
                        if (socket.destroyed) {
                            done(["closed"]);
                            return;
                        }
                        settle = done;
                        socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
                    }),
                };
            },
            close: () => socket.destroy(),
        };
    });
}
