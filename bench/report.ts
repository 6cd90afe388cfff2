/** Report of a bench: measured rows, and required figures with the measured ones. */

/** Measurements of one configuration, by column. */
export type Row = Readonly<Record<string, string | number>>;

/** A required bound and the measured figure. */
export interface Target {
    readonly name: string;
    readonly bound: string;
    readonly figure: number;
    readonly met: boolean;
}

/** Result of one bench. */
export interface Report {
    readonly bench: string;
    readonly rows: readonly Row[];
    readonly targets: readonly Target[];
}

/** Target that is met if the figure does not exceed the bound. */
export function atMost(name: string, figure: number, bound: number): Target {
    return { name, bound: `at most ${bound}`, figure: round(figure), met: figure <= bound };
}

/** Target that is met if the figure is not below the bound. */
export function atLeast(name: string, figure: number, bound: number): Target {
    return { name, bound: `at least ${bound}`, figure: round(figure), met: figure >= bound };
}

/** Rounds to three decimal places. */
export function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

/** Quantile of the values, for a fraction from 0 to 1; 0 if there are no values. */
export function quantile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}
