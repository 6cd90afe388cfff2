/** A database group: endpoints, and asynchronous replication among them. */
import type * as sqljs from "sql.js";
import type * as messages from "../src/ports/messages.js";
import * as endpoints from "./endpoint.js";

/** Settings of a group. */
export interface Options {
    readonly database: string;
    readonly endpoints: readonly Omit<messages.Endpoint, "port" | "leaving">[];
    /** Delay of replication between two endpoints, in milliseconds. */
    delayMs(from: string, to: string): number;
    /** Delay from receipt to application, in milliseconds. */
    readonly lagMs: number;
    readonly connectMs: number;
    readonly serviceMs: number;
}

/** A group and its switches. */
export interface Group {
    readonly database: string;
    readonly members: readonly endpoints.Endpoint[];
    /** What the platform says of the group at its start. */
    describe(term: number, primary: string | undefined): messages.Group;
    find(id: string): endpoints.Endpoint;
    lag(ms: number): void;
    /** Cuts or restores replication between an endpoint and all others. */
    cut(id: string, value: boolean): void;
    close(): void;
}

const sweepMs = 50;

/** Starts a group whose first endpoint is primary in term 1. */
export async function createGroup(loaded: sqljs.SqlJsStatic, options: Options): Promise<Group> {
    const members: endpoints.Endpoint[] = [];
    const isolated = new Set<string>();
    let lagMs = options.lagMs;

    function linked(from: endpoints.Endpoint, to: endpoints.Endpoint): boolean {
        const up = from.alive() && to.alive() && !from.frozen() && !to.frozen();
        return up && !isolated.has(from.id) && !isolated.has(to.id);
    }

    function deliver(from: endpoints.Endpoint, to: endpoints.Endpoint, term: number): void {
        const log = from.replica.entries();
        const length = log.length;
        const behind = to.replica.received().index !== length || to.replica.promised() !== term;
        setTimeout(() => {
            if (behind && linked(from, to) && to.replica.follow(term, log, length)) {
                setTimeout(() => catchUp(to, length), lagMs);
            }
        }, options.delayMs(from.id, to.id));
    }

    function catchUp(to: endpoints.Endpoint, length: number): void {
        while (to.replica.applied().index < length && !to.replica.isPrimary() && to.replica.apply()) {
            continue;
        }
    }

    function replicate(from: endpoints.Endpoint): void {
        if (from.replica.isPrimary()) {
            const term = from.replica.promised();
            members.filter(to => to !== from && linked(from, to)).forEach(to => deliver(from, to, term));
        }
    }

    for (const spec of options.endpoints) {
        const member: endpoints.Endpoint = await endpoints.createEndpoint(loaded, {
            spec,
            port: 0,
            connectMs: options.connectMs,
            serviceMs: options.serviceMs,
            committed: () => replicate(member),
        });
        members.push(member);
    }
    members.forEach(member => member.replica.fence(1));
    members[0]?.replica.promote(1);
    const sweep = setInterval(() => members.filter(member => member.alive()).forEach(replicate), sweepMs);

    function find(id: string): endpoints.Endpoint {
        const found = members.find(member => member.id === id);
        if (found === undefined) {
            throw new Error(`Endpoint ${id} does not exist.`);
        }
        return found;
    }

    return {
        database: options.database,
        members,
        find,
        describe(term, primary) {
            const described = options.endpoints.map(spec => {
                const member = find(spec.id);
                return { ...spec, port: member.port(), leaving: member.leaving() };
            });
            return { database: options.database, term, primary, endpoints: described };
        },
        lag(ms) {
            lagMs = ms;
        },
        cut(id, value) {
            if (value) {
                isolated.add(id);
            }
            else {
                isolated.delete(id);
            }
        },
        close() {
            clearInterval(sweep);
            members.forEach(member => member.kill());
        },
    };
}
