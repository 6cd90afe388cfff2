/**
 * Measures what a host's processor time is used for, at the ports through which work enters: calls between hosts, results
 * of the store, statuses of endpoints, timers and callers' statements. Without a division of time, the ports stay as they are.
 */
import type * as processorTimes from "../core/processortime.js";
import type * as caller from "../ports/caller.js";
import type * as connections from "../ports/connection.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as platforms from "./platform.js";

/** Measures work at the ports. */
export interface Meter {
    /** The action, whose time belongs to the activity. */
    measured<Args extends readonly unknown[], Value>(
        activity: string,
        action: (...args: Args) => Value,
    ): (...args: Args) => Value;
    clock(clock: runtime.HostClock): runtime.HostClock;
    network(inner: network.Network): network.Network;
    handlers(handlers: readonly network.Handler[]): readonly network.Handler[];
    platform(platform: platforms.Platform): platforms.Platform;
    /** Ends the start of the host. */
    endStart(): void;
    /** Milliseconds of processor time by activity since the process began; undefined if it isn't measured. */
    usedMs(): Readonly<Record<string, number>> | undefined;
}

/** The meter of a host whose processor time isn't measured. */
export const none: Meter = {
    measured: (_, action) => action,
    clock: clock => clock,
    network: inner => inner,
    handlers: handlers => handlers,
    platform: platform => platform,
    endStart: () => undefined,
    usedMs: () => undefined,
};

/** Creates a meter that charges to `time`. Calls between hosts are activities by the names of their methods. */
export function create(time: processorTimes.ProcessorTime): Meter {
    function measured<Args extends readonly unknown[], Value>(
        activity: string,
        action: (...args: Args) => Value,
    ): (...args: Args) => Value {
        return (...args) => {
            time.enter(activity);
            return action(...args);
        };
    }

    /** The same for an asynchronous action, whose continuation after the result belongs to the activity as well. */
    function awaited<Args extends readonly unknown[], Value>(
        activity: string,
        action: (...args: Args) => Promise<Value>,
    ): (...args: Args) => Promise<Value> {
        return async (...args) => {
            time.enter(activity);
            try {
                return await action(...args);
            }
            finally {
                time.enter(activity);
            }
        };
    }

    function instrumentChannel(channel: network.Channel): network.Channel {
        return {
            call(method, request, timeoutMs) {
                const call = awaited(method.name, () => channel.call(method, request, timeoutMs));
                return call();
            },
            close: () => channel.close(),
        };
    }

    function instrumentNetwork(inner: network.Network): network.Network {
        /** The network hands out one channel for each address until it is closed, and so does this one. */
        const channels = new WeakMap<network.Channel, network.Channel>();
        return {
            openChannel(address) {
                const channel = inner.openChannel(address);
                const known = channels.get(channel) ?? instrumentChannel(channel);
                channels.set(channel, known);
                return known;
            },
            close: () => inner.close(),
        };
    }

    function instrumentStore(client: store.Store): store.Store {
        return {
            read: awaited("store", key => client.read(key)),
            range: awaited("store", prefix => client.range(prefix)),
            watch: awaited("store", (prefix, after, waitMs) => client.watch(prefix, after, waitMs)),
            change: awaited("store", change => client.change(change)),
            grant: awaited("store", ttlMs => client.grant(ttlMs)),
            renew: awaited("store", lease => client.renew(lease)),
            close: () => client.close(),
        };
    }

    function instrumentConnection(connection: connections.Connection): connections.Connection {
        return {
            run: awaited("statement", (id, command, timeoutMs) => connection.run(id, command, timeoutMs)),
            control: awaited("status", (command, timeoutMs) => connection.control(command, timeoutMs)),
            isOpen: () => connection.isOpen(),
            close: () => connection.close(),
        };
    }

    function instrumentSession(session: caller.Session): caller.Session {
        return {
            handle: measured("statement", (id, request) => session.handle(id, request)),
            idle: () => session.idle(),
            close: measured("statement", () => session.close()),
        };
    }

    return {
        measured,
        clock: clock => ({
            now: () => clock.now(),
            wallClockMs: () => clock.wallClockMs(),
            sleep: awaited("timer", ms => clock.sleep(ms)),
            every: (ms, action) => clock.every(ms, measured("timer", action)),
            after: (ms, action) => clock.after(ms, measured("timer", action)),
        }),
        network: instrumentNetwork,
        handlers: handlers =>
            handlers.map(handler => ({
                name: handler.name,
                handle: measured(handler.name, request => handler.handle(request)),
            })),
        platform: platform => ({
            store: instrumentStore(platform.store),
            promotions: platform.promotions,
            storeLayout: platform.storeLayout,
            dialer: {
                async dial(target, timeoutMs) {
                    const dial = awaited("connect", () => platform.dialer.dial(target, timeoutMs));
                    return (await dial()).map(instrumentConnection);
                },
            },
            listenCallers: login =>
                platform.listenCallers({
                    open: measured("statement", (database, key) => login.open(database, key).map(instrumentSession)),
                }),
            listenReadiness: ready => platform.listenReadiness(ready),
        }),
        endStart: () => time.endStart(),
        usedMs: () => time.usedMs(),
    };
}
