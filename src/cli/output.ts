/** Prints the results of commands, as text or as JSON, and sets the exit status. */
import type * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";

/**
 * Prints a value to standard output, or a failure to standard error.
 * A failure sets the exit status that belongs to its result code.
 */
export function printResult<T>(
    result: neverthrow.Result<T, failure.Failure>,
    json: boolean,
    format: (value: T) => string = value => JSON.stringify(value, undefined, 2),
): void {
    if (result.isOk()) {
        const text = json ? JSON.stringify({ ok: result.value }) : format(result.value);
        process.stdout.write(`${text}\n`);
        return;
    }
    const { error } = result;
    process.exitCode = failure.exitStatus(error.code);
    const line = json
        ? JSON.stringify({ failure: { ...error, name: failure.describe(error.code).name } })
        : failure.format(error);
    process.stderr.write(`${line}\n`);
}
