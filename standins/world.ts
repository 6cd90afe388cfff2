/** A platform and database groups for one user's sizes, and hosts to run before them. */
import * as mysqlserver from "../src/adapters/mysqlserver.js";
import * as configuration from "../src/core/configuration.js";
import type * as messages from "../src/ports/messages.js";
import * as databases from "./database.js";
import * as groups from "./group.js";
import * as platforms from "./platform.js";

/** Where things stand, and how large they are. */
export interface Topology {
    readonly regions: readonly { readonly name: string; readonly failureDomains: readonly string[] }[];
    readonly storeRegion: string;
    readonly databases: readonly string[];
    readonly slots: number;
    readonly connections: number;
    readonly connectMs: number;
    readonly serviceMs: number;
    readonly lagMs: number;
    /** One-way delay between endpoints of one region and of two, in milliseconds. */
    readonly nearMs: number;
    readonly farMs: number;
    readonly organisations: readonly string[];
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Sizes of Roata Unica. */
export const roata: Topology = {
    regions: [{ name: "ro-nord", failureDomains: ["cluj-a", "cluj-b"] }, { name: "ro-sud", failureDomains: ["buc-a"] }],
    storeRegion: "ro-nord",
    databases: ["orders", "stock", "catalogue"],
    slots: 2,
    connections: 15,
    connectMs: 10,
    serviceMs: 0,
    lagMs: 50,
    nearMs: 1.5,
    farMs: 8,
    organisations: ["cluj", "brasov", "sibiu", "arad", "iasi", "bacau", "deva", "turda"],
    ratePerSecond: 500,
    burst: 500,
};

/** Sizes of Fraser & Daughters. */
export const fraser: Topology = {
    ...roata,
    regions: [
        { name: "lower-mainland", failureDomains: ["burnaby-depot", "surrey-depot"] },
        { name: "interior", failureDomains: ["kelowna-depot"] },
    ],
    storeRegion: "lower-mainland",
    databases: ["loans", "inventory", "records"],
    slots: 5,
    connections: 60,
    nearMs: 1,
    organisations: ["burnaby", "surrey", "kelowna", "delta", "langley", "vernon", "merritt", "hope"],
};

/** The stand-ins of one user. */
export interface World {
    readonly topology: Topology;
    readonly platform: platforms.Platform;
    readonly groups: readonly groups.Group[];
    group(database: string): groups.Group;
    /** Writes a whole document as the configuration in force. */
    configure(document: unknown): void;
    close(): Promise<void>;
}

/** The account that hosts use at the stand-ins. */
export const account = { user: "hyssophatch", password: "endpoint-account" } as const;

/** The key of an organisation in stand-in documents. */
export function key(organisation: string): string {
    return `${organisation}-secret-key`;
}

/** A document with a route for each database, open to every organisation of the topology. */
export function document(topology: Topology): configuration.Document {
    const organisations = topology.organisations;
    const { ratePerSecond, burst } = topology;
    const all = <T>(names: readonly string[], value: (name: string) => T): Record<string, T> =>
        Object.fromEntries(names.map(name => [name, value(name)]));
    return {
        organisations: all(organisations, () => ({ ratePerSecond, burst, weight: 1 })),
        keys: all(
            organisations,
            organisation => ({ organisation, doubleSha1: mysqlserver.hashKey(key(organisation)) }),
        ),
        databases: all(topology.databases, () => ({ statementTimeoutMs: 5_000, queueLength: 2_000 })),
        tolerances: { relaxed: { maxAgeMs: 2_000 } },
        routes: {
            ...all(topology.databases, database => ({ database, organisations, open: false })),
            ...all(
                topology.databases.map(database => `${database}-relaxed`),
                route => ({
                    database: route.replace("-relaxed", ""),
                    organisations,
                    open: false,
                    tolerance: "relaxed",
                }),
            ),
        },
    };
}

function spread(
    topology: Topology,
    database: string,
    first: number,
): readonly Omit<messages.Endpoint, "port" | "leaving">[] {
    const places = topology.regions.flatMap(region =>
        region.failureDomains.map(failureDomain => ({ region: region.name, failureDomain }))
    );
    const ordered = [...places.slice(first % places.length), ...places.slice(0, first % places.length)];
    return ordered.map(place => ({
        ...place,
        id: `${database}-${place.failureDomain}`,
        host: "127.0.0.1",
        slots: topology.slots,
        connections: topology.connections,
    }));
}

/** Starts the stand-ins; the first endpoint of each group is its primary. */
export async function createWorld(topology: Topology, platformPort = 0): Promise<World> {
    const loaded = await databases.load();
    const platform = await platforms.createPlatform("127.0.0.1", platformPort);
    const made: groups.Group[] = [];
    for (const [index, database] of topology.databases.entries()) {
        const specs = spread(topology, database, index === 1 ? 1 : 0);
        const regionOf = new Map(specs.map(spec => [spec.id, spec.region]));
        const group = await groups.createGroup(loaded, {
            ...topology,
            database,
            endpoints: specs,
            delayMs: (from, to) => (regionOf.get(from) === regionOf.get(to) ? topology.nearMs : topology.farMs),
        });
        made.push(group);
        platform.addGroup(group.describe(1, specs[0]?.id));
    }

    function group(database: string): groups.Group {
        const found = made.find(entry => entry.database === database);
        if (found === undefined) {
            throw new Error(`Database ${database} does not exist.`);
        }
        return found;
    }

    function configure(value: unknown): void {
        const edit = `world-${Date.now()}-${Math.floor(performance.now() * 1000)}`;
        const known = JSON.parse(platform.get("configuration/index") ?? '{"revision":0}') as { revision: number };
        const sections: Record<string, string> = {};
        for (const [section, body] of Object.entries(value as object)) {
            const at = `configuration/section/${section}/${edit}`;
            platform.put(at, JSON.stringify(body));
            sections[section] = at;
        }
        platform.put("configuration/index", JSON.stringify({ revision: known.revision + 1, edits: [edit], sections }));
    }

    configure(document(topology));
    return {
        topology,
        platform,
        groups: made,
        group,
        configure,
        async close() {
            made.forEach(entry => entry.close());
            await platform.close();
        },
    };
}
