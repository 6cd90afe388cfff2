/** Connections that hosts hold for each other: the view of the holders, the relay to them, and the service of this one. */
import * as decisions from "../core/connectionholders.js";
import type * as connectionShares from "../core/connectionshares.js";
import type * as runtime from "../ports/runtime.js";
import type * as groups from "./group.js";
import * as holderViews from "./holders.js";
import type * as pools from "./pool.js";
import * as relays from "./relay.js";
import * as peerHealth from "./relayhealth.js";
import * as relayServices from "./relayservice.js";

/** Settings and collaborators. */
export type Options =
    & Omit<holderViews.Options, "reasonAgainst">
    & Pick<relays.Options, "directory" | "metrics" | "ownConnections" | "peers" | "transactions">
    & Omit<relayServices.Options, "isLeaving" | "limit">
    & { readonly clock: runtime.HostClock };

/** The shared connections of one host. */
export interface ConnectionSharing {
    readonly service: relayServices.RelayService;
    readonly relaying: groups.Relaying;
    /** Replaces the guaranteed part of this host's share, where some hosts hold the connections. */
    adjust(endpoint: string, maxConnections: number, share: connectionShares.Share): connectionShares.Share;
    /** Renews the leases of transactions that are open at other hosts; to be called each second. */
    renew(): void;
    /** Resolves once no transaction of another host is open here, or at the given time. */
    drain(untilMs: number): Promise<void>;
}

const drainPollMs = 50;

/** Creates the parts. */
export function createConnectionSharing(options: Options): ConnectionSharing {
    const { clock } = options;
    const health = peerHealth.createPeerHealth(clock);
    const holders = holderViews.createHolders({ ...options, reasonAgainst: health.reasonAgainst });
    const service = relayServices.createRelayService({
        ...options,
        limit,
        isLeaving: () => options.self().leaving,
    });
    const relay = relays.createRelay({ ...options, health, holders: () => holders, service: () => service });
    /** Ends the wait for the next statement of an idle connection. */
    const idleTimers = new WeakMap<object, () => void>();

    function limit(endpoint: string, pooled: pools.PooledConnection): pools.PooledConnection {
        idleTimers.get(pooled.connection)?.();
        return {
            ...pooled,
            release() {
                pooled.release();
                // One that this host had to open takes the place of the holders' connections.
                if (!holders.keeps(endpoint)) {
                    const close = (): void => pooled.connection.close();
                    idleTimers.set(pooled.connection, clock.after(decisions.frequencyWindowMs, close));
                }
            },
        };
    }

    return {
        service,
        relaying: { connect: relay.connect, limit },
        adjust: holders.adjust,
        renew: relay.renew,
        async drain(untilMs) {
            while (service.openTransactions() > 0 && clock.now() < untilMs) {
                await clock.sleep(drainPollMs);
            }
        },
    };
}
