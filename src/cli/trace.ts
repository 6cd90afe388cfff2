/** Finds out what happened to one request from the log lines of one or more hosts. */
import * as neverthrow from "neverthrow";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as z from "zod";
import * as failure from "../core/failure.js";

const logLineSchema = z.looseObject({
    time: z.string(),
    host: z.string(),
    msg: z.string(),
    event: z.string().optional(),
    request: z.string().optional(),
    group: z.string().optional(),
});

/** A log line of a host. */
export type LogLine = z.infer<typeof logLineSchema>;

/** The log lines that explain what happened to one request. */
export interface Trace {
    /** Lines that name the request, in order of time. */
    readonly lines: readonly LogLine[];
    /** State changes of the same database groups or hosts, shortly before, during and after the request. */
    readonly surroundings: readonly LogLine[];
    /** Lines in which hosts count what their log rate limits omitted in that time. */
    readonly omitted: readonly LogLine[];
}

/** How long before the request's first line and after its last line other lines are included. */
const contextMs = 2_000;
/** Events of state changes that can explain what happened to a request. */
const stateChangeEvents: ReadonlySet<string> = new Set([
    "endpointLost",
    "endpointRegained",
    "tenureChanged",
    "proofLost",
    "proofRegained",
    "outageAssumed",
    "primarySuspected",
    "primaryFenced",
    "primaryPromoted",
    "successorChosen",
    "promotionWithheld",
    "replicasReleased",
    "replicasKept",
    "promotionFailed",
    "storeLost",
    "storeRegained",
    "policyTaken",
    "suspended",
    "started",
    "stopping",
]);

/** Parses one log line. Text before the JSON, such as a timestamp added by a log collector, is ignored. */
export function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Not a log line of a host: log collectors mix in other output.
        return undefined;
    }
}

/** Selects the lines that explain what happened to a request; fails when no line names it. */
export function build(lines: readonly LogLine[], request: string): neverthrow.Result<Trace, failure.Failure> {
    const requestLines = lines.filter(entry => entry.request === request).sort(byTime);
    const [first] = requestLines;
    const last = requestLines[requestLines.length - 1];
    if (first === undefined || last === undefined) {
        const message = `No line names request ${request}; such lines may have been omitted by the log rate limits.`;
        return neverthrow.err(failure.create(failure.Code.statementInvalid, request, message));
    }
    const fromMs = Date.parse(first.time) - contextMs;
    const untilMs = Date.parse(last.time) + contextMs;
    const nearby = lines.filter(entry => Date.parse(entry.time) >= fromMs && Date.parse(entry.time) <= untilMs)
        .sort(byTime);
    const groups = new Set(requestLines.flatMap(entry => (entry.group === undefined ? [] : [entry.group])));
    const hosts = new Set(requestLines.map(entry => entry.host));
    const surroundings = nearby.filter(entry =>
        stateChangeEvents.has(entry.event ?? "")
        && (entry.group === undefined ? hosts.has(entry.host) : groups.has(entry.group))
    );
    return neverthrow.ok({
        lines: requestLines,
        surroundings,
        omitted: nearby.filter(entry => entry.event === "omitted"),
    });
}

function byTime(left: LogLine, right: LogLine): number {
    return Date.parse(left.time) - Date.parse(right.time);
}

/** Fields that are printed in a fixed place, and bunyan's standard fields, which are not printed. */
const unlistedFields: ReadonlySet<string> = new Set([
    "time",
    "host",
    "msg",
    "name",
    "hostname",
    "pid",
    "level",
    "v",
    "event",
]);

function formatLine(entry: LogLine): string {
    const fields = Object.entries(entry)
        .filter(([name]) => !unlistedFields.has(name))
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${entry.time} ${entry.host} ${entry.event ?? "-"}: ${entry.msg} ${fields.join(" ")}`;
}

/** Formats a trace as text, one log line a line. */
export function format(trace: Trace): string {
    const section = (title: string, lines: readonly LogLine[]): readonly string[] =>
        lines.length === 0 ? [] : [`${title}:`, ...lines.map(entry => `  ${formatLine(entry)}`)];
    return [
        ...section("The request", trace.lines),
        ...section("State changes on the hosts at that time", trace.surroundings),
        ...section("Log lines omitted at that time", trace.omitted),
    ].join("\n");
}

/** Reads all log lines of a stream; skips text that is not a log line of a host. */
export async function readLines(input: stream.Readable): Promise<readonly LogLine[]> {
    const found: LogLine[] = [];
    for await (const text of readline.createInterface({ input, crlfDelay: Infinity })) {
        const entry = parseLine(text);
        if (entry !== undefined) {
            found.push(entry);
        }
    }
    return found;
}
