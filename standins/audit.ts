/** Compares what callers were promised with what the endpoints hold. */
import mysql from "mysql2/promise";
import * as configstore from "../src/adapters/configstore.js";
import * as grpc from "../src/adapters/grpc.js";
import * as messages from "../src/ports/messages.js";
import type * as loads from "./load.js";
import * as worlds from "./world.js";

/** Promises broken. */
export interface Verdict {
    readonly lost: number;
    readonly doubled: number;
}

const callTimeoutMs = 2_000;
const settledMs = 10_000;
const pollMs = 50;

/** Ids and their number in the primary's table. */
async function count(group: messages.Group, table: string): Promise<ReadonlyMap<string, number>> {
    const primary = group.endpoints.find(endpoint => endpoint.id === group.primary);
    const connection = await mysql.createConnection({
        host: primary?.host,
        port: primary?.port,
        user: worlds.account.user,
        password: worlds.account.password,
    });
    const [rows] = await connection.query({ sql: `SELECT id, count(*) FROM ${table} GROUP BY id`, rowsAsArray: true });
    await connection.end();
    return new Map((rows as unknown as [string, string][]).map(([id, number]) => [id, Number(number)]));
}

/** The groups on the platform, once no promotion is under way. */
async function readGroups(platform: string): Promise<readonly messages.Group[]> {
    const network = grpc.createNetwork();
    const deadline = Date.now() + settledMs;
    for (;;) {
        const reply = await network.openChannel(platform).call(
            messages.platform.groups,
            { after: 0, waitMs: 0 },
            callTimeoutMs,
        );
        const { groups } = reply._unsafeUnwrap();
        if (groups.every(group => group.primary !== undefined) || Date.now() > deadline) {
            network.close();
            return groups;
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}

/** Audits acknowledged writes against the primaries that the platform names. */
export async function audit(
    platform: string,
    table: string,
    acknowledged: readonly loads.Acknowledged[],
): Promise<Verdict> {
    const groups = await readGroups(platform);
    let lost = 0;
    let doubled = 0;
    for (const group of groups) {
        const promised = acknowledged.filter(entry => entry.database === group.database);
        const held = promised.length === 0 ? new Map<string, number>() : await count(group, table);
        lost += promised.filter(entry => !held.has(entry.id)).length;
        doubled += [...held.values()].filter(number => number > 1).length;
    }
    return { lost, doubled };
}

/** The longest time without an acknowledged write on a database, in milliseconds. */
export function longestGapMs(database: string, acknowledged: readonly loads.Acknowledged[]): number {
    const times = acknowledged.filter(entry => entry.database === database).map(entry => entry.atMs);
    const gaps = times.slice(1).map((time, index) => time - (times[index] ?? time));
    return Math.round(Math.max(0, ...gaps));
}

/** Reads the share of reads that replicas served, from the hosts' metrics. */
export async function replicaShare(operationsPorts: readonly number[]): Promise<number> {
    const totals = { replica: 0, primary: 0 };
    for (const port of operationsPorts) {
        const answer = await fetch(`http://127.0.0.1:${port}/metrics`).catch(() => undefined);
        const text = await answer?.text() ?? "";
        for (const found of text.matchAll(/^hyssophatch_reads_total\{.*role="(replica|primary)"\} (\d+)/gm)) {
            totals[found[1] as "replica" | "primary"] += Number(found[2]);
        }
    }
    const all = totals.replica + totals.primary;
    return all === 0 ? 0 : totals.replica / all;
}

/** Removes a key from the configuration, as an operator would. */
export async function withdraw(platform: string, key: string): Promise<void> {
    const network = grpc.createNetwork();
    const change = (keys: unknown): unknown =>
        Object.fromEntries(Object.entries(keys as object).filter(([id]) => id !== key));
    const applied = await configstore.apply(network.openChannel(platform), {
        id: `withdraw-${key}`,
        section: "keys",
        change,
    });
    network.close();
    applied._unsafeUnwrap();
}
