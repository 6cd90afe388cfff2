/** Probes of the primaries by the host with the failover lock. */
import type * as directory from "../core/directory.js";
import type * as leadership from "../core/leadership.js";
import type * as runtime from "../ports/runtime.js";
import type * as groups from "./group.js";
import type * as probers from "./prober.js";
import type * as relocations from "./relocation.js";

/** Collaborators of the probe. */
export interface Options {
    readonly clock: runtime.HostClock;
    readonly prober: probers.Prober;
    readonly relocation: relocations.Relocation;
    endpoints(group: string): readonly directory.Endpoint[];
}

/** Queries the status of primaries, one query a primary at a time. */
export interface PrimaryProbe {
    /** Queries the status of the primary. The position in its reply also serves as a new sample for all hosts. */
    probe(group: groups.Group, record: leadership.Record): Promise<void>;
    /** True when the recorded primary of the group reports that it is a replica. */
    isDemoted(group: string): boolean;
    /** Forgets what the primary reported, after an attempt to replace it. */
    forgetDemotion(group: string): void;
}

/** Creates a probe that has asked nothing yet. */
export function createPrimaryProbe(options: Options): PrimaryProbe {
    const { clock, prober, relocation } = options;
    const probing = new Set<string>();
    const demoted = new Set<string>();
    return {
        isDemoted: group => demoted.has(group),
        forgetDemotion: group => void demoted.delete(group),
        async probe(group, record) {
            const endpoint = options.endpoints(group.name).find(candidate => candidate.id === record.primary);
            if (endpoint === undefined || probing.has(group.name) || !relocation.mayContact(endpoint)) {
                return;
            }
            probing.add(group.name);
            const requestedAtMs = clock.now();
            const status = await prober.send(endpoint, { kind: "status" });
            probing.delete(group.name);
            if (status === undefined) {
                group.recordFailure(endpoint.id, requestedAtMs, { timedOut: false, message: "no answer to a probe" });
                return;
            }
            group.recordAnswer(endpoint.id);
            if (status === "busy") {
                return;
            }
            if (status.primary) {
                demoted.delete(group.name);
            }
            else {
                demoted.add(group.name);
            }
            if (status.primary && group.isPrimary(endpoint.id)) {
                group.addSample(status.received, requestedAtMs);
            }
        },
    };
}
