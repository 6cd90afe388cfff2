/**
 * Callers under load, through a real MySQL driver: each records orders, reads its own back through another
 * host, and keeps the account of what was promised to it.
 */
import * as hdr from "hdr-histogram-js";
import mysql from "mysql2/promise";
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as worlds from "./world.js";

/** Settings of a load. */
export interface Options {
    /** Ports of the hosts that callers may use now. */
    ports(): readonly number[];
    readonly organisations: readonly string[];
    readonly databases: readonly string[];
    readonly callersPerOrganisation: number;
    /** Rest of a caller between two statements, in milliseconds. */
    readonly restMs: number;
    /** Reads after each write. */
    readonly readsPerWrite: number;
    readonly seed: number;
    /** Names sessions, so that they may move between hosts. */
    readonly roaming: boolean;
    readonly table: string;
}

/** A write that was acknowledged. */
export interface Acknowledged {
    readonly id: string;
    readonly database: string;
    readonly atMs: number;
}

/** What the callers saw. */
export interface Account {
    readonly acknowledged: readonly Acknowledged[];
    readonly unknown: number;
    readonly stale: number;
    readonly refused: ReadonlyMap<number, number>;
    readonly reads: number;
    readonly errors: ReadonlyMap<string, number>;
    readonly latency: ReadonlyMap<string, hdr.Histogram>;
}

/** A running load. */
export interface Load {
    account(): Account;
    stop(): Promise<void>;
}

interface Caller {
    readonly organisation: string;
    readonly session: string;
    readonly links: Map<number, mysql.Connection>;
    readonly rng: ReturnType<typeof generators.xoroshiro128plus>;
}

const codePattern = /^HP(\d{4}): /;
const retryPattern = /Retry after (\d+) ms/;
const notRunPattern = / Not run\./;
const outcomeUnknown = 1201;
const accessCodes: ReadonlySet<number> = new Set([1001, 1002]);
const connectTimeoutMs = 2_000;
const maxAttempts = 200;
const defaultRetryMs = 50;
const microseconds = 1_000;

/** An insert that carries a request id on every second order. */
function insert(options: Options, id: string, caller: Caller, order: number): string {
    const words = [
        ...(options.roaming ? [`session=${caller.session}`] : []),
        ...(order % 2 === 0 ? [`request=${id}`] : []),
    ];
    const hint = words.length === 0 ? "" : `/* hyssophatch ${words.join(" ")} */ `;
    return `${hint}INSERT INTO ${options.table} (id, organisation) VALUES ('${id}', '${caller.organisation}')`;
}

/** Starts a load; it runs until stopped. */
export function createLoad(options: Options): Load {
    const acknowledged: Acknowledged[] = [];
    const refused = new Map<number, number>();
    const errors = new Map<string, number>();
    const latency = new Map<string, hdr.Histogram>();
    let unknown = 0;
    let stale = 0;
    let reads = 0;
    let stopped = false;

    function pick<T>(caller: Caller, items: readonly T[]): T | undefined {
        return items.length === 0 ? undefined : items[random.uniformInt(caller.rng, 0, items.length - 1)];
    }

    async function link(caller: Caller, port: number, database: string): Promise<mysql.Connection> {
        const name = port * options.databases.length + options.databases.indexOf(database);
        const known = caller.links.get(name);
        if (known !== undefined) {
            return known;
        }
        const connection = await mysql.createConnection({
            host: "127.0.0.1",
            port,
            user: caller.organisation,
            password: worlds.key(caller.organisation),
            database,
            connectTimeout: connectTimeoutMs,
        });
        connection.on("error", () => caller.links.delete(name));
        caller.links.set(name, connection);
        return connection;
    }

    function observe(organisation: string, elapsedMs: number): void {
        const histogram = latency.get(organisation) ?? hdr.build({ numberOfSignificantValueDigits: 3 });
        latency.set(organisation, histogram);
        histogram.recordValue(Math.max(1, Math.round(elapsedMs * microseconds)));
    }

    function count<K>(counts: Map<K, number>, key: K): void {
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }

    /** Waits as told, and says whether the statement may be sent again. */
    async function judge(caller: Caller, name: number, thrown: unknown, idempotent: boolean): Promise<boolean> {
        const message = thrown instanceof Error ? thrown.message : String(thrown);
        const code = Number(codePattern.exec(message)?.[1] ?? 0);
        count(code === 0 ? errors : refused as Map<string | number, number>, code === 0 ? message : code);
        if (code === 0) {
            const broken = caller.links.get(name);
            caller.links.delete(name);
            broken?.destroy();
        }
        if (accessCodes.has(code)) {
            return false;
        }
        const refusedToConnect = /ECONNREFUSED/.test(message);
        const repeatable = idempotent || notRunPattern.test(message) || refusedToConnect;
        if (!repeatable) {
            unknown += code === outcomeUnknown || code === 0 ? 1 : 0;
            return false;
        }
        await new Promise(resolve => setTimeout(resolve, Number(retryPattern.exec(message)?.[1] ?? defaultRetryMs)));
        return true;
    }

    async function send(caller: Caller, database: string, sql: string, idempotent: boolean): Promise<unknown> {
        for (let attempt = 0; attempt < maxAttempts && !stopped; attempt += 1) {
            const port = pick(caller, options.ports());
            if (port === undefined) {
                return undefined;
            }
            const name = port * options.databases.length + options.databases.indexOf(database);
            const startMs = performance.now();
            try {
                const connection = await link(caller, port, database);
                const [rows] = await connection.query(sql);
                observe(caller.organisation, performance.now() - startMs);
                return rows;
            }
            catch (thrown) {
                if (!await judge(caller, name, thrown, idempotent)) {
                    return undefined;
                }
            }
        }
        return undefined;
    }

    async function readBack(caller: Caller, database: string, id: string): Promise<void> {
        const hint = options.roaming ? `/* hyssophatch session=${caller.session} */ ` : "";
        const sql = `${hint}SELECT id FROM ${options.table} WHERE id = '${id}'`;
        const rows = await send(caller, database, sql, true);
        if (!Array.isArray(rows)) {
            return;
        }
        reads += 1;
        stale += rows.length === 0 ? 1 : 0;
    }

    async function run(caller: Caller): Promise<void> {
        for (let order = 0; !stopped; order += 1) {
            const id = `${caller.session}-${order}`;
            const database = pick(caller, options.databases) ?? "";
            const sql = insert(options, id, caller, order);
            const written = await send(caller, database, sql, order % 2 === 0);
            if (written !== undefined) {
                acknowledged.push({ id, database, atMs: performance.now() });
                for (let read = 0; read < options.readsPerWrite && options.roaming; read += 1) {
                    await readBack(caller, database, id);
                    await new Promise(resolve => setTimeout(resolve, options.restMs));
                }
            }
            await new Promise(resolve => setTimeout(resolve, options.restMs));
        }
        caller.links.forEach(connection => connection.destroy());
    }

    const callers = options.organisations.flatMap((organisation, index) =>
        Array.from({ length: options.callersPerOrganisation }, (_, number): Caller => ({
            organisation,
            session: `${organisation}-${number}-${options.seed}`,
            links: new Map(),
            rng: generators.xoroshiro128plus(options.seed * 1000 + index * 100 + number),
        }))
    );
    const running = callers.map(run);
    return {
        account: () => ({ acknowledged, unknown, stale, refused, reads, errors, latency }),
        async stop() {
            stopped = true;
            await Promise.all(running);
        },
    };
}
