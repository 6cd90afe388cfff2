/** The other hosts, divided into cells: which of them this host gossips with, and the usage of all of them together. */
import * as admissions from "../core/admissions.js";
import * as cellAssignment from "../core/cells.js";
import * as duties from "../core/duties.js";
import * as evidence from "../core/evidence.js";
import type * as leadership from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import * as lookup from "../core/lookup.js";
import type * as rooms from "../core/room.js";
import type * as storeReading from "../core/storereading.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as messages from "./messages.js";
import * as remoteCellViews from "./remotecells.js";
import * as roomViews from "./roomview.js";

/** What is known of another host. */
export interface Peer {
    readonly member: messages.Member;
    /** The last digest received from it. */
    readonly digest: messages.Digest | undefined;
    /** When a digest of it last arrived. */
    readonly lastHeardMs: number;
    /**
     * When this host sent the last poll that the other host answered. A refused connection is no answer: it may come from
     * the network while the host runs.
     */
    readonly lastPolledMs: number;
    /** True while the store lists it. */
    readonly registered: boolean;
}

/** Another host, with the state of the gossip with it. */
export interface PeerState {
    member: messages.Member;
    digest: messages.Digest | undefined;
    lastHeardMs: number;
    lastPolledMs: number;
    /** When a poll of it last failed. */
    lastFailedMs: number;
    /** True while the store lists it. */
    registered: boolean;
    /** When another host last mentioned it, and when one of its own cell did; not for hosts of this host's cell. */
    lastMentionedMs: number;
    lastVouchedMs: number;
    /** True until its first digest arrives, and while polls of it fail after it has become silent. */
    unreachable: boolean;
    channel: network.Channel | undefined;
    /** Header that the host's digests refer to, with its number. */
    header: { readonly number: number; readonly value: messages.DigestHeader } | undefined;
    /** Number of this host's header that the other host has acknowledged. */
    acknowledgedHeader: number | undefined;
}

/** The part of a digest that describes this host; the gossip adds what this host knows of others. */
export type LocalDigest = Omit<messages.Digest, "cellSummaries" | "knownMembers" | "room" | "self">;

/** Settings of the fleet. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly peers: ReadonlyMap<string, PeerState>;
    /** Random number of this process, which also identifies the baseline of its counts of admitted operations. */
    readonly baselineId: number;
    /** Room of this host; undefined if it doesn't measure it. */
    readonly ownRoom?: (() => rooms.Report | undefined) | undefined;
}

/** The other hosts together. */
export interface Fleet {
    /** Assigns the hosts to cells anew, after some were added or removed. */
    membershipChanged(): void;
    /** Name of the cell of a host; empty if it is unknown, and in a fleet of one cell. */
    cellOf(id: string): string;
    /** Discards the data of hosts and cells that no longer exist. */
    evictDeparted(): void;
    /**
     * Merges a digest from the process with the number `sender`. `requestedAtMs` is when this host asked for it;
     * undefined if it came unasked.
     */
    merge(sender: number, digest: messages.Digest, receivedAtMs: number, requestedAtMs: number | undefined): void;
    /** Number of cells that the hosts are divided into. */
    cellCount(): number;
    /** Rank of this host by id among the hosts of its cell. */
    cellRank(): number;
    /** The summaries of cells to send to the host of that id. */
    cellSummaries(digest: LocalDigest, receiverId: string | undefined): readonly messages.CellSummary[];
    /**
     * The available hosts in the order in which they act for others: those of this host's cell, and the first one of each
     * cell.
     */
    actingHosts(): Pick<storeReading.Layout, "ownCell" | "firstOfCells">;
    /** Hosts that this one polls in the next round. */
    gossipTargets(): readonly PeerState[];
    /** True if the host is of another cell, which needs this cell's summary and not the usage of single hosts. */
    isOfOtherCell(id: string): boolean;
    /** Usage by organisation of the other hosts, from which the limiter derives the share of this one. */
    usageReports(): limiters.UsageReports;
    /** Statements and connections of the other hosts at an endpoint. */
    endpointUsage(endpoint: string): readonly [load: number, connections: number];
    /** Outcomes of the other hosts' recent statements at an endpoint. */
    endpointOutcomes(endpoint: string): evidence.Outcomes;
    /** Mean age of what is known of the other hosts, in milliseconds; 0 without any. */
    viewAgeMs(): number;
    /** Ages of the proofs of the other hosts, with one entry for each other cell. */
    peerProofs(): readonly leadership.PeerProof[];
    readonly rooms: roomViews.RoomView;
}

/**
 * Age of a cell's newest summary from which the other delegates poll that cell too. Covers a poll of the first delegate
 * and the way to the others; leaves time for one more poll before the summary is too old to be used.
 */
const maxFirstDelegateAgeMs = 2_000;
/** Silence after which a host is suspected: it covers two polls in each direction. */
const suspectTimeoutMs = 2_000;

/** Creates a predicate that tells whether a host is suspected: silent for too long, or never heard. */
export function createFailureDetector(
    clock: runtime.Clock,
): (peer: Pick<PeerState, "digest" | "lastHeardMs">) => boolean {
    return peer => peer.digest === undefined || clock.now() - peer.lastHeardMs > suspectTimeoutMs;
}

/**
 * Chooses the host to fetch the configuration from: of those with the newest version, the one that answered a poll
 * last. A host whose digests arrive unasked may not be reachable from this one.
 */
export function chooseConfigurationSource(sources: readonly Peer[]): Peer | undefined {
    return [...sources].sort((left, right) =>
        (right.digest?.configurationVersion ?? 0) - (left.digest?.configurationVersion ?? 0)
        || right.lastPolledMs - left.lastPolledMs
    )[0];
}

/** Creates the fleet over a map of peers that the gossip maintains. */
export function createFleet(options: Options): Fleet {
    const { self, clock, peers } = options;
    const isSuspected = createFailureDetector(clock);
    const remote = remoteCellViews.createRemoteCells();
    const admissionCounter = admissions.createCounter(options.baselineId);
    const cellNames: cellAssignment.CellNames = new Map();
    let hostsByCell: cellAssignment.HostsByCell | undefined;
    let cellByHost: ReadonlyMap<string, string> | undefined;
    let knownCellPeers: readonly PeerState[] | undefined;
    let knownOtherCells: readonly (readonly [string, readonly string[]])[] | undefined;

    /** All known hosts by cell, this one included. */
    function assignCells(): cellAssignment.HostsByCell {
        hostsByCell ??= cellAssignment.assign([self, ...[...peers.values()].map(peer => peer.member)], cellNames);
        return hostsByCell;
    }

    /** Name of the cell of a host; empty if unknown. */
    function cellOf(id: string): string {
        cellByHost ??= new Map([...assignCells()].flatMap(([name, ids]) => ids.map(member => [member, name] as const)));
        return cellByHost.get(id) ?? "";
    }

    const roomView = roomViews.createRoomView({
        self,
        clock,
        peers,
        ownRoom: options.ownRoom ?? (() => undefined),
        cellOf,
        idsOf: cell => assignCells().get(cell) ?? [],
        remoteRooms: cell => remote.rooms(cell, clock.now()),
    });

    /** The other cells, each with the ids of its hosts. */
    function otherCells(): readonly (readonly [string, readonly string[]])[] {
        const ownCell = cellOf(self.id);
        knownOtherCells ??= [...assignCells()].filter(([name]) => name !== ownCell);
        return knownOtherCells;
    }

    /** The other hosts of this host's cell. */
    function cellPeers(): readonly PeerState[] {
        knownCellPeers ??= (assignCells().get(cellOf(self.id)) ?? []).flatMap(id => peers.get(id) ?? []);
        return knownCellPeers;
    }

    /**
     * The hosts that are neither leaving nor unreachable: those with room first, then the strongest ones. An unreachable host is eligible again, and so
     * polled again, when its last failed poll is longer ago than `suspectTimeoutMs`.
     */
    function eligibleHosts(ids: readonly string[]): readonly string[] {
        const eligible = ids.filter(id => {
            const peer = peers.get(id);
            if (peer === undefined) {
                return id === self.id;
            }
            return !peer.member.leaving && (!peer.unreachable || clock.now() - peer.lastFailedMs > suspectTimeoutMs);
        });
        const carriers = eligible.map(id => ({
            ...peers.get(id)?.member ?? self,
            strained: roomView.isStrained(id),
        }));
        return carriers.sort(duties.compare).map(carrier => carrier.id);
    }

    /** The delegates of a cell: the first of its eligible hosts. */
    function delegatesOf(ids: readonly string[]): readonly string[] {
        return eligibleHosts(ids).slice(0, cellAssignment.delegatesPerCell);
    }

    /**
     * Delegates of the other cells that this host polls if it is a delegate: in each cell the one of the same rank. The
     * first delegate polls all cells, the others only those that the first one has not heard of lately.
     */
    function counterpartDelegates(): readonly PeerState[] {
        const ownCell = cellOf(self.id);
        const rank = delegatesOf(assignCells().get(ownCell) ?? []).indexOf(self.id);
        if (rank < 0) {
            return [];
        }
        const due = otherCells().filter(([name]) =>
            rank === 0 || remote.summaryAgeMs(name, clock.now()) > maxFirstDelegateAgeMs
        );
        return due.flatMap(([, ids]) => {
            const delegates = delegatesOf(ids);
            return peers.get(delegates[Math.min(rank, delegates.length - 1)] ?? "") ?? [];
        });
    }

    function sumEndpointUsage(digest: LocalDigest, others: readonly PeerState[]): messages.Digest["endpointUsage"] {
        const total: Record<string, readonly [number, number]> = {};
        for (const usage of [digest.endpointUsage, ...others.map(peer => peer.digest?.endpointUsage ?? {})]) {
            for (const [id, [load, connections]] of Object.entries(usage)) {
                const [sumLoad, sumConnections] = lookup.find(total, id) ?? [0, 0];
                total[id] = [sumLoad + load, sumConnections + connections];
            }
        }
        return total;
    }

    function sumOutcomes(digest: LocalDigest, others: readonly PeerState[]): messages.Digest["endpointOutcomes"] {
        const total: Record<string, evidence.Outcomes> = { ...digest.endpointOutcomes };
        for (const peer of others) {
            const ageMs = clock.now() - peer.lastHeardMs;
            for (const [id, outcomes] of Object.entries(peer.digest?.endpointOutcomes ?? {})) {
                total[id] = evidence.add(lookup.find(total, id) ?? evidence.none, evidence.aged(outcomes, ageMs));
            }
        }
        return total;
    }

    function summariseOwnCell(digest: LocalDigest): messages.CellSummary {
        const nowMs = clock.now();
        const members = cellPeers();
        const live = members.filter(peer => !isSuspected(peer));
        const usage = live.flatMap(peer => (peer.digest === undefined ? [] : [peer.digest.organisationUsage]));
        const pollAges = members.map(peer => nowMs - peer.lastPolledMs);
        const proofAges = members.flatMap(peer =>
            peer.digest?.proofAgeMs === undefined ? [] : [peer.digest.proofAgeMs + nowMs - peer.lastHeardMs]
        );
        const proofAgeMs = Math.min(digest.proofAgeMs ?? Infinity, ...proofAges);
        const pollAgeMs = Math.max(0, ...pollAges);
        const cellRooms = roomView.ownCell();
        return {
            cell: cellOf(self.id),
            baselineId: admissionCounter.baselineId(),
            // The mean includes this host's own digest, whose age is 0.
            ageMs: live.reduce((sum, peer) => sum + nowMs - peer.lastHeardMs, 0) / (1 + live.length),
            liveHosts: 1 + live.length,
            suspectedHosts: members.filter(peer => isSuspected(peer) && peer.registered).length,
            pollAgeMs: Number.isFinite(pollAgeMs) ? pollAgeMs : undefined,
            proofAgeMs: Number.isFinite(proofAgeMs) ? proofAgeMs : undefined,
            organisationUsage: admissions.combine([digest.organisationUsage, ...usage], admissionCounter),
            endpointUsage: sumEndpointUsage(digest, live),
            endpointOutcomes: sumOutcomes(digest, live),
            ...cellRooms === undefined ? {} : { rooms: cellRooms },
        };
    }

    /** A delegate forwards the summaries of the other cells to the hosts of its own. */
    function summariesFor(digest: LocalDigest, receiverId: string | undefined): readonly messages.CellSummary[] {
        if (receiverId === undefined || assignCells().size === 1) {
            return [];
        }
        const ownCell = cellOf(self.id);
        const forwards = cellOf(receiverId) === ownCell
            && delegatesOf(assignCells().get(ownCell) ?? []).includes(self.id);
        return [summariseOwnCell(digest), ...forwards ? remote.summaries(clock.now()) : []];
    }

    return {
        membershipChanged() {
            hostsByCell = undefined;
            cellByHost = undefined;
            knownCellPeers = undefined;
            knownOtherCells = undefined;
        },
        cellOf,
        evictDeparted() {
            remote.retain(new Set(otherCells().map(([name]) => name)), clock.now());
            admissionCounter.retain(new Set([self.incarnation, ...cellPeers().map(peer => peer.member.incarnation)]));
        },
        merge(sender, digest, receivedAtMs, requestedAtMs) {
            const ownCell = cellOf(self.id);
            const senderCell = cellOf(digest.self.id);
            if (senderCell === ownCell) {
                admissionCounter.observe(digest.self.incarnation, digest.organisationUsage);
            }
            for (const summary of digest.cellSummaries) {
                if (summary.cell === ownCell) {
                    admissionCounter.adopt(summary.baselineId, admissions.countsOf(summary.organisationUsage));
                }
                else {
                    remote.merge(sender, summary, receivedAtMs, requestedAtMs, summary.cell !== senderCell);
                }
            }
        },
        cellSummaries(digest, receiverId) {
            admissionCounter.observe(self.incarnation, digest.organisationUsage);
            return summariesFor(digest, receiverId);
        },
        actingHosts() {
            const ownCell = cellOf(self.id);
            const cells = [...assignCells()].sort(([left], [right]) => (left < right ? -1 : 1));
            // Hosts of other cells exchange no digests with this one, so they count as available while registered.
            const firstOfCells = cells.flatMap(([name, ids]) =>
                name === ownCell
                    ? eligibleHosts(ids).slice(0, 1)
                    : eligibleHosts(ids).filter(id => peers.get(id)?.registered === true).slice(0, 1)
            );
            return { ownCell: eligibleHosts(assignCells().get(ownCell) ?? []), firstOfCells };
        },
        cellCount: () => assignCells().size,
        cellRank: () => (assignCells().get(cellOf(self.id)) ?? []).indexOf(self.id),
        gossipTargets: () => [...cellPeers(), ...counterpartDelegates()],
        isOfOtherCell: id => cellOf(id) !== "" && cellOf(id) !== cellOf(self.id),
        usageReports() {
            const nowMs = clock.now();
            const cellReports = cellPeers().filter(peer => !isSuspected(peer)).flatMap(
                peer =>
                    peer.digest === undefined
                        ? []
                        : [{
                            id: `${peer.member.id} ${peer.member.incarnation}`,
                            usage: peer.digest.organisationUsage,
                            hostCount: 1,
                            ageMs: nowMs - peer.lastHeardMs,
                        }],
            );
            const suspectedInCell = cellPeers().filter(peer => isSuspected(peer) && peer.registered).length;
            const suspectedElsewhere = otherCells().reduce((sum, [name, ids]) => {
                const registered = ids.filter(id => peers.get(id)?.registered ?? false).length;
                return sum + remote.suspectedHosts(name, registered, nowMs);
            }, 0);
            return {
                reports: [...cellReports, ...remote.usageReports(nowMs)],
                suspectedHosts: suspectedInCell + suspectedElsewhere,
            };
        },
        endpointUsage(endpoint) {
            return cellPeers().reduce<readonly [number, number]>(([load, connections], peer) => {
                const [peerLoad, peerConnections] = isSuspected(peer)
                    ? [0, 0]
                    : lookup.find(peer.digest?.endpointUsage ?? {}, endpoint) ?? [0, 0];
                return [load + peerLoad, connections + peerConnections];
            }, remote.endpointUsage(endpoint, clock.now()));
        },
        endpointOutcomes: endpoint =>
            cellPeers().reduce<evidence.Outcomes>((sum, peer) => {
                const outcomes = lookup.find(peer.digest?.endpointOutcomes ?? {}, endpoint);
                return outcomes === undefined || isSuspected(peer)
                    ? sum
                    : evidence.add(sum, evidence.aged(outcomes, clock.now() - peer.lastHeardMs));
            }, remote.endpointOutcomes(endpoint, clock.now())),
        viewAgeMs() {
            const nowMs = clock.now();
            const ages = cellPeers().filter(peer => !isSuspected(peer)).map(peer => nowMs - peer.lastHeardMs);
            const remoteAges = otherCells().map(([name]) => remote.summaryAgeMs(name, nowMs)).filter(Number.isFinite);
            const all = [...ages, ...remoteAges];
            return all.reduce((sum, ageMs) => sum + ageMs, 0) / Math.max(1, all.length);
        },
        peerProofs() {
            const nowMs = clock.now();
            const cellProofs = cellPeers().map(peer => ({
                pollAgeMs: nowMs - peer.lastPolledMs,
                proofAgeMs: peer.digest?.proofAgeMs,
            }));
            return [...cellProofs, ...otherCells().map(([name]) => remote.peerProof(name, nowMs))];
        },
        rooms: roomView,
    };
}
