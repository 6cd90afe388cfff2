/** Asks endpoints about their role, over connections apart from the callers'. */
import type * as directory from "../core/directory.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";

/** Settings of the probes. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly dialer: connections.Dialer;
    /** Organisation in whose name endpoints are asked. */
    organisation(): string | undefined;
}

/** Connections that carry orders. */
export interface Prober {
    /** Gives an order; "busy" shows that the endpoint lives, undefined that it did not answer. */
    send(
        endpoint: directory.Endpoint,
        request: connections.ControlCommand,
    ): Promise<connections.Status | "busy" | undefined>;
    /** Status of each endpoint that answers soon, by its id. */
    statuses(endpoints: readonly directory.Endpoint[]): Promise<ReadonlyMap<string, connections.Status>>;
    /** Closes the connections; the next order opens them again. */
    close(): void;
}

interface Probe {
    readonly address: string;
    readonly connection: connections.Connection;
}

const probeMs = 400;
/** Time for which the others are waited for once one endpoint has answered, in milliseconds: several round trips. */
const laggardMs = 200;
const busyPauseMs = 40;
const busyAttempts = 3;

/** Creates probes without connections. */
export function createProber(options: Options): Prober {
    const { clock } = options;
    const probes = new Map<string, Probe>();

    async function probe(endpoint: directory.Endpoint): Promise<connections.Connection | "busy" | undefined> {
        const known = probes.get(endpoint.id);
        if (known !== undefined && known.address === endpoint.address && known.connection.isOpen()) {
            return known.connection;
        }
        const organisation = options.organisation();
        if (organisation === undefined) {
            return undefined;
        }
        const target = { endpoint: endpoint.id, group: endpoint.group, address: endpoint.address, organisation };
        const dialed = await options.dialer.dial(target, probeMs);
        if (dialed.isErr()) {
            // An endpoint that has no room for the connection says so, and so lives.
            return dialed.error === "tooMany" || dialed.error === "busy" ? "busy" : undefined;
        }
        const raced = probes.get(endpoint.id);
        if (raced !== undefined && raced.connection.isOpen()) {
            dialed.value.close();
            return raced.connection;
        }
        probes.set(endpoint.id, { address: endpoint.address, connection: dialed.value });
        return dialed.value;
    }

    async function order(
        endpoint: directory.Endpoint,
        request: connections.ControlCommand,
    ): Promise<connections.Status | "busy" | undefined> {
        const connection = await probe(endpoint);
        if (connection === undefined || connection === "busy") {
            return connection;
        }
        const answered = await connection.control(request, probeMs);
        if (answered.isOk()) {
            return answered.value;
        }
        return answered.error === "busy" ? "busy" : undefined;
    }

    async function status(endpoint: directory.Endpoint): Promise<connections.Status | undefined> {
        for (let attempt = 0; attempt < busyAttempts; attempt += 1) {
            const answer = await order(endpoint, { kind: "status" });
            if (answer !== "busy") {
                return answer;
            }
            await clock.sleep(busyPauseMs);
        }
        return undefined;
    }

    async function statuses(
        endpoints: readonly directory.Endpoint[],
    ): Promise<ReadonlyMap<string, connections.Status>> {
        const found = new Map<string, connections.Status>();
        let begin: () => void = () => undefined;
        const first = new Promise<void>(resolve => {
            begin = resolve;
        });
        const all = Promise.all(endpoints.map(async endpoint => {
            const answer = await status(endpoint);
            if (answer !== undefined) {
                found.set(endpoint.id, answer);
                begin();
            }
        }));
        await Promise.race([all, first.then(() => clock.sleep(laggardMs))]);
        return new Map(found);
    }

    return {
        send: order,
        statuses,
        close() {
            probes.forEach(entry => entry.connection.close());
            probes.clear();
        },
    };
}
