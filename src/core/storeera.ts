/**
 * Eras of the store. The store may come back from an older copy of its data. Its era then rises by one, revisions and
 * lease ids are given out again, and changes made after the copy are lost. What was read, granted or written in one era
 * proves nothing about the store in the next.
 */

/** The newest era of the store that this host knows of. */
export interface StoreEra {
    /** The newest era; undefined until the store or another host reports one. */
    current(): number | undefined;
    /** Time since this host first knew of the newest era, in milliseconds; 0 while none is known. */
    ageMs(): number;
    /** Notes an era that the store or another host reported. */
    observe(era: number): void;
}

/** Settings of a tracker. */
export interface Options {
    /** Monotonic time, in milliseconds. */
    now(): number;
    /** Called when an era is newer than the known one, which shows that the store came back from an older copy. */
    onRestored(era: number, previous: number): void;
}

/**
 * Notes the era of a response, and tells whether the result counts: the call must have been sent and answered in the
 * newest era known, unless none was known when it was sent.
 */
export function accept(
    era: Pick<StoreEra, "current" | "observe">,
    eraAtSend: number | undefined,
    eraOfResponse: number,
): boolean {
    era.observe(eraOfResponse);
    return eraOfResponse === era.current() && (eraAtSend === undefined || eraAtSend === eraOfResponse);
}

/** Numbers given out in one era are below this: revisions of the store, and counts of changes. */
const numbersPerEra = 2 ** 40;
/** Highest era for which numbers of all eras can be told apart. */
export const maxEra = Math.floor(Number.MAX_SAFE_INTEGER / numbersPerEra) - 1;

/** Creates a tracker that knows no era. */
export function createStoreEra(options: Options): StoreEra {
    let current: number | undefined;
    let knownSinceMs: number | undefined;
    return {
        current: () => current,
        ageMs: () => (knownSinceMs === undefined ? 0 : options.now() - knownSinceMs),
        observe(era) {
            if (current !== undefined && era <= current) {
                return;
            }
            const previous = current;
            current = era;
            knownSinceMs = options.now();
            if (previous !== undefined) {
                options.onRestored(era, previous);
            }
        },
    };
}

/**
 * Combines an era with a number given out in it, so that numbers of later eras are higher.
 * Example: `order(2, 1) > order(1, 999)`.
 */
export function order(era: number, number: number): number {
    return era * numbersPerEra + number;
}

/** The era that `order` combined with a number. */
export function eraOf(ordered: number): number {
    return Math.floor(ordered / numbersPerEra);
}

/** The number of an era that `order` combined with it. */
export function numberOf(ordered: number): number {
    return ordered % numbersPerEra;
}

/** The lowest number in the order of eras that is above `known` and not below the first one of the era. */
export function next(known: number, era: number): number {
    return Math.max(known + 1, order(era, 1));
}
