/** Stand-ins and hosts in this process, with faults on their links. Hosts that must freeze run as processes instead. */
import mysql from "mysql2/promise";
import * as grpc from "../src/adapters/grpc.js";
import * as mysqlendpoint from "../src/adapters/mysqlendpoint.js";
import * as adapters from "../src/adapters/runtime.js";
import * as assembly from "../src/daemon/assembly.js";
import * as settingsFile from "../src/daemon/settings.js";
import * as faultsModule from "./faults.js";
import * as worlds from "./world.js";

/** Settings of a cluster. */
export interface Options {
    readonly topology: worlds.Topology;
    readonly hosts: number;
    /** Settings that differ from the defaults. */
    readonly settings?: object;
    /** Applies the topology's delays to the links between hosts and endpoints. */
    readonly delays?: boolean;
    readonly seed: number;
}

/** Running stand-ins and hosts. */
export interface Cluster {
    readonly world: worlds.World;
    readonly faults: faultsModule.Faults;
    readonly hosts: assembly.Host[];
    /** Starts a host; an earlier one with the same index must have ended. */
    add(index: number): Promise<assembly.Host>;
    connect(host: assembly.Host, organisation: string, route: string): Promise<mysql.Connection>;
    /** The host that owns a database beside its primary. */
    owner(database: string): assembly.Host | undefined;
    close(): Promise<void>;
}

const pollMs = 20;
const readyMs = 15_000;

/** Polls until a condition holds; throws with its name when the bound passes. */
export async function eventually(
    name: string,
    boundMs: number,
    holds: () => boolean | Promise<boolean>,
): Promise<number> {
    const startMs = performance.now();
    while (!await holds()) {
        if (performance.now() - startMs > boundMs) {
            throw new Error(`Not within ${boundMs} ms: ${name}.`);
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
    return performance.now() - startMs;
}

function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state / 2_147_483_648;
    };
}

/** Starts a cluster, and waits until each host is ready and sees all others. */
export async function createCluster(options: Options): Promise<Cluster> {
    const { topology } = options;
    const world = await worlds.createWorld(topology);
    const faults = faultsModule.createFaults();
    const hosts: assembly.Host[] = [];
    const places = topology.regions.flatMap(region =>
        region.failureDomains.map(failureDomain => ({ region: region.name, failureDomain }))
    );
    const regions = new Map<string, string>([["platform", topology.storeRegion]]);
    world.groups.flatMap(group => group.describe(1, undefined).endpoints)
        .forEach(endpoint => regions.set(endpoint.id, endpoint.region));
    faults.name(world.platform.address, "platform");
    if (options.delays === true) {
        faults.delay((from, to) => (regions.get(from) === regions.get(to) ? topology.nearMs : topology.farMs));
    }

    async function add(index: number): Promise<assembly.Host> {
        const id = `host-${index}`;
        const place = places[index % places.length] ?? { region: "", failureDomain: "" };
        regions.set(id, place.region);
        const settings = settingsFile.parse({
            id,
            ...place,
            callers: { port: 0 },
            peers: { port: 0 },
            operations: { port: 0 },
            platform: { address: world.platform.address, region: topology.storeRegion },
            account: worlds.account,
            seeds: hosts.map(host => `127.0.0.1:${host.peersPort()}`),
            ...options.settings,
        })._unsafeUnwrap();
        const host = assembly.createHost(settings, {
            log: process.env["LOG"] === undefined ? adapters.silent : adapters.createLog(id, "info"),
            network: faults.network(id, grpc.createNetwork()),
            dialer: faults.dialer(id, mysqlendpoint.createDialer(worlds.account)),
            random: createRandom(options.seed + index),
        });
        await host.start();
        hosts.push(host);
        faults.name(`127.0.0.1:${host.peersPort()}`, id);
        const listed = hosts.map(entry => ({
            id: entry.id,
            address: `127.0.0.1:${entry.peersPort()}`,
            leaving: false,
        }));
        world.platform.list(listed);
        return host;
    }

    for (let index = 0; index < options.hosts; index += 1) {
        await add(index);
    }
    await eventually("every host is ready and sees the others", readyMs, () =>
        hosts.every(host =>
            host.ready()
            && host.parts.fleet.live().length === hosts.length
        ));
    await eventually("quota slots have warmed", readyMs, () => {
        const held = hosts.reduce((sum, host) => sum + host.parts.tokens.held(topology.organisations[0] ?? ""), 0);
        return held >= Math.min(topology.burst, topology.ratePerSecond) / 4;
    });
    return {
        world,
        faults,
        hosts,
        add,
        async connect(host, organisation, route) {
            const connection = await mysql.createConnection({
                host: "127.0.0.1",
                port: host.callersPort(),
                user: organisation,
                password: worlds.key(organisation),
                database: route,
            });
            connection.on("error", () => undefined);
            return connection;
        },
        owner(database) {
            const group = world.platform.group(database);
            const region = group?.endpoints.find(endpoint => endpoint.id === group.primary)?.region ?? "";
            const home = hosts.find(host => host.ready())?.parts.fleet.home(database, region);
            return hosts.find(host => host.id === home?.id);
        },
        async close() {
            await Promise.all(hosts.map(host => host.close()));
            await world.close();
        },
    };
}
