/** Looks up names from outside in plain objects, which also have the properties of every object. */

/**
 * The value under the name; undefined if there is none.
 *
 * `find({}, "constructor")` is undefined.
 */
export function find<T>(values: Readonly<Record<string, T>>, name: string): T | undefined {
    return Object.hasOwn(values, name) ? values[name] : undefined;
}
