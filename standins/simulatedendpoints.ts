/** The endpoints of simulated hosts: one group, its primary, and the platform's call that names another one. */
import * as neverthrow from "neverthrow";
import * as policies from "../src/core/policy.js";
import type * as connections from "../src/ports/connection.js";
import type * as probers from "../src/proxy/prober.js";
import type * as storeSyncs from "../src/proxy/storesync.js";
import type * as simulation from "./simulation.js";

/** Name of the only group. */
export const group = "ledger";
const peerDelayMs = 2;
const promoteMs = 300;
const defaultTimeoutMs = 100;

/** An endpoint. */
export interface Endpoint {
    readonly id: string;
    primary: boolean;
    term: number;
    alive: boolean;
    /** Whether its entry is in the store; one that isn't alive keeps its entry until this is false. */
    listed: boolean;
    /** Start time of its process, as listed. */
    born: number;
    /** Hosts that can't reach it. */
    readonly cutFrom: Set<number>;
    /** Commands that have reached it. */
    commands: number;
    /** Number of log entries that it has received. */
    received: number;
    /** Time after which it answers a command. */
    answerMs: number;
}

/** A promotion that the platform was asked for. */
export interface Promotion {
    readonly endpoint: string;
    readonly holder: string;
    readonly token: number;
}

/** The endpoints of the group. */
export interface Endpoints {
    readonly all: readonly Endpoint[];
    readonly promotions: readonly Promotion[];
    /** Sends a command from a host to an endpoint; resolves to undefined without a reply. */
    send(
        host: number,
        id: string,
        request: connections.ControlCommand,
        timeoutMs?: number,
    ): Promise<connections.Status | undefined>;
    promote(id: string, holder: string, token: number): Promise<neverthrow.Result<boolean, never>>;
    /** Writes the entries of the endpoints into the store. */
    list(): void;
}

/**
 * Layout of the documents in the simulated store. A configuration is its version and, if it differs from the given one, the
 * number of synchronous replicas. All endpoints are in zone-0, or i-1 in zone-1 and so on if they are to be
 * `spread`.
 */
export const createStoreLayout = (spread: boolean, syncReplicas: number): storeSyncs.StoreLayout => ({
    configurationKey: "op/config",
    endpointsPrefix: "servers/",
    evacuationsPrefix: "op/evacuate/",
    operatorsPrefix: "op/",
    parsePolicy(text) {
        const [version, copies = syncReplicas] = text.split(" ").map(Number);
        return neverthrow.ok({
            ...policies.empty,
            version: version ?? 0,
            groups: new Map([[group, { name: group, maxConnections: 16, syncReplicas: copies }]]),
            organisations: new Map([["cluj", { name: "cluj", ratePerSecond: 100, burst: 100 }]]),
        });
    },
    parseEndpoint(key, text) {
        const entry = JSON.parse(text) as { readonly primary: boolean; readonly born: number };
        return neverthrow.ok({
            id: key.slice("servers/".length),
            group,
            address: key,
            failureDomain: spread ? `zone-${key.slice(-1)}` : "zone-0",
            slots: 2,
            draining: false,
            primary: entry.primary,
            born: entry.born,
            sequence: 1,
        });
    },
});

/** Creates three endpoints, the first of which is primary. */
export function createEndpoints(clock: simulation.Clock, store: simulation.Store): Endpoints {
    const endpoints: Endpoint[] = ["i-1", "i-2", "i-3"].map((id, index) => ({
        id,
        primary: index === 0,
        term: 1,
        alive: true,
        listed: true,
        born: 1,
        cutFrom: new Set(),
        commands: 0,
        received: 1,
        answerMs: 0,
    }));
    const promotions: Promotion[] = [];

    function list(): void {
        for (const { id, alive, listed, primary, born } of endpoints) {
            if (!listed && store.get(`servers/${id}`) !== undefined) {
                store.remove(`servers/${id}`);
            }
            else if (listed && alive) {
                store.put(`servers/${id}`, JSON.stringify({ primary, born }));
            }
        }
    }

    async function send(
        host: number,
        id: string,
        request: connections.ControlCommand,
        timeoutMs = defaultTimeoutMs,
    ): Promise<connections.Status | undefined> {
        const endpoint = endpoints.find(candidate => candidate.id === id);
        await clock.sleep(peerDelayMs);
        const isReached = endpoint !== undefined && endpoint.alive && !endpoint.cutFrom.has(host);
        if (!isReached || endpoint.answerMs > timeoutMs) {
            await clock.sleep(timeoutMs);
            return undefined;
        }
        if (endpoint.answerMs > 0) {
            await clock.sleep(endpoint.answerMs);
        }
        endpoint.commands += 1;
        if (request.kind === "stepDown" && request.term > endpoint.term) {
            endpoint.primary = false;
        }
        const received = { term: endpoint.term, index: endpoint.received };
        return { primary: endpoint.primary, term: endpoint.term, received } as connections.Status;
    }

    async function promote(id: string, holder: string, token: number): Promise<neverthrow.Result<boolean, never>> {
        await clock.sleep(peerDelayMs);
        const endpoint = endpoints.find(candidate => candidate.id === id);
        if (endpoint === undefined || !endpoint.alive) {
            return neverthrow.ok(false);
        }
        promotions.push({ endpoint: id, holder, token });
        if (!endpoint.primary || endpoints.some(other => other.term > endpoint.term)) {
            const { born } = endpoint;
            clock.after(promoteMs, () => {
                // The platform promotes the process that it was asked for, if that still runs.
                if (!endpoint.alive || endpoint.born !== born) {
                    return;
                }
                endpoint.term = Math.max(...endpoints.map(other => other.term)) + 1;
                endpoint.primary = true;
                list();
            });
        }
        return neverthrow.ok(true);
    }

    return { all: endpoints, promotions, send, promote, list };
}

/** Creates a prober that sends its commands with the function. */
export function createProber(
    send: (...command: Parameters<probers.Prober["send"]>) => Promise<connections.Status | undefined>,
): probers.Prober {
    return {
        send,
        async statuses(listed, patienceMs) {
            const found = await Promise.all(
                listed.map(async endpoint =>
                    [endpoint.id, await send(endpoint, { kind: "status" }, patienceMs)] as const
                ),
            );
            return new Map(found.flatMap(([id, status]) => (status === undefined ? [] : [[id, status] as const])));
        },
        evict: () => undefined,
        close: () => undefined,
    };
}
