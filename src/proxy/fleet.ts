/** The other hosts, by cell: which of them this host exchanges with, and what all of them use and admit together. */
import * as tallies from "../core/admissions.js";
import * as cellsPart from "../core/cells.js";
import type * as tenure from "../core/leadership.js";
import type * as allowances from "../core/limiter.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as messages from "./messages.js";
import * as cellViews from "./remotecells.js";

/** Another host. */
export interface Peer {
    readonly member: messages.Member;
    /** What it said last. */
    readonly digest: messages.Digest | undefined;
    readonly lastHeardMs: number;
    /** When it was last asked and answered. */
    readonly lastPolledMs: number;
    /** When its address last refused a connection: no host ran there. */
    readonly lastRefusedMs: number;
}

/** Another host, with the state of the exchange with it. */
export interface PeerState {
    member: messages.Member;
    digest: messages.Digest | undefined;
    lastHeardMs: number;
    lastPolledMs: number;
    lastRefusedMs: number;
    /** When an exchange with it last failed. */
    lastFailedMs: number;
    registered: boolean;
    unreachable: boolean;
    channel: network.Channel | undefined;
    /** Outline that the host's digests refer to, with its number. */
    header: { readonly number: number; readonly value: messages.DigestHeader } | undefined;
    /** Number of this host's outline that the other has. */
    acknowledgedHeader: number | undefined;
}

/** What this host itself tells; the exchange adds what it tells of others. */
export type LocalDigest = Omit<messages.Digest, "cellSummaries" | "knownMembers" | "self">;

/** Settings of the view of the fleet. */
export interface Options {
    readonly self: messages.Member;
    readonly clock: runtime.HostClock;
    readonly peers: ReadonlyMap<string, PeerState>;
    /** Number that hardly any other process has. */
    readonly baselineId: number;
}

/** The other hosts together. */
export interface Fleet {
    /** Takes in that hosts came or went. */
    membershipChanged(): void;
    /** Forgets what was told by hosts and cells that are gone. */
    evictDeparted(): void;
    /** Takes in what a host's process told at the moment; with when it was asked for, absent when it came unasked. */
    merge(sender: number, digest: messages.Digest, toldMs: number, askedMs: number | undefined): void;
    /** Cells that the hosts are divided into. */
    cellCount(): number;
    /** What another host is told of cells. */
    cellSummaries(told: LocalDigest, to: string | undefined): readonly messages.CellSummary[];
    /** Hosts that this one exchanges with. */
    gossipTargets(): readonly PeerState[];
    /** What the hosts ask for, for the shares of limits. */
    usageReports(): allowances.UsageReports;
    /** Statements and connections at an endpoint from the other hosts. */
    endpointUsage(endpoint: string): readonly [load: number, open: number];
    /** What the other hosts show of the store, those of other cells together. */
    peerProofs(): readonly tenure.PeerProof[];
}

/** Silence after which a host counts as not heard, in milliseconds: four exchanges, two of them its own. */
const silentMs = 2_000;

/** Tells whether a host counts as not heard. */
export function createFailureDetector(
    clock: runtime.Clock,
): (entry: Pick<PeerState, "digest" | "lastHeardMs">) => boolean {
    return entry => entry.digest === undefined || clock.now() - entry.lastHeardMs > silentMs;
}

/**
 * The host to ask for what this one lacks: of those with the newest configuration the one that answered last, as a host
 * that only speaks to this one may be out of its reach.
 */
export function chooseConfigurationSource(sources: readonly Peer[]): Peer | undefined {
    return [...sources].sort((left, right) =>
        (right.digest?.configurationVersion ?? 0) - (left.digest?.configurationVersion ?? 0)
        || right.lastPolledMs - left.lastPolledMs
    )[0];
}

/** Creates the view of a fleet whose hosts are kept by the exchange. */
export function createFleet(options: Options): Fleet {
    const { self, clock, peers: entries } = options;
    const silent = createFailureDetector(clock);
    const remote = cellViews.createRemoteCells();
    const tally = tallies.createCounter(options.baselineId);
    let division: cellsPart.HostsByCell | undefined;
    let places: ReadonlyMap<string, string> | undefined;

    /** Hosts by cell, this one included, as far as known. */
    function divide(): cellsPart.HostsByCell {
        division ??= cellsPart.assign([self, ...[...entries.values()].map(entry => entry.member)]);
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
    function mates(): readonly PeerState[] {
        return (divide().get(cellOf(self.id)) ?? []).flatMap(id => entries.get(id) ?? []);
    }

    function speakersOf(ids: readonly string[]): readonly string[] {
        const able = ids.filter(id => {
            const entry = entries.get(id);
            if (entry === undefined) {
                return id === self.id;
            }
            return !entry.member.leaving && (!entry.unreachable || clock.now() - entry.lastFailedMs > silentMs);
        });
        return able.slice(0, cellsPart.delegatesPerCell);
    }

    /** Hosts of other cells that this one speaks with: each speaker with the one of its own place. */
    function counterparts(): readonly PeerState[] {
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

    function use(digest: LocalDigest, others: readonly PeerState[]): messages.Digest["endpointUsage"] {
        const total: Record<string, readonly [number, number]> = {};
        for (const used of [digest.endpointUsage, ...others.map(entry => entry.digest?.endpointUsage ?? {})]) {
            for (const [id, [load, open]] of Object.entries(used)) {
                const [knownLoad, knownOpen] = total[id] ?? [0, 0];
                total[id] = [knownLoad + load, knownOpen + open];
            }
        }
        return total;
    }

    /** What this host tells of its own cell. */
    function summarize(digest: LocalDigest): messages.CellSummary {
        const nowMs = clock.now();
        const known = mates();
        const active = known.filter(entry => !silent(entry));
        const accounts = active.flatMap(entry => (entry.digest === undefined ? [] : [entry.digest.organisationUsage]));
        const asked = known.map(entry => nowMs - Math.max(entry.lastPolledMs, entry.lastRefusedMs));
        const proofs = known.flatMap(entry =>
            entry.digest?.proofAgeMs === undefined ? [] : [entry.digest.proofAgeMs + nowMs - entry.lastHeardMs]
        );
        const youngest = Math.min(digest.proofAgeMs ?? Infinity, ...proofs);
        const oldest = Math.max(0, ...asked);
        return {
            cell: cellOf(self.id),
            baselineId: tally.baselineId(),
            ageMs: active.reduce((sum, entry) => sum + nowMs - entry.lastHeardMs, 0) / (1 + active.length),
            liveHosts: 1 + active.length,
            suspectedHosts: known.filter(entry => silent(entry) && entry.registered).length,
            pollAgeMs: Number.isFinite(oldest) ? oldest : undefined,
            proofAgeMs: Number.isFinite(youngest) ? youngest : undefined,
            organisationUsage: tallies.sum([digest.organisationUsage, ...accounts], tally),
            endpointUsage: use(digest, active),
        };
    }

    /** Adds what the other host needs to know of cells. */
    function summaries(digest: LocalDigest, to: string | undefined): readonly messages.CellSummary[] {
        if (to === undefined || divide().size === 1) {
            return [];
        }
        const own = cellOf(self.id);
        const passes = cellOf(to) === own && speakersOf(divide().get(own) ?? []).includes(self.id);
        return [summarize(digest), ...passes ? remote.summaries(clock.now()) : []];
    }

    return {
        membershipChanged() {
            division = undefined;
            places = undefined;
        },
        evictDeparted() {
            remote.retain(new Set(cells().map(([name]) => name)), clock.now());
            tally.retain(new Set([self.incarnation, ...mates().map(entry => entry.member.incarnation)]));
        },
        merge(sender, digest, toldMs, askedMs) {
            const own = cellOf(self.id);
            if (cellOf(digest.self.id) === own) {
                tally.observe(digest.self.incarnation, digest.organisationUsage);
            }
            for (const summary of digest.cellSummaries) {
                if (summary.cell === own) {
                    tally.adopt(summary.baselineId, tallies.countsOf(summary.organisationUsage));
                }
                else {
                    remote.merge(sender, summary, toldMs, askedMs);
                }
            }
        },
        cellSummaries(told, to) {
            tally.observe(self.incarnation, told.organisationUsage);
            return summaries(told, to);
        },
        cellCount: () => divide().size,
        gossipTargets: () => [...mates(), ...counterparts()],
        usageReports() {
            const nowMs = clock.now();
            const direct = mates().filter(entry => !silent(entry) && !entry.member.leaving).flatMap(entry =>
                entry.digest === undefined
                    ? []
                    : [{
                        id: `${entry.member.id} ${entry.member.incarnation}`,
                        usage: entry.digest.organisationUsage,
                        hostCount: 1,
                        ageMs: nowMs - entry.lastHeardMs,
                    }]
            );
            const unheard = mates().filter(entry => silent(entry) && entry.registered).length;
            const beyond = cells().reduce((sum, [name, ids]) => {
                const registered = ids.filter(id => entries.get(id)?.registered ?? false).length;
                return sum + remote.suspectedHosts(name, registered, nowMs);
            }, 0);
            return { reports: [...direct, ...remote.usageReports(nowMs)], suspectedHosts: unheard + beyond };
        },
        endpointUsage(endpoint) {
            return mates().reduce<readonly [number, number]>(([load, open], entry) => {
                const [more, opened] = silent(entry) ? [0, 0] : entry.digest?.endpointUsage[endpoint] ?? [0, 0];
                return [load + more, open + opened];
            }, remote.endpointUsage(endpoint, clock.now()));
        },
        peerProofs() {
            const nowMs = clock.now();
            const direct = mates().map(entry => ({
                pollAgeMs: nowMs - Math.max(entry.lastPolledMs, entry.lastRefusedMs),
                proofAgeMs: entry.digest?.proofAgeMs,
            }));
            return [...direct, ...cells().map(([name]) => remote.peerProof(name, nowMs))];
        },
    };
}
