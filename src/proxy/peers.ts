/** The other hosts: who they are, what they said last, and the exchange with them. */
import type * as allowances from "../core/allowance.js";
import * as failure from "../core/failure.js";
import type * as tenure from "../core/tenure.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as digests from "./digests.js";
import type * as events from "./events.js";
import * as fleets from "./fleet.js";
import * as protocol from "./messages.js";

/** Settings of the exchange. */
export interface Options {
    self(): protocol.Member;
    readonly seeds: readonly string[];
    readonly network: network.Network;
    readonly clock: runtime.HostClock;
    readonly events: events.Events;
    /** A number in [0, 1). */
    random(): number;
    digest(): fleets.Told;
    /** Takes in what another host said; the moment is when it was asked, absent when it spoke first. */
    heard(digest: protocol.Digest, askedMs: number | undefined): void;
}

/** The other hosts. */
export interface Peers {
    /** Takes in the hosts registered in the store. */
    register(members: readonly protocol.Member[]): void;
    /** Hosts heard lately, this one excluded. */
    heard(): readonly fleets.Peer[];
    /** Hosts that exist as far as known, this one excluded. */
    all(): readonly fleets.Peer[];
    /** Answers another host. */
    answer(told: protocol.Telling): protocol.Telling;
    call<Request, Reply>(
        member: protocol.Member,
        method: messages.Method<Request, Reply>,
        request: Request,
        timeoutMs: number,
    ): network.Outcome<Reply>;
    /** What the hosts ask for, for the shares of limits. */
    fleet(): allowances.Fleet;
    /** Statements and connections at an endpoint from the other hosts. */
    use(endpoint: string): readonly [load: number, open: number];
    /** What the other hosts show of the store, those of other cells together. */
    witnesses(): readonly tenure.Witness[];
    /** Cells that the hosts are divided into. */
    cells(): number;
    /** Ids of all hosts that may hold connections, this one included, in order. */
    holders(): readonly string[];
    start(): void;
    /** Tells the others at once that this host leaves. */
    tell(): Promise<void>;
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
    const entries = new Map<string, fleets.Entry>();
    /** Ids of hosts by the number of their process. */
    const senders = new Map<number, string>();
    const number = Math.floor(options.random() * numberRange);
    const packer = digests.createPacker(number);
    const fleet = fleets.createFleet({ self, clock, entries, frame: number });
    const silent = fleets.silence(clock);
    let stop: (() => void) | undefined;
    let pending = new Set<string>();

    function note(member: protocol.Member): fleets.Entry {
        const known = entries.get(member.id);
        if (known !== undefined && known.member.incarnation === member.incarnation) {
            return known;
        }
        known?.channel?.close();
        const created: fleets.Entry = {
            member,
            digest: undefined,
            heardMs: clock.now(),
            askedMs: -Infinity,
            refusedMs: -Infinity,
            failedMs: -Infinity,
            registered: false,
            lost: true,
            channel: undefined,
            outline: undefined,
            theyHave: undefined,
        };
        entries.set(member.id, created);
        fleet.changed();
        if (stop !== undefined) {
            clock.after(options.random() * greetMs, () => {
                if (created.digest === undefined && fleet.partners().includes(created)) {
                    void exchange(created);
                }
            });
        }
        return created;
    }

    /** The entry and the digest that were told; undefined while the outline that it refers to is missing. */
    function read(told: protocol.Telling): { entry: fleets.Entry; digest: protocol.Digest } | undefined {
        const [sender, number, outline, weHave] = told;
        if (outline !== null) {
            senders.set(sender, outline.self.id);
            const entry = note(outline.self);
            entry.outline = { number, value: outline };
        }
        const entry = entries.get(senders.get(sender) ?? "");
        if (entry?.outline?.number !== number) {
            return undefined;
        }
        entry.theyHave = weHave ?? undefined;
        return { entry, digest: digests.unpack(told, entry.outline.value) };
    }

    function tell(to: fleets.Entry | undefined, theyHave: number | undefined): protocol.Telling {
        const told = options.digest();
        const known = [...entries.values()].map(entry => entry.member);
        const digest = { ...told, self: options.self(), known, summaries: fleet.summaries(told, to?.member.id) };
        return packer.pack(digest, theyHave, to?.outline?.number);
    }

    function hear(told: protocol.Telling, askedMs: number | undefined): void {
        const found = told[2]?.self.id === self.id ? undefined : read(told);
        if (found === undefined) {
            return;
        }
        const { entry, digest } = found;
        if (entry.lost) {
            options.events.emit("peerRegained", { peer: digest.self.id, incarnation: digest.self.incarnation });
        }
        entry.member = digest.self;
        entry.digest = digest;
        entry.heardMs = clock.now();
        entry.askedMs = Math.max(entry.askedMs, askedMs ?? -Infinity);
        entry.lost = false;
        fleet.take(told[0], digest, entry.heardMs, askedMs);
        for (const member of digest.known) {
            if (member.id !== self.id && !entries.has(member.id)) {
                note(member);
            }
        }
        options.heard(digest, askedMs);
    }

    function channel(entry: fleets.Entry): network.Channel {
        entry.channel ??= options.network.channel(entry.member.address);
        return entry.channel;
    }

    async function exchange(entry: fleets.Entry): Promise<void> {
        const { id } = entry.member;
        if (pending.has(id)) {
            return;
        }
        pending.add(id);
        const askedMs = clock.now();
        const used = channel(entry);
        const reply = await used.call(protocol.peer.exchange, tell(entry, entry.theyHave), timeoutMs);
        pending.delete(id);
        if (reply.isOk()) {
            hear(reply.value, askedMs);
            return;
        }
        entry.failedMs = clock.now();
        if (reply.error.code === failure.Code.ownerUnreachable) {
            entry.refusedMs = askedMs;
        }
        // A connection may have gone silent while the host is well: the next attempt opens another.
        if (clock.now() - askedMs >= staleMs * 0.9 && entry.channel === used) {
            used.close();
            entry.channel = undefined;
        }
        if (silent(entry) && !entry.lost) {
            entry.lost = true;
            options.events.emit("peerLost", { peer: id, reason: reply.error.message });
        }
    }

    async function greet(address: string): Promise<void> {
        const askedMs = clock.now();
        const used = options.network.channel(address);
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
            if (!entry.registered && nowMs - entry.heardMs > forgetMs) {
                entry.channel?.close();
                entries.delete(id);
                fleet.changed();
            }
        }
        fleet.sweep();
        senders.forEach((id, sender) => {
            if (!entries.has(id)) {
                senders.delete(sender);
            }
        });
        // Spread over the interval, so that news comes steadily and hosts that started together do not call together.
        fleet.partners().forEach(entry => clock.after(options.random() * intervalMs, () => void exchange(entry)));
        const strangers = options.seeds.filter(address =>
            address !== self.address && ![...entries.values()].some(entry => entry.member.address === address)
        );
        const seed = strangers[Math.floor(options.random() * strangers.length)];
        if (seed !== undefined && heard().length === 0) {
            void greet(seed);
        }
    }

    function heard(): readonly fleets.Entry[] {
        return [...entries.values()].filter(entry => !silent(entry));
    }

    return {
        heard,
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
        answer(told) {
            hear(told, undefined);
            const entry = entries.get(senders.get(told[0]) ?? "");
            return tell(entry, told[3] ?? undefined);
        },
        call(member, method, request, limitMs) {
            const entry = entries.get(member.id);
            return (entry === undefined ? options.network.channel(member.address) : channel(entry))
                .call(method, request, limitMs);
        },
        fleet: () => fleet.accounts(),
        use: endpoint => fleet.use(endpoint),
        cells: () => fleet.cells(),
        witnesses: () => fleet.witnesses(),
        holders: () =>
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
        async tell() {
            await Promise.all(
                heard().map(entry =>
                    channel(entry).call(
                        protocol.peer.exchange,
                        tell(entry, entry.theyHave),
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
