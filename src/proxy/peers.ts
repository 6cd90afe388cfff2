/** Gossip between hosts: keeps the list of peers, exchanges digests with them, and holds the newest digest of each. */
import type * as evidence from "../core/evidence.js";
import type * as leadership from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import type * as rooms from "../core/room.js";
import type * as storeReading from "../core/storereading.js";
import type * as rpc from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as digestCodec from "./digestcodec.js";
import type * as events from "./events.js";
import * as fleets from "./fleet.js";
import * as holderLists from "./holderlist.js";
import * as messages from "./messages.js";
import type * as roomViews from "./roomview.js";

/** Settings of the gossip. */
export interface Options {
    self(): messages.Member;
    /** Addresses to poll while no other host is known to be live. */
    readonly seeds: readonly string[];
    readonly network: network.Network;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    /** A number in [0, 1). */
    random(): number;
    /** The digest of this host. */
    localDigest(): fleets.LocalDigest;
    /** Room of this host; undefined if it doesn't measure it. */
    room?(): rooms.Report | undefined;
    /**
     * True while this host can't get a proof that the records of primaries are in force. Whether the store is away for all
     * hosts or only for this one can then be told only from young polls of all hosts.
     */
    isUrgent(): boolean;
    /** Called with each digest of another host, and when it was requested; undefined if it came unasked. */
    onDigest(digest: messages.Digest, requestedAtMs: number | undefined): void;
}

/** The other hosts, and calls to them. */
export interface Peers {
    /** Applies the list of hosts registered in the store, as read by a request sent at that time. */
    register(members: readonly messages.Member[], listedAtMs: number): void;
    /** Hosts that are not suspected, this one excluded. */
    live(): readonly fleets.Peer[];
    /** All known hosts, this one excluded. */
    all(): readonly fleets.Peer[];
    find(id: string): fleets.Peer | undefined;
    /** Receives the digest of another host, and returns that of this one. */
    handleExchange(encoded: messages.EncodedDigest): messages.EncodedDigest;
    /** Calls a method of another host. */
    call<Request, Reply>(
        member: messages.Member,
        method: rpc.Method<Request, Reply>,
        request: Request,
        timeoutMs: number,
    ): network.Outcome<Reply>;
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
    /** Number of cells that the hosts are divided into. */
    cellCount(): number;
    /** Rank of this host by id among the hosts of its cell. */
    cellRank(): number;
    /**
     * The available hosts in the order in which they act for others: those of this host's cell, and the first one of each
     * cell.
     */
    actingHosts(): Pick<storeReading.Layout, "ownCell" | "firstOfCells">;
    /** Sorted ids of all hosts that may hold connections to endpoints, this one included; the same array while unchanged. */
    connectionHolders(): readonly string[];
    /** Rooms of the hosts. */
    readonly rooms: roomViews.RoomView;
    start(): void;
    /** Polls the hosts of this host's cell now, rather than in the course of the next round. */
    pollNow(): void;
    /** Sends the digest of this host, which says that it is leaving, to all live hosts at once. */
    announceLeaving(): Promise<void>;
    close(): void;
}

/** Interval between two polls of a peer; the peer polls this host as often. */
const roundIntervalMs = 1_000;
/** The same while it is urgent: from a cell to the hosts of another takes three polls, which must fit into a proof's age. */
const urgentIntervalMs = 200;
/** Longest delay before a new host is polled. Delays are random, as many hosts may learn of many others at once. */
const maxFirstPollDelayMs = 150;
const pollTimeoutMs = 400;
/** Process numbers are random below this, so that two are hardly ever equal. */
const processNumberRange = 2 ** 31;
/**
 * Time without a sign of a host after which it is no longer mentioned, and later removed, if the store doesn't list it
 * then. Without a list nothing shows that a silent host has gone.
 */
const forgetAfterMs = 15_000;
/** Duration of a failed poll from which its channel is replaced. */
const replaceChannelAfterMs = 400;

/** Creates the gossip of a host that knows no others yet. */
export function createPeers(options: Options): Peers {
    const { clock } = options;
    const self = options.self();
    const peers = new Map<string, fleets.PeerState>();
    /** Host ids by process number. */
    const hostBySender = new Map<number, string>();
    const processNumber = Math.floor(options.random() * processNumberRange);
    const encoder = digestCodec.createEncoder(processNumber);
    const fleet = fleets.createFleet({ self, clock, peers, baselineId: processNumber, ownRoom: options.room });
    const isSuspected = fleets.createFailureDetector(clock);
    let stopRounds: (() => void) | undefined;
    let pollsInFlight = new Set<string>();
    let lastListedMs = -Infinity;
    const connectionHolders = holderLists.createHolderList(
        clock,
        () => [
            self.id,
            ...[...peers.values()].flatMap(peer => peer.registered || !isSuspected(peer) ? [peer.member.id] : []),
        ],
    );

    function addPeer(member: messages.Member): fleets.PeerState {
        const existing = peers.get(member.id);
        if (existing !== undefined && existing.member.incarnation === member.incarnation) {
            return existing;
        }
        existing?.channel?.close();
        const created: fleets.PeerState = {
            member,
            digest: undefined,
            lastHeardMs: clock.now(),
            lastPolledMs: -Infinity,
            lastFailedMs: -Infinity,
            registered: false,
            lastMentionedMs: clock.now(),
            lastVouchedMs: -Infinity,
            unreachable: true,
            channel: undefined,
            header: undefined,
            acknowledgedHeader: undefined,
        };
        peers.set(member.id, created);
        fleet.membershipChanged();
        if (stopRounds !== undefined) {
            clock.after(options.random() * maxFirstPollDelayMs, () => {
                if (created.digest === undefined && fleet.gossipTargets().includes(created)) {
                    void poll(created);
                }
            });
        }
        return created;
    }

    /** Decodes a digest and finds its sender; undefined if the header that it refers to has not been received. */
    function decode(encoded: messages.EncodedDigest): { peer: fleets.PeerState; digest: messages.Digest } | undefined {
        const [sender, headerNumber, header, acknowledgedHeader] = encoded;
        if (header !== null) {
            hostBySender.set(sender, header.self.id);
            const peer = addPeer(header.self);
            peer.header = { number: headerNumber, value: header };
        }
        const peer = peers.get(hostBySender.get(sender) ?? "");
        if (peer?.header?.number !== headerNumber) {
            return undefined;
        }
        peer.acknowledgedHeader = acknowledgedHeader ?? undefined;
        return { peer, digest: digestCodec.decode(encoded, peer.header.value) };
    }

    /**
     * True if this host tells others of a host: while that one is registered, heard by this host, or vouched for by its own
     * cell. What is known only from further mentions isn't passed on, as hosts would remind each other of a dead one for ever.
     */
    function isMentioned(peer: fleets.PeerState): boolean {
        const lastSignMs = Math.max(peer.digest === undefined ? -Infinity : peer.lastHeardMs, peer.lastVouchedMs);
        return peer.registered || lastListedMs - lastSignMs <= forgetAfterMs;
    }

    function noteMention(member: messages.Member, sender: string): void {
        const peer = peers.get(member.id) ?? addPeer(member);
        const cell = fleet.cellOf(member.id);
        if (cell !== fleet.cellOf(self.id)) {
            peer.lastMentionedMs = clock.now();
            peer.lastVouchedMs = cell === fleet.cellOf(sender) ? clock.now() : peer.lastVouchedMs;
        }
    }

    /** Encodes this host's digest. `acknowledgedHeader` is the number of its header that the receiver already has. */
    function encodeDigest(
        receiver: fleets.PeerState | undefined,
        acknowledgedHeader: number | undefined,
    ): messages.EncodedDigest {
        const localDigest = options.localDigest();
        const knownMembers = [...peers.values()].filter(isMentioned).map(peer => peer.member);
        const cellSummaries = fleet.cellSummaries(localDigest, receiver?.member.id);
        const usage = receiver !== undefined && fleet.isOfOtherCell(receiver.member.id)
            ? { organisationUsage: {}, endpointUsage: {}, endpointOutcomes: {} }
            : {};
        const room = options.room?.();
        const digest = { ...localDigest, ...usage, self: options.self(), room, knownMembers, cellSummaries };
        return encoder.encode(digest, acknowledgedHeader, receiver?.header?.number);
    }

    function receive(encoded: messages.EncodedDigest, requestedAtMs: number | undefined): void {
        const received = encoded[2]?.self.id === self.id ? undefined : decode(encoded);
        if (received === undefined) {
            return;
        }
        const { peer, digest } = received;
        if (peer.unreachable) {
            options.events.emit("peerRegained", { peer: digest.self.id, incarnation: digest.self.incarnation });
        }
        peer.member = digest.self;
        peer.digest = digest;
        peer.lastHeardMs = clock.now();
        peer.lastPolledMs = Math.max(peer.lastPolledMs, requestedAtMs ?? -Infinity);
        peer.unreachable = false;
        fleet.merge(encoded[0], digest, peer.lastHeardMs, requestedAtMs);
        digest.knownMembers.filter(member => member.id !== self.id).forEach(member =>
            noteMention(member, digest.self.id)
        );
        options.onDigest(digest, requestedAtMs);
    }

    function channelTo(peer: fleets.PeerState): network.Channel {
        peer.channel ??= options.network.openChannel(peer.member.address);
        return peer.channel;
    }

    /** After a call without a reply: the connection may be dead although the host is healthy, so the next call opens one. */
    function replaceSilentChannel(peer: fleets.PeerState, usedChannel: network.Channel, requestedAtMs: number): void {
        if (clock.now() - requestedAtMs >= replaceChannelAfterMs * 0.9 && peer.channel === usedChannel) {
            usedChannel.close();
            peer.channel = undefined;
        }
    }

    async function poll(peer: fleets.PeerState): Promise<void> {
        const { id } = peer.member;
        if (pollsInFlight.has(id)) {
            return;
        }
        pollsInFlight.add(id);
        const requestedAtMs = clock.now();
        const usedChannel = channelTo(peer);
        const reply = await usedChannel.call(
            messages.peer.exchange,
            encodeDigest(peer, peer.acknowledgedHeader),
            pollTimeoutMs,
        );
        pollsInFlight.delete(id);
        if (reply.isOk()) {
            receive(reply.value, requestedAtMs);
            return;
        }
        peer.lastFailedMs = clock.now();
        replaceSilentChannel(peer, usedChannel, requestedAtMs);
        if (isSuspected(peer) && !peer.unreachable) {
            peer.unreachable = true;
            options.events.emit("peerLost", { peer: id, reason: reply.error.message });
        }
    }

    async function pollSeed(address: string): Promise<void> {
        const requestedAtMs = clock.now();
        const usedChannel = options.network.openChannel(address);
        const reply = await usedChannel.call(messages.peer.exchange, encodeDigest(undefined, undefined), pollTimeoutMs);
        if (reply.isOk()) {
            receive(reply.value, requestedAtMs);
            return;
        }
        // The host may have become a known peer meanwhile, whose polls use the same channel.
        if (![...peers.values()].some(peer => peer.channel === usedChannel)) {
            usedChannel.close();
        }
    }

    /** Polls the hosts that this one gossips with, at moments spread over the interval. */
    function pollTargets(intervalMs: number): void {
        fleet.gossipTargets().forEach(peer => clock.after(options.random() * intervalMs, () => void poll(peer)));
    }

    function runRound(): void {
        for (const [id, peer] of peers) {
            if (!peer.registered && lastListedMs - Math.max(peer.lastHeardMs, peer.lastMentionedMs) > forgetAfterMs) {
                peer.channel?.close();
                peers.delete(id);
                fleet.membershipChanged();
            }
        }
        fleet.evictDeparted();
        hostBySender.forEach((id, sender) => {
            if (!peers.has(id)) {
                hostBySender.delete(sender);
            }
        });
        // Polls are spread over the interval, so that digests arrive steadily and hosts that start together do not poll
        // at the same moment.
        pollTargets(options.isUrgent() ? urgentIntervalMs : roundIntervalMs);
        const unknownSeeds = options.seeds.filter(address =>
            address !== self.address && ![...peers.values()].some(peer => peer.member.address === address)
        );
        const seed = unknownSeeds[Math.floor(options.random() * unknownSeeds.length)];
        if (seed !== undefined && live().length === 0) {
            void pollSeed(seed);
        }
    }

    function live(): readonly fleets.PeerState[] {
        return [...peers.values()].filter(peer => !isSuspected(peer));
    }

    return {
        live,
        all: () => [...peers.values()],
        find: id => peers.get(id),
        register(members, listedAtMs) {
            lastListedMs = Math.max(lastListedMs, listedAtMs);
            const others = members.filter(member => member.id !== self.id);
            const ids = new Set(others.map(member => member.id));
            others.forEach(member => {
                const peer = peers.get(member.id);
                // The store's list of hosts lags behind, so it does not replace a process that is live.
                if (peer === undefined || isSuspected(peer)) {
                    addPeer(member);
                }
            });
            peers.forEach((peer, id) => {
                peer.registered = ids.has(id);
            });
        },
        handleExchange(encoded) {
            receive(encoded, undefined);
            const peer = peers.get(hostBySender.get(encoded[0]) ?? "");
            // The element at index 3 is the number of this host's header that the sender has.
            return encodeDigest(peer, encoded[3] ?? undefined);
        },
        async call(member, method, request, timeoutMs) {
            const peer = peers.get(member.id);
            const usedChannel = peer === undefined ? options.network.openChannel(member.address) : channelTo(peer);
            const requestedAtMs = clock.now();
            const reply = await usedChannel.call(method, request, timeoutMs);
            if (reply.isErr() && peer !== undefined) {
                replaceSilentChannel(peer, usedChannel, requestedAtMs);
            }
            return reply;
        },
        usageReports: () => fleet.usageReports(),
        endpointUsage: endpoint => fleet.endpointUsage(endpoint),
        cellCount: () => fleet.cellCount(),
        cellRank: () => fleet.cellRank(),
        endpointOutcomes: endpoint => fleet.endpointOutcomes(endpoint),
        viewAgeMs: () => fleet.viewAgeMs(),
        actingHosts: () => fleet.actingHosts(),
        peerProofs: () => fleet.peerProofs(),
        connectionHolders,
        rooms: fleet.rooms,
        start() {
            runRound();
            let ticks = 0;
            stopRounds = clock.every(urgentIntervalMs, () => {
                ticks += 1;
                if (ticks % (roundIntervalMs / urgentIntervalMs) === 0) {
                    runRound();
                }
                else if (options.isUrgent()) {
                    pollTargets(urgentIntervalMs);
                }
            });
        },
        pollNow: () => fleet.gossipTargets().forEach(peer => void poll(peer)),
        async announceLeaving() {
            await Promise.all(
                live().map(peer =>
                    channelTo(peer).call(
                        messages.peer.exchange,
                        encodeDigest(peer, peer.acknowledgedHeader),
                        pollTimeoutMs,
                    )
                ),
            );
        },
        close() {
            stopRounds?.();
            pollsInFlight = new Set();
            peers.forEach(peer => peer.channel?.close());
        },
    };
}
