/**
 * The catalogue of log lines: one kind for each decision that touches a request or changes what this host
 * believes. Each kind has a budget, so that the volume stays bounded under load; what is left out is counted.
 */
import type * as runtime from "../ports/runtime.js";

/** How a kind of line is budgeted. */
interface Kind {
    readonly level: "info" | "warn";
    /** Lines a second on average, and the most at once. */
    readonly perSecond: number;
    readonly burst: number;
    readonly message: string;
}

const belief = { level: "info", perSecond: 10, burst: 60 } as const;
const trouble = { level: "warn", perSecond: 10, burst: 40 } as const;
const success = { level: "info", perSecond: 2, burst: 10 } as const;

/** Every kind of line. */
export const catalogue = {
    started: { ...belief, message: "Host started." },
    stopping: { ...belief, message: "Host stops." },
    stopped: { ...belief, message: "Host stopped." },
    settingsReloaded: { ...belief, message: "Settings reloaded." },
    settingsRejected: { ...trouble, message: "Settings turned down; the old ones stay in force." },
    readinessChanged: { ...belief, message: "Readiness changed." },
    suspended: { ...trouble, message: "A clock jumped: ages are no longer trusted." },
    storeLost: { ...trouble, message: "The store does not answer." },
    storeRegained: { ...belief, message: "The store answers again." },
    peerLost: { ...trouble, message: "A host does not answer." },
    catalogueMissed: { ...trouble, message: "A host did not give its configuration and endpoints." },
    peerRegained: { ...belief, message: "A host answers." },
    endpointLost: { ...trouble, message: "An endpoint does not answer." },
    endpointRegained: { ...belief, message: "An endpoint answers again." },
    endpointsChanged: { ...belief, message: "The list of endpoints changed." },
    entryRejected: { ...trouble, message: "A listed entry can't be read and names no endpoint." },
    policyTaken: { ...belief, message: "Configuration taken." },
    policyRejected: { ...trouble, message: "Configuration turned down." },
    keyWithdrawn: { ...belief, message: "A session's key is no longer in force." },
    tenureChanged: { ...belief, message: "The record of a primary changed." },
    proofLost: { ...trouble, message: "The records of primaries can't be confirmed." },
    proofRegained: { ...belief, message: "The records of primaries are confirmed again." },
    dutyTaken: { ...belief, message: "This host replaces primaries from now on." },
    dutyLost: { ...belief, message: "This host no longer replaces primaries." },
    primarySuspected: { ...trouble, message: "A primary is to be replaced." },
    primaryFenced: { ...belief, message: "No host relies on the old primary any more." },
    primaryPromoted: { ...belief, message: "A new primary leads." },
    promotionFailed: { ...trouble, message: "An attempt to replace a primary failed." },
    loginRefused: { ...trouble, message: "Login refused." },
    operationRefused: { ...trouble, message: "Operation refused." },
    outcomeUnknown: { ...trouble, message: "The outcome of a statement is unknown." },
    statementFailed: { ...trouble, message: "Statement failed." },
    statementRetried: { ...trouble, message: "Statement tried again." },
    statementServed: { ...success, message: "Statement served." },
    measured: { ...belief, message: "What this host did since the last such line." },
    transactionLost: { ...trouble, message: "Transaction rolled back." },
} as const satisfies Readonly<Record<string, Kind>>;

/** Name of a kind of line. */
export type EventName = keyof typeof catalogue;

/** Writes lines of the catalogue. */
export interface EventLog {
    emit(kind: EventName, fields: runtime.Fields): void;
    /** Writes what was left out since the last call. */
    reportOmitted(): void;
}

/** Creates a writer with full budgets. */
export function createEventLog(log: runtime.Log, clock: runtime.Clock): EventLog {
    const budgets = new Map<EventName, { tokens: number; filledMs: number; omitted: number }>();
    return {
        emit(kind, fields) {
            const entry: Kind = catalogue[kind];
            const nowMs = clock.now();
            const budget = budgets.get(kind) ?? { tokens: entry.burst, filledMs: nowMs, omitted: 0 };
            budgets.set(kind, budget);
            const gained = (nowMs - budget.filledMs) * entry.perSecond / 1_000;
            budget.tokens = Math.min(entry.burst, budget.tokens + gained);
            budget.filledMs = nowMs;
            if (budget.tokens < 1) {
                budget.omitted += 1;
                return;
            }
            budget.tokens -= 1;
            log[entry.level]({ event: kind, ...fields }, entry.message);
        },
        reportOmitted() {
            const omitted = [...budgets].filter(([, budget]) => budget.omitted > 0);
            if (omitted.length > 0) {
                const counts = Object.fromEntries(omitted.map(([kind, budget]) => [kind, budget.omitted]));
                log.info({ event: "omitted", counts }, "Lines left out.");
                omitted.forEach(([, budget]) => {
                    budget.omitted = 0;
                });
            }
        },
    };
}
