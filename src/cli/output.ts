/** What commands print, for people or for programs, and the exit status. */
import type * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";

/** Prints a result and sets the exit status from the table of codes. */
export function finish<T>(
    result: neverthrow.Result<T, failure.Failure>,
    json: boolean,
    show: (value: T) => string = value => JSON.stringify(value, undefined, 2),
): void {
    if (result.isOk()) {
        const text = json ? JSON.stringify({ ok: result.value }) : show(result.value);
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
