/** Reads a stored document: text that should be JSON of a certain shape, and may be anything. */
import * as neverthrow from "neverthrow";
import type * as z from "zod";

/** The value, or why there is none. `json(z.object({ a: z.number() }), "{\"a\":1}")` */
export function json<T>(schema: z.ZodType<T>, text: string): neverthrow.Result<T, string> {
    let parsed: unknown;
    try {
        parsed = JSON.parse(text);
    }
    catch (thrown) {
        return neverthrow.err(String(thrown));
    }
    const checked = schema.safeParse(parsed);
    return checked.success ? neverthrow.ok(checked.data) : neverthrow.err(checked.error.message);
}
