import * as chai from "chai";
import * as fc from "fast-check";
import * as rooms from "./room.js";

const intervalMs = 250;
const megabyte = 2 ** 20;
const capacity: rooms.Capacity = { cores: 0.5, memoryBytes: 160 * megabyte, linkBytesPerSecond: 250_000 };

interface Rates {
    /** Part of the time for which the event loop is busy. */
    readonly loop?: number;
    /** Processor time for each second, in seconds. */
    readonly processor?: number;
    readonly timerDelayMs?: number;
    readonly memoryBytes?: number;
    readonly bytesPerSecond?: number;
}

/** Drives a meter with constant rates; returns when it became strained or recovered, for each change. */
function createDriver(meter: rooms.Meter): (rates: Rates, durationMs: number) => readonly number[] {
    let nowMs = 0;
    const total = { loopBusyMs: 0, processorMs: 0, callerBytes: 0 };
    return (rates, durationMs) => {
        const changes: number[] = [];
        for (const endMs = nowMs + durationMs; nowMs < endMs;) {
            nowMs += intervalMs;
            total.loopBusyMs += (rates.loop ?? 0) * intervalMs;
            total.processorMs += (rates.processor ?? 0) * intervalMs;
            total.callerBytes += (rates.bytesPerSecond ?? 0) * intervalMs / 1_000;
            const before = meter.strained();
            const { timerDelayMs = 0, memoryBytes = 0 } = rates;
            meter.measure({ ...total, timerDelayMs, memoryBytes }, nowMs);
            if (meter.strained() !== before) {
                changes.push(nowMs);
            }
        }
        return changes;
    };
}

describe("the room of a host", () => {
    it("counts as average until the load has been measured for 4 s, however much starting takes", () => {
        const meter = rooms.createMeter(capacity);
        createDriver(meter)({ loop: 1, processor: 0.5 }, 4_000);
        chai.expect([meter.load(), meter.spare(), meter.strained()]).to.deep.equal([undefined, 0.5, false]);
    });

    const parts: readonly (readonly [keyof rooms.Load, Rates])[] = [
        ["processor", { loop: 0.95 }],
        ["processor", { loop: 0.2, processor: 0.475 }],
        ["delay", { timerDelayMs: 240 }],
        ["memory", { memoryBytes: 156.5 * megabyte }],
        ["link", { bytesPerSecond: 240_000 }],
    ];
    parts.forEach(([name, rates]) => {
        it(`ends with ${name} at ${JSON.stringify(rates)}`, () => {
            const meter = rooms.createMeter(capacity);
            const changes = createDriver(meter)(rates, 12_000);
            const load = meter.load();
            chai.expect(load === undefined ? undefined : rooms.scarcest(load)).to.equal(name);
            chai.expect(meter.spare()).to.be.below(0.12);
            chai.expect(changes).to.have.length(1);
        });
    });

    it("ignores capacities that the settings don't give", () => {
        const meter = rooms.createMeter({ cores: 1, memoryBytes: undefined, linkBytesPerSecond: undefined });
        createDriver(meter)({ memoryBytes: 1e12, bytesPerSecond: 1e12 }, 12_000);
        chai.expect(meter.spare()).to.equal(1);
    });

    it("shows within 5 s that a host turned five times slower, and its recovery after 6 s of calm", () => {
        const meter = rooms.createMeter(capacity);
        const drive = createDriver(meter);
        chai.expect(drive({ loop: 0.3 }, 10_000)).to.deep.equal([]);
        const [strainedMs = Infinity] = drive({ loop: 1, timerDelayMs: 200 }, 6_000);
        chai.expect(strainedMs - 10_000).to.be.within(2_000, 5_500);
        const [recoveredMs = Infinity] = drive({ loop: 0.3 }, 10_000);
        chai.expect(recoveredMs - 16_000).to.be.within(6_000, 8_000);
    });

    it("does not call a host strained that was paused for 3 s, or is full for a second at a time", () => {
        const meter = rooms.createMeter(capacity);
        const drive = createDriver(meter);
        drive({ loop: 0.3 }, 10_000);
        for (let round = 0; round < 20; round += 1) {
            chai.expect(drive({ loop: 1 }, 1_000)).to.deep.equal([]);
            chai.expect(drive({ loop: 0.4 }, 1_000)).to.deep.equal([]);
        }
        const paused = { loopBusyMs: 40_000, processorMs: 0, timerDelayMs: 3_000, memoryBytes: 0, callerBytes: 0 };
        meter.measure(paused, 53_250);
        chai.expect(meter.strained()).to.equal(false);
        chai.expect(meter.spare()).to.be.above(0.25);
    });

    it("changes at most once in 2 s, whatever the load does (property)", () => {
        const rates = fc.record({
            loop: fc.double({ min: 0, max: 2, noNaN: true }),
            timerDelayMs: fc.nat(2_000),
            bytesPerSecond: fc.nat(1_000_000),
        });
        fc.assert(
            fc.property(fc.array(fc.tuple(rates, fc.integer({ min: 1, max: 40 })), { maxLength: 30 }), steps => {
                const meter = rooms.createMeter(capacity);
                const drive = createDriver(meter);
                const changes = steps.flatMap(([rate, count]) => drive(rate, count * intervalMs));
                changes.slice(1).forEach((atMs, index) =>
                    chai.expect(atMs - (changes[index] ?? 0)).to.be.at.least(2_000)
                );
                chai.expect(meter.spare()).to.be.within(0, 1);
            }),
            { seed: 20261, numRuns: 300 },
        );
    });
});
