/** The endpoints of one group on a simulated clock, and the platform's call that promotes one of them. */
import * as neverthrow from "neverthrow";
import type * as connections from "../src/ports/connection.js";
import type * as simulation from "./simulation.js";

/** An endpoint. */
export interface Endpoint {
    readonly id: string;
    primary: boolean;
    term: number;
    alive: boolean;
    /** Hosts that can't reach it. */
    readonly cutFrom: Set<number>;
    /** Commands that have reached it. */
    commands: number;
}

/** A promotion that the platform was asked for. */
export interface Promotion {
    readonly endpoint: string;
    readonly holder: string;
    readonly token: number;
}

/** The endpoints, and the calls to them. */
export interface Endpoints {
    readonly all: readonly Endpoint[];
    readonly promotions: readonly Promotion[];
    /** Sends a command from a host; resolves to undefined without a reply. */
    send(host: number, id: string, request: connections.ControlCommand): Promise<connections.Status | undefined>;
    promote(id: string, holder: string, token: number): Promise<neverthrow.Result<boolean, never>>;
}

/** Time of a call in one direction. */
export const delayMs = 2;
const promoteMs = 300;

/** Creates three endpoints, of which the first is primary. `onPromoted` is called when another one has become primary. */
export function createEndpoints(clock: simulation.Clock, onPromoted: () => void): Endpoints {
    const endpoints: Endpoint[] = ["i-1", "i-2", "i-3"].map((id, index) => ({
        id,
        primary: index === 0,
        term: 1,
        alive: true,
        cutFrom: new Set(),
        commands: 0,
    }));
    const promotions: Promotion[] = [];
    return {
        all: endpoints,
        promotions,
        async send(host, id, request) {
            const endpoint = endpoints.find(candidate => candidate.id === id);
            await clock.sleep(delayMs);
            if (endpoint === undefined || !endpoint.alive || endpoint.cutFrom.has(host)) {
                await clock.sleep(100);
                return undefined;
            }
            endpoint.commands += 1;
            if (request.kind === "stepDown" && request.term > endpoint.term) {
                endpoint.primary = false;
            }
            const received = { term: endpoint.term, index: 1 };
            return { primary: endpoint.primary, term: endpoint.term, received } as connections.Status;
        },
        async promote(id, holder, token) {
            await clock.sleep(delayMs);
            const endpoint = endpoints.find(candidate => candidate.id === id);
            if (endpoint === undefined || !endpoint.alive) {
                return neverthrow.ok(false);
            }
            promotions.push({ endpoint: id, holder, token });
            if (!endpoint.primary || endpoints.some(other => other.term > endpoint.term)) {
                clock.after(promoteMs, () => {
                    endpoint.term = Math.max(...endpoints.map(other => other.term)) + 1;
                    endpoint.primary = true;
                    onPromoted();
                });
            }
            return neverthrow.ok(true);
        },
    };
}
