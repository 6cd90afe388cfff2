/** The platform: a small store with compare-and-swap, leases and watches; database groups; the list of hosts. */
import * as neverthrow from "neverthrow";
import * as grpc from "../src/adapters/grpc.js";
import * as failure from "../src/core/failure.js";
import * as messages from "../src/ports/messages.js";
import type * as network from "../src/ports/network.js";

/** A running platform and its switches. */
export interface Platform {
    readonly address: string;
    /** Stops answering, or answers again. */
    down(value: boolean): void;
    /** Delays every answer. */
    slow(ms: number): void;
    /** Lets the next calls of a kind take effect and loses their answers. */
    lose(method: string, count: number): void;
    /** Replaces the list of hosts, as callers will see it. */
    list(hosts: readonly messages.ListedHost[]): void;
    put(key: string, value: string): void;
    get(key: string): string | undefined;
    addGroup(group: messages.Group): void;
    group(database: string): messages.Group | undefined;
    markLeaving(endpoint: string, leaving: boolean): void;
    /** Calls answered, by method. */
    calls(): ReadonlyMap<string, number>;
    close(): Promise<void>;
}

interface Item {
    readonly value: string | undefined;
    readonly revision: number;
    readonly untilMs: number;
}

const absent: Item = { value: undefined, revision: 0, untilMs: Infinity };

/** Starts a platform. */
export async function createPlatform(host: string, port: number): Promise<Platform> {
    const items = new Map<string, Item>();
    const groups = new Map<string, messages.Group>();
    const watchers = new Set<() => void>();
    const losses = new Map<string, number>();
    const counts = new Map<string, number>();
    let hosts: readonly messages.ListedHost[] = [];
    let revision = 0;
    let groupsRevision = 1;
    let isDown = false;
    let slowMs = 0;

    function find(key: string): Item {
        const item = items.get(key) ?? absent;
        return item.untilMs > Date.now() ? item : absent;
    }

    function show(item: Item): messages.Entry {
        return { value: item.value, revision: item.revision };
    }

    function notify(): void {
        const waiting = [...watchers];
        watchers.clear();
        waiting.forEach(wake => wake());
    }

    function store(key: string, value: string | undefined, leaseMs: number | undefined): Item {
        revision += 1;
        const item = { value, revision, untilMs: leaseMs === undefined ? Infinity : Date.now() + leaseMs };
        items.set(key, item);
        notify();
        return item;
    }

    async function until(done: () => boolean, waitMs: number): Promise<void> {
        const deadline = Date.now() + waitMs;
        while (!done() && Date.now() < deadline) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, deadline - Date.now());
                watchers.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }

    function lost(name: string): boolean {
        const left = losses.get(name) ?? 0;
        losses.set(name, Math.max(0, left - 1));
        return left > 0;
    }

    function handle<Request, Reply>(
        method: messages.Method<Request, Reply>,
        act: (request: Request) => Reply | Promise<Reply>,
    ): network.Handler {
        return grpc.handle(method, async request => {
            const unavailable = failure.create(
                failure.Code.storeUnavailable,
                "platform",
                "The platform does not answer.",
            );
            if (isDown) {
                return neverthrow.err(unavailable);
            }
            counts.set(method.name, (counts.get(method.name) ?? 0) + 1);
            if (slowMs > 0) {
                await new Promise(resolve => setTimeout(resolve, slowMs));
            }
            const reply = await act(request);
            return isDown || lost(method.name) ? neverthrow.err(unavailable) : neverthrow.ok(reply);
        });
    }

    const handlers: readonly network.Handler[] = [
        handle(messages.platform.read, request => show(find(request.key))),
        handle(messages.platform.swap, request => {
            const current = find(request.key);
            const swapped = current.revision === request.expected;
            const item = swapped ? store(request.key, request.value, request.leaseMs) : current;
            return { swapped, entry: show(item) };
        }),
        handle(messages.platform.watch, async request => {
            await until(() => isDown || find(request.key).revision > request.after, request.waitMs);
            const item = find(request.key);
            return item.revision > request.after ? show(item) : { value: undefined, revision: item.revision };
        }),
        handle(messages.platform.groups, async request => {
            await until(() => isDown || groupsRevision > request.after, request.waitMs);
            const newer = groupsRevision > request.after;
            return { revision: groupsRevision, groups: newer ? [...groups.values()] : [] };
        }),
        handle(messages.platform.change, request => {
            const known = groups.get(request.database) ?? { database: request.database, term: 0, endpoints: [] };
            const changed = known.term === request.expected;
            const next = changed ? { ...known, term: request.term, primary: request.primary } : known;
            if (changed) {
                groups.set(request.database, next);
                groupsRevision += 1;
                notify();
            }
            return { changed, group: next };
        }),
        handle(messages.platform.hosts, () => ({ hosts })),
    ];
    const server = await grpc.serve(host, port, handlers);
    return {
        address: `${host}:${server.port}`,
        down(value) {
            isDown = value;
            notify();
        },
        slow(ms) {
            slowMs = ms;
        },
        lose(method, count) {
            losses.set(method, count);
        },
        list(next) {
            hosts = next;
        },
        put(key, value) {
            store(key, value, undefined);
        },
        get: key => find(key).value,
        addGroup(group) {
            groups.set(group.database, group);
            groupsRevision += 1;
        },
        group: database => groups.get(database),
        markLeaving(endpoint, leaving) {
            for (const [database, group] of groups) {
                const members = group.endpoints.map(entry => (entry.id === endpoint ? { ...entry, leaving } : entry));
                groups.set(database, { ...group, endpoints: members });
            }
            groupsRevision += 1;
            notify();
        },
        calls: () => counts,
        close: () => server.close(),
    };
}
