/**
 * Numbered result codes and the typed failure that carries them.
 * The table in docs/errors.md lists each code with its MySQL error number.
 */

/** Result codes. The number is part of the public surface and never changes its meaning. */
export const Code = {
    accessDenied: 1001,
    keyWithdrawn: 1002,
    routeUnknown: 1003,
    routeForbidden: 1004,
    notSupported: 1005,
    statementInvalid: 1006,
    tooLarge: 1007,
    requestIdReused: 1008,
    statementUnknown: 1009,
    rateExceeded: 1101,
    overloaded: 1102,
    configurationStale: 1103,
    draining: 1104,
    noPrimary: 1105,
    ownerUnreachable: 1106,
    endpointUnreachable: 1107,
    notOwner: 1108,
    replicaBehind: 1109,
    readOnly: 1110,
    outcomeUnknown: 1201,
    transactionLost: 1202,
    readLost: 1203,
    answerTooLarge: 1204,
    statementTimeout: 1205,
    endpointError: 1301,
    configurationInvalid: 1401,
    configurationConflict: 1402,
    storeUnavailable: 1403,
    sectionCorrupt: 1404,
    messageMalformed: 1501,
    peerUnreachable: 1502,
} as const;

/** One of the numbers in {@link Code}. */
export type Code = (typeof Code)[keyof typeof Code];

/** What a caller may conclude about the statement that met a failure. */
export type Outcome = "notRun" | "unknown" | "failed";

/** A failure as data: code, the thing at fault, a full sentence, and when to come back. */
export interface Failure {
    readonly code: Code;
    readonly subject: string;
    readonly message: string;
    readonly retryAfterMs?: number;
    /** Error number reported by the endpoint, when the endpoint answered with an error. */
    readonly endpointErrno?: number;
}

/** Fixed properties of a result code. */
export interface Definition {
    readonly name: string;
    readonly outcome: Outcome;
    /** MySQL error number shown to callers. */
    readonly errno: number;
    /** Five-character SQLSTATE that belongs to the error number. */
    readonly sqlState: string;
}

const row = (name: string, outcome: Outcome, errno: number, sqlState: string): Definition => ({
    name,
    outcome,
    errno,
    sqlState,
});

/** The whole table, by code. */
export const definitions: ReadonlyMap<Code, Definition> = new Map<Code, Definition>([
    [Code.accessDenied, row("accessDenied", "notRun", 1045, "28000")],
    [Code.keyWithdrawn, row("keyWithdrawn", "notRun", 1045, "28000")],
    [Code.routeUnknown, row("routeUnknown", "notRun", 1049, "42000")],
    [Code.routeForbidden, row("routeForbidden", "notRun", 1044, "42000")],
    [Code.notSupported, row("notSupported", "notRun", 1235, "42000")],
    [Code.statementInvalid, row("statementInvalid", "notRun", 1064, "42000")],
    [Code.tooLarge, row("tooLarge", "notRun", 1153, "08S01")],
    [Code.requestIdReused, row("requestIdReused", "notRun", 1062, "23000")],
    [Code.rateExceeded, row("rateExceeded", "notRun", 1226, "42000")],
    [Code.overloaded, row("overloaded", "notRun", 1041, "HY000")],
    [Code.configurationStale, row("configurationStale", "notRun", 1203, "42000")],
    [Code.draining, row("draining", "notRun", 1053, "08S01")],
    [Code.noPrimary, row("noPrimary", "notRun", 1290, "HY000")],
    [Code.ownerUnreachable, row("ownerUnreachable", "notRun", 1158, "08S01")],
    [Code.endpointUnreachable, row("endpointUnreachable", "notRun", 1429, "HY000")],
    [Code.notOwner, row("notOwner", "notRun", 1158, "08S01")],
    [Code.replicaBehind, row("replicaBehind", "notRun", 1729, "HY000")],
    [Code.readOnly, row("readOnly", "notRun", 1290, "HY000")],
    [Code.statementUnknown, row("statementUnknown", "notRun", 1243, "HY000")],
    [Code.statementTimeout, row("statementTimeout", "failed", 3024, "HY000")],
    [Code.outcomeUnknown, row("outcomeUnknown", "unknown", 1180, "HY000")],
    [Code.transactionLost, row("transactionLost", "notRun", 1213, "40001")],
    [Code.readLost, row("readLost", "failed", 1159, "08S01")],
    [Code.answerTooLarge, row("answerTooLarge", "failed", 1153, "08S01")],
    [Code.endpointError, row("endpointError", "failed", 1105, "HY000")],
    [Code.configurationInvalid, row("configurationInvalid", "notRun", 1231, "42000")],
    [Code.configurationConflict, row("configurationConflict", "notRun", 1020, "HY000")],
    [Code.storeUnavailable, row("storeUnavailable", "notRun", 1296, "HY000")],
    [Code.sectionCorrupt, row("sectionCorrupt", "notRun", 1033, "HY000")],
    [Code.messageMalformed, row("messageMalformed", "notRun", 1835, "HY000")],
    [Code.peerUnreachable, row("peerUnreachable", "failed", 1158, "08S01")],
]);

const unlisted = row("unlisted", "failed", 1105, "HY000");

/** Returns the fixed properties of a code. */
export function describe(code: Code): Definition {
    return definitions.get(code) ?? unlisted;
}

/** Builds a failure. `create(Code.routeUnknown, "route stock", "Route stock does not exist.")` */
export function create(code: Code, subject: string, message: string, retryAfterMs?: number): Failure {
    return retryAfterMs === undefined ? { code, subject, message } : { code, subject, message, retryAfterMs };
}

/** True when the statement certainly had no effect. */
export function isNotRun(failure: Failure): boolean {
    return describe(failure.code).outcome === "notRun";
}

/** One line for a caller: number, sentence, effect and when to come back. */
export function format(failure: Failure): string {
    const effect = isNotRun(failure) ? " Not run." : "";
    const retry = failure.retryAfterMs === undefined ? "" : ` Retry after ${Math.ceil(failure.retryAfterMs)} ms.`;
    return `HP${failure.code}: ${failure.message}${effect}${retry}`;
}

const exitFamily = 100;
const exitFamilySize = 20;
const exitBase = 10;

/** Exit status of a command that ended with the code: `exitStatus(1402)` is 92. */
export function exitStatus(code: Code): number {
    const family = Math.floor(code / exitFamily) % exitFamily % exitBase;
    return exitBase + family * exitFamilySize + code % exitFamily;
}
