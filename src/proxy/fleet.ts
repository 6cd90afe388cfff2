/** The other hosts, by cell: which of them this host exchanges with, and what all of them use and admit together. */
import type * as allowances from "../core/allowance.js";
import * as cellsPart from "../core/cells.js";
import * as tallies from "../core/tally.js";
import type * as tenure from "../core/tenure.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as cellViews from "./cells.js";
import type * as messages from "./messages.js";

/** Another host. */
export interface Peer {
    readonly member: messages.Member;
    /** What it said last. */
    readonly digest: messages.Digest | undefined;
    readonly heardMs: number;
    /** When it was last asked and answered. */
    readonly askedMs: number;
    /** When its address last refused a connection: no host ran there. */
    readonly refusedMs: number;
}

/** Another host, with the state of the exchange with it. */
export interface Entry {
    member: messages.Member;
    digest: messages.Digest | undefined;
    heardMs: number;
    askedMs: number;
    refusedMs: number;
    /** When an exchange with it last failed. */
    failedMs: number;
    registered: boolean;
    lost: boolean;
    channel: network.Channel | undefined;
    /** Outline that the host's digests refer to, with its number. */
    outline: { readonly number: number; readonly value: messages.Outline } | undefined;
    /** Number of this host's outline that the other has. */
    theyHave: number | undefined;
}

/** What this host itself tells; the exchange adds what it tells of others. */
export type Told = Omit<messages.Digest, "summaries" | "known" | "self">;

/** Settings of the view of the fleet. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly entries: ReadonlyMap<string, Entry>;
    /** Number that hardly any other process has. */
    readonly frame: number;
}

/** The other hosts together. */
export interface Fleet {
    /** Takes in that hosts came or went. */
    changed(): void;
    /** Forgets what was told by hosts and cells that are gone. */
    sweep(): void;
    /** Takes in what a host's process told at the moment; with when it was asked for, absent when it came unasked. */
    take(sender: number, digest: messages.Digest, toldMs: number, askedMs: number | undefined): void;
    /** Cells that the hosts are divided into. */
    cells(): number;
    /** What another host is told of cells. */
    summaries(told: Told, to: string | undefined): readonly messages.Summary[];
    /** Hosts that this one exchanges with. */
    partners(): readonly Entry[];
    /** What the hosts ask for, for the shares of limits. */
    accounts(): allowances.Fleet;
    /** Statements and connections at an endpoint from the other hosts. */
    use(endpoint: string): readonly [load: number, open: number];
    /** What the other hosts show of the store, those of other cells together. */
    witnesses(): readonly tenure.Witness[];
}

/** Silence after which a host counts as not heard, in milliseconds: four exchanges, two of them its own. */
const silentMs = 2_000;

/** Tells whether a host counts as not heard. */
export function silence(clock: runtime.Clock): (entry: Pick<Entry, "digest" | "heardMs">) => boolean {
    return entry => entry.digest === undefined || clock.now() - entry.heardMs > silentMs;
}

/**
 * The host to ask for what this one lacks: of those with the newest configuration the one that answered last, as a host
 * that only speaks to this one may be out of its reach.
 */
export function bestSource(sources: readonly Peer[]): Peer | undefined {
    return [...sources].sort((left, right) =>
        (right.digest?.version ?? 0) - (left.digest?.version ?? 0) || right.askedMs - left.askedMs
    )[0];
}

/** Creates the view of a fleet whose hosts are kept by the exchange. */
export function createFleet(options: Options): Fleet {
    const { self, clock, entries } = options;
    const silent = silence(clock);
    const remote = cellViews.createCells();
    const tally = tallies.createTally(options.frame);
    let division: cellsPart.Division | undefined;
    let places: ReadonlyMap<string, string> | undefined;

    /** Hosts by cell, this one included, as far as known. */
    function divide(): cellsPart.Division {
        division ??= cellsPart.divide([self, ...[...entries.values()].map(entry => entry.member)]);
        return division;
    }

    /** Name of the cell of a host. */
    function cellOf(id: string): string {
        places ??= new Map([...divide()].flatMap(([name, ids]) => ids.map(member => [member, name] as const)));
        return places.get(id) ?? "";
    }

    /** The other cells. */
    function cells(): readonly (readonly [string, readonly string[]])[] {
        const own = cellOf(self.id);
        return [...divide()].filter(([name]) => name !== own);
    }

    /** The other hosts of this host's cell. */
    function mates(): readonly Entry[] {
        return (divide().get(cellOf(self.id)) ?? []).flatMap(id => entries.get(id) ?? []);
    }

    function speakersOf(ids: readonly string[]): readonly string[] {
        const able = ids.filter(id => {
            const entry = entries.get(id);
            if (entry === undefined) {
                return id === self.id;
            }
            return !entry.member.leaving && (!entry.lost || clock.now() - entry.failedMs > silentMs);
        });
        return able.slice(0, cellsPart.speakersPerCell);
    }

    /** Hosts of other cells that this one speaks with: each speaker with the one of its own place. */
    function counterparts(): readonly Entry[] {
        const own = cellOf(self.id);
        const place = speakersOf(divide().get(own) ?? []).indexOf(self.id);
        if (place < 0) {
            return [];
        }
        return cells().flatMap(([, ids]) => {
            const able = speakersOf(ids);
            return entries.get(able[Math.min(place, able.length - 1)] ?? "") ?? [];
        });
    }

    function use(digest: Told, others: readonly Entry[]): messages.Digest["endpoints"] {
        const total: Record<string, readonly [number, number]> = {};
        for (const used of [digest.endpoints, ...others.map(entry => entry.digest?.endpoints ?? {})]) {
            for (const [id, [load, open]] of Object.entries(used)) {
                const [knownLoad, knownOpen] = total[id] ?? [0, 0];
                total[id] = [knownLoad + load, knownOpen + open];
            }
        }
        return total;
    }

    /** What this host tells of its own cell. */
    function summarize(digest: Told): messages.Summary {
        const nowMs = clock.now();
        const known = mates();
        const active = known.filter(entry => !silent(entry));
        const accounts = active.flatMap(entry => (entry.digest === undefined ? [] : [entry.digest.account]));
        const asked = known.map(entry => nowMs - Math.max(entry.askedMs, entry.refusedMs));
        const proofs = known.flatMap(entry =>
            entry.digest?.proofAgeMs === undefined ? [] : [entry.digest.proofAgeMs + nowMs - entry.heardMs]
        );
        const youngest = Math.min(digest.proofAgeMs ?? Infinity, ...proofs);
        const oldest = Math.max(0, ...asked);
        return {
            cell: cellOf(self.id),
            frame: tally.frame(),
            ageMs: active.reduce((sum, entry) => sum + nowMs - entry.heardMs, 0) / (1 + active.length),
            hosts: 1 + active.length,
            unheard: known.filter(entry => silent(entry) && entry.registered).length,
            oldestMs: Number.isFinite(oldest) ? oldest : undefined,
            proofAgeMs: Number.isFinite(youngest) ? youngest : undefined,
            account: tallies.sum([digest.account, ...accounts], tally),
            endpoints: use(digest, active),
        };
    }

    /** Adds what the other host needs to know of cells. */
    function summaries(digest: Told, to: string | undefined): readonly messages.Summary[] {
        if (to === undefined || divide().size === 1) {
            return [];
        }
        const own = cellOf(self.id);
        const passes = cellOf(to) === own && speakersOf(divide().get(own) ?? []).includes(self.id);
        return [summarize(digest), ...passes ? remote.summaries(clock.now()) : []];
    }

    return {
        changed() {
            division = undefined;
            places = undefined;
        },
        sweep() {
            remote.keep(new Set(cells().map(([name]) => name)), clock.now());
            tally.keep(new Set([self.incarnation, ...mates().map(entry => entry.member.incarnation)]));
        },
        take(sender, digest, toldMs, askedMs) {
            const own = cellOf(self.id);
            if (cellOf(digest.self.id) === own) {
                tally.add(digest.self.incarnation, digest.account);
            }
            for (const summary of digest.summaries) {
                if (summary.cell === own) {
                    tally.adopt(summary.frame, tallies.figuresOf(summary.account));
                }
                else {
                    remote.take(sender, summary, toldMs, askedMs);
                }
            }
        },
        summaries(told, to) {
            tally.add(self.incarnation, told.account);
            return summaries(told, to);
        },
        cells: () => divide().size,
        partners: () => [...mates(), ...counterparts()],
        accounts() {
            const nowMs = clock.now();
            const direct = mates().filter(entry => !silent(entry) && !entry.member.leaving).flatMap(entry =>
                entry.digest === undefined
                    ? []
                    : [{
                        id: `${entry.member.id} ${entry.member.incarnation}`,
                        account: entry.digest.account,
                        hosts: 1,
                        ageMs: nowMs - entry.heardMs,
                    }]
            );
            const unheard = mates().filter(entry => silent(entry) && entry.registered).length;
            const beyond = cells().reduce((sum, [name, ids]) => {
                const registered = ids.filter(id => entries.get(id)?.registered ?? false).length;
                return sum + remote.unheard(name, registered, nowMs);
            }, 0);
            return { others: [...direct, ...remote.accounts(nowMs)], unheard: unheard + beyond };
        },
        use(endpoint) {
            return mates().reduce<readonly [number, number]>(([load, open], entry) => {
                const [more, opened] = silent(entry) ? [0, 0] : entry.digest?.endpoints[endpoint] ?? [0, 0];
                return [load + more, open + opened];
            }, remote.use(endpoint, clock.now()));
        },
        witnesses() {
            const nowMs = clock.now();
            const direct = mates().map(entry => ({
                heardMs: nowMs - Math.max(entry.askedMs, entry.refusedMs),
                proofAgeMs: entry.digest?.proofAgeMs,
            }));
            return [...direct, ...cells().map(([name]) => remote.witness(name, nowMs))];
        },
    };
}
