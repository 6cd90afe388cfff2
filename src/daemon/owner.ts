/** The databases that this host owns in its region, and the statements that other hosts send it. */
import * as neverthrow from "neverthrow";
import type * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import type * as positions from "../core/position.js";
import type * as endpoint from "../ports/endpoint.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as databases from "./database.js";
import type * as fleets from "./fleet.js";
import * as transactions from "./transactions.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of an owner. */
export interface Options {
    readonly id: string;
    readonly region: string;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Metrics;
    readonly dialer: endpoint.Dialer;
    readonly platform: network.Channel;
    readonly silenceMs: number;
    readonly transactionIdleMs: number;
    readonly fleet: fleets.Fleet;
    configuration(): configuration.Configuration;
    group(database: string): messages.Group | undefined;
    adopt(group: messages.Group): void;
}

/** Runs statements on owned databases. */
export interface Owner {
    execute(execution: messages.Execution): Promise<Result<messages.Answer>>;
    begin(boundary: messages.TransactionBoundary): Promise<Result<{ readonly transaction: string }>>;
    commit(boundary: messages.TransactionBoundary): Promise<Result<messages.Answer>>;
    rollback(boundary: messages.TransactionBoundary): Promise<Result<messages.Answer>>;
    floor(database: string, session: string, timeoutMs: number): Promise<Result<positions.Position>>;
    /** Region in which the database's primary stands. */
    primaryRegion(database: string): string | undefined;
    find(database: string): databases.Database | undefined;
    update(groups: readonly messages.Group[]): void;
    report(): readonly object[];
    /** Reports queues and links. */
    gauge(): void;
    transactions(): number;
    /** Statements running and waiting, transactions included. */
    load(): number;
    start(): void;
    close(): void;
}

interface Owned {
    readonly database: databases.Database;
    usedMs: number;
}

const reviewMs = 250;
const unusedMs = 5_000;
const retryMs = 200;
const defaultQueueLength = 512;

/** Creates an owner of no database. */
export function createOwner(options: Options): Owner {
    const { clock, log } = options;
    const owned = new Map<string, Owned>();
    const open = transactions.createTransactions({ clock, log, idleMs: options.transactionIdleMs });
    let stop: (() => void) | undefined;

    function isHome(database: string): boolean {
        return options.fleet.home(database, options.region)?.id === options.id;
    }

    function primaryRegion(database: string): string | undefined {
        const group = options.group(database);
        const primary = owned.get(database)?.database.primary() ?? group?.primary;
        return group?.endpoints.find(entry => entry.id === primary)?.region;
    }

    async function askFloor(
        database: string,
        session: string,
        timeoutMs: number,
    ): Promise<positions.Position | undefined> {
        const home = options.fleet.home(database, primaryRegion(database) ?? options.region);
        if (home === undefined || home.id === options.id) {
            return undefined;
        }
        const reply = await options.fleet.channel(home).call(
            messages.peer.floor,
            { database, session, timeoutMs },
            timeoutMs,
        );
        return reply.isOk() ? reply.value.floor : undefined;
    }

    function obtain(name: string): Owned | undefined {
        const known = owned.get(name);
        if (known !== undefined) {
            known.usedMs = clock.now();
            return known;
        }
        const group = options.group(name);
        if (group === undefined) {
            return undefined;
        }
        const { document } = options.configuration();
        const database = databases.createDatabase({
            ...options,
            group,
            queueLength: document.databases[name]?.queueLength ?? defaultQueueLength,
            weight: organisation => options.configuration().document.organisations[organisation]?.weight ?? 1,
            watching: () => isHome(name),
            askFloor: (session, timeoutMs) => askFloor(name, session, timeoutMs),
        });
        const entry = { database, usedMs: clock.now() };
        owned.set(name, entry);
        log.info({ database: name, region: options.region, reason: "home of the database" }, "Database owned.");
        return entry;
    }

    function require(name: string): Result<databases.Database> {
        const entry = obtain(name);
        const message = `Host ${options.id} knows no database ${name} yet.`;
        return entry === undefined
            ? neverthrow.err(failure.create(failure.Code.notOwner, name, message, retryMs))
            : neverthrow.ok(entry.database);
    }

    /** Opens the databases whose home this host is; closes those unused since they moved away. */
    function review(): void {
        for (const name of Object.keys(options.configuration().document.databases)) {
            if (isHome(name)) {
                obtain(name);
            }
        }
        for (const [name, entry] of owned) {
            if (!isHome(name) && clock.now() - entry.usedMs > unusedMs && open.count() === 0) {
                owned.delete(name);
                entry.database.close();
                log.info({ database: name, reason: "its home moved" }, "Database released.");
            }
        }
    }

    return {
        primaryRegion,
        async execute(execution) {
            if (execution.transaction !== undefined) {
                return open.execute(execution);
            }
            const database = require(execution.database);
            if (database.isErr()) {
                return neverthrow.err(database.error);
            }
            return execution.kind === "read" ? database.value.read(execution) : database.value.write(execution);
        },
        async begin(boundary) {
            const database = require(boundary.database);
            return database.isErr() ? neverthrow.err(database.error) : open.begin(database.value, boundary);
        },
        commit: boundary => open.commit(boundary),
        rollback: boundary => open.rollback(boundary),
        async floor(name, session, timeoutMs) {
            const database = require(name);
            return database.isErr() ? neverthrow.err(database.error) : database.value.floor(session, timeoutMs);
        },
        find: name => obtain(name)?.database,
        update(groups) {
            groups.forEach(group => owned.get(group.database)?.database.update(group));
        },
        gauge: () => owned.forEach(entry => entry.database.gauge()),
        report: () => [...owned.values()].map(entry => entry.database.report()),
        transactions: () => open.count(),
        load: () => [...owned.values()].reduce((total, entry) => total + entry.database.load(), open.count()),
        start() {
            stop = clock.every(reviewMs, review);
        },
        close() {
            stop?.();
            open.close();
            owned.forEach(entry => entry.database.close());
        },
    };
}
