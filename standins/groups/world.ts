/** A small platform with one or more database groups, and hosts of this product in front of them. */
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import { performance } from "node:perf_hooks";
import * as adapters from "../../src/adapters/runtime.js";
import * as platform from "../../src/platform/index.js";
import * as wire from "../../src/platform/wire.js";
import type * as runtime from "../../src/ports/runtime.js";
import * as assembly from "../../src/proxy/assembly.js";
import type * as proxyHosts from "../../src/proxy/host.js";
import * as processorMeters from "../../src/proxy/processormeter.js";
import * as registry from "../../src/proxy/registry.js";
import * as settingsFile from "../../src/proxy/settings.js";
import * as endpoints from "./endpoint.js";
import * as stores from "./store.js";

/** One caller's connection. */
export interface Caller {
    /** Sends a request and resolves to the lines of the answer, the READY line last. */
    ask(text: string, id?: string): Promise<readonly string[]>;
    close(): void;
}

/** Settings of a world. */
export interface Options {
    readonly hosts: number;
    readonly lagMs?: number;
    readonly workMs?: number;
    /** Limit of the first organisation; far above any test's load unless given. */
    readonly limit?: { readonly ratePerSecond: number; readonly burst: number };
    /** Bound on the requests a second to endpoints that have just started; none unless given. */
    readonly cold?: { readonly perSecond: number; readonly overage: number; readonly slack: number };
    readonly log?: runtime.Log;
    /** True for a store in which the product has not run before. */
    readonly emptyStore?: boolean;
    /** Failure domains of the three endpoints; two domains by turns unless given. */
    readonly endpointDomains?: readonly string[];
    /** Region of each failure domain; a single one unless given. The hosts are in the first two domains by turns. */
    readonly regions?: Readonly<Record<string, string>>;
    /** Bound on new work for endpoints that shut down; the platform has none unless given. */
    readonly drainMs?: number;
    /** Bound of evacuations; the platform has none unless given. */
    readonly evacuateMs?: number;
    /** Connections that hosts hold for each other; none unless given. */
    readonly connectionHolders?: {
        readonly enabled: boolean;
        readonly minHosts: number;
        readonly transactions: boolean;
    };
}

/** A running world. */
export interface World {
    readonly store: stores.Store;
    readonly endpoints: readonly endpoints.Endpoint[];
    readonly hosts: readonly proxyHosts.Host[];
    /** Promotions asked for: group, endpoint, holder and token. */
    readonly promotions: readonly (readonly [string, string, string, number])[];
    primary(): endpoints.Endpoint;
    connect(host: number, database: string, key?: string): Promise<neverthrow.Result<Caller, string>>;
    /** Port at which a host listens for callers. */
    callerPort(host: number): number;
    /** Writes a new version of the operators' configuration. */
    configure(change: Readonly<Record<string, unknown>>): void;
    /** Lists the endpoints that run, as they would themselves. */
    list(state?: Readonly<Record<string, string>>, report?: Readonly<Record<string, number>>): void;
    /** The operators' mark that evacuates a failure domain, and its removal. */
    evacuate(failureDomain: string): void;
    takeBack(failureDomain: string): void;
    /** Stops a host at once, as a kill does. */
    kill(host: number): Promise<void>;
    /** Starts a host again that was killed, as a new process at the same addresses. */
    restart(host: number): Promise<void>;
    close(): Promise<void>;
}

/** Name of the group and of the key that every world starts with. */
export const group = "ledger";
export const key = "key-of-cluj";
const promoteMs = 60;
const ample = 100_000;

function createClock(): runtime.HostClock {
    return {
        ...adapters.createClock(),
        wallClockMs: () => Date.now(),
        after(ms, action) {
            const timer = setTimeout(action, ms);
            return () => clearTimeout(timer);
        },
    };
}

/** Ports below the range that the system gives to outgoing connections, which would take a port between two uses. */
const firstPort = 20_000;
const portCount = 12_000;
const maxTries = 200;
let lastPort = firstPort + (process.pid * 37) % portCount;

async function freePort(): Promise<number> {
    for (let tries = 0; tries < maxTries; tries += 1) {
        lastPort = lastPort + 1 < firstPort + portCount ? lastPort + 1 : firstPort;
        const port = lastPort;
        const server = net.createServer();
        const bound = await new Promise<boolean>(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (bound) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
    throw new Error("No free port was found.");
}

const route = (hostname: string, kind: string): object => ({
    name: hostname,
    hostname,
    prefix: "/",
    kind,
    timeout_ms: 1_500,
    target_latency_ms: 300,
    priority: 1,
    service: group,
    max_staleness_ms: kind === "primary" ? undefined : 1_500,
    public: false,
});

/** Starts a world: a store, a group of three endpoints, and hosts that are ready. */
export async function start(options: Options): Promise<World> {
    const clock = createClock();
    const promotions: (readonly [string, string, string, number])[] = [];
    const running: endpoints.Endpoint[] = [];
    const crashed = new Set<string>();
    const store = await stores.start((name, id, holder, token) => {
        promotions.push([name, id, holder, token]);
        const chosen = running.find(endpoint => endpoint.id === id);
        if (chosen === undefined || crashed.has(id)) {
            return false;
        }
        setTimeout(() => {
            const term = Math.max(...running.map(endpoint => endpoint.term())) + 1;
            chosen.lead(term, running.filter(endpoint => endpoint !== chosen && !crashed.has(endpoint.id)));
        }, promoteMs);
        return true;
    });
    for (const id of ["i-1", "i-2", "i-3"]) {
        const { lagMs = 20, workMs = 2 } = options;
        running.push(await endpoints.start({ id, group, maxConnections: 16, workMs, lagMs }));
    }
    running[0]?.lead(1, running.slice(1));

    let document: Readonly<Record<string, unknown>> = {
        version: 1,
        routes: [
            route("orders", "primary"),
            route("stock", "read_your_writes"),
            route("catalogue", "bounded_staleness"),
        ],
        services: [{ name: group, max_connections: 16, sync_replicas: 0, cold_per_s: options.cold?.perSecond }],
        limits: { tx_idle_ms: 1_000 },
        tenants: [
            {
                name: "cluj",
                api_keys: [key],
                rate_per_s: options.limit?.ratePerSecond ?? ample,
                burst: options.limit?.burst ?? ample,
            },
            { name: "iasi", api_keys: ["key-of-iasi"], rate_per_s: ample, burst: ample },
        ],
    };
    store.put("op/config", JSON.stringify(document));
    if (options.emptyStore !== true) {
        store.put(registry.settledKey(store.era()), "");
    }

    function list(
        state: Readonly<Record<string, string>> = {},
        report: Readonly<Record<string, number>> = { born: 1, sequence: 1 },
    ): void {
        running.filter(endpoint => !crashed.has(endpoint.id)).forEach(endpoint =>
            store.put(
                `servers/${endpoint.id}`,
                JSON.stringify({
                    service: group,
                    address: endpoint.address,
                    zone: endpointDomains[running.indexOf(endpoint)],
                    slots: 4,
                    state: state[endpoint.id] ?? "ready",
                    db_role: endpoint.primary() ? "primary" : "replica",
                    ...report,
                }),
            )
        );
    }

    const endpointDomains = options.endpointDomains ?? ["zone-0", "zone-1", "zone-0"];
    const regions = options.regions ?? { "zone-0": "ro-nord", "zone-1": "ro-nord" };
    const hostDomain = (number: number): string => Object.keys(regions)[number % 2] ?? "";
    list();
    const hosts: proxyHosts.Host[] = [];
    const ports: number[] = [];
    const stopped = new Set<number>();
    const addresses: (readonly [number, number, number])[] = [];
    for (let number = 0; number < options.hosts; number += 1) {
        addresses.push([await freePort(), await freePort(), await freePort()]);
    }

    function create(number: number): proxyHosts.Host {
        const [callers = 0, readiness = 0, peers = 0] = addresses[number] ?? [];
        const settings = settingsFile.parse({
            id: `host-${number}`,
            region: regions[hostDomain(number)],
            failureDomain: hostDomain(number),
            failureDomains: regions,
            callers: `127.0.0.1:${callers}`,
            readiness: `127.0.0.1:${readiness}`,
            peers: `127.0.0.1:${peers}`,
            store: store.address,
            promotions: store.address,
            metricsPort: 0,
            graceMs: 1_500,
            ...(options.connectionHolders === undefined ? {} : { connectionHolders: options.connectionHolders }),
            ...(options.drainMs === undefined ? {} : { drainMs: options.drainMs }),
            ...(options.evacuateMs === undefined ? {} : { evacuateMs: options.evacuateMs }),
            ...options.cold === undefined
                ? {}
                : { coldOverage: options.cold.overage, coldSlack: options.cold.slack },
        })._unsafeUnwrap();
        const log = options.log ?? adapters.silent;
        ports[number] = callers;
        return assembly.createHost({
            settings,
            clock,
            log,
            platform: (count, era) => platform.create(settings, log, count, era),
            random: Math.random,
            meter: processorMeters.none,
            incarnation: `${number}-${performance.now()}`,
        });
    }

    for (let number = 0; number < options.hosts; number += 1) {
        hosts.push(create(number));
    }
    await Promise.all(hosts.map(host => host.start()));
    const deadline = performance.now() + 10_000;
    while (!hosts.every(host => host.ready()) && performance.now() < deadline) {
        await clock.sleep(20);
    }

    return {
        store,
        hosts,
        promotions,
        endpoints: running,
        list,
        primary: () => running.find(endpoint => endpoint.primary() && !crashed.has(endpoint.id)) ?? running[0] as never,
        connect: (host, database, secret = key) => connect(ports[host] ?? 0, database, secret),
        callerPort: host => ports[host] ?? 0,
        configure(change) {
            document = { ...document, ...change, version: Number(document["version"]) + 3 };
            store.put("op/config", JSON.stringify(document));
        },
        evacuate: failureDomain => void store.put(`op/evacuate/${failureDomain}`, "{}"),
        takeBack: failureDomain => store.remove(`op/evacuate/${failureDomain}`),
        async kill(host) {
            stopped.add(host);
            await hosts[host]?.close();
        },
        async restart(host) {
            hosts[host] = create(host);
            stopped.delete(host);
            await hosts[host].start();
        },
        async close() {
            await Promise.all(hosts.map((host, number) => (stopped.has(number) ? undefined : host.close())));
            await Promise.all(running.map(endpoint => endpoint.crash()));
            await store.close();
        },
    };
}

let requests = 0;

function connect(port: number, database: string, secret: string): Promise<neverthrow.Result<Caller, string>> {
    return new Promise(resolve => {
        const socket = net.connect({ port, host: "127.0.0.1", noDelay: true });
        const splitter = wire.createSplitter();
        let lines: string[] = [];
        let settle: ((lines: readonly string[]) => void) | undefined;
        let greeted = false;
        socket.setEncoding(wire.encoding);
        socket.on("connect", () => socket.write(`STARTUP ${database} ${secret}\r\n`));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            if (!greeted) {
                resolve(neverthrow.err("closed"));
            }
            settle?.([...lines, "closed"]);
        });
        socket.on("data", (piece: string) => {
            for (const line of splitter.push(piece).unwrapOr([])) {
                if (!greeted) {
                    greeted = true;
                    resolve(line.startsWith("READY") ? neverthrow.ok(caller) : neverthrow.err(line));
                    continue;
                }
                lines.push(line);
                if (line.startsWith("READY")) {
                    const whole = lines;
                    lines = [];
                    settle?.(whole);
                }
            }
        });
        const caller: Caller = {
            ask(text, id) {
                requests += 1;
                return new Promise(done => {
                    settle = done;
                    socket.write(`QUERY ${id ?? `r${requests}`} ${text}\r\n`, wire.encoding);
                });
            },
            close: () => socket.destroy(),
        };
    });
}
