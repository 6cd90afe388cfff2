/** The other hosts: who they are, what they said last, and the exchange with them. */
import * as failure from "../core/failure.js";
import type * as tenure from "../core/leadership.js";
import type * as allowances from "../core/limiter.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as digests from "./digestcodec.js";
import type * as events from "./events.js";
import * as fleets from "./fleet.js";
import * as protocol from "./messages.js";

/** Settings of the exchange. */
export interface Options {
    self(): protocol.Member;
    readonly seeds: readonly string[];
    readonly network: network.Network;
    readonly clock: runtime.HostClock;
    readonly events: events.EventLog;
    /** A number in [0, 1). */
    random(): number;
    localDigest(): fleets.LocalDigest;
    /** Takes in what another host said; the moment is when it was asked, absent when it spoke first. */
    onDigest(digest: protocol.Digest, askedMs: number | undefined): void;
}

/** The other hosts. */
export interface Peers {
    /** Takes in the hosts registered in the store. */
    register(members: readonly protocol.Member[]): void;
    /** Hosts heard lately, this one excluded. */
    live(): readonly fleets.Peer[];
    /** Hosts that exist as far as known, this one excluded. */
    all(): readonly fleets.Peer[];
    /** Answers another host. */
    handleExchange(told: protocol.EncodedDigest): protocol.EncodedDigest;
    call<Request, Reply>(
        member: protocol.Member,
        method: messages.Method<Request, Reply>,
        request: Request,
        timeoutMs: number,
    ): network.Outcome<Reply>;
    /** What the hosts ask for, for the shares of limits. */
    usageReports(): allowances.UsageReports;
    /** Statements and connections at an endpoint from the other hosts. */
    endpointUsage(endpoint: string): readonly [load: number, open: number];
    /** What the other hosts show of the store, those of other cells together. */
    peerProofs(): readonly tenure.PeerProof[];
    /** Cells that the hosts are divided into. */
    cellCount(): number;
    /** Ids of all hosts that may hold connections, this one included, in order. */
    connectionHolders(): readonly string[];
    start(): void;
    /** Tells the others at once that this host leaves. */
    announceLeaving(): Promise<void>;
    close(): void;
}

/** Time between two rounds, in milliseconds; each host also speaks to this one as often. */
const intervalMs = 1_000;
/** Time within which a host that is new is asked, in milliseconds: spread, as many may be new to many at once. */
const greetMs = 150;
const timeoutMs = 400;
/** Bound of the numbers of processes, so that two hardly ever have the same. */
const numberRange = 2 ** 31;
/** Silence after which a host that is not registered is forgotten, in milliseconds. */
const forgetMs = 15_000;
/** Time for which failed exchanges go on before the connection is replaced, in milliseconds. */
const staleMs = 400;

/** Creates a view without other hosts. */
export function createPeers(options: Options): Peers {
    const { clock } = options;
    const self = options.self();
    const entries = new Map<string, fleets.PeerState>();
    /** Ids of hosts by the number of their process. */
    const senders = new Map<number, string>();
    const number = Math.floor(options.random() * numberRange);
    const packer = digests.createEncoder(number);
    const fleet = fleets.createFleet({ self, clock, peers: entries, baselineId: number });
    const silent = fleets.createFailureDetector(clock);
    let stop: (() => void) | undefined;
    let pending = new Set<string>();

    function note(member: protocol.Member): fleets.PeerState {
        const known = entries.get(member.id);
        if (known !== undefined && known.member.incarnation === member.incarnation) {
            return known;
        }
        known?.channel?.close();
        const created: fleets.PeerState = {
            member,
            digest: undefined,
            lastHeardMs: clock.now(),
            lastPolledMs: -Infinity,
            lastRefusedMs: -Infinity,
            lastFailedMs: -Infinity,
            registered: false,
            unreachable: true,
            channel: undefined,
            header: undefined,
            acknowledgedHeader: undefined,
        };
        entries.set(member.id, created);
        fleet.membershipChanged();
        if (stop !== undefined) {
            clock.after(options.random() * greetMs, () => {
                if (created.digest === undefined && fleet.gossipTargets().includes(created)) {
                    void exchange(created);
                }
            });
        }
        return created;
    }

    /** The entry and the digest that were told; undefined while the outline that it refers to is missing. */
    function read(told: protocol.EncodedDigest): { entry: fleets.PeerState; digest: protocol.Digest } | undefined {
        const [sender, number, outline, weHave] = told;
        if (outline !== null) {
            senders.set(sender, outline.self.id);
            const entry = note(outline.self);
            entry.header = { number, value: outline };
        }
        const entry = entries.get(senders.get(sender) ?? "");
        if (entry?.header?.number !== number) {
            return undefined;
        }
        entry.acknowledgedHeader = weHave ?? undefined;
        return { entry, digest: digests.decode(told, entry.header.value) };
    }

    function tell(to: fleets.PeerState | undefined, theyHave: number | undefined): protocol.EncodedDigest {
        const told = options.localDigest();
        const known = [...entries.values()].map(entry => entry.member);
        const cellSummaries = fleet.cellSummaries(told, to?.member.id);
        const digest = { ...told, self: options.self(), knownMembers: known, cellSummaries };
        return packer.encode(digest, theyHave, to?.header?.number);
    }

    function hear(told: protocol.EncodedDigest, askedMs: number | undefined): void {
        const found = told[2]?.self.id === self.id ? undefined : read(told);
        if (found === undefined) {
            return;
        }
        const { entry, digest } = found;
        if (entry.unreachable) {
            options.events.emit("peerRegained", { peer: digest.self.id, incarnation: digest.self.incarnation });
        }
        entry.member = digest.self;
        entry.digest = digest;
        entry.lastHeardMs = clock.now();
        entry.lastPolledMs = Math.max(entry.lastPolledMs, askedMs ?? -Infinity);
        entry.unreachable = false;
        fleet.merge(told[0], digest, entry.lastHeardMs, askedMs);
        for (const member of digest.knownMembers) {
            if (member.id !== self.id && !entries.has(member.id)) {
                note(member);
            }
        }
        options.onDigest(digest, askedMs);
    }

    function channel(entry: fleets.PeerState): network.Channel {
        entry.channel ??= options.network.openChannel(entry.member.address);
        return entry.channel;
    }

    async function exchange(entry: fleets.PeerState): Promise<void> {
        const { id } = entry.member;
        if (pending.has(id)) {
            return;
        }
        pending.add(id);
        const askedMs = clock.now();
        const used = channel(entry);
        const reply = await used.call(protocol.peer.exchange, tell(entry, entry.acknowledgedHeader), timeoutMs);
        pending.delete(id);
        if (reply.isOk()) {
            hear(reply.value, askedMs);
            return;
        }
        entry.lastFailedMs = clock.now();
        if (reply.error.code === failure.Code.ownerUnreachable) {
            entry.lastRefusedMs = askedMs;
        }
        // A connection may have gone silent while the host is well: the next attempt opens another.
        if (clock.now() - askedMs >= staleMs * 0.9 && entry.channel === used) {
            used.close();
            entry.channel = undefined;
        }
        if (silent(entry) && !entry.unreachable) {
            entry.unreachable = true;
            options.events.emit("peerLost", { peer: id, reason: reply.error.message });
        }
    }

    async function greet(address: string): Promise<void> {
        const askedMs = clock.now();
        const used = options.network.openChannel(address);
        const reply = await used.call(protocol.peer.exchange, tell(undefined, undefined), timeoutMs);
        if (reply.isOk()) {
            hear(reply.value, askedMs);
            return;
        }
        // The host may have become known meanwhile, and its exchange uses the same channel.
        if (![...entries.values()].some(entry => entry.channel === used)) {
            used.close();
        }
    }

    function round(): void {
        const nowMs = clock.now();
        for (const [id, entry] of entries) {
            if (!entry.registered && nowMs - entry.lastHeardMs > forgetMs) {
                entry.channel?.close();
                entries.delete(id);
                fleet.membershipChanged();
            }
        }
        fleet.evictDeparted();
        senders.forEach((id, sender) => {
            if (!entries.has(id)) {
                senders.delete(sender);
            }
        });
        // Spread over the interval, so that news comes steadily and hosts that started together do not call together.
        fleet.gossipTargets().forEach(entry => clock.after(options.random() * intervalMs, () => void exchange(entry)));
        const strangers = options.seeds.filter(address =>
            address !== self.address && ![...entries.values()].some(entry => entry.member.address === address)
        );
        const seed = strangers[Math.floor(options.random() * strangers.length)];
        if (seed !== undefined && heard().length === 0) {
            void greet(seed);
        }
    }

    function heard(): readonly fleets.PeerState[] {
        return [...entries.values()].filter(entry => !silent(entry));
    }

    return {
        live: heard,
        all: () => [...entries.values()],
        register(members) {
            const others = members.filter(member => member.id !== self.id);
            const ids = new Set(others.map(member => member.id));
            others.forEach(member => {
                const entry = entries.get(member.id);
                // The store's listing lags: it does not replace a process that was heard lately.
                if (entry === undefined || silent(entry)) {
                    note(member);
                }
            });
            entries.forEach((entry, id) => {
                entry.registered = ids.has(id);
            });
        },
        handleExchange(told) {
            hear(told, undefined);
            const entry = entries.get(senders.get(told[0]) ?? "");
            return tell(entry, told[3] ?? undefined);
        },
        call(member, method, request, limitMs) {
            const entry = entries.get(member.id);
            return (entry === undefined ? options.network.openChannel(member.address) : channel(entry))
                .call(method, request, limitMs);
        },
        usageReports: () => fleet.usageReports(),
        endpointUsage: endpoint => fleet.endpointUsage(endpoint),
        cellCount: () => fleet.cellCount(),
        peerProofs: () => fleet.peerProofs(),
        connectionHolders: () =>
            [
                self.id,
                ...[...entries.values()].filter(entry => entry.registered || !silent(entry)).map(entry =>
                    entry.member.id
                ),
            ]
                .sort(),
        start() {
            round();
            stop = clock.every(intervalMs, round);
        },
        async announceLeaving() {
            await Promise.all(
                heard().map(entry =>
                    channel(entry).call(
                        protocol.peer.exchange,
                        tell(entry, entry.acknowledgedHeader),
                        timeoutMs,
                    )
                ),
            );
        },
        close() {
            stop?.();
            pending = new Set();
            entries.forEach(entry => entry.channel?.close());
        },
    };
}
