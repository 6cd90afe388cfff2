/** Queries a primary for a sample of its position when none is young enough, for reads that only replicas may serve. */
import type * as directory from "../core/directory.js";
import type * as positions from "../core/position.js";
import type * as connections from "../ports/connection.js";
import type * as runtime from "../ports/runtime.js";

/** Settings of the query. */
export interface Options {
    readonly clock: runtime.Clock;
    /** The listed primary; undefined while none is known or it may not be asked. */
    primary(): directory.Endpoint | undefined;
    /** True while the endpoint is certain to be the primary. */
    isPrimary(endpoint: string): boolean;
    /** Queries the status of an endpoint; undefined without one. */
    queryStatus(endpoint: directory.Endpoint): Promise<connections.Status | undefined>;
    addSample(position: positions.Position, requestedAtMs: number): void;
}

/** Creates the query. Calls at the same time share one, because a status takes a slot of the endpoint. */
export function createSampleQuery(options: Options): () => Promise<void> {
    let running: Promise<void> | undefined;

    async function query(): Promise<void> {
        const primary = options.primary();
        const requestedAtMs = options.clock.now();
        const status = primary === undefined ? undefined : await options.queryStatus(primary);
        if (primary !== undefined && status?.primary === true && options.isPrimary(primary.id)) {
            options.addSample(status.received, requestedAtMs);
        }
    }

    return () => {
        running ??= query().finally(() => {
            running = undefined;
        });
        return running;
    };
}
