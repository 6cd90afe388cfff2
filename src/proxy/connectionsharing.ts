/** Connections that hosts hold for each other: the view of the holders, the relay to them, and the service of this one. */
import type * as connectionShares from "../core/connectionshares.js";
import type * as groups from "./group.js";
import * as holderViews from "./holders.js";
import * as relays from "./relay.js";
import * as peerHealth from "./relayhealth.js";
import * as relayServices from "./relayservice.js";

/** Settings and collaborators. */
export type Options =
    & Omit<holderViews.Options, "reasonAgainst">
    & Pick<relays.Options, "directory" | "metrics" | "peers">
    & Omit<relayServices.Options, "isLeaving" | "keeps">;

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
        keeps: holders.keeps,
        isLeaving: () => options.self().leaving,
    });
    const relay = relays.createRelay({ ...options, health, holders: () => holders, service: () => service });
    return {
        service,
        relaying: { connect: relay.connect, keeps: holders.keeps, hasHolders: holders.hasHolders },
        adjust: holders.adjust,
        renew: relay.renew,
        async drain(untilMs) {
            while (service.openTransactions() > 0 && clock.now() < untilMs) {
                await clock.sleep(drainPollMs);
            }
        },
    };
}
