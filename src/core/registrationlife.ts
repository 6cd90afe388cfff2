/** How long a host's registration lives without a renewal, by the size of the fleet. */

/** Time to live of a registration, and the interval at which it is renewed. */
export interface Life {
    readonly ttlMs: number;
    readonly renewIntervalMs: number;
}

/** Time to live of the failover lock, whatever the size of the fleet: the longest time for which a dead host holds it. */
export const lockLife: Life = { ttlMs: 2_500, renewIntervalMs: 700 };
/** Registrations in a fleet of one cell, which may carry the failover lock. */
const cellLife: Life = lockLife;
/** Registrations in a fleet of several cells, where the renewals would be most of all calls to the store. */
const fleetLife: Life = { ttlMs: 6_000, renewIntervalMs: 2_000 };
/** The same from `largeFleetSize` hosts on. */
const largeFleetLife: Life = { ttlMs: 10_000, renewIntervalMs: 3_000 };
const largeFleetSize = 128;

/** The life of registrations in a fleet of that many hosts and cells. */
export function lifeOf(hostCount: number, cellCount: number): Life {
    if (cellCount <= 1) {
        return cellLife;
    }
    return hostCount < largeFleetSize ? fleetLife : largeFleetLife;
}
