/** This host's view of which hosts hold the connections to each endpoint. */
import * as decisions from "../core/connectionholders.js";
import type * as connectionShares from "../core/connectionshares.js";
import type * as directories from "../core/directory.js";
import type * as homes from "../core/homes.js";
import type * as policies from "../core/policy.js";
import type * as runtime from "../ports/runtime.js";
import type * as evacuations from "./evacuations.js";
import type * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** Settings and collaborators of the view. */
export interface Options {
    /** Whether, and from which number of hosts on, some hold connections for others. */
    readonly enabled: boolean;
    readonly minHosts: number;
    readonly clock: runtime.Clock;
    readonly directory: Pick<directories.Directory, "find">;
    readonly evacuations: Pick<evacuations.Evacuations, "phase">;
    regionOf(failureDomain: string): string | undefined;
    self(): messages.Member;
    peers(): Pick<gossip.Peers, "all">;
    policy(): policies.Policy;
    /** Why a host is not asked at the moment; undefined if it may be. */
    reasonAgainst(host: string): decisions.PassedOver | undefined;
}

/** View of the holders. */
export interface Holders {
    /** Who runs a statement at the endpoint; undefined if hosts use their own connections to it. */
    decide(endpoint: string, organisation: string, requestHomes: homes.Homes): decisions.Decision | undefined;
    /** True if this host may keep idle connections to the endpoint. */
    keeps(endpoint: string): boolean;
    /** Replaces the guaranteed part of this host's share, where some hosts hold the connections. */
    adjust(endpoint: string, maxConnections: number, share: connectionShares.Share): connectionShares.Share;
}

/** Time for which the list of hosts is used again. */
const listIntervalMs = 250;

/** Creates the view. */
export function createHolders(options: Options): Holders {
    const { clock, minHosts } = options;
    const decider = decisions.createDecider();
    let hosts: readonly decisions.Host[] = [];
    let listedMs = -Infinity;

    /** Registered hosts that are not leaving; the same array while they are unchanged. */
    function listHosts(): readonly decisions.Host[] {
        if (clock.now() - listedMs < listIntervalMs) {
            return hosts;
        }
        listedMs = clock.now();
        const members = [
            options.self(),
            ...options.peers().all().flatMap(peer => (peer.registered ? [peer.member] : [])),
        ];
        const next = members.filter(member => !member.leaving)
            .map(({ id, failureDomain, capacity }) => ({ id, failureDomain, capacity }))
            .sort((left, right) => (left.id < right.id ? -1 : 1));
        const isEqual = next.length === hosts.length
            && next.every((host, index) =>
                host.id === hosts[index]?.id && host.failureDomain === hosts[index].failureDomain
                && host.capacity === hosts[index].capacity
            );
        hosts = isEqual ? hosts : next;
        return hosts;
    }

    /** The situation of an endpoint with holders; undefined without them. */
    function situationOf(endpoint: string): decisions.Situation | undefined {
        const listed = options.directory.find(endpoint);
        if (!options.enabled || listed === undefined) {
            return undefined;
        }
        const policy = options.policy();
        const maxConnections = policy.groups.get(listed.group)?.maxConnections ?? 0;
        const sizes = {
            maxConnections,
            hostCount: listHosts().length,
            organisationCount: policy.organisations.size,
        };
        // Hosts in a failure domain that is being evacuated are about to leave.
        const { failureDomain } = listed;
        if (!decisions.areNeeded(sizes, minHosts) || options.evacuations.phase(failureDomain) !== "open") {
            return undefined;
        }
        const situation = { endpoint, failureDomain, maxConnections, hosts };
        return decider.holders(situation).length === 0 ? undefined : situation;
    }

    return {
        keeps(endpoint) {
            const situation = situationOf(endpoint);
            return situation === undefined || decider.holders(situation).includes(options.self().id);
        },
        decide(endpoint, organisation, requestHomes) {
            const situation = situationOf(endpoint);
            return situation === undefined ? undefined : decider.decide(situation, {
                self: options.self().id,
                organisation,
                homes: requestHomes,
                region: options.regionOf(situation.failureDomain),
                reasonAgainst: options.reasonAgainst,
            });
        },
        adjust(endpoint, maxConnections, share) {
            const situation = situationOf(endpoint);
            return situation === undefined
                ? share
                : {
                    ...share,
                    guaranteed: decider.guaranteed({ ...situation, maxConnections }, options.self().id),
                };
        },
    };
}
