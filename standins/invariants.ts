/** What must hold in a simulated fleet at any time; each function returns what violates it. */
import * as simulatedEndpoints from "./simulatedendpoints.js";
import type * as simulatedFleets from "./simulatedfleet.js";

/** Endpoints that lead although an endpoint of a later term does too, and whose work a host would acknowledge. */
export function staleAcknowledgers(fleet: simulatedFleets.Fleet): readonly string[] {
    const newestTerm = Math.max(...fleet.endpoints.filter(endpoint => endpoint.primary).map(entry => entry.term));
    const replaced = fleet.endpoints.filter(endpoint => endpoint.primary && endpoint.term < newestTerm);
    return fleet.hosts.flatMap((host, index) =>
        fleet.down.has(index) || fleet.frozen.has(index) ? [] : replaced
            .filter(endpoint =>
                host.leadership.mayAcknowledge(simulatedEndpoints.group, endpoint.id, fleet.clock.now())
            )
            .map(endpoint => `host-${index} acknowledges ${endpoint.id}`)
    );
}

/** Hosts that believe that they hold the failover lock, if there are several. */
export function rivalHolders(fleet: simulatedFleets.Fleet): readonly string[] {
    const holders = fleet.hosts.flatMap((host, index) =>
        fleet.down.has(index) || host.fencingToken() === undefined ? [] : [`host-${index}`]
    );
    return holders.length > 1 ? [`${holders.join(" and ")} hold the lock`] : [];
}
