/**
 * Decides which hosts hold the connections to an endpoint, where there are too few for every host to have one for each
 * organisation. The holders are hosts in the failure domain of the endpoint, so that a statement travels as far as it would
 * without them; each organisation's connections to an endpoint are at one of them. All hosts that know the same hosts
 * decide alike.
 */
import * as homes from "./homes.js";
import * as rendezvous from "./rendezvous.js";

/** A host that may hold connections for others. */
export interface Host {
    readonly id: string;
    readonly failureDomain: string;
    /** Processor capacity of the host, in cores. */
    readonly capacity: number;
}

/** The sizes that holders depend on. */
export interface Sizes {
    /** Connections that an endpoint accepts from all hosts together. */
    readonly maxConnections: number;
    readonly hostCount: number;
    readonly organisationCount: number;
}

/** The endpoint's place and the hosts, as known to the deciding host. */
export interface Situation {
    readonly endpoint: string;
    /** Failure domain of the endpoint. */
    readonly failureDomain: string;
    readonly maxConnections: number;
    /** All hosts, the deciding one included. An unchanged list should be the same array, whose ranks are kept. */
    readonly hosts: readonly Host[];
}

/** A statement that needs a connection. */
export interface Request {
    readonly self: string;
    readonly organisation: string;
    readonly homes: homes.Homes;
    /** Region of the endpoint's failure domain, and so of its holders. */
    readonly region: string | undefined;
    /** Why a host is passed over; undefined if it is not. */
    reasonAgainst(host: string): PassedOver | undefined;
}

/** Why a host is passed over. */
export type PassedOver = "leaving" | "silent" | "slow";

/** Who runs the statement: this host, or the other hosts in the order in which to ask them, and then this one. */
export interface Decision {
    /** Hosts to ask; none: the statement runs on a connection of this host. */
    readonly relayTo: readonly string[];
    /** True if this host is the one that holds the organisation's connections. */
    readonly isHolder: boolean;
    readonly passedOver: readonly { readonly host: string; readonly reason: PassedOver }[];
}

/** Number of hosts of a failure domain from which they hold connections for others: one may fail. */
const minHolders = 2;
/** Connections of each holder at least; with fewer, there are fewer holders. */
const minConnectionsPerHolder = 3;
/** Part of an endpoint's connections that belongs to its holders; the rest serves hosts that reach none of them. */
const heldPart = 0.75;
/** Part of the median capacity in the failure domain below which a host holds nothing for others. */
const minCapacityPart = 0.5;
/** Holders that are asked before a host helps itself. */
const maxAsked = 2;
/** Ranks that are kept: several times the organisations and endpoints of a large deployment. */
const maxKeptRanks = 16_384;

/** True if the connections don't suffice for one an organisation and host. */
export function areNeeded({ maxConnections, hostCount, organisationCount }: Sizes, minHosts: number): boolean {
    return hostCount >= minHosts && maxConnections < hostCount * organisationCount;
}

/** Decides for one host, and keeps the ranks of the holders. */
export interface Decider {
    /** The hosts that hold the endpoint's connections; none if hosts use their own ones. */
    holders(situation: Situation): readonly string[];
    decide(situation: Situation, request: Request): Decision;
    /** Connections that the host may always have open to an endpoint with holders; 0 if it isn't one of them. */
    guaranteed(situation: Situation, self: string): number;
}

/** Creates a decider. */
export function createDecider(): Decider {
    let knownHosts: readonly Host[] = [];
    let holdersByEndpoint = new Map<string, readonly string[]>();
    let ranks = new Map<string, readonly string[]>();

    function forgetIfChanged(hosts: readonly Host[]): void {
        if (hosts !== knownHosts || ranks.size > maxKeptRanks) {
            knownHosts = hosts;
            holdersByEndpoint = new Map();
            ranks = new Map();
        }
    }

    const heldConnections = ({ maxConnections }: Situation): number => Math.floor(maxConnections * heldPart);

    function holders(situation: Situation): readonly string[] {
        forgetIfChanged(situation.hosts);
        const key = `${situation.failureDomain} ${situation.maxConnections} ${situation.endpoint}`;
        const known = holdersByEndpoint.get(key);
        if (known !== undefined) {
            return known;
        }
        const inDomain = situation.hosts.filter(host => host.failureDomain === situation.failureDomain);
        const capacities = inDomain.map(host => host.capacity).sort((left, right) => left - right);
        const median = capacities[Math.floor(capacities.length / 2)] ?? 0;
        const strong = inDomain.filter(host => host.capacity >= median * minCapacityPart);
        const most = Math.floor(heldConnections(situation) / minConnectionsPerHolder);
        const ranked = rendezvous.rank(situation.endpoint, strong.map(host => host.id)).slice(0, most);
        const chosen = ranked.length >= minHolders ? ranked : [];
        holdersByEndpoint.set(key, chosen);
        return chosen;
    }

    function rankFor(situation: Situation, organisation: string): readonly string[] {
        const ofEndpoint = holders(situation);
        const key = `${situation.endpoint} ${situation.maxConnections} ${organisation}`;
        const ranked = ranks.get(key) ?? rendezvous.rank(`${situation.endpoint} ${organisation}`, ofEndpoint);
        ranks.set(key, ranked);
        return ranked;
    }

    return {
        holders,
        guaranteed(situation, self) {
            const ofEndpoint = holders(situation);
            const index = ofEndpoint.indexOf(self);
            const even = Math.floor(heldConnections(situation) / Math.max(1, ofEndpoint.length));
            const remainder = heldConnections(situation) - even * ofEndpoint.length;
            return index < 0 ? 0 : even + (index < remainder ? 1 : 0);
        },
        decide(situation, request) {
            const passedOver: { host: string; reason: PassedOver }[] = [];
            const ranked = rankFor(situation, request.organisation);
            const isHolder = ranked[0] === request.self;
            const relayTo: string[] = [];
            // The holders are in the endpoint's region. They receive the text of the statement, which homes also bind.
            if (!homes.allowsHost(request.homes, request.region, false)) {
                return { relayTo, isHolder, passedOver };
            }
            for (const host of ranked) {
                if (host === request.self || relayTo.length >= maxAsked) {
                    break;
                }
                const reason = request.reasonAgainst(host);
                if (reason === undefined) {
                    relayTo.push(host);
                }
                else {
                    passedOver.push({ host, reason });
                }
            }
            return { relayTo, isHolder, passedOver };
        },
    };
}

/** How often statements of each organisation for each endpoint reach one host. */
export interface Frequencies {
    /** Counts a statement; returns true if they come so often that a connection of the host's own would be used again. */
    note(endpoint: string, organisation: string, nowMs: number): boolean;
}

/** Time over which statements are counted, and the time for which a connection is kept for the next one. */
export const frequencyWindowMs = 2_000;
/** Decayed count from which statements are frequent: the second one within 1.4 s. */
const minFrequentCount = 1.5;
const maxKeptCounts = 4_096;

/** Creates the counts of a host that no statement has reached yet. */
export function createFrequencies(): Frequencies {
    const counts = new Map<string, { readonly count: number; readonly atMs: number }>();
    return {
        note(endpoint, organisation, nowMs) {
            const key = `${endpoint} ${organisation}`;
            const known = counts.get(key);
            const decayed = known === undefined
                ? 0
                : known.count * Math.exp((known.atMs - nowMs) / frequencyWindowMs);
            if (counts.size >= maxKeptCounts && known === undefined) {
                counts.clear();
            }
            counts.set(key, { count: decayed + 1, atMs: nowMs });
            return decayed + 1 >= minFrequentCount;
        },
    };
}
