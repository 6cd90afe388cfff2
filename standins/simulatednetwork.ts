/** The network between simulated hosts: delays by failure domain and region, and faults of hosts and links. */
import * as neverthrow from "neverthrow";
import * as failure from "../src/core/failure.js";
import type * as rpc from "../src/ports/messages.js";
import type * as network from "../src/ports/network.js";
import type * as simulation from "./simulation.js";

/** Where the hosts stand. */
export interface Topology {
    readonly failureDomains: number;
    /** The first half of the failure domains belongs to region 0, which the store stands in, if there are two. */
    readonly regions: number;
}

/** A single failure domain. */
export const singleDomain: Topology = { failureDomains: 1, regions: 1 };

/** Faults in force; the sets hold the numbers of hosts. */
export interface Faults {
    /** Hosts whose processes don't run. */
    readonly down: Set<number>;
    /** Hosts whose processes are stopped for a while. */
    readonly frozen: Set<number>;
    /** Hosts that reach no other host. */
    readonly cutFromPeers: Set<number>;
    /** Hosts that reach no other host, as the network refuses the connections in both directions. */
    readonly refusedByNetwork: Set<number>;
    /** Hosts that can't reach the store. */
    readonly cutFromStore: Set<number>;
    /** Hosts that the store turns away at once. */
    readonly refusedByStore: Set<number>;
    /** True while no message passes between the regions. */
    regionsCut: boolean;
}

/** Creates an instance without faults. */
export function createFaults(): Faults {
    return {
        down: new Set(),
        frozen: new Set(),
        cutFromPeers: new Set(),
        refusedByNetwork: new Set(),
        cutFromStore: new Set(),
        refusedByStore: new Set(),
        regionsCut: false,
    };
}

/** Number of the failure domain of a host. */
export function domainOf(topology: Topology, host: number): number {
    return host % topology.failureDomains;
}

/** Number of the region of a host. */
export function regionOf(topology: Topology, host: number): number {
    return Math.floor(domainOf(topology, host) * topology.regions / topology.failureDomains);
}

/** One-way delays within a region and between two. */
const delayMs = { region: 2, remote: 8 } as const;

/** Settings of the network of one host. */
export interface Options {
    readonly clock: simulation.Clock;
    readonly topology: Topology;
    readonly faults: Faults;
    /** Answers a call to a host; undefined if the host handles no such method. */
    handle(to: number, method: string, request: unknown): Promise<unknown>;
}

/** Resolves once the process of a host runs. */
export async function untilThawed(clock: simulation.Clock, faults: Faults, host: number): Promise<void> {
    while (faults.frozen.has(host)) {
        await clock.sleep(10);
    }
}

/** Creates the network of one host, on which the address of a host is its number. */
export function createNetwork(from: number, options: Options): network.Network {
    const { clock, topology, faults } = options;

    async function deliver(to: number): Promise<"refused" | "delivered" | "lost"> {
        const remote = regionOf(topology, from) !== regionOf(topology, to);
        await clock.sleep(remote ? delayMs.remote : delayMs.region);
        const isCut = [from, to].some(host => faults.cutFromPeers.has(host)) || (remote && faults.regionsCut);
        if (isCut) {
            return "lost";
        }
        const isRefused = [from, to].some(host => faults.refusedByNetwork.has(host));
        return isRefused || faults.down.has(to) ? "refused" : "delivered";
    }

    async function call<Request, Reply>(
        address: string,
        method: rpc.Method<Request, Reply>,
        request: Request,
    ): Promise<neverthrow.Result<Reply, failure.Failure> | undefined> {
        const to = Number(address);
        const arrival = await deliver(to);
        if (arrival === "refused") {
            return neverthrow.err(failure.create(failure.Code.ownerUnreachable, address, "refused"));
        }
        if (arrival === "lost") {
            return undefined;
        }
        await untilThawed(clock, faults, to);
        const reply = await options.handle(to, method.name, method.request.parse(request));
        if (reply === undefined || faults.down.has(to) || await deliver(to) !== "delivered") {
            return undefined;
        }
        return neverthrow.ok(method.reply.parse(reply));
    }

    return {
        openChannel: address => ({
            async call<Request, Reply>(method: rpc.Method<Request, Reply>, request: Request, timeoutMs: number) {
                const reply = await Promise.race([
                    call(address, method, request),
                    clock.sleep(timeoutMs).then(() => undefined),
                ]);
                await untilThawed(clock, faults, from);
                return reply ?? neverthrow.err(failure.create(failure.Code.peerUnreachable, address, "no answer"));
            },
            close: () => undefined,
        }),
        close: () => undefined,
    };
}
