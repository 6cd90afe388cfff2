/**
 * The catalogue of log events: one for each decision that affects a request or changes this host's view of the cluster.
 * Each event has a rate limit, so that the volume of the log stays bounded under load; omitted lines are counted.
 */
import type * as runtime from "../ports/runtime.js";

/** Level, rate limit and message of an event. */
interface Definition {
    readonly level: "info" | "warn";
    /** Token bucket: average lines per second, and the maximum burst. */
    readonly perSecond: number;
    readonly burst: number;
    readonly message: string;
}

const stateChange = { level: "info", perSecond: 10, burst: 60 } as const;
const problem = { level: "warn", perSecond: 10, burst: 40 } as const;
const served = { level: "info", perSecond: 2, burst: 10 } as const;

/** All events, by name. */
export const catalogue = {
    started: { ...stateChange, message: "Host started." },
    stopping: { ...stateChange, message: "Host is stopping." },
    stopped: { ...stateChange, message: "Host stopped." },
    settingsReloaded: { ...stateChange, message: "Settings reloaded." },
    settingsRejected: { ...problem, message: "Settings rejected; the previous ones stay in force." },
    readinessChanged: { ...stateChange, message: "Readiness changed." },
    roomChanged: {
        ...stateChange,
        message: "This host has too little room for duties or new callers, or has it again.",
    },
    suspended: { ...problem, message: "Clock jump or suspension detected; ages measured before it are discarded." },
    storeLost: { ...problem, message: "The store does not respond." },
    storeRegained: { ...stateChange, message: "The store responds again." },
    storeRestored: { ...problem, message: "The store came back from an older copy; what rested on it is dropped." },
    readingSourceChanged: { ...stateChange, message: "This host learns from another source what the store holds." },
    recordsRestored: { ...stateChange, message: "The records of primaries are stored again in the store's new era." },
    registrationChanged: { ...stateChange, message: "The registration of this host is missing or gets another lease." },
    peerLost: { ...problem, message: "A host does not respond." },
    catalogueMissed: { ...problem, message: "Fetching the configuration and endpoints from another host failed." },
    peerRegained: { ...stateChange, message: "A host responds." },
    endpointLost: { ...problem, message: "An endpoint does not respond." },
    endpointDrained: { ...stateChange, message: "An endpoint that shuts down may be sent nothing new any longer." },
    endpointsCold: { ...stateChange, message: "Endpoints have started and get few requests until they are warm." },
    endpointFull: { ...stateChange, message: "A cold endpoint has no room for this host's requests." },
    permitMissed: { ...problem, message: "Permits for a cold endpoint could not be asked for." },
    endpointRegained: { ...stateChange, message: "An endpoint responds again." },
    endpointEjected: { ...problem, message: "An endpoint fails too many statements and gets no reads for a while." },
    endpointsChanged: { ...stateChange, message: "The list of endpoints changed." },
    entryRejected: { ...problem, message: "An entry in the store can't be parsed and is ignored." },
    evacuationsChanged: { ...stateChange, message: "The set of evacuated failure domains changed." },
    evacuationPhase: { ...stateChange, message: "The evacuation of a failure domain entered another phase." },
    homesUnknown: {
        ...problem,
        message: "The configuration allows requests only in regions without endpoints or hosts.",
    },
    policyTaken: { ...stateChange, message: "New configuration applied." },
    policyRejected: { ...problem, message: "New configuration rejected; the previous one stays in force." },
    keyWithdrawn: { ...stateChange, message: "A session's API key is no longer valid." },
    tenureChanged: { ...stateChange, message: "The record of a group's primary changed." },
    proofLost: { ...problem, message: "The records of primaries can't be confirmed as current." },
    outageAssumed: {
        ...problem,
        message: "The store responds to no host, so the known records of primaries stay in force.",
    },
    proofRegained: { ...stateChange, message: "The records of primaries are confirmed as current again." },
    dutyTaken: { ...stateChange, message: "This host acquired the failover lock and replaces primaries." },
    dutyLost: { ...stateChange, message: "This host lost the failover lock and no longer replaces primaries." },
    primarySuspected: { ...problem, message: "Replacement of a primary started." },
    primaryFenced: { ...stateChange, message: "No host relies on the record of the old primary any longer." },
    primaryPromoted: { ...stateChange, message: "A replica was promoted to primary." },
    successorChosen: { ...stateChange, message: "The next primary was chosen by the ends of the replicas' logs." },
    promotionWithheld: {
        ...problem,
        message: "No replica answers, or none is known to hold every acknowledged commit, so none is promoted yet.",
    },
    replicasJoined: { ...stateChange, message: "Endpoints may hold acknowledged commits of a group from now on." },
    replicasReleased: { ...stateChange, message: "Others have the commits of endpoints that are gone." },
    replicasKept: {
        ...problem,
        message: "Endpoints that are no longer listed may hold commits that others lack, or still answer.",
    },
    promotionFailed: { ...problem, message: "An attempt to replace a primary failed." },
    loginRefused: { ...problem, message: "Login refused." },
    operationRefused: { ...problem, message: "Operation refused." },
    outcomeUnknown: { ...problem, message: "The outcome of a statement is unknown." },
    statementFailed: { ...problem, message: "Statement failed." },
    statementRetried: { ...problem, message: "Statement retried." },
    statementServed: { ...served, message: "Statement served." },
    statementRelayed: { ...served, message: "A host that holds connections to the endpoint ran the statement." },
    relayMissed: { ...problem, message: "A host that holds connections to the endpoint did not run the statement." },
    relayExpired: {
        ...problem,
        message: "A transaction was rolled back, as the host that it is for has fallen silent.",
    },
    measured: { ...stateChange, message: "Activity of this host since the previous report." },
    processorMeasured: { ...stateChange, message: "Processor time by activity since the previous report." },
    transactionLost: { ...problem, message: "Transaction rolled back." },
} as const satisfies Readonly<Record<string, Definition>>;

/** Name of an event. */
export type EventName = keyof typeof catalogue;

/** Writes events of the catalogue to the log. */
export interface EventLog {
    /** Writes an event with its fields, or counts it as omitted if its rate limit is exceeded. */
    emit(name: EventName, fields: runtime.Fields): void;
    /** Writes how many lines of each event were omitted since the last call. */
    reportOmitted(): void;
}

/** Creates an event log whose token buckets are full. */
export function createEventLog(log: runtime.Log, clock: runtime.Clock): EventLog {
    const buckets = new Map<EventName, { tokens: number; refilledMs: number; omitted: number }>();
    return {
        emit(name, fields) {
            const definition: Definition = catalogue[name];
            const nowMs = clock.now();
            const bucket = buckets.get(name) ?? { tokens: definition.burst, refilledMs: nowMs, omitted: 0 };
            buckets.set(name, bucket);
            const refill = (nowMs - bucket.refilledMs) * definition.perSecond / 1_000;
            bucket.tokens = Math.min(definition.burst, bucket.tokens + refill);
            bucket.refilledMs = nowMs;
            if (bucket.tokens < 1) {
                bucket.omitted += 1;
                return;
            }
            bucket.tokens -= 1;
            log[definition.level]({ event: name, ...fields }, definition.message);
        },
        reportOmitted() {
            const omitted = [...buckets].filter(([, bucket]) => bucket.omitted > 0);
            if (omitted.length > 0) {
                const counts = Object.fromEntries(omitted.map(([name, bucket]) => [name, bucket.omitted]));
                log.info({ event: "omitted", counts }, "Log lines omitted by the rate limit.");
                omitted.forEach(([, bucket]) => {
                    bucket.omitted = 0;
                });
            }
        },
    };
}
