/** Measures the room of this host, tells it to the others, and takes the host out of rotation while it lacks room. */
import * as duties from "../core/duties.js";
import * as rooms from "../core/room.js";
import * as rotations from "../core/rotation.js";
import type * as runtime from "../ports/runtime.js";
import type * as callerDrain from "./callerdrain.js";
import type * as events from "./events.js";
import type * as gossip from "./peers.js";
import type * as settingsFile from "./settings.js";

/** Settings and collaborators. */
export interface Options {
    readonly settings: Pick<
        settingsFile.Settings,
        "id" | "processor" | "memoryMegabytes" | "linkMegabitsPerSecond" | "yieldWithoutRoom"
    >;
    readonly clock: runtime.Clock;
    /** What the process has used; undefined where that can't be measured: the host then reports no room. */
    readonly processUsage?: (() => runtime.ProcessUsage) | undefined;
    random(): number;
    events(): events.EventLog;
    peers(): Pick<gossip.Peers, "live" | "rooms">;
    /** True if the host is ready apart from its room. */
    otherwiseReady(): boolean;
    /** The listener for callers; undefined until the host listens. */
    callers(): callerDrain.CallerListener | undefined;
}

/** The room of this host. */
export interface HostRoom {
    /** Measures the room and decides about rotation. To be called at intervals of `checkIntervalMs`. */
    check(): void;
    /** What the other hosts are told; undefined if the room can't be measured. */
    report(): rooms.Report | undefined;
    /** True while the host has room for new callers, or must accept them all the same. */
    inRotation(): boolean;
    /** Parts of the capacity in use, from 0 to 1; undefined while that isn't known. */
    load(): rooms.Load | undefined;
    strained(): boolean;
    /** True if this host lacks room for a duty that it holds, and a live host doesn't. */
    shouldHandOver(): boolean;
}

/** Interval at which the room is to be measured. */
export const checkIntervalMs = 250;
const bytesPerMegabyte = 2 ** 20;
const bytesPerMegabit = 125_000;
/** Decimal places to which the log states parts of the capacity. */
const loggedDigits = 2;

/** Creates the room of a host that has not been measured, and is in rotation. */
export function createHostRoom(options: Options): HostRoom {
    const { settings, clock } = options;
    const { memoryMegabytes, linkMegabitsPerSecond, processor } = settings;
    // What nothing acts on isn't measured: each measurement costs processor time.
    const processUsage = settings.yieldWithoutRoom ? options.processUsage : undefined;
    const meter = rooms.createMeter({
        cores: processor.share * processor.cores,
        memoryBytes: memoryMegabytes === undefined ? undefined : memoryMegabytes * bytesPerMegabyte,
        linkBytesPerSecond: linkMegabitsPerSecond === undefined ? undefined : linkMegabitsPerSecond * bytesPerMegabit,
    });
    const rotation = rotations.createRotation(options);
    let checkedMs: number | undefined;
    let reported = { strained: false, inRotation: true };

    function logChange(): void {
        const current = { strained: meter.strained(), inRotation: rotation.inRotation() };
        if (current.strained !== reported.strained || current.inRotation !== reported.inRotation) {
            reported = current;
            const known = meter.load();
            const load = Object.entries(known ?? {})
                .map(([name, part]: [string, number]) => [name, Number(part.toFixed(loggedDigits))] as const);
            options.events().emit("roomChanged", {
                ...current,
                reason: rotation.reason(),
                load: Object.fromEntries(load),
                scarcest: known === undefined ? undefined : rooms.scarcest(known),
                callers: options.callers()?.count() ?? 0,
            });
        }
    }

    return {
        check() {
            const used = processUsage?.();
            if (used === undefined) {
                return;
            }
            const nowMs = clock.now();
            const timerDelayMs = Math.max(0, nowMs - (checkedMs ?? nowMs) - checkIntervalMs);
            checkedMs = nowMs;
            meter.measure({ ...used, timerDelayMs, callerBytes: options.callers()?.byteCount() ?? 0 }, nowMs);
            const load = meter.load();
            rotation.decide({
                nowMs,
                id: settings.id,
                load: load === undefined ? undefined : rooms.largest(load),
                otherwiseReady: options.otherwiseReady(),
                neighbours: options.peers().rooms.neighbours(),
            });
            logChange();
        },
        report: () =>
            processUsage === undefined ? undefined : {
                spare: meter.spare(),
                strained: meter.strained(),
                inRotation: rotation.inRotation() && options.otherwiseReady(),
                claim: rotation.claim(),
            },
        inRotation: () => rotation.inRotation(),
        load: () => meter.load(),
        strained: () => meter.strained(),
        shouldHandOver() {
            const { live, rooms: view } = options.peers();
            const others = live().filter(peer => !peer.member.leaving).map(peer => peer.member.id);
            return meter.strained() && duties.shouldHandOver(true, others.map(view.claimToDuties));
        },
    };
}
