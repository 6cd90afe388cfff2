/**
 * Classifies statements as reads, writes, transaction boundaries or session settings. A query that isn't certainly a
 * read counts as a write. A statement that would leave state on a pooled connection is refused.
 */
import { LRUCache } from "lru-cache";
import * as neverthrow from "neverthrow";
import * as identifier from "sql-query-identifier";
import * as failure from "./failure.js";

/** Kinds of statement that the proxy treats differently. */
export type Kind = "read" | "write" | "begin" | "commit" | "rollback" | "setting";

/** Session and request id that a caller passes in a comment: `hyssophatch session=a request=b`. */
export interface Hint {
    readonly session?: string;
    readonly request?: string;
}

/** A classified statement. */
export interface Statement {
    readonly text: string;
    readonly kind: Kind;
    readonly hint: Hint;
    /** True for a write that implicitly commits the open transaction, such as DDL. */
    readonly commitsImplicitly?: boolean;
    /** Set for a session setting. */
    readonly setting?: Setting;
}

/** `SET @hyssophatch_<name> = '<value>'`, or `none` for a setting that is accepted without effect. */
export interface Setting {
    readonly name: "session" | "request" | "none";
    readonly value: string;
}

/** Longest statement text accepted, in characters. */
export const maxTextLength = 1_000_000;

/** Longest session or request id accepted, in characters. */
export const maxIdLength = 128;

/** Maximum number of cached classifications, and maximum length of a cached text, in characters. */
const cacheEntries = 4096;
const hintPattern = /\/\*\s*hyssophatch\b([^*]*)\*\//i;
const hintWordPattern = /^(session|request)=([\w.:-]+)$/;
const literalPattern = /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`[^`]*`/g;
const commentPattern = /\/\*[\s\S]*?\*\/|--\s[^\n]*|#[^\n]*/g;
const executableCommentPattern = /\/\*!/;
const lockingPattern = /\b(for\s+update|for\s+share|lock\s+in|into\s+(outfile|dumpfile))\b/i;
const userVariablePattern = /@|:=/;
const callPattern = /\b([a-z_][\w.]*)\s*\(/gi;
const settingPattern = /^set\s+@hyssophatch_(session|request)\s*(?::=|=)\s*'([\w.:-]{1,128})'\s*;?\s*$/i;
const ignoredSettingPattern =
    /^set\s+(names\s+[\w'"]+(\s+collate\s+\w+)?|(session\s+)?autocommit\s*=\s*(1|on|true))\s*;?\s*$/i;
/** Functions without side effects, and the keywords before a parenthesis, which `callPattern` matches too. */
const readFunctions: ReadonlySet<string> = new Set(
    ("count sum avg min max coalesce ifnull nullif if concat concat_ws length char_length lower upper substr substring"
        + " trim ltrim rtrim replace round floor ceil ceiling abs mod date time datetime now current_timestamp year month"
        + " day date_add date_sub datediff date_format cast convert group_concat distinct in exists and or not as on"
        + " where select from values using over union all any when then else case between interval greatest least"
        + " version database row_number rank having by having join left right")
        .split(" "),
);
const connectionStateFunctions: ReadonlySet<string> = new Set([
    "get_lock",
    "release_lock",
    "release_all_locks",
    "is_free_lock",
    "is_used_lock",
    "last_insert_id",
    "found_rows",
    "row_count",
]);
const writeTypes: ReadonlySet<string> = new Set([
    "INSERT",
    "UPDATE",
    "DELETE",
    "TRUNCATE",
    "CREATE_TABLE",
    "CREATE_INDEX",
    "ALTER_TABLE",
    "DROP_TABLE",
    "DROP_INDEX",
]);
const implicitCommitPattern = /^(CREATE|ALTER|DROP|TRUNCATE)/;
const transactionBoundaries: readonly (readonly [RegExp, Kind])[] = [
    [/^(begin(\s+work)?|start\s+transaction)$/i, "begin"],
    [/^commit(\s+work)?$/i, "commit"],
    [/^rollback(\s+work)?$/i, "rollback"],
];

type Classification = neverthrow.Result<Statement, failure.Failure>;

const cache = new LRUCache<string, Classification>({ max: cacheEntries });

/**
 * Classifies one statement.
 *
 * `classify("select 1")` is a read; `classify("insert into orders values (1)")` is a write.
 */
export function classify(text: string): Classification {
    const cached = cache.get(text);
    if (cached !== undefined) {
        return cached;
    }
    const classification = classifyUncached(text);
    if (text.length <= cacheEntries) {
        cache.set(text, classification);
    }
    return classification;
}

function classifyUncached(text: string): Classification {
    if (text.length > maxTextLength) {
        return refuse(
            failure.Code.tooLarge,
            `The statement has ${text.length} characters; the limit is ${maxTextLength}.`,
        );
    }
    const hint = readHint(text);
    if (hint.isErr()) {
        return neverthrow.err(hint.error);
    }
    if (executableCommentPattern.test(text)) {
        return refuse(failure.Code.notSupported, "Executable comments (/*! ... */) are not supported.");
    }
    const stripped = text.replace(literalPattern, "''").replace(commentPattern, " ").trim().replace(/;$/, "").trim();
    if (stripped.includes(";")) {
        return refuse(failure.Code.notSupported, "Several statements in one query are not supported.");
    }
    const boundary = transactionBoundaries.find(([pattern]) => pattern.test(stripped));
    if (boundary !== undefined) {
        return neverthrow.ok({ text, kind: boundary[1], hint: hint.value });
    }
    return /^set\b/i.test(stripped) ? classifySetting(text, hint.value) : classifyQuery(text, stripped, hint.value);
}

function refuse(code: failure.Code, message: string): Classification {
    return neverthrow.err(failure.create(code, "statement", message));
}

function readHint(text: string): neverthrow.Result<Hint, failure.Failure> {
    const match = hintPattern.exec(text.replace(literalPattern, "''"));
    const hint: { session?: string; request?: string } = {};
    for (const word of (match?.[1] ?? "").trim().split(/\s+/).filter(part => part !== "")) {
        const pair = hintWordPattern.exec(word);
        if (pair === null || (pair[2] ?? "").length > maxIdLength) {
            return neverthrow.err(failure.create(
                failure.Code.statementInvalid,
                "hint",
                `Hint word ${word} is not valid. Write session=<id> or request=<id> with at most ${maxIdLength} characters.`,
            ));
        }
        hint[pair[1] as "session" | "request"] = pair[2];
    }
    return neverthrow.ok(hint);
}

function classifySetting(text: string, hint: Hint): Classification {
    const stripped = text.replace(commentPattern, " ").trim();
    const proxySetting = settingPattern.exec(stripped);
    if (proxySetting !== null) {
        const setting: Setting = {
            name: proxySetting[1]?.toLowerCase() as "session" | "request",
            value: proxySetting[2] ?? "",
        };
        return neverthrow.ok({ text, kind: "setting", hint, setting });
    }
    if (ignoredSettingPattern.test(stripped)) {
        return neverthrow.ok({ text, kind: "setting", hint, setting: { name: "none", value: "" } });
    }
    return refuse(
        failure.Code.notSupported,
        "SET is supported for NAMES, autocommit=1, @hyssophatch_session and @hyssophatch_request only.",
    );
}

function classifyQuery(text: string, stripped: string, hint: Hint): Classification {
    const type = identify(stripped);
    if (type === undefined) {
        return refuse(failure.Code.statementInvalid, "The statement can't be parsed.");
    }
    if (userVariablePattern.test(stripped)) {
        return refuse(failure.Code.notSupported, "User and system variables in statements are not supported.");
    }
    const calls = [...stripped.matchAll(callPattern)].map(call => (call[1] ?? "").toLowerCase());
    const statefulCall = calls.find(call => connectionStateFunctions.has(call));
    if (statefulCall !== undefined) {
        return refuse(
            failure.Code.notSupported,
            `Function ${statefulCall} depends on connection state and is not supported.`,
        );
    }
    if (type === "SELECT") {
        const readOnly = !lockingPattern.test(stripped) && calls.every(call => readFunctions.has(call));
        return neverthrow.ok({ text, kind: readOnly ? "read" : "write", hint });
    }
    if (/^replace\b/i.test(stripped) || writeTypes.has(type)) {
        return neverthrow.ok({ text, kind: "write", hint, commitsImplicitly: implicitCommitPattern.test(type) });
    }
    return refuse(failure.Code.notSupported, `Statement type ${type} is not supported.`);
}

function identify(stripped: string): string | undefined {
    if (/^replace\b/i.test(stripped)) {
        return "REPLACE";
    }
    try {
        const identified = identifier.identify(stripped, { dialect: "mysql", strict: false });
        const type = identified[0]?.type;
        return identified.length === 1 && type !== "UNKNOWN" ? type : undefined;
    }
    catch {
        return undefined;
    }
}
