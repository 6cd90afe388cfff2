/**
 * How much room a host has for more work, from what it measures of itself: processor time, delay of its event loop,
 * memory, and bytes on its link. The host tells the others, who pass over hosts without room, see `core/duties` and
 * `core/rotation`.
 */

/** What a host has used at some moment. Totals count from the start of the process. */
export interface Usage {
    /** Time that the event loop was not idle, in milliseconds. It includes time spent waiting for a share of a core. */
    readonly loopBusyMs: number;
    /** Processor time, in milliseconds. */
    readonly processorMs: number;
    /** Delay of a timer since the previous measurement, in milliseconds. */
    readonly timerDelayMs: number;
    /** Memory in use, in bytes. */
    readonly memoryBytes: number;
    /** Bytes exchanged with callers, which pass over the host's link in each direction. */
    readonly callerBytes: number;
}

/** What a host has at its disposal. */
export interface Capacity {
    /** Processor capacity, in cores. */
    readonly cores: number;
    /** Memory from which the process is ended, in bytes; undefined if it isn't known. */
    readonly memoryBytes: number | undefined;
    /** Capacity of the host's link in one direction, in bytes a second; undefined if it isn't known. */
    readonly linkBytesPerSecond: number | undefined;
}

/** Parts of the capacity in use, from 0 to 1 each. */
export interface Load {
    readonly processor: number;
    readonly delay: number;
    readonly memory: number;
    readonly link: number;
}

/** What a host tells others of its room. */
export interface Report {
    /** Part of its capacity that is unused, from 0 to 1. */
    readonly spare: number;
    /** True while the host has lacked room for some time, so that other hosts take over its duties. */
    readonly strained: boolean;
    /** True while the host accepts new callers. */
    readonly inRotation: boolean;
    /** Load that its claim to leave rotation states, from 0 to 1; undefined without a claim. */
    readonly claim: number | undefined;
}

/** Room of a host as another host knows it. */
export interface Room {
    /** Part of the host's capacity that is unused, from 0 to 1. */
    readonly spare: number;
    /** Age of the measurement, in milliseconds. */
    readonly ageMs: number;
    /** False if the host doesn't report its room, and `spare` is that of an average host. */
    readonly measured: boolean;
}

/** Measures the room of one host. */
export interface Meter {
    /** Adds a measurement. Unequal intervals are allowed. */
    measure(usage: Usage, nowMs: number): void;
    /** Smoothed load; undefined until it has been measured for long enough. */
    load(): Load | undefined;
    /** Part of the capacity that is unused, from 0 to 1; that of an average host while the load is unknown. */
    spare(): number;
    /** True while the host lacks room for duties. */
    strained(): boolean;
}

/** Room assumed for a host that has just started, or is of a version that doesn't report any. */
export const averageSpare = 0.5;

/** Time constant of the smoothing: a burst of some statements passes, a host that turned slow shows within 2 s. */
const timeConstantMs = 1_500;
/** Longest interval that one measurement stands for. A longer one is a pause of the process, not its usual load. */
const maxIntervalMs = 500;
/** Time from the first measurement until the load counts as known: starting takes the whole processor for a moment. */
const settleMs = 4_000;
/** Delay of a timer at which a host has no room left. */
const fullDelayMs = 250;
/** Part of the memory up to which the use of memory doesn't matter, and from which there is no room left. */
const memoryFreePart = 0.88;
const memoryFullPart = 0.98;
/** Load from which a host is strained, and the time for which it must last. */
const strainedLoad = 0.88;
const strainedAfterMs = 2_000;
/** Load up to which a strained host recovers, and the time for which it must last: longer, so that duties don't return. */
const recoveredLoad = 0.65;
const recoveredAfterMs = 6_000;

const clamp = (value: number): number => Math.max(0, Math.min(1, value));

/** The largest part of the capacity that is in use. */
export function largest(load: Load): number {
    return Math.max(load.processor, load.delay, load.memory, load.link);
}

/** Name of the part of the capacity that is most used. */
export function scarcest(load: Load): keyof Load {
    const names = ["processor", "delay", "memory", "link"] as const;
    return names.reduce<keyof Load>((found, name) => (load[name] > load[found] ? name : found), "processor");
}

/** Creates a meter without any measurement. */
export function createMeter(capacity: Capacity): Meter {
    let previous: { readonly usage: Usage; readonly atMs: number } | undefined;
    let firstMs: number | undefined;
    let smoothed: Load = { processor: 0, delay: 0, memory: 0, link: 0 };
    let known = false;
    let strained = false;
    /** Time for which the load has called for the other state. */
    let pendingMs = 0;

    function update(usage: Usage, before: Usage, elapsedMs: number): void {
        const weight = 1 - Math.exp(-Math.min(elapsedMs, maxIntervalMs) / timeConstantMs);
        const blend = (name: keyof Load, value: number): number =>
            smoothed[name] + weight * (clamp(value) - smoothed[name]);
        const loopPart = (usage.loopBusyMs - before.loopBusyMs) / elapsedMs;
        const processorPart = (usage.processorMs - before.processorMs) / elapsedMs / capacity.cores;
        const linkPart = capacity.linkBytesPerSecond === undefined
            ? 0
            : (usage.callerBytes - before.callerBytes) * 1_000 / elapsedMs / capacity.linkBytesPerSecond;
        const memoryPart = capacity.memoryBytes === undefined ? 0 : usage.memoryBytes / capacity.memoryBytes;
        smoothed = {
            // The loop's share shows a processor that is slower than configured, processor time that of other threads.
            processor: blend("processor", Math.max(loopPart, processorPart)),
            delay: blend("delay", usage.timerDelayMs / fullDelayMs),
            memory: blend("memory", (memoryPart - memoryFreePart) / (memoryFullPart - memoryFreePart)),
            link: blend("link", linkPart),
        };
    }

    function updateStrained(elapsedMs: number): void {
        const load = largest(smoothed);
        const callsForChange = strained ? load <= recoveredLoad : load >= strainedLoad;
        pendingMs = callsForChange ? pendingMs + Math.min(elapsedMs, maxIntervalMs) : 0;
        if (pendingMs >= (strained ? recoveredAfterMs : strainedAfterMs)) {
            strained = !strained;
            pendingMs = 0;
        }
    }

    return {
        measure(usage, nowMs) {
            const elapsedMs = nowMs - (previous?.atMs ?? nowMs);
            firstMs ??= nowMs;
            if (previous !== undefined && elapsedMs > 0) {
                update(usage, previous.usage, elapsedMs);
                known = nowMs - firstMs >= settleMs;
                if (known) {
                    updateStrained(elapsedMs);
                }
            }
            previous = { usage, atMs: nowMs };
        },
        load: () => (known ? smoothed : undefined),
        spare: () => (known ? 1 - largest(smoothed) : averageSpare),
        strained: () => strained,
    };
}
