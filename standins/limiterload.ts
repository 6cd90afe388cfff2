/**
 * Limiters of a large fleet under a drawn load. Hosts stand in cells; what a host admitted reaches the hosts of its cell
 * within a second, and those of the other cells over three hops of up to a second each.
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as limiters from "../src/core/limiter.js";

/** One organisation's load. */
export interface Organisation extends limiters.Limit {
    readonly name: string;
    /** Hosts that its callers are connected to. */
    readonly hosts: readonly number[];
    /** Operations a second, arriving at random times. */
    perSecond(nowMs: number): number;
}

/** A load and the disruptions during it. */
export interface Scenario {
    readonly hostCount: number;
    readonly hostsPerCell: number;
    readonly lengthMs: number;
    readonly seed: number;
    readonly tolerance: limiters.Tolerance;
    readonly organisations: readonly Organisation[];
    /** True while two hosts, or their cells, don't hear each other. */
    cut?(host: number, other: number, nowMs: number): boolean;
    /** Hosts whose processes end at a time and start again later: their counts are lost. */
    readonly restarts?: readonly { readonly host: number; readonly atMs: number; readonly downMs: number }[];
    /** Time from which a host takes part; 0 unless it joins later. */
    joinsMs?(host: number): number;
    /** Time from which operations arrive; before it, the hosts only discover each other. */
    readonly quietMs?: number;
}

/** What became of one organisation's operations. */
export interface Outcome {
    readonly admittedMs: readonly number[];
    readonly refused: number;
    /** Operations that a bucket with the rate and burst, which knows of all hosts, would have admitted in addition. */
    readonly wrongful: number;
    /** Largest number of operations admitted in any window. */
    readonly worstWindow: number;
    /** Largest number that the limit allows in a window, with the tolerance. */
    readonly bound: number;
}

const stepMs = 5;
const tickMs = 250;
const exchangeMs = 1_000;

/** A bucket with the plain rate and burst, debited by what the hosts admit or refuse wrongfully. */
function createAccount({ ratePerSecond, burst }: limiters.Limit) {
    let [level, updatedMs] = [burst, 0];
    function balance(nowMs: number): number {
        level = Math.min(burst, level + ratePerSecond * (nowMs - updatedMs) / 1_000);
        updatedMs = nowMs;
        return level;
    }
    return {
        balance,
        debit(nowMs: number): void {
            level = balance(nowMs) - 1;
        },
    };
}

interface Snapshot {
    readonly atMs: number;
    readonly incarnation: number;
    readonly usage: limiters.UsageByOrganisation;
}

/** Plays a scenario; returns the outcome by organisation. */
export function play(scenario: Scenario): ReadonlyMap<string, Outcome> {
    const { hostCount, hostsPerCell, organisations, tolerance } = scenario;
    const generator = generators.xoroshiro128plus(scenario.seed);
    const random = (): number => uniform.uniformFloat64(generator);
    const joinsMs = scenario.joinsMs ?? (() => 0);
    const cut = scenario.cut ?? (() => false);
    const limits = new Map(organisations.map(entry => [entry.name, entry]));
    const phases = new Map<string, number>();
    const histories: Snapshot[][] = Array.from({ length: hostCount }, () => []);
    const incarnations = Array.from({ length: hostCount }, () => 0);
    const hosts = Array.from({ length: hostCount }, start);
    const admitted = new Map(organisations.map(entry => [entry.name, [] as number[]]));
    const accounts = new Map(organisations.map(entry => [entry.name, createAccount(entry)]));
    const refusals = new Map(organisations.map(entry => [entry.name, { all: 0, wrongful: 0 }]));
    const cellOf = (host: number): number => Math.floor(host / hostsPerCell);
    const cells = Array.from({ length: Math.ceil(hostCount / hostsPerCell) }, (_, cell) => cell);

    function start(): limiters.Limiter {
        const limiter = limiters.createLimiter({ tolerance, hearsAllDirectly: () => hostCount <= hostsPerCell });
        limiter.setLimits(limits);
        return limiter;
    }

    /** Time of the last exchange of a pair, in the grid of ticks. */
    function lastExchange(pair: string, nowMs: number): number {
        const phase = phases.get(pair) ?? Math.floor(random() * exchangeMs / tickMs) * tickMs;
        phases.set(pair, phase);
        return Math.floor((nowMs - phase) / exchangeMs) * exchangeMs + phase;
    }

    const snapshotAt = (host: number, atMs: number): Snapshot | undefined =>
        histories[host]?.filter(entry => entry.atMs <= atMs).pop();

    function reportsFor(host: number, nowMs: number): limiters.UsageReports {
        const reports: limiters.UsageReport[] = [];
        let suspectedHosts = 0;
        for (const cell of cells) {
            const members = Array.from({ length: hostsPerCell }, (_, index) => cell * hostsPerCell + index)
                .filter(member => member < hostCount && member !== host && joinsMs(member) <= nowMs - exchangeMs);
            const unheard = members.filter(member => cut(host, member, nowMs));
            const heard = members.filter(member => !unheard.includes(member));
            suspectedHosts += unheard.length;
            if (cell === cellOf(host)) {
                for (const member of heard) {
                    const atMs = lastExchange(`${Math.min(host, member)} ${Math.max(host, member)}`, nowMs);
                    const snapshot = snapshotAt(member, atMs);
                    if (snapshot !== undefined) {
                        const id = `${member} ${snapshot.incarnation}`;
                        reports.push({ id, usage: snapshot.usage, hostCount: 1, ageMs: nowMs - atMs });
                    }
                }
                continue;
            }
            const received = lastExchange(`hop ${cellOf(host)} ${host} ${cell}`, nowMs);
            const sent = lastExchange(`hop ${cellOf(host)} ${cell}`, received);
            const observed = lastExchange(`hop ${cell}`, sent);
            const usage = combine(heard.map(member => snapshotAt(member, observed)), cell);
            // A cell of which nothing was heard counts as suspected.
            if (heard.some(member => snapshotAt(member, observed) !== undefined)) {
                reports.push({ id: `cell ${cell}`, usage, hostCount: heard.length, ageMs: nowMs - observed });
            }
            else {
                suspectedHosts += heard.length;
            }
        }
        return { reports, suspectedHosts };
    }

    /** Operations that the earlier processes of restarted hosts admitted, by cell and organisation. */
    const lost = new Map<string, number>();

    function combine(snapshots: readonly (Snapshot | undefined)[], cell: number): limiters.UsageByOrganisation {
        const total: Record<string, limiters.Usage> = {};
        for (const snapshot of snapshots) {
            for (const [name, usage] of Object.entries(snapshot?.usage ?? {})) {
                const previous = total[name];
                total[name] = {
                    demandPerSecond: (previous?.demandPerSecond ?? 0) + usage.demandPerSecond,
                    admittedCount: (previous?.admittedCount ?? lost.get(`${cell} ${name}`) ?? 0) + usage.admittedCount,
                    remaining: Math.min(previous?.remaining ?? Infinity, usage.remaining),
                };
            }
        }
        return total;
    }

    function restart(host: number, nowMs: number): void {
        for (const [name, usage] of Object.entries(hosts[host]?.usage(nowMs) ?? {})) {
            const key = `${cellOf(host)} ${name}`;
            lost.set(key, (lost.get(key) ?? 0) + usage.admittedCount);
        }
        hosts[host] = start();
        incarnations[host] = (incarnations[host] ?? 0) + 1;
        histories[host] = [];
    }

    const isDown = (host: number, nowMs: number): boolean =>
        joinsMs(host) > nowMs
        || (scenario.restarts ?? []).some(entry =>
            entry.host === host && entry.atMs <= nowMs && nowMs < entry.atMs + entry.downMs
        );

    function ask(organisation: Organisation, nowMs: number): void {
        const live = organisation.hosts.filter(host => !isDown(host, nowMs));
        const host = live[Math.floor(random() * live.length)];
        const counts = refusals.get(organisation.name);
        const account = accounts.get(organisation.name);
        if (host === undefined || counts === undefined || account === undefined) {
            return;
        }
        if (hosts[host]?.admit(organisation.name, nowMs).admitted === true) {
            account.debit(nowMs);
            admitted.get(organisation.name)?.push(nowMs);
            return;
        }
        counts.all += 1;
        if (account.balance(nowMs) >= 1) {
            account.debit(nowMs);
            counts.wrongful += 1;
        }
    }

    for (let nowMs = 0; nowMs < scenario.lengthMs; nowMs += stepMs) {
        for (const entry of scenario.restarts ?? []) {
            if (entry.atMs + entry.downMs === nowMs) {
                restart(entry.host, nowMs);
            }
        }
        if (nowMs % tickMs === 0) {
            hosts.forEach((limiter, host) => {
                if (!isDown(host, nowMs)) {
                    const usage = limiter.usage(nowMs);
                    histories[host]?.push({ atMs: nowMs, incarnation: incarnations[host] ?? 0, usage });
                }
            });
            hosts.forEach((limiter, host) => {
                if (!isDown(host, nowMs) && nowMs > 0) {
                    limiter.applyReports(reportsFor(host, nowMs), nowMs);
                }
            });
        }
        if (nowMs >= (scenario.quietMs ?? 0)) {
            for (const organisation of organisations) {
                // At most one operation a step: the rates are far below one a step.
                if (random() < organisation.perSecond(nowMs) * stepMs / 1_000) {
                    ask(organisation, nowMs);
                }
            }
        }
    }
    return new Map(organisations.map(organisation => {
        const times = admitted.get(organisation.name) ?? [];
        const counts = refusals.get(organisation.name) ?? { all: 0, wrongful: 0 };
        return [organisation.name, {
            admittedMs: times,
            refused: counts.all,
            wrongful: counts.wrongful,
            worstWindow: worstWindow(times, tolerance.windowMs),
            bound: limiters.windowBound(organisation, tolerance),
        }];
    }));
}

/** Largest number of times in any window of the length. */
export function worstWindow(timesMs: readonly number[], windowMs: number): number {
    let first = 0;
    let worst = 0;
    timesMs.forEach((atMs, index) => {
        while ((timesMs[first] ?? atMs) <= atMs - windowMs) {
            first += 1;
        }
        worst = Math.max(worst, index - first + 1);
    });
    return worst;
}
