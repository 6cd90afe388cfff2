/**
 * A small deployment on loopback addresses: the store, one service of three instances, and the proxy's processes, started
 * with the commands of the deploy file and started again when they end, as the platform does.
 */
"use strict";
const childProcess = require("node:child_process");
const fs = require("node:fs");
const http = require("node:http");
const net = require("node:net");
const os = require("node:os");
const path = require("node:path");
const clients = require("./client.cjs");
const endpoints = require("./endpoint.cjs");
const stores = require("./store.cjs");

const root = path.resolve(__dirname, "../..");
const restartMs = 300;
const heartbeatMs = 1_200;
const promoteMs = 300;
/** Limit of a machine of the site; a process that exceeds it is killed. */
const memoryMegabytes = 350;
const zones = { "cluj-a": "ro-nord", "buc-a": "ro-sud", "cluj-b": "ro-nord" };
const service = "kit-ledger";
/** Longest part of a text that is recorded. */
const recordedLength = 60;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function freePort(host) {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Words of the deploy file's `run`. */
function runCommand() {
    const deploy = fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8");
    return /^run = "([^"]+)"$/m.exec(deploy)[1].split(" ");
}

function statusOf(host, port) {
    return new Promise(resolve => {
        const request = http.get({ host, port, path: "/hyssophatch/ready", timeout: 900 }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(0));
    });
}

function residentMegabytes(pid) {
    try {
        return Number(/^VmRSS:\s+(\d+)/m.exec(fs.readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
    }
    catch {
        return 0;
    }
}

/** Starts the deployment. `tenants` and `routes` are those of the configuration; the other fields as on the site's sheet. */
async function start({ folder, hosts, tenants, rowsOf, routes = {}, workMs = 5, lagMs = 60, syncReplicas = 0, firstPrimary = 0 }) {
    const startedMs = performance.now();
    const record = fs.createWriteStream(path.join(folder, "record.txt"));
    const note = text => {
        if (record.writable) {
            record.write(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${text}\n`);
        }
    };
    const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "case-"));
    // Each machine has an address of its own, as the metrics' port is the same on all of them.
    const net24 = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`;
    const runs = [];
    const exits = [];
    const instances = [];
    let closing = false;

    const recordListeners = new Set();
    const store = await stores.start(`${net24}.200`, (key, value) => {
        if (key.includes("/primaries/")) {
            note(`record ${value}`);
            recordListeners.forEach(listener => listener(JSON.parse(value)));
        }
    });

    /** The calls that named a primary, in the order of their arrival at the platform. */
    const promotions = [];
    const api = childProcess.fork(path.join(__dirname, "api.cjs"), [`${net24}.201`]);
    const apiPort = await new Promise(resolve => api.once("message", ({ port }) => resolve(port)));
    api.on("message", ({ service: name, id, holder, token }) => {
        const chosen = instances.find(instance => instance.id === id && instance.running());
        const call = { id, holder, token, index: promotions.length, effectMs: undefined };
        promotions.push(call);
        note(`promote ${name} ${id} by ${holder} token ${token}`);
        if (chosen !== undefined) {
            setTimeout(() => {
                if (!chosen.primary()) {
                    call.effectMs = performance.now();
                    note(`${id} leads, with ${chosen.log().length} entries`);
                    call.log = new Set(chosen.log().map(entry => entry.id));
                    const others = instances.filter(instance => instance !== chosen && instance.running());
                    chosen.lead(Math.max(...instances.map(instance => instance.term())) + 1, others);
                    beat();
                }
            }, promoteMs);
        }
    });

    const zoneNames = Object.keys(zones);
    for (const [number, zone] of zoneNames.entries()) {
        instances.push(
            await endpoints.start({
                host: `${net24}.${210 + number}`,
                id: `i-${number + 1}`,
                service,
                zone,
                slots: 2,
                maxConnections: 16,
                workMs,
                lagMs,
                syncReplicas,
                rowsOf,
                onRun(run) {
                    runs.push(run);
                    note(`run ${run.id} at ${run.instance} for ${run.tenant}: ${run.text.slice(0, recordedLength)}`);
                },
            }),
        );
    }
    instances[firstPrimary].lead(2, instances.filter((_, number) => number !== firstPrimary));

    let sequence = 0;
    const beatMs = new Map();
    const beat = () => {
        sequence += 1;
        for (const instance of instances) {
            const key = `servers/${instance.id}`;
            if (instance.running()) {
                beatMs.set(key, performance.now());
                store.put(key, instance.entry(sequence));
            }
        }
    };
    const beats = setInterval(beat, heartbeatMs);
    /** The platform removes an entry after three intervals of silence. */
    const expire = () =>
        instances.filter(instance => !instance.running()).forEach(({ id }) => {
            const key = `servers/${id}`;
            if (performance.now() - beatMs.get(key) > 3 * heartbeatMs && store.get(key) !== undefined) {
                note(`the entry of ${id} is removed`);
                store.remove(key);
            }
        });
    const expiries = setInterval(expire, 100);
    const repairs = setInterval(() => instances.forEach(instance => instance.repair()), 50);
    beat();

    const route = (hostname, kind, priority, staleness) => ({
        name: `r-${hostname}`,
        hostname,
        prefix: "/",
        kind,
        timeout_ms: 1_500,
        target_latency_ms: 500,
        priority,
        service,
        max_attempts: 2,
        ...staleness === undefined ? {} : { max_staleness_ms: staleness },
        public: false,
        ...routes[hostname],
    });
    let configuration = {
        version: 7,
        routes: [
            route("orders", "primary", 1),
            route("catalogue", "bounded_staleness", 2, 1_500),
            route("holds", "read_your_writes", 2, 2_500),
        ],
        services: [{ name: service, health_check_path: "/health", max_connections: 16, sync_replicas: syncReplicas }],
        limits: { tx_idle_ms: 4_000 },
        tenants,
    };
    store.put("op/config", configuration);

    const machines = [];
    for (let number = 0; number < hosts; number += 1) {
        const ip = `${net24}.${number + 1}`;
        const ports = { front: await freePort(ip), ready: await freePort(ip), control: await freePort(ip) };
        machines.push({ id: `edge-${number + 1}`, ip, ports, zone: zoneNames[number % zoneNames.length] });
    }
    const [program, ...words] = runCommand();

    function launch(machine) {
        const { id, ip, ports, zone } = machine;
        // The fields of deploy/settings.template.json, as the platform fills them in.
        const file = path.join(temporary, `${id}.json`);
        fs.writeFileSync(
            file,
            JSON.stringify({
                id,
                region: zones[zone],
                failureDomain: zone,
                failureDomains: zones,
                callers: `${ip}:${ports.front}`,
                readiness: `${ip}:${ports.ready}`,
                peers: `${ip}:${ports.control}`,
                seeds: machines.slice(0, 3).map(seed => `${seed.ip}:${seed.ports.control}`),
                store: store.address,
                promotions: `${net24}.201:${apiPort}`,
                processor: { share: 0.675, cores: 1 },
                memoryMegabytes,
                linkMegabitsPerSecond: 1_000,
                quotaWindowSeconds: 5,
                quotaOverage: 0.1,
                quotaSlack: 20,
                connectionHolders: { enabled: true, minHosts: 48, transactions: true, ownConnections: false },
                drainMs: 7_000,
                graceMs: 6_000,
            }),
        );
        const output = fs.openSync(path.join(temporary, `${id}.log`), "a");
        const child = childProcess.spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: temporary, LANG: "C", HYSSOPHATCH_NODE_FILE: file },
            stdio: ["ignore", output, output],
        });
        fs.closeSync(output);
        machine.child = child;
        machine.peakMegabytes = 0;
        note(`start ${id} pid ${child.pid}`);
        child.on("exit", (code, signal) => {
            if (closing) {
                return;
            }
            const reason = machine.killed === true ? "killed: over the memory limit" : `code ${code} signal ${signal}`;
            machine.killed = false;
            exits.push({ id, reason, peakMegabytes: Math.round(machine.peakMegabytes) });
            note(`END of ${id} by itself, ${reason}, peak ${Math.round(machine.peakMegabytes)} MB`);
            setTimeout(() => {
                if (!closing) {
                    launch(machine);
                }
            }, restartMs);
        });
    }

    machines.forEach(launch);
    const watchMemory = setInterval(() =>
        machines.forEach(machine => {
            const megabytes = residentMegabytes(machine.child.pid);
            machine.peakMegabytes = Math.max(machine.peakMegabytes, megabytes);
            if (megabytes > memoryMegabytes && machine.killed !== true) {
                machine.killed = true;
                machine.child.kill("SIGKILL");
            }
        }), 20);

    /** Resolves to true once all machines are ready. */
    async function ready(timeoutMs = 15_000) {
        const deadline = performance.now() + timeoutMs;
        while (performance.now() < deadline) {
            const statuses = await Promise.all(machines.map(({ ip, ports }) => statusOf(ip, ports.ready)));
            if (statuses.every(status => status === 200)) {
                return true;
            }
            await sleep(100);
        }
        return false;
    }

    return {
        note,
        store,
        instances,
        machines,
        runs,
        exits,
        ready,
        api: { child: api, host: `${net24}.201`, port: apiPort },
        promotions,
        /** Calls the listener with each record of a primary that is written, until the returned function is called. */
        onRecord(listener) {
            recordListeners.add(listener);
            return () => recordListeners.delete(listener);
        },
        /** The machine that holds the failover lock. */
        lockHolder() {
            const key = store.keys("hyssophatch/").find(name => name.endsWith("duty/promotion"));
            const holder = key === undefined ? undefined : store.get(key)?.holder;
            return machines.find(machine => machine.id === holder);
        },
        connect: (machine, database, key) =>
            clients.connect({ host: machines[machine].ip, port: machines[machine].ports.front, database, key, note }),
        configure(change) {
            configuration = { ...configuration, ...change, version: configuration.version + 3 };
            store.put("op/config", configuration);
        },
        logOf: machine => fs.readFileSync(path.join(temporary, `${machines[machine].id}.log`), "utf8"),
        async close() {
            closing = true;
            clearInterval(beats);
            clearInterval(repairs);
            clearInterval(expiries);
            clearInterval(watchMemory);
            const ended = machines.map(({ child }) =>
                child.exitCode !== null || child.signalCode !== null
                    ? undefined
                    : new Promise(resolve => child.once("exit", resolve))
            );
            machines.forEach(({ child }) => child.kill("SIGKILL"));
            await Promise.all(ended);
            api.kill("SIGKILL");
            instances.forEach(instance => instance.close());
            store.close();
            fs.rmSync(temporary, { recursive: true, force: true });
            await new Promise(resolve => record.end(resolve));
        },
    };
}

/** Runs a case: exits with its verdict, 0 or 1, or with 2 if it could not run. `TROUBLE=0` leaves the disruption out. */
async function play(folder, options, body) {
    const trouble = process.env.TROUBLE !== "0";
    let world;
    const limit = setTimeout(() => {
        process.stderr.write("The case took too long.\n");
        void Promise.resolve(world?.close()).then(() => process.exit(2));
    }, 115_000);
    let verdict = 2;
    ["SIGTERM", "SIGINT"].forEach(signal =>
        process.once(signal, () => void Promise.resolve(world?.close()).then(() => process.exit(2)))
    );
    try {
        world = await start({ folder, ...options });
        verdict = await world.ready() ? await body(world, trouble) : 2;
    }
    catch (thrown) {
        process.stderr.write(`${thrown instanceof Error ? thrown.stack : String(thrown)}\n`);
    }
    world?.note(`verdict ${verdict}`);
    await world?.close();
    clearTimeout(limit);
    process.stdout.write(`${["held", "BROKEN", "could not run"][verdict]}\n`);
    process.exit(verdict);
}

module.exports = { play, sleep };
