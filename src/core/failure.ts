/**
 * Numbered result codes and the typed failure that carries them.
 * The table in docs/errors.md lists each code with its MySQL error number.
 */

/** Result codes. The numbers are public API and never change their meaning. */
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
    evacuated: 1111,
    outsideHomes: 1112,
    endpointCold: 1113,
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

/** What became of a statement: certainly not run, unknown whether it took effect, or ended with an error. */
export type Outcome = "notRun" | "unknown" | "failed";

/** A failure: result code, the object that it concerns, a message in full sentences, and when to retry. */
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

const define = (name: string, outcome: Outcome, errno: number, sqlState: string): Definition => ({
    name,
    outcome,
    errno,
    sqlState,
});

/** Definitions of all result codes. */
export const definitions: ReadonlyMap<Code, Definition> = new Map<Code, Definition>([
    [Code.accessDenied, define("accessDenied", "notRun", 1045, "28000")],
    [Code.keyWithdrawn, define("keyWithdrawn", "notRun", 1045, "28000")],
    [Code.routeUnknown, define("routeUnknown", "notRun", 1049, "42000")],
    [Code.routeForbidden, define("routeForbidden", "notRun", 1044, "42000")],
    [Code.notSupported, define("notSupported", "notRun", 1235, "42000")],
    [Code.statementInvalid, define("statementInvalid", "notRun", 1064, "42000")],
    [Code.tooLarge, define("tooLarge", "notRun", 1153, "08S01")],
    [Code.requestIdReused, define("requestIdReused", "notRun", 1062, "23000")],
    [Code.rateExceeded, define("rateExceeded", "notRun", 1226, "42000")],
    [Code.overloaded, define("overloaded", "notRun", 1041, "HY000")],
    [Code.configurationStale, define("configurationStale", "notRun", 1203, "42000")],
    [Code.draining, define("draining", "notRun", 1053, "08S01")],
    [Code.noPrimary, define("noPrimary", "notRun", 1290, "HY000")],
    [Code.ownerUnreachable, define("ownerUnreachable", "notRun", 1158, "08S01")],
    [Code.endpointUnreachable, define("endpointUnreachable", "notRun", 1429, "HY000")],
    [Code.notOwner, define("notOwner", "notRun", 1158, "08S01")],
    [Code.replicaBehind, define("replicaBehind", "notRun", 1729, "HY000")],
    [Code.readOnly, define("readOnly", "notRun", 1290, "HY000")],
    [Code.evacuated, define("evacuated", "notRun", 1429, "HY000")],
    [Code.outsideHomes, define("outsideHomes", "notRun", 1429, "HY000")],
    [Code.endpointCold, define("endpointCold", "notRun", 1041, "HY000")],
    [Code.statementUnknown, define("statementUnknown", "notRun", 1243, "HY000")],
    [Code.statementTimeout, define("statementTimeout", "failed", 3024, "HY000")],
    [Code.outcomeUnknown, define("outcomeUnknown", "unknown", 1180, "HY000")],
    [Code.transactionLost, define("transactionLost", "notRun", 1213, "40001")],
    [Code.readLost, define("readLost", "failed", 1159, "08S01")],
    [Code.answerTooLarge, define("answerTooLarge", "failed", 1153, "08S01")],
    [Code.endpointError, define("endpointError", "failed", 1105, "HY000")],
    [Code.configurationInvalid, define("configurationInvalid", "notRun", 1231, "42000")],
    [Code.configurationConflict, define("configurationConflict", "notRun", 1020, "HY000")],
    [Code.storeUnavailable, define("storeUnavailable", "notRun", 1296, "HY000")],
    [Code.sectionCorrupt, define("sectionCorrupt", "notRun", 1033, "HY000")],
    [Code.messageMalformed, define("messageMalformed", "notRun", 1835, "HY000")],
    [Code.peerUnreachable, define("peerUnreachable", "failed", 1158, "08S01")],
]);

const unlistedCode = define("unlisted", "failed", 1105, "HY000");

/** Returns the definition of a code. */
export function describe(code: Code): Definition {
    return definitions.get(code) ?? unlistedCode;
}

/** Creates a failure. `create(Code.routeUnknown, "route stock", "Route stock does not exist.")` */
export function create(code: Code, subject: string, message: string, retryAfterMs?: number): Failure {
    return retryAfterMs === undefined ? { code, subject, message } : { code, subject, message, retryAfterMs };
}

/** True when the statement certainly had no effect. */
export function isNotRun(failure: Failure): boolean {
    return describe(failure.code).outcome === "notRun";
}

/** Formats a failure as one line for a caller: code, message, whether the statement ran, and when to retry. */
export function format(failure: Failure): string {
    const effect = isNotRun(failure) ? " Not run." : "";
    const retry = failure.retryAfterMs === undefined ? "" : ` Retry after ${Math.ceil(failure.retryAfterMs)} ms.`;
    return `HP${failure.code}: ${failure.message}${effect}${retry}`;
}

const codesPerFamily = 100;
const exitStatusesPerFamily = 20;
const exitBase = 10;

/**
 * Exit status of a command that ended with the code: `exitStatus(1402)` is 92. The hundreds digit of a code is its
 * family; each family has 20 exit statuses, the first family from 10.
 */
export function exitStatus(code: Code): number {
    const family = Math.floor(code / codesPerFamily) % codesPerFamily % exitBase;
    return exitBase + family * exitStatusesPerFamily + code % codesPerFamily;
}
