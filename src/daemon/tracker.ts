/** Asks one endpoint for its status, again and again, and on demand. */
import * as neverthrow from "neverthrow";
import * as z from "zod";
import type * as quorum from "../core/quorum.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";
import type * as runtime from "../ports/runtime.js";

const statusQuery = "SHOW GROUP STATUS";
/** Time between two questions, in milliseconds. */
const restMs: Readonly<Record<Urgency, number>> = { waiting: 1, behind: 5, idle: 200 };
const retryMs = 100;
const timeoutMs = 500;

const count = z.coerce.number().int().min(0);
const row = z.tuple([
    z.string(),
    count,
    z.enum(["primary", "replica"]),
    count,
    count,
    count,
    count,
    z.enum(["0", "1"]),
]);

/** Someone waits for progress, a replica is behind a known write, or neither. */
export type Urgency = "waiting" | "behind" | "idle";

/** Settings of a tracker. */
export interface Options {
    readonly target: messages.Endpoint;
    readonly dialer: endpoint.Dialer;
    readonly clock: runtime.Clock;
    /** How closely progress matters now. */
    urgency(): Urgency;
    reported(report: quorum.Report): void;
    lost(endpoint: string, cause: string): void;
}

/** The status reports of one endpoint. */
export interface Tracker {
    /** Asks at once. */
    poke(): void;
    /** Sends a group command and returns the status after it. */
    command(text: string): Promise<neverthrow.Result<quorum.Report, string>>;
    close(): void;
}

function parse(id: string, reply: endpoint.Reply, askedMs: number): quorum.Report | undefined {
    const parsed = row.safeParse(reply.rows[0]);
    if (!parsed.success) {
        return undefined;
    }
    const [boot, term, role, receivedTerm, received, appliedTerm, applied, leaving] = parsed.data;
    return {
        endpoint: id,
        bootId: boot,
        term,
        primary: role === "primary",
        draining: leaving === "1",
        received: { term: receivedTerm, index: received },
        applied: { term: appliedTerm, index: applied },
        requestedAtMs: askedMs,
    };
}

/** Creates a tracker and starts it. */
export function createTracker(options: Options): Tracker {
    const { target, clock } = options;
    let link: endpoint.Connection | undefined;
    let closed = false;
    let poked = false;
    let wake: (() => void) | undefined;

    function poke(): void {
        poked = true;
        wake?.();
    }

    async function ask(text: string): Promise<neverthrow.Result<quorum.Report, string>> {
        if (link === undefined || !link.isOpen()) {
            const dialed = await options.dialer.dial(target, timeoutMs);
            if (dialed.isErr()) {
                return neverthrow.err(dialed.error.message);
            }
            link = dialed.value;
        }
        const askedMs = clock.now();
        const reply = await link.run(text, timeoutMs);
        if (reply.isErr()) {
            return neverthrow.err(reply.error.message);
        }
        const report = parse(target.id, reply.value, askedMs);
        return report === undefined ? neverthrow.err("The status can't be read.") : neverthrow.ok(report);
    }

    async function rest(ms: number): Promise<void> {
        if (poked) {
            return;
        }
        await Promise.race([
            clock.sleep(ms),
            new Promise<void>(resolve => {
                wake = resolve;
            }),
        ]);
        wake = undefined;
    }

    async function loop(): Promise<void> {
        while (!closed) {
            poked = false;
            const report = await ask(statusQuery);
            if (closed) {
                break;
            }
            if (report.isOk()) {
                options.reported(report.value);
            }
            else {
                options.lost(target.id, report.error);
            }
            await rest(report.isErr() ? retryMs : restMs[options.urgency()]);
        }
        link?.close();
    }

    void loop();
    return {
        poke,
        async command(text) {
            const report = await ask(text);
            if (report.isOk()) {
                options.reported(report.value);
            }
            return report;
        },
        close() {
            closed = true;
            wake?.();
        },
    };
}
