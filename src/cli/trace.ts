/** Tells the story of one request from the log lines of one or more hosts. */
import * as neverthrow from "neverthrow";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as z from "zod";
import * as failure from "../core/failure.js";

const line = z.looseObject({
    time: z.string(),
    host: z.string(),
    msg: z.string(),
    event: z.string().optional(),
    request: z.string().optional(),
    group: z.string().optional(),
});

/** A log line of a host. */
export type Line = z.infer<typeof line>;

/** What is known of one request. */
export interface Story {
    /** Lines that name the request, in order. */
    readonly lines: readonly Line[];
    /** Changes of belief about the same database group around them. */
    readonly surroundings: readonly Line[];
    /** Lines that hosts left out for lack of budget around them. */
    readonly omitted: readonly Line[];
}

/** Time before and after the request's lines in which other lines are shown, in milliseconds. */
const aroundMs = 2_000;
/** Beliefs that explain what happened to a request. */
const beliefs: ReadonlySet<string> = new Set([
    "endpointLost",
    "endpointRegained",
    "tenureChanged",
    "proofLost",
    "proofRegained",
    "primarySuspected",
    "primaryFenced",
    "primaryPromoted",
    "promotionFailed",
    "storeLost",
    "storeRegained",
    "policyTaken",
    "suspended",
    "started",
    "stopping",
]);

/** Reads one log line; whatever stands before the JSON, such as a collector's own time, is passed over. */
export function read(text: string): Line | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const parsed = line.safeParse(JSON.parse(text.slice(start)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Not a log line of a host: collectors mix in other output.
        return undefined;
    }
}

/** Finds what the lines tell of a request. */
export function tell(lines: readonly Line[], request: string): neverthrow.Result<Story, failure.Failure> {
    const own = lines.filter(entry => entry.request === request).sort(byTime);
    const [first] = own;
    const last = own[own.length - 1];
    if (first === undefined || last === undefined) {
        const message = `No line names request ${request}; its lines may have been left out under load.`;
        return neverthrow.err(failure.create(failure.Code.statementInvalid, request, message));
    }
    const fromMs = Date.parse(first.time) - aroundMs;
    const untilMs = Date.parse(last.time) + aroundMs;
    const near = lines.filter(entry => Date.parse(entry.time) >= fromMs && Date.parse(entry.time) <= untilMs).sort(
        byTime,
    );
    const groups = new Set(own.flatMap(entry => (entry.group === undefined ? [] : [entry.group])));
    const hosts = new Set(own.map(entry => entry.host));
    const surroundings = near.filter(entry =>
        beliefs.has(entry.event ?? "")
        && (entry.group === undefined ? hosts.has(entry.host) : groups.has(entry.group))
    );
    return neverthrow.ok({ lines: own, surroundings, omitted: near.filter(entry => entry.event === "omitted") });
}

function byTime(left: Line, right: Line): number {
    return Date.parse(left.time) - Date.parse(right.time);
}

const plain: ReadonlySet<string> = new Set(["time", "host", "msg", "name", "hostname", "pid", "level", "v", "event"]);

function show(entry: Line): string {
    const fields = Object.entries(entry)
        .filter(([name]) => !plain.has(name))
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${entry.time} ${entry.host} ${entry.event ?? "-"}: ${entry.msg} ${fields.join(" ")}`;
}

/** The story as text. */
export function print(story: Story): string {
    const part = (title: string, lines: readonly Line[]): readonly string[] =>
        lines.length === 0 ? [] : [`${title}:`, ...lines.map(entry => `  ${show(entry)}`)];
    return [
        ...part("The request", story.lines),
        ...part("What the hosts believed then", story.surroundings),
        ...part("Lines left out then", story.omitted),
    ].join("\n");
}

/** Reads all log lines of a stream. */
export async function collect(input: stream.Readable): Promise<readonly Line[]> {
    const found: Line[] = [];
    for await (const text of readline.createInterface({ input, crlfDelay: Infinity })) {
        const entry = read(text);
        if (entry !== undefined) {
            found.push(entry);
        }
    }
    return found;
}
