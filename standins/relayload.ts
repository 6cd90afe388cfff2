/** Links to the relays of usage, and what these can serve, in a simulated fleet. */

/** How reports travel to relays, and how fast these serve them. */
export interface RelayLoad {
    /** Longest time that a message takes, in milliseconds. */
    readonly maxDelayMs: number;
    /** Fraction of messages that get lost. */
    readonly loss: number;
    /** Time that a relay needs for one report, in milliseconds; reports wait for each other. */
    readonly serviceMs: number;
    /** Time between two reports of a host with demand, in milliseconds. */
    readonly intervalMs: number;
}

/** The usual links: loss and delay within a region, and a relay that isn't loaded. */
export const usual: RelayLoad = { maxDelayMs: 30, loss: 0.01, serviceMs: 1, intervalMs: 250 };
