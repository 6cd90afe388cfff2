/**
 * Replaces a primary: reserves a term by compare-and-swap, has a majority promise it,
 * promotes the most complete log among them, and records the new primary.
 */
import * as failover from "../core/failover.js";
import type * as quorum from "../core/quorum.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as trackers from "./tracker.js";

const callTimeoutMs = 1_000;

/** What a promotion works on. */
export interface Options {
    readonly group: messages.Group;
    /** Highest term that any endpoint reported. */
    readonly term: number;
    readonly trackers: ReadonlyMap<string, trackers.Tracker>;
    readonly platform: network.Channel;
    readonly log: runtime.Log;
    adopt(group: messages.Group): void;
}

async function change(options: Options, expected: number, term: number, primary?: string): Promise<boolean> {
    const request = { database: options.group.database, expected, term, primary };
    const reply = await options.platform.call(messages.platform.change, request, callTimeoutMs);
    if (reply.isErr()) {
        options.log.warn(
            { database: request.database, term, cause: reply.error },
            "The platform did not confirm a promotion step.",
        );
        return false;
    }
    options.adopt(reply.value.group);
    return reply.value.changed;
}

async function fence(options: Options, term: number): Promise<readonly failover.TermPromise[]> {
    const asked = [...options.trackers.values()].map(tracker => tracker.command(`FENCE GROUP TERM ${term}`));
    const answers = await Promise.all(asked);
    const reports = answers.flatMap(answer => (answer.isOk() ? [answer.value] : []));
    return reports.filter(report => report.term === term).map(report => describe(report, options.group));
}

function describe(report: quorum.Report, group: messages.Group): failover.TermPromise {
    const listed = group.endpoints.find(entry => entry.id === report.endpoint)?.leaving === true;
    const passedOver = report.draining || listed || report.endpoint === group.primary;
    return { endpoint: report.endpoint, received: report.received, lastResort: passedOver };
}

/** Runs one promotion; true when a new primary serves. */
export async function promote(options: Options): Promise<boolean> {
    const { group, log } = options;
    const term = Math.max(group.term, options.term) + 1;
    const subject = { database: group.database, term, replaced: group.primary };
    if (!await change(options, group.term, term)) {
        log.info(subject, "Promotion abandoned: the term was not reserved.");
        return false;
    }
    const promises = await fence(options, term);
    const chosen = failover.choosePrimary(promises, group.endpoints.length);
    const tracker = chosen === undefined ? undefined : options.trackers.get(chosen);
    if (chosen === undefined || tracker === undefined) {
        log.warn({ ...subject, promises }, "Promotion abandoned: no majority promised the term.");
        return false;
    }
    const promoted = await tracker.command(`PROMOTE GROUP TERM ${term}`);
    if (promoted.isErr()) {
        log.warn(
            { ...subject, chosen, cause: promoted.error },
            "Promotion abandoned: the endpoint did not take the role.",
        );
        return false;
    }
    log.info({ ...subject, chosen, promises, reason: "most complete log" }, "Primary promoted.");
    await change(options, term, term, chosen);
    return true;
}

/** Records a primary that serves and that the platform does not name, as after a lost answer. */
export async function record(options: Options, primary: string): Promise<void> {
    const { term, database } = options.group;
    const changed = await change(options, term, term, primary);
    options.log.info(
        { database, term, primary, changed, reason: "the platform names no primary" },
        "Primary recorded.",
    );
}
