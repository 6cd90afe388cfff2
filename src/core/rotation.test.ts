import * as chai from "chai";
import * as fc from "fast-check";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as cells from "./cells.js";
import * as rooms from "./room.js";
import * as rotations from "./rotation.js";

const stepMs = 250;
/** Usual age of what hosts know of each other: polls go out each second in both directions. */
const usualViewMs = 1_000;

interface Host {
    readonly id: string;
    readonly failureDomain: string;
    readonly cores: number;
    /** Work that its open connections bring, in cores. */
    demand: number;
    /** Factor by which the host is slower than configured. */
    slowness: number;
    silent: boolean;
}

interface Model {
    readonly hosts: readonly Host[];
    readonly load: (host: Host) => number;
    readonly inRotation: (host: Host) => boolean;
    /** Times at which hosts left, by host. */
    readonly left: ReadonlyMap<string, readonly number[]>;
    /** Time out of rotation by host, in milliseconds. */
    readonly outMs: ReadonlyMap<string, number>;
    run(durationMs: number, step?: (nowMs: number) => void): void;
}

/** Hosts with meters and decisions that see each other late. `enabled` false: nobody ever leaves. */
function createModel(
    hosts: readonly Host[],
    seed: number,
    enabled = true,
    viewMsOf: (observer: Host, host: Host) => number = () => usualViewMs,
): Model {
    const generator = generators.xoroshiro128plus(seed);
    const random = (): number => uniform.uniformFloat64(generator);
    const cellOf = new Map(
        [...cells.assign(hosts)].flatMap(([name, ids]) => ids.map(id => [id, name] as const)),
    );
    const meters = new Map(hosts.map(host => [
        host.id,
        rooms.createMeter({ cores: host.cores, memoryBytes: undefined, linkBytesPerSecond: undefined }),
    ]));
    const decisions = new Map(hosts.map(host => [host.id, rotations.createRotation({ random })]));
    const busyMs = new Map<string, number>();
    const left = new Map<string, number[]>();
    const outMs = new Map<string, number>();
    type Seen = { readonly load: number | undefined; readonly claim: number | undefined; readonly inRotation: boolean };
    const history: ReadonlyMap<string, Seen>[] = [];
    let nowMs = 0;
    const load = (host: Host): number => 1 - (meters.get(host.id)?.spare() ?? 1);
    const inRotation = (host: Host): boolean => decisions.get(host.id)?.inRotation() ?? true;

    function step(): void {
        nowMs += stepMs;
        history.push(
            new Map(hosts.map(host => [host.id, {
                load: load(host),
                claim: decisions.get(host.id)?.claim(),
                inRotation: inRotation(host),
            }])),
        );
        for (const host of hosts) {
            const use = Math.min(1, host.demand * host.slowness / host.cores);
            busyMs.set(host.id, (busyMs.get(host.id) ?? 0) + use * stepMs);
            const meter = meters.get(host.id);
            meter?.measure(
                {
                    loopBusyMs: busyMs.get(host.id) ?? 0,
                    processorMs: 0,
                    timerDelayMs: 0,
                    memoryBytes: 0,
                    callerBytes: 0,
                },
                nowMs,
            );
            const wasIn = inRotation(host);
            if (enabled) {
                const neighbours = hosts.filter(other =>
                    other !== host && other.failureDomain === host.failureDomain
                    && cellOf.get(other.id) === cellOf.get(host.id)
                ).map(other => {
                    const ageMs = other.silent ? Infinity : viewMsOf(host, other);
                    const seen = history[Math.max(0, history.length - 1 - Math.ceil(ageMs / stepMs))]?.get(other.id);
                    const { load: seenLoad, claim, inRotation: isIn = true } = seen ?? {};
                    return { id: other.id, load: seenLoad, claim, inRotation: isIn, ageMs };
                });
                decisions.get(host.id)?.decide({
                    nowMs,
                    id: host.id,
                    load: meter?.load() === undefined ? undefined : load(host),
                    otherwiseReady: true,
                    neighbours,
                });
            }
            if (wasIn && !inRotation(host)) {
                left.set(host.id, [...left.get(host.id) ?? [], nowMs]);
            }
            if (!inRotation(host)) {
                outMs.set(host.id, (outMs.get(host.id) ?? 0) + stepMs);
            }
        }
    }

    return {
        hosts,
        load,
        inRotation,
        left,
        outMs,
        run(durationMs, each) {
            for (const endMs = nowMs + durationMs; nowMs < endMs;) {
                step();
                each?.(nowMs);
            }
        },
    };
}

function createHosts(count: number, domainCount: number, coresOf: (index: number) => number): readonly Host[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `host-${String(index).padStart(3, "0")}`,
        failureDomain: `domain-${index % domainCount}`,
        cores: coresOf(index),
        demand: 0,
        slowness: 1,
        silent: false,
    }));
}

/** The largest part of a failure domain's hosts that is out of rotation. */
function largestOutPart(model: Model): number {
    const domains = [...new Set(model.hosts.map(host => host.failureDomain))];
    return Math.max(...domains.map(domain => {
        const members = model.hosts.filter(host => host.failureDomain === domain);
        return members.filter(host => !model.inRotation(host)).length / members.length;
    }));
}

/**
 * Plays 105 hosts of 0.227 to 1.35 cores in 6 failure domains before callers that a hash spreads over the hosts in
 * rotation; each caller stays with its host for 8 s on average. Returns the part of the work that overloaded hosts delay.
 */
function playUnevenHosts(seed: number, enabled: boolean): { late: number; model: Model; outPart: number } {
    const generator = generators.xoroshiro128plus(seed);
    const random = (): number => uniform.uniformFloat64(generator);
    const hosts = createHosts(105, 6, () => [0.227, 0.45, 0.675, 1.35][Math.floor(random() * 4)] ?? 1);
    const model = createModel(hosts, seed, enabled);
    const callerCores = 0.018;
    const callerCount = 1_900;
    const meanStayMs = 8_000;
    const callers = Array.from({ length: callerCount }, (_, index) => ({ domain: index % 6, hash: random() }));
    const placed: (Host | undefined)[] = callers.map(() => undefined);
    let [late, total, outPart] = [0, 0, 0];
    model.run(60_000, nowMs => {
        callers.forEach((caller, index) => {
            if (placed[index] === undefined || random() < stepMs / meanStayMs) {
                const members = hosts.filter(host => host.failureDomain === `domain-${caller.domain}`);
                const open = members.filter(host => model.inRotation(host));
                const pool = open.length * 2 < members.length ? members : open;
                placed[index] = pool[Math.floor(random() * pool.length)];
            }
        });
        hosts.forEach(host => {
            host.demand = placed.filter(other => other === host).length * callerCores;
        });
        outPart = Math.max(outPart, largestOutPart(model));
        if (nowMs > 10_000) {
            hosts.forEach(host => {
                late += Math.max(0, host.demand - 0.95 * host.cores);
                total += host.demand;
            });
        }
    });
    return { late: late / total, model, outPart };
}

describe("rotation", function() {
    this.timeout(60_000);

    it("relieves the weak ones of 105 hosts of 0.227 to 1.35 cores before callers that a hash spreads", () => {
        for (const seed of [1, 2, 3]) {
            const off = playUnevenHosts(seed, false);
            const on = playUnevenHosts(seed, true);
            if (process.env["LOG"] === "1") {
                process.stderr.write(`seed ${seed}: late ${off.late.toFixed(4)} off, ${on.late.toFixed(4)} on\n`);
            }
            chai.expect(on.late).to.be.below(off.late * 0.9);
            chai.expect(on.outPart).to.be.within(0.01, 0.25);
            const totalOutMs = [...on.model.outMs.values()].reduce((sum, ms) => sum + ms, 0);
            chai.expect(totalOutMs / (105 * 60_000)).to.be.below(1 / 8);
        }
    });

    it("takes out at most two of the eight hosts of a failure domain when three turn slow at once for 8 s", () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const hosts = createHosts(24, 3, () => 0.675);
            hosts.forEach(host => {
                host.demand = 0.2;
            });
            const model = createModel(hosts, seed);
            model.run(10_000);
            chai.expect(largestOutPart(model)).to.equal(0);
            const slow = hosts.filter(host => host.failureDomain === "domain-1").slice(0, 3);
            slow.forEach(host => {
                host.slowness = 5.5;
            });
            let most = 0;
            model.run(8_000, () => {
                most = Math.max(most, largestOutPart(model));
            });
            chai.expect(most).to.equal(0.25);
            slow.forEach(host => {
                host.slowness = 1;
            });
            const returnedMs: number[] = [];
            model.run(8_000, nowMs => {
                if (returnedMs.length === 0 && slow.every(host => model.inRotation(host))) {
                    returnedMs.push(nowMs);
                }
            });
            chai.expect(returnedMs[0] ?? Infinity).to.be.at.most(24_000);
            chai.expect([...model.left.values()].flat()).to.have.length(2);
            chai.expect([...model.left.keys()].every(id => slow.some(host => host.id === id))).to.equal(true);
        }
    });

    it("keeps all hosts when all are busy at once", () => {
        const model = createModel(createHosts(24, 3, () => 0.3), 1);
        model.hosts.forEach(host => {
            host.demand = 0.6;
        });
        model.run(30_000);
        chai.expect(model.left.size).to.equal(0);
    });

    it("decides nothing on stale digests, so that a host that is cut off stays ready", () => {
        const model = createModel(createHosts(24, 3, () => 0.675), 1);
        const [full, ...others] = model.hosts.filter(host => host.failureDomain === "domain-0");
        const silent = others.slice(0, 2);
        (full as Host).demand = 2;
        silent.forEach(host => {
            host.silent = true;
        });
        model.run(20_000);
        chai.expect(model.left.size).to.equal(0);
        silent.forEach(host => {
            host.silent = false;
        });
        model.run(8_000);
        chai.expect([...model.left.keys()]).to.deep.equal([full?.id]);
    });

    it("never takes a host out of a failure domain of fewer than four, and changes nothing in calm", () => {
        const small = createModel(createHosts(9, 3, () => 0.3), 1);
        (small.hosts[0] as Host).demand = 1;
        small.run(30_000);
        chai.expect(small.left.size).to.equal(0);
        const calm = createModel(createHosts(40, 4, index => 0.227 + index * 0.02), 1);
        calm.hosts.forEach(host => {
            host.demand = host.cores * 0.6;
        });
        calm.run(60_000);
        chai.expect(calm.left.size).to.equal(0);
    });

    it("never takes out more than a quarter of a cell, whichever hosts turn slow, however late they hear (property)", () => {
        const scenario = fc.record({
            seed: fc.nat(),
            hostCount: fc.integer({ min: 3, max: 16 }),
            slowness: fc.array(fc.tuple(fc.nat(15), fc.constantFrom(1, 2, 4, 6)), { maxLength: 40 }),
            viewsMs: fc.array(fc.nat(1_500), { minLength: 16, maxLength: 16 }),
        });
        let leftCount = 0;
        fc.assert(
            fc.property(scenario, ({ seed, hostCount, slowness, viewsMs }) => {
                const hosts = createHosts(hostCount, 1, () => 0.675);
                hosts.forEach(host => {
                    host.demand = 0.25;
                });
                const model = createModel(
                    hosts,
                    seed,
                    true,
                    (observer, host) =>
                        viewsMs[(hosts.indexOf(observer) * 5 + hosts.indexOf(host)) % viewsMs.length] ?? usualViewMs,
                );
                model.run(6_000);
                slowness.forEach(([index, factor]) => {
                    const host = hosts[index % hostCount];
                    if (host !== undefined) {
                        host.slowness = factor;
                    }
                    model.run(1_000, () => {
                        const outCount = hosts.filter(other => !model.inRotation(other)).length;
                        chai.expect(outCount).to.be.at.most(Math.floor(hostCount / 4));
                        leftCount += outCount > 0 ? 1 : 0;
                    });
                });
            }),
            { seed: 20261, numRuns: 300 },
        );
        chai.expect(leftCount).to.be.above(100);
    });

    it("leaves a host that stays full in rotation for nine tenths of the time", () => {
        const model = createModel(createHosts(8, 1, () => 0.675), 1);
        (model.hosts[0] as Host).demand = 5;
        model.run(300_000);
        const outMs = model.outMs.get("host-000") ?? 0;
        chai.expect(outMs / 300_000).to.be.within(0.05, 0.125);
    });
});
