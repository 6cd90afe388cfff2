/** Decodes stored documents, whose text may be invalid. */
import * as neverthrow from "neverthrow";
import type * as z from "zod";

/**
 * Parses JSON and validates it against the schema; the error says why the text is invalid.
 *
 * `json(z.object({ a: z.number() }), "{\"a\":1}")`
 */
export function json<T>(schema: z.ZodType<T>, text: string): neverthrow.Result<T, string> {
    let parsed: unknown;
    try {
        parsed = JSON.parse(text);
    }
    catch (error) {
        return neverthrow.err(String(error));
    }
    const checked = schema.safeParse(parsed);
    return checked.success ? neverthrow.ok(checked.data) : neverthrow.err(checked.error.message);
}
