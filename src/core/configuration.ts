/**
 * The operators' configuration document. Each team owns one section. The document is validated as a whole before
 * any part of it takes effect.
 */
import * as levenshtein from "fastest-levenshtein";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as failure from "./failure.js";

/** Maximum rate of one organisation, in statements per second. */
export const maxRatePerSecond = 1_000_000;
/** Maximum burst of one organisation, in statements. */
export const maxBurst = 1_000_000;
/** Maximum weight of one organisation in fair queueing. */
export const maxWeight = 100;
/** Maximum staleness that a read tolerance may permit, in milliseconds. */
export const maxAgeLimitMs = 3_600_000;
/** Maximum time limit of one statement, in milliseconds. */
export const maxStatementTimeoutMs = 60_000;
/** Maximum length of the queue for one endpoint, in statements. */
export const maxQueueLength = 10_000;

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, "A name is 1 to 63 lower-case letters, digits and hyphens.");

function bounded(minimum: number, maximum: number, unit: string) {
    const message = (issue: { input?: unknown }) => {
        const value = typeof issue.input === "number" ? issue.input : minimum;
        const nearest = Math.min(maximum, Math.max(minimum, value));
        return `The value is a number from ${minimum} to ${maximum} ${unit}; the nearest valid value is ${nearest}.`;
    };
    return z.number({ error: message }).min(minimum, { error: message }).max(maximum, { error: message });
}

const organisation = z.strictObject({
    ratePerSecond: bounded(1, maxRatePerSecond, "statements per second"),
    burst: bounded(1, maxBurst, "statements"),
    weight: bounded(1, maxWeight, "shares").default(1),
}).readonly();

const key = z.strictObject({
    organisation: name,
    doubleSha1: z.string().regex(/^[0-9a-f]{40}$/, "A key is stored as its double SHA-1, 40 lower-case hex digits."),
}).readonly();

const route = z.strictObject({
    database: name,
    organisations: z.array(name).readonly().default([]),
    open: z.boolean().default(false),
    tolerance: name.optional(),
}).readonly();

const database = z.strictObject({
    statementTimeoutMs: bounded(10, maxStatementTimeoutMs, "milliseconds").default(5_000),
    queueLength: bounded(1, maxQueueLength, "statements").default(512),
}).readonly();

const tolerance = z.strictObject({ maxAgeMs: bounded(0, maxAgeLimitMs, "milliseconds") }).readonly();

/** Schema of each section, by section name. */
export const sections = {
    organisations: z.record(name, organisation),
    keys: z.record(name, key),
    routes: z.record(name, route),
    databases: z.record(name, database),
    tolerances: z.record(name, tolerance),
} as const;

/** Section name. */
export type Section = keyof typeof sections;

/** All section names. */
export const sectionNames = Object.keys(sections) as readonly Section[];

const document = z.strictObject(sections).readonly();

/** A validated document. */
export type Document = z.infer<typeof document>;
/** Limits of one organisation. */
export type Organisation = z.infer<typeof organisation>;
/** A database name that callers log in to, and its access rules. */
export type Route = z.infer<typeof route>;

/** A document and its revision; the highest revision is in force. */
export interface Configuration {
    readonly revision: number;
    readonly document: Document;
}

/** One error in a document. */
export interface Issue {
    /** Zod's issue code, or `reference` for a name that does not exist. */
    readonly code: string;
    readonly path: string;
    readonly message: string;
}

/** A document without entries. */
export const empty: Document = { organisations: {}, keys: {}, routes: {}, databases: {}, tolerances: {} };

/**
 * Validates a whole document, including the references between sections.
 *
 * `validate({ organisations: {}, keys: {}, routes: {}, databases: {}, tolerances: {} }).isOk()`
 */
export function validate(input: unknown): neverthrow.Result<Document, readonly Issue[]> {
    const parsed = document.safeParse(input);
    if (!parsed.success) {
        return neverthrow.err(parsed.error.issues.map(toIssue));
    }
    const issues = checkReferences(parsed.data);
    return issues.length === 0 ? neverthrow.ok(parsed.data) : neverthrow.err(issues);
}

/** Combines issues into one failure. */
export function toFailure(issues: readonly Issue[]): failure.Failure {
    const lines = issues.map(issue => `${issue.path}: ${issue.message}`);
    return failure.create(failure.Code.configurationInvalid, issues[0]?.path ?? "document", lines.join(" "));
}

const knownNames: readonly string[] = [
    ...sectionNames,
    ...[organisation, key, route, database, tolerance].flatMap(schema => Object.keys(schema.unwrap().shape)),
];

function toIssue(issue: z.core.$ZodIssue): Issue {
    const path = issue.path.join(".") || "document";
    if (issue.code !== "unrecognized_keys") {
        return { code: issue.code, path, message: issue.message };
    }
    const unknown = issue.keys[0] ?? "";
    const nearest = levenshtein.closest(unknown, [...knownNames]);
    return {
        code: issue.code,
        path: `${path}.${unknown}`,
        message: `The name ${unknown} is not known; the nearest valid name is ${nearest}.`,
    };
}

function checkReferences(value: Document): readonly Issue[] {
    const issues: Issue[] = [];
    const requireReference = (path: string, kind: string, reference: string, known: object): void => {
        if (Object.hasOwn(known, reference)) {
            return;
        }
        const names = Object.keys(known);
        const hint = names.length === 0 ? "" : ` The nearest valid name is ${levenshtein.closest(reference, names)}.`;
        issues.push({ code: "reference", path, message: `The ${kind} ${reference} does not exist.${hint}` });
    };
    for (const [id, entry] of Object.entries(value.keys)) {
        requireReference(`keys.${id}.organisation`, "organisation", entry.organisation, value.organisations);
    }
    for (const [id, entry] of Object.entries(value.routes)) {
        requireReference(`routes.${id}.database`, "database", entry.database, value.databases);
        entry.organisations.forEach((reference, index) =>
            requireReference(`routes.${id}.organisations.${index}`, "organisation", reference, value.organisations)
        );
        if (entry.tolerance !== undefined) {
            requireReference(`routes.${id}.tolerance`, "tolerance", entry.tolerance, value.tolerances);
        }
    }
    return issues;
}
