/** What a bench found: rows of figures, and targets that the brief or the design states. */

/** One row of figures. */
export type Row = Readonly<Record<string, string | number>>;

/** A stated target and the figure that it is held against. */
export interface Target {
    readonly name: string;
    readonly bound: string;
    readonly figure: number;
    readonly met: boolean;
}

/** All that one bench found. */
export interface Report {
    readonly bench: string;
    readonly rows: readonly Row[];
    readonly targets: readonly Target[];
}

/** Holds a figure against the most that a target allows. */
export function atMost(name: string, figure: number, bound: number): Target {
    return { name, bound: `at most ${bound}`, figure: round(figure), met: figure <= bound };
}

/** Holds a figure against the least that a target allows. */
export function atLeast(name: string, figure: number, bound: number): Target {
    return { name, bound: `at least ${bound}`, figure: round(figure), met: figure >= bound };
}

/** Rounds a figure for people. */
export function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

/** The value at a share of the sorted values. */
export function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
