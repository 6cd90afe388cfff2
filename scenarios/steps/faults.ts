/** Steps that break things and mend them. */
import * as clusters from "../../standins/cluster.js";
import type * as endpoints from "../../standins/endpoint.js";
import type * as faults from "../../standins/faults.js";
import type * as fleets from "../../standins/fleet.js";
import * as stages from "../stage.js";

const settleMs = 10_000;

/** Waits that a scenario states, as part of what it proves. */
const rest = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function primary(stage: stages.Stage, database: string): endpoints.Endpoint {
    const group = stages.clusterOf(stage).world.group(database);
    const newest = [...group.members].sort((left, right) => right.replica.promised() - left.replica.promised());
    const found = newest.find(member => member.replica.isPrimary());
    if (found === undefined) {
        throw new Error(`Database ${database} has no primary.`);
    }
    return found;
}

function process(stage: stages.Stage, index: number): fleets.Process {
    const found = [...stages.fleetOf(stage).hosts].reverse().find(host => host.id === `host-${index}`);
    if (found === undefined) {
        throw new Error(`Host ${index} does not run.`);
    }
    return found;
}

async function ownerProcess(stage: stages.Stage, database: string): Promise<fleets.Process> {
    const fleet = stages.fleetOf(stage);
    const { stdout } = await import("node:child_process").then(module =>
        module.spawnSync("node", [
            "dist/src/cli/main.js",
            "route",
            "explain",
            database,
            "delete from x",
            "--host",
            fleet.hosts[0]?.peers ?? "",
            "--json",
        ], {
            encoding: "utf8",
        })
    );
    const { ok } = JSON.parse(stdout) as { ok: { home: string } };
    const found = fleet.hosts.find(host => host.id === ok.home && !host.exited());
    if (found === undefined) {
        throw new Error(`Database ${database} has no owner.`);
    }
    return found;
}

async function stopHost(stage: stages.Stage, index: number, graceful: boolean): Promise<void> {
    const cluster = stages.clusterOf(stage);
    const position = cluster.hosts.findIndex(host => host.id === `host-${index}`);
    const [host] = cluster.hosts.splice(position, 1);
    await (graceful ? host?.stop() : host?.close());
}

function cut(stage: stages.Stage, from: string, to: string, direction: faults.Direction): void {
    stages.clusterOf(stage).faults.cut(from, to, direction);
}

/** The steps. */
export const steps: stages.Steps = {
    "the primary of {word} is killed": (stage, database: string) => {
        stage.numbers.set("killed", performance.now());
        return stage.cluster === undefined
            ? stages.fleetOf(stage).set({ action: "kill", database, endpoint: "primary", value: 1 })
            : primary(stage, database).kill();
    },
    "the primary of {word} is frozen": (stage, database: string) => {
        const found = primary(stage, database);
        found.freeze(true);
        stage.closers.push(() => found.freeze(false));
    },
    "every endpoint of {word} is thawed": (stage, database: string) =>
        stages.clusterOf(stage).world.group(database).members.forEach(member => member.freeze(false)),
    "the primary of {word} is cut from its replicas": (stage, database: string) => {
        const found = primary(stage, database);
        stages.clusterOf(stage).world.group(database).cut(found.id, true);
    },
    "replication of {word} is whole again": (stage, database: string) => {
        const group = stages.clusterOf(stage).world.group(database);
        group.members.forEach(member => group.cut(member.id, false));
    },
    "replicas of {word} are {int} ms behind": (stage, database: string, lagMs: number) =>
        stage.cluster === undefined
            ? stages.fleetOf(stage).set({ action: "lag", database, value: lagMs })
            : stage.cluster.world.group(database).lag(lagMs),
    "{word} gets another primary within {int} s": async (stage, database: string, bound: number) => {
        const { platform } = stages.clusterOf(stage).world;
        const start = platform.group(database)?.term ?? 0;
        const old = platform.group(database)?.primary;
        await clusters.eventually(`${database} has another primary`, bound * 1_000, () => {
            const group = platform.group(database);
            return group?.primary !== undefined && (group.term > start || group.primary !== old);
        });
    },
    "the platform is down": stage =>
        stage.cluster === undefined
            ? stages.fleetOf(stage).set({ action: "platformDown", value: 1 })
            : stage.cluster.world.platform.down(true),
    "the platform is up": stage =>
        stage.cluster === undefined
            ? stages.fleetOf(stage).set({ action: "platformDown", value: 0 })
            : stage.cluster.world.platform.down(false),
    "the platform answers {int} ms late": (stage, ms: number) => stages.clusterOf(stage).world.platform.slow(ms),
    "the platform loses its next {int} answer(s) to {word}": (stage, count: number, method: string) =>
        stages.clusterOf(stage).world.platform.lose(method, count),
    "host {int} is cut from the platform": (stage, index: number) => cut(stage, `host-${index}`, "platform", "both"),
    "host {int} and host {int} are cut from each other": (stage, left: number, right: number) => {
        cut(stage, `host-${left}`, `host-${right}`, "both");
        cut(stage, `host-${right}`, `host-${left}`, "both");
    },
    "host {int} hears no answer from host {int}": (stage, left: number, right: number) =>
        cut(stage, `host-${left}`, `host-${right}`, "reply"),
    "every link is whole again": stage => {
        const cluster = stages.clusterOf(stage);
        const names = [...cluster.hosts.map(host => host.id), "platform"];
        names.forEach(from => names.forEach(to => cluster.faults.heal(from, to)));
    },
    "links delay each message by up to {int} ms, out of order": (stage, bound: number) => {
        let state = 1;
        stages.clusterOf(stage).faults.delay(() => {
            state = (state * 48_271) % 2_147_483_647;
            return state % bound;
        });
    },
    "host {int} is closed at once": (stage, index: number) => stopHost(stage, index, false),
    "host {int} stops gracefully": async (stage, index: number) => {
        if (stage.cluster !== undefined) {
            await stopHost(stage, index, true);
            return;
        }
        process(stage, index).signal("SIGTERM");
        const code = await process(stage, index).ended();
        if (code !== 0) {
            throw new Error(`Host ${index} ended with ${code}.`);
        }
    },
    "host {int} is killed": async (stage, index: number) => {
        process(stage, index).signal("SIGKILL");
        await process(stage, index).ended();
    },
    "the owner of {word} is killed": async (stage, database: string) => {
        const owner = await ownerProcess(stage, database);
        owner.signal("SIGKILL");
        await owner.ended();
    },
    "the owner of {word} is frozen for {int} ms": async (stage, database: string, ms: number) => {
        const owner = await ownerProcess(stage, database);
        owner.signal("SIGSTOP");
        await rest(ms);
        owner.signal("SIGCONT");
    },
    "host {int} is frozen for {int} ms": async (stage, index: number, ms: number) => {
        process(stage, index).signal("SIGSTOP");
        await rest(ms);
        process(stage, index).signal("SIGCONT");
    },
    "the primary of {word} is killed while its owner is frozen for {int} ms": async (
        stage,
        database: string,
        ms: number,
    ) => {
        const owner = await ownerProcess(stage, database);
        await stages.fleetOf(stage).set({ action: "kill", database, endpoint: "primary", value: 1 });
        await rest(1_000);
        owner.signal("SIGSTOP");
        await rest(ms);
        owner.signal("SIGCONT");
    },
    "endpoint {word} says that it leaves": (stage, id: string) => {
        stages.clusterOf(stage).world.groups.flatMap(group => group.members).find(member => member.id === id)?.leave(
            true,
        );
    },
    "the platform lists endpoint {word} as leaving": (stage, id: string) =>
        stages.clusterOf(stage).world.platform.markLeaving(id, true),
    "every host sees {int} host(s)": (stage, count: number) =>
        clusters.eventually(
            "every host sees the others",
            settleMs,
            () => stages.clusterOf(stage).hosts.every(host => host.parts.fleet.live().length === count),
        ),
    "{int} ms pass": (_stage, ms: number) => rest(ms),
};
