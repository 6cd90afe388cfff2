/** Steps that start stand-ins and hosts. */
import * as clusters from "../../standins/cluster.js";
import * as fleets from "../../standins/fleet.js";
import * as worlds from "../../standins/world.js";
import * as stages from "../stage.js";

const seed = 7;
const users: Readonly<Record<string, worlds.Topology>> = { Roata: worlds.roata, Fraser: worlds.fraser };
const limits = { ratePerSecond: 2_000, burst: 2_000 };

/** Shortens the waits of scenarios; bounds that promises state stay as they are. */
const settings = { timing: { heartbeatMs: 200, deadMs: 1_000, drainMs: 3_000 } };

function topologyOf(user: string, change: Partial<worlds.Topology> = {}): worlds.Topology {
    const found = users[user];
    if (found === undefined) {
        throw new Error(`User ${user} does not exist.`);
    }
    return { ...found, ...limits, ...change };
}

async function start(stage: stages.Stage, options: Omit<clusters.Options, "seed">): Promise<void> {
    const cluster = await clusters.createCluster({ settings, ...options, seed });
    stage.cluster = cluster;
    stage.closers.push(() => cluster.close());
}

async function startProcesses(stage: stages.Stage, hosts: number, user: string): Promise<void> {
    const topology = topologyOf(user);
    const places = topology.regions.flatMap(region =>
        region.failureDomains.map(failureDomain => ({ region: region.name, failureDomain }))
    );
    const fleet = await fleets.createFleet({
        user: user === "Fraser" ? "fraser" : "roata",
        topology: limits,
        places: Array.from(
            { length: hosts },
            (_, index) => places[index % places.length] ?? { region: "", failureDomain: "" },
        ),
        settings: { ...settings, logLevel: "info" },
    });
    stage.fleet = fleet;
    stage.closers.push(() => fleet.stop());
}

/** The steps. */
export const steps: stages.Steps = {
    "{int} host(s) for {word}": (stage, hosts: number, user: string) =>
        start(stage, { topology: topologyOf(user), hosts }),
    "{int} host(s) for {word} with replicas {int} ms behind": (stage, hosts: number, user: string, lagMs: number) =>
        start(stage, { topology: topologyOf(user, { lagMs }), hosts }),
    "{int} host(s) for {word} with the delays of its regions": (stage, hosts: number, user: string) =>
        start(stage, { topology: topologyOf(user), hosts, delays: true }),
    "{int} host(s) for {word} with rate {int} and burst {int}": (
        stage,
        hosts: number,
        user: string,
        ratePerSecond: number,
        burst: number,
    ) => start(stage, { topology: topologyOf(user, { ratePerSecond, burst }), hosts }),
    "{int} host(s) for {word} with statements of {int} ms": (stage, hosts: number, user: string, serviceMs: number) =>
        start(stage, { topology: topologyOf(user, { serviceMs }), hosts }),
    "{int} host process(es) for {word}": startProcesses,
    "host {int} starts": async (stage, index: number) => {
        await (stage.cluster === undefined ? stages.fleetOf(stage).add(index) : stage.cluster.add(index));
    },
};
