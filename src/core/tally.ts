/**
 * What several hosts admitted together, as a count that only grows, whoever comes and goes among them. Each of them
 * keeps the count for itself, in a frame that they agree on, so that any of them can go on telling it.
 */
import type * as allowances from "./allowance.js";

/** Operations by organisation. */
export type Figures = Readonly<Record<string, number>>;

/** Adds up the accounts of several hosts. */
export interface Tally {
    /** Takes in the newest account of one host; the id differs between two processes of it. */
    add(id: string, account: allowances.Account): void;
    /** Forgets what was told by others than these. */
    keep(ids: ReadonlySet<string>): void;
    /** Takes over the frame of another host's tally of the same hosts, when that one has counted more. */
    adopt(frame: number, figures: Figures): void;
    /** Number of the frame: figures of one frame are alike, whoever tells them. */
    frame(): number;
    figures(): Figures;
}

/** What an account says was admitted. */
export function figuresOf(account: allowances.Account): Figures {
    return Object.fromEntries(Object.entries(account).map(([organisation, { admitted }]) => [organisation, admitted]));
}

const sumOf = (figures: Figures): number => Object.values(figures).reduce((sum, figure) => sum + figure, 0);

/** Creates a tally with a frame of its own. */
export function createTally(ownFrame: number): Tally {
    const seen = new Map<string, Map<string, number>>();
    let frame = ownFrame;
    let sums: Record<string, number> = {};
    return {
        add(id, account) {
            const known = seen.get(id);
            const next = known ?? new Map<string, number>();
            for (const [organisation, { admitted }] of Object.entries(account)) {
                // What a host had admitted before it was first heard is not known to have been counted elsewhere.
                const gained = known === undefined ? 0 : admitted - (known.get(organisation) ?? 0);
                sums[organisation] = (sums[organisation] ?? 0) + Math.max(0, gained);
                next.set(organisation, admitted);
            }
            seen.set(id, next);
        },
        keep(ids) {
            [...seen.keys()].filter(id => !ids.has(id)).forEach(id => seen.delete(id));
        },
        adopt(other, figures) {
            if (other !== frame && sumOf(figures) > sumOf(sums)) {
                frame = other;
                sums = { ...figures };
            }
        },
        frame: () => frame,
        figures: () => sums,
    };
}

/** One account of several hosts: their demand together, and what they admitted by the tally. */
export function sum(accounts: readonly allowances.Account[], tally: Tally): allowances.Account {
    const figures = tally.figures();
    const total: Record<string, allowances.Usage> = {};
    for (const account of accounts) {
        for (const [organisation, { demand, left }] of Object.entries(account)) {
            const known = total[organisation];
            total[organisation] = {
                demand: (known?.demand ?? 0) + demand,
                admitted: figures[organisation] ?? 0,
                left: Math.min(known?.left ?? Infinity, left),
            };
        }
    }
    return total;
}
