/**
 * The configuration in the platform's store: an index that names, for each section, an immutable value.
 * A section is written first and the index is swapped after, so a reader never sees part of an edit.
 */
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";

/** Key of the index. */
export const indexKey = "configuration/index";

const maxEdits = 64;
const maxValueBytes = 1_000_000;
const callTimeoutMs = 2_000;
const attempts = 8;

const indexSchema = z.object({
    revision: z.number().int(),
    /** Ids of the newest edits, to resolve an edit whose answer was lost. */
    edits: z.array(z.string()).readonly(),
    sections: z.record(z.string(), z.string()),
}).readonly();

/** Names the value of each section in force. */
export type Index = z.infer<typeof indexSchema>;

/** An edit to one section. */
export interface Edit {
    readonly id: string;
    readonly section: configuration.Section;
    /** Changes the section's current value; the result is checked with the whole document. */
    change(current: unknown): unknown;
    /** Revision the editor started from; another edit to the same section since is a conflict. */
    readonly base?: number;
}

interface Held {
    readonly index: Index;
    readonly stored: number;
}

type Result<T> = neverthrow.Result<T, failure.Failure>;

const nothing: Index = { revision: 0, edits: [], sections: {} };

function corrupt(subject: string): failure.Failure {
    return failure.create(failure.Code.sectionCorrupt, subject, `The stored value ${subject} is corrupt.`);
}

/** Parses JSON; undefined when it is not JSON. */
function parse(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/** Reads an index as stored. */
export function readIndex(value: string | undefined): Result<Index> {
    if (value === undefined) {
        return neverthrow.ok(nothing);
    }
    const parsed = indexSchema.safeParse(parse(value));
    return parsed.success ? neverthrow.ok(parsed.data) : neverthrow.err(corrupt(indexKey));
}

/** Loads the sections that an index names, and checks them as one document. */
export async function load(platform: network.Channel, index: Index): Promise<Result<configuration.Configuration>> {
    const document: Record<string, unknown> = { ...configuration.empty };
    for (const [section, key] of Object.entries(index.sections)) {
        const read = await platform.call(messages.platform.read, { key }, callTimeoutMs);
        if (read.isErr()) {
            return neverthrow.err(read.error);
        }
        const value = parse(read.value.value ?? "");
        if (value === undefined) {
            return neverthrow.err(corrupt(key));
        }
        document[section] = value;
    }
    const checked = configuration.validate(document);
    return checked
        .map(value => ({ revision: index.revision, document: value }))
        .mapErr(issues => ({ ...configuration.toFailure(issues), code: failure.Code.sectionCorrupt }));
}

async function hold(platform: network.Channel): Promise<Result<Held>> {
    const read = await platform.call(messages.platform.read, { key: indexKey }, callTimeoutMs);
    return read.andThen(entry => readIndex(entry.value).map(index => ({ index, stored: entry.revision })));
}

/** Reads the document in force. */
export async function read(platform: network.Channel): Promise<Result<configuration.Configuration>> {
    const held = await hold(platform);
    return held.isErr() ? neverthrow.err(held.error) : load(platform, held.value.index);
}

function sectionKey(section: string, id: string): string {
    return `configuration/section/${section}/${id}`;
}

function unavailable(cause: failure.Failure): failure.Failure {
    const message = `The platform's store did not answer: ${cause.message}`;
    return failure.create(failure.Code.storeUnavailable, "store", message, callTimeoutMs);
}

/** A conflict when the section changed after the editor's base revision. */
async function findConflict(platform: network.Channel, edit: Edit, index: Index): Promise<failure.Failure | undefined> {
    if (edit.base === undefined || edit.base >= index.revision) {
        return undefined;
    }
    const key = index.sections[edit.section];
    const read = key === undefined
        ? undefined
        : await platform.call(messages.platform.read, { key: `${key}/revision` }, callTimeoutMs);
    const changed = read?.isOk() === true ? Number(read.value.value ?? 0) : 0;
    if (changed <= edit.base) {
        return undefined;
    }
    const message =
        `Section ${edit.section} changed in revision ${changed}, after revision ${edit.base}. Read it again and repeat the edit.`;
    return failure.create(failure.Code.configurationConflict, edit.section, message);
}

async function attempt(platform: network.Channel, edit: Edit): Promise<Result<number | undefined>> {
    const held = await hold(platform);
    if (held.isErr()) {
        return neverthrow.err(held.error);
    }
    const { index, stored } = held.value;
    if (index.edits.includes(edit.id)) {
        return neverthrow.ok(index.revision);
    }
    const conflict = await findConflict(platform, edit, index);
    const current = await load(platform, index);
    if (conflict !== undefined || current.isErr()) {
        return neverthrow.err(conflict ?? (current.isErr() ? current.error : corrupt(indexKey)));
    }
    const value = edit.change(current.value.document[edit.section]);
    const checked = configuration.validate({ ...current.value.document, [edit.section]: value });
    if (checked.isErr()) {
        return neverthrow.err(configuration.toFailure(checked.error));
    }
    return write(platform, edit, { index, stored }, JSON.stringify(checked.value[edit.section]));
}

async function write(
    platform: network.Channel,
    edit: Edit,
    held: Held,
    text: string,
): Promise<Result<number | undefined>> {
    if (Buffer.byteLength(text) > maxValueBytes) {
        const message = `Section ${edit.section} has ${Buffer.byteLength(text)} bytes; the limit is ${maxValueBytes}.`;
        return neverthrow.err(failure.create(failure.Code.tooLarge, edit.section, message));
    }
    const revision = held.index.revision + 1;
    const key = sectionKey(edit.section, `${edit.id}-${revision}`);
    const next: Index = {
        revision,
        edits: [edit.id, ...held.index.edits].slice(0, maxEdits),
        sections: { ...held.index.sections, [edit.section]: key },
    };
    const writes = [
        { key, expected: 0, value: text },
        { key: `${key}/revision`, expected: 0, value: String(revision) },
        { key: indexKey, expected: held.stored, value: JSON.stringify(next) },
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
 * Applies an edit, and gives the revision in which it took effect. A lost answer is resolved by reading
 * the edit's id back; edits to other sections are merged.
 */
export async function apply(platform: network.Channel, edit: Edit): Promise<Result<number>> {
    let last: failure.Failure | undefined;
    for (let count = 0; count < attempts; count += 1) {
        const outcome = await attempt(platform, edit);
        if (outcome.isOk() && outcome.value !== undefined) {
            return neverthrow.ok(outcome.value);
        }
        if (
            outcome.isErr()
            && ![failure.Code.storeUnavailable, failure.Code.peerUnreachable].some(code => code === outcome.error.code)
        ) {
            return neverthrow.err(outcome.error);
        }
        last = outcome.isErr() ? outcome.error : last;
    }
    return neverthrow.err(
        unavailable(last ?? failure.create(failure.Code.configurationConflict, "index", "Other edits kept winning.")),
    );
}
