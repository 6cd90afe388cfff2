import * as chai from "chai";
import type * as rotations from "../core/rotation.js";
import type * as runtime from "../ports/runtime.js";
import * as hostRooms from "./hostroom.js";
import * as readinessStates from "./readinessstate.js";
import type * as roomViews from "./roomview.js";

type Emitted = readonly [name: string, fields: runtime.Fields];

/** A host of 0.5 cores with seven neighbours, on a clock of its own. */
function createHost(measures = true, yields = true): {
    readonly room: hostRooms.HostRoom;
    readonly readiness: readinessStates.Readiness;
    readonly emitted: readonly Emitted[];
    readonly neighbours: rotations.Neighbour[];
    run(durationMs: number, loopPart: number): void;
} {
    let [nowMs, loopBusyMs] = [0, 0];
    const emitted: Emitted[] = [];
    const events = () => ({
        emit: (name: string, fields: runtime.Fields) => void emitted.push([name, fields]),
        reportOmitted: () => undefined,
    });
    const neighbours = Array.from({ length: 7 }, (_, index) => ({
        id: `host-${index + 1}`,
        load: 0.4,
        claim: undefined,
        inRotation: true,
        ageMs: 500,
    }));
    const readiness = readinessStates.createReadiness({
        events,
        stopping: () => false,
        conditions: () => ({ configuration: true }),
        hasRoom: () => room.inRotation(),
    });
    const view = {
        neighbours: () => neighbours,
        claimToDuties: () => ({ strained: false, spare: 0.6 }),
    } as unknown as roomViews.RoomView;
    const room = hostRooms.createHostRoom({
        settings: {
            id: "host-0",
            processor: { share: 0.5, cores: 1 },
            memoryMegabytes: undefined,
            linkMegabitsPerSecond: undefined,
            yieldWithoutRoom: yields,
        },
        clock: { now: () => nowMs, sleep: async () => undefined, every: () => () => undefined },
        processUsage: measures ? () => ({ loopBusyMs, processorMs: 0, memoryBytes: 0 }) : undefined,
        random: () => 0.5,
        events,
        peers: () => ({ live: () => [{ member: { id: "host-1", leaving: false } } as never], rooms: view }),
        otherwiseReady: readiness.otherwiseReady,
        callers: () => undefined,
    });
    return {
        room,
        readiness,
        emitted,
        neighbours,
        run(durationMs, loopPart) {
            for (const endMs = nowMs + durationMs; nowMs < endMs;) {
                nowMs += hostRooms.checkIntervalMs;
                loopBusyMs += hostRooms.checkIntervalMs * loopPart;
                room.check();
                readiness.report();
            }
        },
    };
}

describe("the room of this host", () => {
    it("takes the host out of rotation when it is full, tells why, and brings it back", () => {
        const host = createHost();
        host.run(10_000, 0.4);
        chai.expect(host.readiness.ready()).to.equal(true);
        chai.expect(host.room.report()).to.deep.include({ strained: false, inRotation: true, claim: undefined });
        host.run(6_500, 1);
        chai.expect([host.readiness.ready(), host.readiness.otherwiseReady()]).to.deep.equal([false, true]);
        chai.expect(host.room.report()).to.deep.include({ strained: true, inRotation: false });
        chai.expect(host.room.shouldHandOver()).to.equal(true);
        const changes = host.emitted.filter(([name]) => name === "roomChanged");
        chai.expect(changes.some(([, fields]) => fields["reason"] === "full")).to.equal(true);
        const [, left] = host.emitted.filter(([name]) => name === "readinessChanged").at(-1) ?? [];
        chai.expect(left).to.deep.equal({ ready: false, stopping: false, missing: ["room"] });
        host.run(10_000, 0.2);
        chai.expect(host.readiness.ready()).to.equal(true);
        chai.expect(host.room.shouldHandOver()).to.equal(false);
    });

    it("is neither measured nor told unless the settings let the host yield", () => {
        const host = createHost(true, false);
        host.run(20_000, 1);
        chai.expect([host.readiness.ready(), host.room.shouldHandOver()]).to.deep.equal([true, false]);
        chai.expect([host.room.report(), host.room.load()]).to.deep.equal([undefined, undefined]);
    });

    it("stays in rotation when the neighbours are busy as well", () => {
        const host = createHost();
        host.run(10_000, 0.4);
        host.neighbours.forEach((_, index) => {
            host.neighbours[index] = { ...host.neighbours[index] as rotations.Neighbour, load: 0.9 };
        });
        host.run(20_000, 1);
        chai.expect(host.readiness.ready()).to.equal(true);
    });

    it("says nothing and changes nothing where the process can't be measured", () => {
        const host = createHost(false);
        host.run(20_000, 1);
        chai.expect([host.room.report(), host.room.load(), host.readiness.ready()]).to.deep.equal([
            undefined,
            undefined,
            true,
        ]);
        chai.expect(host.emitted.map(([name]) => name)).to.deep.equal(["readinessChanged"]);
    });
});
