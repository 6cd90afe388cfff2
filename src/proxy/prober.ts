/** Queries and changes the role of endpoints, over connections that are separate from those for statements. */
import type * as directory from "../core/directory.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";

/** Settings of a prober. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    /** Organisation as which the prober logs in to an endpoint; undefined while none is known. */
    organisation(endpoint: directory.Endpoint): string | undefined;
    /** False for an endpoint that may be sent nothing, because its failure domain is evacuated. */
    mayContact(endpoint: directory.Endpoint): boolean;
}

/** Sends control commands to endpoints. */
export interface Prober {
    /** Resolves to the endpoint's status, to "busy" when it is up but refuses, or to undefined without a reply in time. */
    send(
        endpoint: directory.Endpoint,
        request: connections.ControlCommand,
        timeoutMs?: number,
    ): Promise<connections.Status | "busy" | undefined>;
    /**
     * Status of each endpoint that replies in time, by id. With a `patienceMs`, waits as long for those that are slow or
     * busy; without, only for a moment after the first reply.
     */
    statuses(
        endpoints: readonly directory.Endpoint[],
        patienceMs?: number,
    ): Promise<ReadonlyMap<string, connections.Status>>;
    /** Closes the connections to endpoints that may be sent nothing. */
    evict(): void;
    /** Closes the connections; the next command opens them again. */
    close(): void;
}

interface ProbeConnection {
    readonly endpoint: directory.Endpoint;
    readonly connection: connections.Connection;
}

const probeTimeoutMs = 400;
/** Time to wait for the other endpoints after the first reply: several round trips. */
const stragglerWaitMs = 200;
/** Pause before a busy endpoint is queried again. */
const busyPauseMs = 40;
/** Queries after which an endpoint that stays busy counts as one that does not reply. */
const busyAttempts = 3;

/** Creates a prober without open connections. */
export function createProber(options: Options): Prober {
    const { clock } = options;
    const probeConnections = new Map<string, ProbeConnection>();

    async function connect(endpoint: directory.Endpoint): Promise<connections.Connection | "busy" | undefined> {
        const known = probeConnections.get(endpoint.id);
        if (known !== undefined && known.endpoint.address === endpoint.address && known.connection.isOpen()) {
            return known.connection;
        }
        const organisation = options.organisation(endpoint);
        if (organisation === undefined) {
            return undefined;
        }
        const target = { endpoint: endpoint.id, group: endpoint.group, address: endpoint.address, organisation };
        const dialed = await options.dialer.dial(target, probeTimeoutMs);
        if (dialed.isErr()) {
            // An endpoint that refuses the connection because it is at its limit is up.
            return dialed.error === "tooMany" || dialed.error === "busy" ? "busy" : undefined;
        }
        if (!options.mayContact(endpoint)) {
            dialed.value.close();
            return undefined;
        }
        // Another command may have connected to the endpoint meanwhile; its connection is used then.
        const concurrent = probeConnections.get(endpoint.id);
        if (concurrent !== undefined && concurrent.connection.isOpen()) {
            dialed.value.close();
            return concurrent.connection;
        }
        probeConnections.set(endpoint.id, { endpoint, connection: dialed.value });
        return dialed.value;
    }

    async function send(
        endpoint: directory.Endpoint,
        request: connections.ControlCommand,
        timeoutMs = probeTimeoutMs,
    ): Promise<connections.Status | "busy" | undefined> {
        if (!options.mayContact(endpoint)) {
            return undefined;
        }
        const connection = await connect(endpoint);
        if (connection === undefined || connection === "busy") {
            return connection;
        }
        const result = await connection.control(request, timeoutMs);
        if (result.isOk()) {
            return result.value;
        }
        return result.error === "busy" ? "busy" : undefined;
    }

    async function status(
        endpoint: directory.Endpoint,
        patienceMs: number | undefined,
    ): Promise<connections.Status | undefined> {
        if (patienceMs !== undefined) {
            return patientStatus(endpoint, clock.now() + patienceMs);
        }
        for (let attempt = 0; attempt < busyAttempts; attempt += 1) {
            const reply = await send(endpoint, { kind: "status" });
            if (reply !== "busy") {
                return reply;
            }
            await clock.sleep(busyPauseMs);
        }
        return undefined;
    }

    /** Queries the endpoint again until it replies: an earlier query that times out ends those on the same connection. */
    async function patientStatus(
        endpoint: directory.Endpoint,
        deadlineMs: number,
    ): Promise<connections.Status | undefined> {
        for (let leftMs = deadlineMs - clock.now(); leftMs > 0; leftMs = deadlineMs - clock.now()) {
            const reply = await send(endpoint, { kind: "status" }, leftMs);
            if (reply !== "busy" && reply !== undefined) {
                return reply;
            }
            await clock.sleep(busyPauseMs);
        }
        return undefined;
    }

    async function statuses(
        endpoints: readonly directory.Endpoint[],
        patienceMs?: number,
    ): Promise<ReadonlyMap<string, connections.Status>> {
        const replies = new Map<string, connections.Status>();
        let markFirst: () => void = () => undefined;
        const firstReply = new Promise<void>(resolve => {
            markFirst = resolve;
        });
        const all = Promise.all(endpoints.map(async endpoint => {
            const reply = await status(endpoint, patienceMs);
            if (reply !== undefined) {
                replies.set(endpoint.id, reply);
                markFirst();
            }
        }));
        await Promise.race([all, firstReply.then(() => clock.sleep(patienceMs ?? stragglerWaitMs))]);
        return new Map(replies);
    }

    return {
        send,
        statuses,
        evict() {
            for (const [id, { endpoint, connection }] of probeConnections) {
                if (!options.mayContact(endpoint)) {
                    connection.close();
                    probeConnections.delete(id);
                }
            }
        },
        close() {
            probeConnections.forEach(entry => entry.connection.close());
            probeConnections.clear();
        },
    };
}
