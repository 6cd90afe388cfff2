/** Validates settings against a schema, and loads them from a JSON file. */
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import type * as z from "zod";
import * as failure from "../core/failure.js";

/** Validates settings. The failure lists each invalid setting by its path. */
export function parse<T>(schema: z.ZodType<T>, input: unknown): neverthrow.Result<T, failure.Failure> {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return neverthrow.ok(parsed.data);
    }
    const issues = parsed.error.issues.map(issue => `${issue.path.join(".") || "settings"}: ${issue.message}`);
    const subject = parsed.error.issues[0]?.path.join(".") || "settings";
    return neverthrow.err(failure.create(failure.Code.configurationInvalid, subject, issues.join(" ")));
}

/** Loads and validates a JSON settings file. */
export function load<T>(schema: z.ZodType<T>, file: string): neverthrow.Result<T, failure.Failure> {
    try {
        return parse(schema, JSON.parse(fs.readFileSync(file, "utf8")));
    }
    catch (thrown) {
        const message = `The settings file ${file} can't be read: ${String(thrown)}.`;
        return neverthrow.err(failure.create(failure.Code.configurationInvalid, file, message));
    }
}
