/** A sequence of numbers in [0, 1) that is the same each time. */
export function createNumbers(): () => number {
    let seed = 0;
    return () => {
        seed = (seed * 7 + 3) % 101;
        return seed / 101;
    };
}
