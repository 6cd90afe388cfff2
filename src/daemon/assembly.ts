/** Puts a host together: binds ports to adapters and parts to each other, and orders their life. */
import "reflect-metadata";
import * as inversify from "inversify";
import * as grpc from "../adapters/grpc.js";
import * as mysqlendpoint from "../adapters/mysqlendpoint.js";
import * as adapters from "../adapters/runtime.js";
import type * as memberships from "../core/membership.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as dispatches from "./dispatch.js";
import * as entries from "./entry.js";
import * as feeds from "./feed.js";
import * as fleets from "./fleet.js";
import * as handlers from "./handlers.js";
import * as lifecycles from "./lifecycle.js";
import * as operationsPort from "./operations.js";
import * as owners from "./owner.js";
import type * as settingsFile from "./settings.js";
import * as tokensPart from "./tokens.js";

/** Ports that a test or a bench may bind to adapters of its own. */
export interface Ports {
    readonly clock?: runtime.Clock;
    readonly log?: runtime.Log;
    readonly network?: network.Network;
    readonly dialer?: endpoint.Dialer;
    readonly random?: () => number;
}

/** Ports that a running host listens on. */
export interface Addresses {
    readonly callers: number;
    readonly peers: number;
    readonly operations: number;
}

/** A host, assembled. */
export interface Host {
    readonly id: string;
    start(): Promise<void>;
    /** Drains, then closes. */
    stop(): Promise<void>;
    /** Closes at once. */
    close(): Promise<void>;
    callersPort(): number;
    peersPort(): number;
    addresses(): Addresses;
    ready(): boolean;
    readonly parts: handlers.Parts;
}

const id = {
    settings: Symbol.for("settings"),
    self: Symbol.for("self"),
    clock: Symbol.for("clock"),
    log: Symbol.for("log"),
    measures: Symbol.for("measures"),
    network: Symbol.for("network"),
    platform: Symbol.for("platform"),
    dialer: Symbol.for("dialer"),
    random: Symbol.for("random"),
    feed: Symbol.for("feed"),
    fleet: Symbol.for("fleet"),
    tokens: Symbol.for("tokens"),
    owner: Symbol.for("owner"),
    dispatch: Symbol.for("dispatch"),
    entry: Symbol.for("entry"),
} as const;

const sweepMs = 500;
const gaugeMs = 1_000;
const drainPollMs = 20;

function bindPorts(container: inversify.Container, settings: settingsFile.Settings, ports: Ports): void {
    container.bind(id.settings).toConstantValue(settings);
    container.bind(id.clock).toConstantValue(ports.clock ?? adapters.createClock());
    container.bind(id.log).toConstantValue(ports.log ?? adapters.createLog(settings.id, settings.logLevel));
    container.bind(id.measures).toConstantValue(adapters.createMetrics());
    container.bind(id.dialer).toConstantValue(ports.dialer ?? mysqlendpoint.createDialer(settings.account));
    container.bind(id.random).toConstantValue(ports.random ?? Math.random);
    container.bind(id.network).toDynamicValue(() => ports.network ?? grpc.createNetwork(count)).inSingletonScope();
    container.bind(id.platform).toDynamicValue(context =>
        context.get<network.Network>(id.network).openChannel(settings.platform.address)
    ).inSingletonScope();

    function count(method: string, address: string, sentBytes: number, receivedBytes: number): void {
        const measures = container.get<runtime.Metrics>(id.measures);
        const known = container.get<fleets.Fleet>(id.fleet).known().find(member => member.address === address);
        const region = address === settings.platform.address ? settings.platform.region : known?.region;
        measures.message(method, sentBytes + receivedBytes);
        if (region !== undefined && region !== settings.region) {
            measures.regionBytes(sentBytes);
        }
    }
}

function bindParts(container: inversify.Container, settings: settingsFile.Settings): void {
    const get = <T>(name: symbol): T => container.get<T>(name);
    const base = () => ({
        clock: get<runtime.Clock>(id.clock),
        log: get<runtime.Log>(id.log),
        measures: get<runtime.Metrics>(id.measures),
        platform: get<network.Channel>(id.platform),
        dialer: get<endpoint.Dialer>(id.dialer),
        network: get<network.Network>(id.network),
        self: get<memberships.Member>(id.self),
        id: settings.id,
        region: settings.region,
    });
    container.bind(id.fleet).toDynamicValue(() =>
        fleets.createFleet({
            ...base(),
            ...settings.timing,
            seeds: settings.seeds,
            random: get<() => number>(id.random),
            knowledge: () => get<feeds.Feed>(id.feed).knowledge(),
            learned: (digest, askedMs) => get<feeds.Feed>(id.feed).learned(digest, askedMs),
        })
    ).inSingletonScope();
    container.bind(id.feed).toDynamicValue(() =>
        feeds.createFeed({
            ...base(),
            storeRegion: settings.platform.region,
            freshMs: settings.timing.freshMs,
            slotsKey: tokensPart.slotsKey,
            fleet: () => get<fleets.Fleet>(id.fleet),
            assigned: value => get<tokensPart.Tokens>(id.tokens).assign(value),
            changed(configuration) {
                get<tokensPart.Tokens>(id.tokens).limit(configuration.document);
                if (container.isBound(id.entry)) {
                    get<entries.Entry>(id.entry).sweep();
                }
            },
            regrouped: groups => get<owners.Owner>(id.owner).update(groups),
        })
    ).inSingletonScope();
    container.bind(id.tokens).toDynamicValue(() =>
        tokensPart.createTokens({
            ...base(),
            ...settings.quota,
            freshMs: settings.timing.freshMs,
            storeRegion: settings.platform.region,
            register: get<feeds.Feed>(id.feed).slots,
            judge: () => get<feeds.Feed>(id.feed).judgeSlots(),
            fleet: () => get<fleets.Fleet>(id.fleet),
        })
    ).inSingletonScope();
    container.bind(id.owner).toDynamicValue(() =>
        owners.createOwner({
            ...base(),
            ...settings.timing,
            fleet: get<fleets.Fleet>(id.fleet),
            configuration: () => get<feeds.Feed>(id.feed).configuration(),
            group: database => get<feeds.Feed>(id.feed).group(database),
            adopt: group => get<feeds.Feed>(id.feed).adopt(group),
        })
    ).inSingletonScope();
    container.bind(id.dispatch).toDynamicValue(() =>
        dispatches.createDispatch({
            ...base(),
            fleet: get<fleets.Fleet>(id.fleet),
            owner: get<owners.Owner>(id.owner),
            group: database => get<feeds.Feed>(id.feed).group(database),
        })
    ).inSingletonScope();
}

/** Assembles a host; nothing runs until it is started. */
export function createHost(settings: settingsFile.Settings, ports: Ports = {}): Host {
    const container = new inversify.Container();
    bindPorts(container, settings, ports);
    bindParts(container, settings);
    const log = container.get<runtime.Log>(id.log);
    const clock = container.get<runtime.Clock>(id.clock);
    const lifecycle = lifecycles.createLifecycle(log);
    let peers: grpc.Server | undefined;
    let operations: operationsPort.Operations | undefined;
    let stopTimers: (() => void) | undefined;

    function parts(): handlers.Parts {
        return {
            feed: container.get(id.feed),
            fleet: container.get(id.fleet),
            owner: container.get(id.owner),
            dispatch: container.get(id.dispatch),
            tokens: container.get(id.tokens),
            measures: container.get(id.measures),
        };
    }

    function waiting(): string | undefined {
        const { feed } = parts();
        return feed.ready()
            ? undefined
            : "waiting for the configuration, the database groups and the quota slots, from the platform or a peer";
    }

    async function listenToPeers(): Promise<void> {
        const served = handlers.createHandlers(parts, settings, () => void lifecycle.stop());
        peers = await grpc.serve(settings.peers.host, settings.peers.port, served);
        const self: memberships.Member = {
            id: settings.id,
            region: settings.region,
            failureDomain: settings.failureDomain,
            address: settings.peers.advertise ?? `${settings.peers.host}:${peers.port}`,
            incarnation: Date.now(),
            heartbeat: 0,
            leaving: false,
        };
        container.bind(id.self).toConstantValue(self);
    }

    async function listenToCallers(): Promise<void> {
        const { feed, dispatch, tokens, measures } = parts();
        const entry = await entries.createEntry({
            ...settings.callers,
            clock,
            log,
            measures,
            dispatch,
            configuration: () => feed.configuration(),
            judge: () => feed.judge(),
            admit: organisation => tokens.admit(organisation),
        });
        container.bind(id.entry).toConstantValue(entry);
    }

    function watch(): void {
        const { feed, owner, measures, tokens } = parts();
        const entry = container.get<entries.Entry>(id.entry);
        const stops = [
            clock.every(sweepMs, () => entry.sweep()),
            clock.every(gaugeMs, () => {
                owner.gauge();
                measures.gauge("callers", "", entry.callers());
                measures.gauge("sessions", "transactions", owner.transactions());
                Object.keys(feed.configuration().document.organisations).forEach(name =>
                    measures.gauge("tokens", name, tokens.held(name))
                );
            }),
        ];
        stopTimers = () => stops.forEach(stop => stop());
    }

    async function drainCallers(): Promise<void> {
        const { fleet, owner } = parts();
        const entry = container.get<entries.Entry>(id.entry);
        const deadlineMs = clock.now() + settings.timing.drainMs;
        fleet.describe({ leaving: true });
        entry.drain();
        await fleet.kick();
        while ((entry.busy() > 0 || owner.load() > 0) && clock.now() < deadlineMs) {
            await clock.sleep(drainPollMs);
        }
        await clock.sleep(Math.min(settings.timing.heartbeatMs, Math.max(0, deadlineMs - clock.now())));
    }

    lifecycle.add({ name: "peers", start: listenToPeers, close: () => peers?.close() });
    lifecycle.add({ name: "network", close: () => container.get<network.Network>(id.network).close() });
    lifecycle.add({ name: "fleet", start: () => parts().fleet.start(), close: () => parts().fleet.close() });
    lifecycle.add({ name: "feed", start: () => parts().feed.start(), close: () => parts().feed.close() });
    lifecycle.add({
        name: "tokens",
        start: () => parts().tokens.start(),
        drain: () => parts().tokens.release(),
        close: () => parts().tokens.close(),
    });
    lifecycle.add({ name: "owner", start: () => parts().owner.start(), close: () => parts().owner.close() });
    lifecycle.add({
        name: "callers",
        start: listenToCallers,
        drain: drainCallers,
        close: () => container.get<entries.Entry>(id.entry).close(),
    });
    lifecycle.add({
        name: "operations",
        async start() {
            const { measures } = parts();
            operations = await operationsPort.createOperations({
                ...settings.operations,
                metrics: () => measures.print(),
                waiting,
            });
            watch();
        },
        close() {
            stopTimers?.();
            operations?.close();
        },
    });

    function addresses(): Addresses {
        const callers = container.get<entries.Entry>(id.entry).port;
        return { callers, peers: peers?.port ?? 0, operations: operations?.port ?? 0 };
    }

    return {
        id: settings.id,
        get parts() {
            return parts();
        },
        async start() {
            await lifecycle.start();
            log.info({ ...addresses(), waiting: waiting() }, "Host started.");
        },
        addresses,
        stop: () => lifecycle.stop(),
        close: () => lifecycle.close(),
        callersPort: () => addresses().callers,
        peersPort: () => addresses().peers,
        ready: () => parts().feed.ready(),
    };
}
