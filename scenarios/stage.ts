/** What a scenario has built so far, and the registry of steps. */
import type mysql from "mysql2/promise";
import type * as clusters from "../standins/cluster.js";
import type * as fleets from "../standins/fleet.js";
import type * as loads from "../standins/load.js";

/** State of one scenario. */
export interface Stage {
    cluster?: clusters.Cluster;
    fleet?: fleets.Fleet;
    load?: loads.Load;
    /** Connections by the name that the scenario gives them. */
    readonly connections: Map<string, mysql.Connection>;
    /** Outcome of the last statement of each named connection: rows, counts or an error message. */
    readonly outcomes: Map<string, Outcome>;
    /** Numbers that steps leave for later ones. */
    readonly numbers: Map<string, number>;
    /** Work that runs on while later steps happen. */
    readonly background: Promise<unknown>[];
    readonly closers: (() => Promise<void> | void)[];
}

/** How a statement ended. */
export interface Outcome {
    readonly rows?: readonly Record<string, unknown>[];
    readonly affectedRows?: number;
    readonly error?: string;
    readonly elapsedMs: number;
}

/** A step's action; arguments come from the step's expression. */
export type Action = (stage: Stage, ...values: never[]) => Promise<unknown> | unknown;

/** Steps by expression. */
export type Steps = Readonly<Record<string, Action>>;

/** Creates an empty stage. */
export function createStage(): Stage {
    return { connections: new Map(), outcomes: new Map(), numbers: new Map(), background: [], closers: [] };
}

/** The cluster, which an earlier step must have started. */
export function clusterOf(stage: Stage): clusters.Cluster {
    if (stage.cluster === undefined) {
        throw new Error("The scenario has no cluster yet.");
    }
    return stage.cluster;
}

/** The fleet of processes, which an earlier step must have started. */
export function fleetOf(stage: Stage): fleets.Fleet {
    if (stage.fleet === undefined) {
        throw new Error("The scenario has no host processes yet.");
    }
    return stage.fleet;
}

/** Ports for callers of the hosts that run now. */
export function ports(stage: Stage): readonly number[] {
    return stage.cluster === undefined
        ? fleetOf(stage).hosts.filter(host => !host.exited()).map(host => host.callersPort)
        : stage.cluster.hosts.map(host => host.callersPort());
}

/** Address of the platform. */
export function platformOf(stage: Stage): string {
    return stage.cluster === undefined ? fleetOf(stage).platform : stage.cluster.world.platform.address;
}
