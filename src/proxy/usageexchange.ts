/**
 * Exchanges recent usage of limits with other hosts by way of relays, and applies what is known of it to the limiter. A
 * fleet of one cell has no relays, as its hosts hear of each other directly.
 */
import * as duties from "../core/duties.js";
import * as limiters from "../core/limiter.js";
import * as relayedUsages from "../core/relayedusage.js";
import * as relaySchedules from "../core/relayschedule.js";
import * as usageRelays from "../core/usagerelay.js";
import type * as runtime from "../ports/runtime.js";
import * as messages from "./messages.js";
import type * as gossip from "./peers.js";

/** Components that the exchange uses. */
export interface Options {
    readonly clock: runtime.Clock;
    self(): messages.Member;
    peers(): gossip.Peers;
    readonly tolerance: limiters.Tolerance;
    /** Whether hosts of a fleet of several cells report to relays. */
    readonly relays: boolean;
    /** Counts a report to a relay. */
    count(result: "answered" | "missed"): void;
}

/** The exchange of one host. */
export interface UsageExchange {
    /** The limiter that the usage is applied to. */
    readonly limiter: limiters.Limiter;
    /** Receives the report of another host as its relay. */
    handleReport(report: messages.UsageReport): messages.RelayedReports;
    /** Applies what is known of the other hosts' usage to the limiter, unless that was done within the interval. */
    applyReports(): void;
    start(): void;
    close(): void;
}

const checkIntervalMs = 100;
const applyIntervalMs = 250;
/** Time after which a report counts as unanswered. */
const reportTimeoutMs = 600;
/** Time after the start in which all hosts report, so that they know of each other sooner than by the gossip. */
const introductionMs = 4_000;
/** Largest fleet in which hosts report to relays: two hosts receive the reports of all. */
const maxRelayedHosts = 200;
/** Processor time that a relay needs for one report, and the fraction of its capacity that all of them may take. */
const reportCostMs = 0.7;
const relayCapacityFraction = 0.1;
const minReportIntervalMs = 250;
/** With a longer interval, usage would not be young enough for the whole tolerance of the limits. */
const maxReportIntervalMs = 500;

type EncodedUsage = messages.UsageReport["usage"];

function encode(usage: usageRelays.RecentUsageByOrganisation): EncodedUsage {
    return Object.fromEntries(
        Object.entries(usage).map(([organisation, entry]) => [organisation, [
            entry.demandPerSecond,
            entry.admittedCount,
            entry.remaining,
            entry.recentCount,
        ]]),
    );
}

function decode(usage: EncodedUsage): usageRelays.RecentUsageByOrganisation {
    return Object.fromEntries(
        Object.entries(usage).map((
            [organisation, [demandPerSecond = 0, admittedCount = 0, remaining = 0, recentCount = 0]],
        ) => [organisation, { demandPerSecond, admittedCount, remaining, recentCount }]),
    );
}

/** Time between two reports of a host, by the number of hosts and the capacity of the weakest relay. */
export function reportIntervalMs(hostCount: number, relayCapacity: number): number {
    const neededMs = hostCount * reportCostMs / (relayCapacity * relayCapacityFraction) / relaySchedules.relayCount;
    return Math.min(maxReportIntervalMs, Math.max(minReportIntervalMs, neededMs));
}

/** Creates the exchange of a host; it reports nothing until it is started. */
export function createUsageExchange(options: Options): UsageExchange {
    const { clock } = options;
    const relay = usageRelays.createRelay();
    const relayed = relayedUsages.createRelayedUsage();
    const schedule = relaySchedules.createSchedule(introductionMs, clock.now());
    let lastTransitMs = 0;
    let appliedMs = -Infinity;
    let stop: (() => void) | undefined;

    const isOneCell = (): boolean => options.peers().cellCount() === 1;
    const usesRelays = (): boolean => options.relays && !isOneCell();
    const limiter = limiters.createLimiter({
        tolerance: options.tolerance,
        hearsAllLately: nowMs => isOneCell() || (options.relays && relayed.isFresh(nowMs)),
    });

    function apply(): void {
        const nowMs = clock.now();
        const peers = options.peers();
        const gossiped = peers.usageReports();
        const reports = usesRelays()
            ? relayed.combine(gossiped, peers.cellOf, peers.cellOf(options.self().id), nowMs)
            : gossiped;
        appliedMs = nowMs;
        limiter.applyReports(reports, nowMs);
    }

    /** The hosts that could be relays, the strongest first. */
    function candidates(): readonly messages.Member[] {
        const others = options.peers().all().filter(peer => peer.registered && !peer.member.leaving);
        return [options.self(), ...others.map(peer => peer.member)].sort(duties.compare);
    }

    async function report(): Promise<void> {
        const requestedAtMs = clock.now();
        const self = options.self();
        const hasDemand = limiter.hasRecentDemand(requestedAtMs);
        if (!usesRelays() || (!hasDemand && !schedule.introduces(requestedAtMs))) {
            schedule.next([], 0, hasDemand, requestedAtMs);
            return;
        }
        const ranked = candidates();
        if (ranked.length > maxRelayedHosts) {
            return;
        }
        const weakest = ranked[relaySchedules.relayCount - 1]?.capacity ?? 1;
        const intervalMs = reportIntervalMs(ranked.length, weakest);
        const id = schedule.next(ranked.map(host => host.id), intervalMs, hasDemand, requestedAtMs);
        const receiver = ranked.find(host => host.id === id);
        if (receiver === undefined) {
            return;
        }
        const content = {
            host: self.id,
            process: `${self.id} ${self.incarnation}`,
            usage: limiter.recentUsage(requestedAtMs),
            transitMs: lastTransitMs,
            wantsAll: schedule.introduces(requestedAtMs),
        };
        if (receiver.id === self.id) {
            schedule.answered(self.id);
            relayed.merge(relay.exchange({ ...content, transitMs: 0 }, requestedAtMs), requestedAtMs, requestedAtMs);
            apply();
            return;
        }
        const encoded = { ...content, usage: encode(content.usage) };
        const reply = await options.peers().call(receiver, messages.peer.usage, encoded, reportTimeoutMs);
        const nowMs = clock.now();
        options.count(reply.isOk() ? "answered" : "missed");
        if (reply.isErr()) {
            schedule.failed(receiver.id, nowMs);
            return;
        }
        schedule.answered(receiver.id);
        lastTransitMs = nowMs - requestedAtMs;
        relayed.merge(reply.value.map(entry => ({ ...entry, usage: decode(entry.usage) })), requestedAtMs, nowMs);
        apply();
    }

    return {
        limiter,
        handleReport: received =>
            relay.exchange({ ...received, usage: decode(received.usage) }, clock.now())
                .map(entry => ({ ...entry, usage: encode(entry.usage) })),
        applyReports() {
            if (clock.now() - appliedMs >= applyIntervalMs) {
                apply();
            }
        },
        start() {
            stop = clock.every(checkIntervalMs, () => void report());
        },
        close: () => stop?.(),
    };
}
