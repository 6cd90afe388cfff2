/** Follows the endpoints of one database group: their reports, the primary, and who waits for progress. */
import type * as neverthrow from "neverthrow";
import * as quorums from "../core/quorum.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";
import * as trackers from "./tracker.js";

/** Settings of a progress. */
export interface Options {
    readonly group: messages.Group;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly dialer: endpoint.Dialer;
    /** True while a replica has not applied the newest write known here. */
    behind(): boolean;
    /** Told after each report. */
    reported(): void;
}

/** What is known of a group's endpoints. */
export interface Progress {
    readonly quorum: quorums.Quorum;
    readonly trackers: ReadonlyMap<string, trackers.Tracker>;
    group(): messages.Group;
    /** Takes the platform's newer record of the group. */
    update(group: messages.Group): void;
    find(id: string): messages.Endpoint | undefined;
    reports(): readonly quorums.Report[];
    /** The endpoint believed to be primary. */
    primary(): string | undefined;
    term(): number;
    /** Waits for a condition that reports may bring about; false at the deadline. */
    until(ready: () => boolean, deadlineMs: number): Promise<boolean>;
    /** Checks deadlines of those who wait. */
    wake(): void;
    /** Asks an endpoint at once. */
    poke(id: string): void;
    /** Sends a group command to an endpoint. */
    command(id: string, text: string): Promise<neverthrow.Result<quorums.Report, string>> | undefined;
    close(): void;
}

interface Waiter {
    readonly ready: () => boolean;
    readonly resolve: (reached: boolean) => void;
    readonly deadlineMs: number;
}

/** Starts to follow a group. */
export function createProgress(options: Options): Progress {
    const { clock, log } = options;
    const quorum = quorums.createQuorum(options.group.endpoints.length);
    const trackersById = new Map<string, trackers.Tracker>();
    let group = options.group;
    let waiters: readonly Waiter[] = [];

    function wake(): void {
        const nowMs = clock.now();
        const left: Waiter[] = [];
        for (const waiter of waiters) {
            if (waiter.ready()) {
                waiter.resolve(true);
            }
            else if (nowMs >= waiter.deadlineMs) {
                waiter.resolve(false);
            }
            else {
                left.push(waiter);
            }
        }
        waiters = left;
    }

    function reported(report: quorums.Report): void {
        quorum.update(report);
        wake();
        options.reported();
    }

    function lost(id: string, cause: string): void {
        if (quorum.find(id) !== undefined) {
            log.warn({ database: group.database, endpoint: id, cause }, "Endpoint lost.");
        }
        quorum.remove(id);
    }

    function urgency(): trackers.Urgency {
        if (waiters.length > 0) {
            return "waiting";
        }
        return options.behind() ? "behind" : "idle";
    }

    function track(target: messages.Endpoint): void {
        if (!trackersById.has(target.id)) {
            trackersById.set(
                target.id,
                trackers.createTracker({ target, dialer: options.dialer, clock, urgency, reported, lost }),
            );
        }
    }

    group.endpoints.forEach(track);
    return {
        quorum,
        trackers: trackersById,
        wake,
        group: () => group,
        update(next) {
            if (next.term >= group.term) {
                group = next;
                group.endpoints.forEach(track);
            }
        },
        find: id => group.endpoints.find(entry => entry.id === id),
        reports: () => group.endpoints.flatMap(entry => quorum.find(entry.id) ?? []),
        primary() {
            const reportedPrimary = quorum.primary();
            if (reportedPrimary !== undefined && reportedPrimary.term >= Math.max(group.term, quorum.term())) {
                return reportedPrimary.endpoint;
            }
            return quorum.term() > group.term ? undefined : group.primary;
        },
        term: () => Math.max(group.term, quorum.term()),
        until(ready, deadlineMs) {
            if (ready()) {
                return Promise.resolve(true);
            }
            return new Promise(resolve => {
                waiters = [...waiters, { ready, resolve, deadlineMs }];
                trackersById.forEach(tracker => tracker.poke());
            });
        },
        poke(id) {
            trackersById.get(id)?.poke();
        },
        command: (id, text) => trackersById.get(id)?.command(text),
        close() {
            trackersById.forEach(tracker => tracker.close());
            waiters.forEach(waiter => waiter.resolve(false));
            waiters = [];
        },
    };
}
