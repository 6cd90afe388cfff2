/**
 * A small deployment on loopback addresses: a store, one service of three instances, and the project's daemon on some
 * hosts, started with the command of the deploy file.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createInstance } from "./instance.mjs";
import { createStore } from "./store.mjs";

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
const encoding = "latin1";
const heartbeatMs = 1_200;
const restartMs = 500;
const promoteMs = 300;
const bounds = { quota_window_s: 5, quota_overage: 0.1, quota_slack: 20, drain_ms: 7_000, grace_s: 6 };
/** Classes of machines and zones of the small deployments. */
const zones = { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" };
export const memoryMb = 350;
export const service = "ledger7k";
export const key = "key-of-cluj";

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const disturbed = process.env.TROUBLE !== "0";

/** The record of a case, one line an event. */
export function createRecord(folder) {
    const file = path.join(folder, "record.txt");
    const startedMs = Date.now();
    fs.writeFileSync(file, "");
    return line => {
        fs.appendFileSync(file, `${((Date.now() - startedMs) / 1_000).toFixed(3).padStart(8)} ${line}\n`);
    };
}

export const route = (hostname, kind, more = {}) => ({
    name: `r-${hostname}`,
    hostname,
    prefix: "/",
    kind,
    timeout_ms: 800,
    target_latency_ms: 300,
    priority: 1,
    service,
    max_attempts: 2,
    ...(kind === "primary" ? {} : { max_staleness_ms: 1_500 }),
    public: false,
    ...more,
});

function readCommand() {
    const text = fs.readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Options: `hosts`, `services` (names; one of three instances each), `note`, `tenants`, `limits`. */
export async function createWorld({ hosts: hostCount, note, tenants, routes, limits, primaryZone, workMs = 5, holdInstances }) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hyssophatch-review-"));
    const net24 = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const port = { front: 8_465, ready: 8_460, control: 8_462, store: 8_466, cloud: 8_467, instance: 8_080 };
    const store = createStore(note);
    const instances = [];
    const hosts = [];
    const timers = [];
    let closing = false;

    function promote(name, id) {
        const chosen = instances.find(instance => instance.id === id);
        if (chosen === undefined || !chosen.isUp()) {
            return false;
        }
        if (chosen.leads()) {
            return true;
        }
        setTimeout(() => {
            const term = Math.max(...instances.map(instance => instance.term())) + 1;
            const old = instances.find(instance => instance.leads() && instance.isUp());
            chosen.lead(term, instances.filter(instance => instance !== chosen && instance.isUp()));
            note(`instance ${id} leads term ${term}${old === undefined ? "" : `; ${old.id} led before`}`);
        }, promoteMs);
        return true;
    }

    await store.listen(`${net24}.250`, port.store, promote);
    await store.listen(`${net24}.250`, port.cloud, promote);

    const lastBeat = new Map();
    function beat(instance) {
        store.put(`servers/${instance.id}`, instance.entry());
        lastBeat.set(instance.id, Date.now());
    }
    const zoneNames = Object.keys(zones);
    for (let number = 0; number < 3; number += 1) {
        const instance = await createInstance({
            id: `i-7f3a91c${number}`,
            service,
            host: `${net24}.${100 + number}`,
            port: port.instance,
            zone: zoneNames[number],
            maxConnections: 16,
            workMs,
            lagMs: 60,
            note,
            onChange: () => beat(instance),
        });
        instances.push(instance);
    }
    for (const instance of instances) {
        await instance.start();
    }
    const first = instances.find(instance => instance.zone === primaryZone) ?? instances[0];
    first.lead(1, instances.filter(instance => instance !== first));
    timers.push(setInterval(() => {
        instances.filter(instance => instance.isUp()).forEach(beat);
        for (const [id, at] of lastBeat) {
            if (Date.now() - at > 3 * heartbeatMs) {
                lastBeat.delete(id);
                store.remove(`servers/${id}`);
                note(`the entry of ${id} expires`);
            }
        }
    }, heartbeatMs));
    await holdInstances?.(instances);

    let version = 7;
    function configure(change = {}) {
        const document = {
            version,
            routes: routes ?? [
                route("orders", "primary"),
                route("holds", "read_your_writes", { timeout_ms: 800, priority: 2 }),
                route("catalogue", "bounded_staleness", { timeout_ms: 1_500, priority: 2 }),
            ],
            services: [{ name: service, max_connections: 16, sync_replicas: 0 }],
            limits: { tx_idle_ms: 3_000, ...limits },
            tenants: tenants ?? [{ name: "cluj", api_keys: [key], rate_per_s: 400, burst: 400 }],
            ...change,
        };
        version += 3;
        store.put("op/config", document);
    }
    configure();

    const seeds = [1, 2, 3].slice(0, hostCount).map(number => `${net24}.${number}:${port.control}`);

    function writeSettings(number) {
        const ip = `${net24}.${number}`;
        const zone = zoneNames[(number - 1) % zoneNames.length];
        const settings = {
            id: `edge-${zone}-${number}`,
            region: zones[zone],
            failureDomain: zone,
            failureDomains: zones,
            callers: `${ip}:${port.front}`,
            readiness: `${ip}:${port.ready}`,
            peers: `${ip}:${port.control}`,
            seeds,
            store: `${net24}.250:${port.store}`,
            promotions: `${net24}.250:${port.cloud}`,
            processor: { share: 0.675, cores: 1 },
            memoryMegabytes: memoryMb,
            linkMegabitsPerSecond: 1_000,
            quotaWindowSeconds: bounds.quota_window_s,
            quotaOverage: bounds.quota_overage,
            quotaSlack: bounds.quota_slack,
            connectionHolders: { enabled: true, minHosts: 48, transactions: true, ownConnections: false },
            drainMs: bounds.drain_ms,
            graceMs: bounds.grace_s * 1_000,
        };
        const file = path.join(folder, `settings-${number}.json`);
        fs.writeFileSync(file, JSON.stringify(settings));
        return { file, id: settings.id, ip, zone };
    }

    function launch(host) {
        const [command, ...words] = readCommand();
        const log = fs.openSync(path.join(folder, `${host.id}.log`), "a");
        const child = childProcess.spawn(command, [...words, host.file], {
            cwd: repository,
            stdio: ["ignore", log, log],
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C" },
        });
        fs.closeSync(log);
        host.child = child;
        host.starts += 1;
        host.peakMb = 0;
        host.killedForMemory = false;
        child.on("exit", (code, signal) => {
            host.child = undefined;
            if (closing || host.stopping) {
                return;
            }
            const cause = host.killedForMemory ? "the platform, as it exceeds its memory" : "itself";
            host.ends.push({ at: Date.now(), code, signal, peakMb: host.peakMb });
            note(`process ${host.id} is ended by ${cause}: code ${code}, signal ${signal}, ${host.peakMb} MB at its peak`);
            setTimeout(() => !closing && launch(host), restartMs);
        });
    }

    /** As the platform: a process that exceeds its memory is killed. */
    timers.push(setInterval(() => {
        for (const host of hosts) {
            if (host.child === undefined) {
                continue;
            }
            try {
                const text = fs.readFileSync(`/proc/${host.child.pid}/status`, "utf8");
                const mb = Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024);
                host.peakMb = Math.max(host.peakMb, mb);
                if (mb > memoryMb && !host.killedForMemory) {
                    host.killedForMemory = true;
                    host.child.kill("SIGKILL");
                }
            }
            catch {
                // The process has just ended.
            }
        }
    }, 100));

    async function isReady(host) {
        return await new Promise(resolve => {
            const socket = net.connect({ host: host.ip, port: port.ready }, () =>
                socket.write("GET /hyssophatch/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            socket.setTimeout(900, () => socket.destroy());
            socket.on("data", piece => {
                resolve(String(piece).startsWith("HTTP/1.1 200"));
                socket.destroy();
            });
            socket.on("error", () => socket.destroy());
            socket.on("close", () => resolve(false));
        });
    }

    const world = {
        store,
        instances,
        hosts,
        folder,
        port,
        configure,
        isReady,
        startHosts(count = hostCount) {
            for (let number = 1; number <= count; number += 1) {
                const host = { ...writeSettings(number), starts: 0, ends: [], stopping: false };
                hosts.push(host);
                launch(host);
            }
        },
        async waitReady(timeoutMs) {
            const untilMs = Date.now() + timeoutMs;
            while (Date.now() < untilMs) {
                const ready = await Promise.all(hosts.map(isReady));
                if (ready.every(Boolean)) {
                    return true;
                }
                await sleep(100);
            }
            return false;
        },
        connect: (host, database, secret = key, more = {}) =>
            connect(hosts[host].ip, port.front, `STARTUP ${database} ${secret}\r\n`, more),
        logs: () => hosts.map(host => fs.readFileSync(path.join(folder, `${host.id}.log`), "utf8")),
        async close() {
            closing = true;
            timers.forEach(timer => clearInterval(timer));
            hosts.forEach(host => host.child?.kill("SIGKILL"));
            await sleep(200);
            instances.forEach(instance => instance.isUp() && instance.crash());
            store.close();
            if (process.env.KEEP === undefined) {
                fs.rmSync(folder, { recursive: true, force: true });
            }
            else {
                note(`logs: ${folder}`);
            }
        },
    };
    return world;
}

/** Opens a client's session; resolves to undefined if it isn't accepted within 2 s. */
export function connect(host, port, startup, { allowHalfOpen = false } = {}) {
    return new Promise(resolve => {
        const socket = net.connect({ host, port, noDelay: true, allowHalfOpen });
        let buffered = "";
        let lines = [];
        let settle;
        let greeted = false;
        const timer = setTimeout(() => {
            socket.destroy();
            resolve(undefined);
        }, 2_000);
        socket.setEncoding(encoding);
        socket.on("connect", () => socket.write(startup, encoding));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            clearTimeout(timer);
            resolve(undefined);
            settle?.({ rows: [], error: "CLOSED", state: undefined });
        });
        socket.on("data", piece => {
            const parts = (buffered + piece).split("\r\n");
            buffered = parts.pop() ?? "";
            for (const line of parts) {
                if (!greeted) {
                    greeted = true;
                    clearTimeout(timer);
                    resolve(line.startsWith("READY") ? session : undefined);
                    continue;
                }
                lines.push(line);
                if (line.startsWith("READY")) {
                    const whole = lines;
                    lines = [];
                    const done = settle;
                    settle = undefined;
                    done?.(parse(whole));
                }
            }
        });
        const session = {
            socket,
            isOpen: () => !socket.destroyed,
            ask(id, text) {
                return new Promise(done => {
                    if (socket.destroyed) {
                        done({ rows: [], error: "CLOSED", state: undefined });
                        return;
                    }
                    settle = done;
                    socket.write(`QUERY ${id} ${text}\r\n`, encoding);
                });
            },
            close: () => socket.destroy(),
        };
    });
}

function parse(lines) {
    const rows = lines.filter(line => line.startsWith("ROW ")).map(line => line.slice(4));
    const complete = lines.find(line => line.startsWith("COMPLETE "));
    const error = lines.find(line => line.startsWith("ERROR "));
    const [, state, position] = lines[lines.length - 1].split(" ");
    return {
        rows,
        signature: complete?.slice("COMPLETE ".length),
        error: error?.split(" ")[1],
        text: error,
        state,
        position,
    };
}

let ids = 0;
export const newId = () => {
    ids += 1;
    return `a${process.pid.toString(16)}${ids.toString(16).padStart(8, "0")}`;
};
