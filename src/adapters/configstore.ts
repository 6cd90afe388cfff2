/**
 * Configuration in the platform's store. An index holds, for each section, the key of an immutable value. An edit
 * writes a new section value first and then replaces the index by compare-and-swap, so readers never see a partial
 * edit.
 */
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";

/** Store key of the index. */
export const indexKey = "configuration/index";

const maxRememberedEdits = 64;
const maxValueBytes = 1_000_000;
const callTimeoutMs = 2_000;
const maxAttempts = 8;

const indexSchema = z.object({
    revision: z.number().int(),
    /** Ids of the latest edits, newest first; they show whether an edit whose reply was lost took effect. */
    edits: z.array(z.string()).readonly(),
    /** Store key of each section's current value. */
    sections: z.record(z.string(), z.string()),
}).readonly();

/** Index of the configuration in force. */
export type Index = z.infer<typeof indexSchema>;

/** Edit of one section. */
export interface Edit {
    readonly id: string;
    readonly section: configuration.Section;
    /** Returns the new value of the section; it is validated together with the rest of the document. */
    change(current: unknown): unknown;
    /** Configuration revision that the edit is based on; a later edit of the same section is a conflict. */
    readonly base?: number;
}

interface StoredIndex {
    readonly index: Index;
    /** Store revision of the index, for the compare-and-swap. */
    readonly storeRevision: number;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

const emptyIndex: Index = { revision: 0, edits: [], sections: {} };

function corruptFailure(subject: string): failure.Failure {
    return failure.create(failure.Code.sectionCorrupt, subject, `The stored value ${subject} is corrupt.`);
}

/** Parses JSON; undefined if the text is not valid JSON. */
function parse(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/** Parses a stored index; a missing one is empty. */
export function readIndex(value: string | undefined): Result<Index> {
    if (value === undefined) {
        return neverthrow.ok(emptyIndex);
    }
    const parsed = indexSchema.safeParse(parse(value));
    return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(corruptFailure(indexKey));
}

/** Loads the sections of an index, and validates them as one document. */
export async function load(platform: network.Channel, index: Index): Promise<Result<configuration.Configuration>> {
    const document: Record<string, unknown> = { ...configuration.empty };
    for (const [section, key] of Object.entries(index.sections)) {
        const read = await platform.call(messages.platform.read, { key }, callTimeoutMs);
        if (read.isErr()) {
            return neverthrow.err(read.error);
        }
        const value = parse(read.value.value ?? "");
        if (value === undefined) {
            return neverthrow.err(corruptFailure(key));
        }
        document[section] = value;
    }
    const validated = configuration.validate(document);
    return validated
        .map(value => ({ revision: index.revision, document: value }))
        .mapErr(issues => ({ ...configuration.toFailure(issues), code: failure.Code.sectionCorrupt }));
}

async function fetchIndex(platform: network.Channel): Promise<Result<StoredIndex>> {
    const read = await platform.call(messages.platform.read, { key: indexKey }, callTimeoutMs);
    return read.andThen(entry => readIndex(entry.value).map(index => ({ index, storeRevision: entry.revision })));
}

/** Reads the configuration in force. */
export async function read(platform: network.Channel): Promise<Result<configuration.Configuration>> {
    const stored = await fetchIndex(platform);
    return stored.isErr() ? neverthrow.err(stored.error) : load(platform, stored.value.index);
}

function sectionKey(section: string, id: string): string {
    return `configuration/section/${section}/${id}`;
}

function unavailable(cause: failure.Failure): failure.Failure {
    const message = `The configuration could not be written to the store: ${cause.message}`;
    return failure.create(failure.Code.storeUnavailable, "store", message, callTimeoutMs);
}

/** Returns a conflict if the section changed after the edit's base revision. */
async function findConflict(platform: network.Channel, edit: Edit, index: Index): Promise<failure.Failure | undefined> {
    if (edit.base === undefined || edit.base >= index.revision) {
        return undefined;
    }
    const key = index.sections[edit.section];
    const read = key === undefined
        ? undefined
        : await platform.call(messages.platform.read, { key: `${key}/revision` }, callTimeoutMs);
    const changedRevision = read?.isOk() === true ? Number(read.value.value ?? 0) : 0;
    if (changedRevision <= edit.base) {
        return undefined;
    }
    const message =
        `Section ${edit.section} changed in revision ${changedRevision}, after revision ${edit.base}. Read it again and repeat the edit.`;
    return failure.create(failure.Code.configurationConflict, edit.section, message);
}

/** Tries an edit once; undefined if another edit replaced the index first. */
async function tryApply(platform: network.Channel, edit: Edit): Promise<Result<number | undefined>> {
    const stored = await fetchIndex(platform);
    if (stored.isErr()) {
        return neverthrow.err(stored.error);
    }
    const { index, storeRevision } = stored.value;
    if (index.edits.includes(edit.id)) {
        return neverthrow.ok(index.revision);
    }
    const conflict = await findConflict(platform, edit, index);
    const current = await load(platform, index);
    if (conflict !== undefined || current.isErr()) {
        return neverthrow.err(conflict ?? (current.isErr() ? current.error : corruptFailure(indexKey)));
    }
    const value = edit.change(current.value.document[edit.section]);
    const validated = configuration.validate({ ...current.value.document, [edit.section]: value });
    if (validated.isErr()) {
        return neverthrow.err(configuration.toFailure(validated.error));
    }
    return write(platform, edit, { index, storeRevision }, JSON.stringify(validated.value[edit.section]));
}

/** Writes the section value, then the index; undefined if another edit replaced the index first. */
async function write(
    platform: network.Channel,
    edit: Edit,
    current: StoredIndex,
    text: string,
): Promise<Result<number | undefined>> {
    if (Buffer.byteLength(text) > maxValueBytes) {
        const message = `Section ${edit.section} has ${Buffer.byteLength(text)} bytes; the limit is ${maxValueBytes}.`;
        return neverthrow.err(failure.create(failure.Code.tooLarge, edit.section, message));
    }
    const revision = current.index.revision + 1;
    const key = sectionKey(edit.section, `${edit.id}-${revision}`);
    const next: Index = {
        revision,
        edits: [edit.id, ...current.index.edits].slice(0, maxRememberedEdits),
        sections: { ...current.index.sections, [edit.section]: key },
    };
    const writes = [
        { key, expected: 0, value: text },
        { key: `${key}/revision`, expected: 0, value: String(revision) },
        { key: indexKey, expected: current.storeRevision, value: JSON.stringify(next) },
    ];
    for (const request of writes) {
        const swap = await platform.call(messages.platform.swap, request, callTimeoutMs);
        if (swap.isErr()) {
            return neverthrow.err(swap.error);
        }
        if (!swap.value.swapped && request.key === indexKey) {
            return neverthrow.ok(undefined);
        }
    }
    return neverthrow.ok(revision);
}

/**
 * Applies an edit and returns the configuration revision in which it took effect. When a reply is lost, the edit's id
 * in the index shows whether it took effect. Concurrent edits of other sections are kept.
 */
export async function apply(platform: network.Channel, edit: Edit): Promise<Result<number>> {
    let lastFailure: failure.Failure | undefined;
    for (let count = 0; count < maxAttempts; count += 1) {
        const outcome = await tryApply(platform, edit);
        if (outcome.isOk() && outcome.value !== undefined) {
            return neverthrow.ok(outcome.value);
        }
        if (
            outcome.isErr()
            && ![failure.Code.storeUnavailable, failure.Code.peerUnreachable].some(code => code === outcome.error.code)
        ) {
            return neverthrow.err(outcome.error);
        }
        lastFailure = outcome.isErr() ? outcome.error : lastFailure;
    }
    return neverthrow.err(
        unavailable(
            lastFailure
                ?? failure.create(
                    failure.Code.configurationConflict,
                    "index",
                    "Concurrent edits replaced the index on every attempt.",
                ),
        ),
    );
}
