/** Implements the operator's commands; arguments are parsed in `main.ts` and results printed by `output.ts`. */
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as configstore from "../adapters/configstore.js";
import * as grpc from "../adapters/grpc.js";
import * as mysqlserver from "../adapters/mysqlserver.js";
import * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** A newly created key. The store keeps only its hash, so the key itself can't be read back. */
export interface CreatedKey {
    readonly id: string;
    readonly key: string;
    readonly revision: number;
}

/** Random bytes in a key. */
const keySizeBytes = 24;
/** Random bytes in the id of a key. */
const idSizeBytes = 6;
const callTimeoutMs = 5_000;

/** Opens a channel to the process at an address, passes it to `use`, and closes the connection when `use` resolves. */
export async function withChannel<T>(address: string, use: (channel: network.Channel) => Promise<T>): Promise<T> {
    const connections = grpc.createNetwork();
    const value = await use(connections.openChannel(address));
    connections.close();
    return value;
}

/** Reads a JSON file; fails with `configurationInvalid` when the file is missing or is not JSON. */
export function readJson(file: string): Result<unknown> {
    try {
        return neverthrow.ok(JSON.parse(fs.readFileSync(file, "utf8")) as unknown);
    }
    catch (thrown) {
        const message = `File ${file} can't be read as JSON: ${String(thrown)}.`;
        return neverthrow.err(failure.create(failure.Code.configurationInvalid, file, message));
    }
}

/** Parses the name of a section; the failure for an unknown name lists the sections that exist. */
export function parseSection(name: string): Result<configuration.Section> {
    const found = configuration.sectionNames.find(known => known === name);
    const message = `Section ${name} does not exist; the sections are: ${configuration.sectionNames.join(", ")}.`;
    return found === undefined
        ? neverthrow.err(failure.create(failure.Code.configurationInvalid, name, message))
        : neverthrow.ok(found);
}

/** Reads the configuration in force. */
export function readConfiguration(platform: string): Promise<Result<configuration.Configuration>> {
    return withChannel(platform, channel => configstore.read(channel));
}

/** Validates the configuration document in a file without applying it. */
export function check(file: string): Result<{ readonly valid: true }> {
    return readJson(file).andThen(value =>
        configuration.validate(value).mapErr(configuration.toFailure).map(() => ({ valid: true as const }))
    );
}

/**
 * Replaces one section with the content of a file, and returns the revision in which it took effect.
 * With a base revision, fails with `configurationConflict` if the section has changed since.
 */
export async function apply(
    platform: string,
    name: string,
    file: string,
    base: number | undefined,
): Promise<Result<{ readonly revision: number }>> {
    const section = parseSection(name);
    const content = readJson(file);
    if (section.isErr() || content.isErr()) {
        return neverthrow.err(section.isErr() ? section.error : content._unsafeUnwrapErr());
    }
    const edit = { id: crypto.randomUUID(), section: section.value, change: () => content.value, base };
    const applied = await withChannel(platform, channel => configstore.apply(channel, edit));
    return applied.map(revision => ({ revision }));
}

/** Creates a random key for an organisation and stores its hash. */
export async function createKey(platform: string, organisation: string): Promise<Result<CreatedKey>> {
    const key = crypto.randomBytes(keySizeBytes).toString("base64url");
    const id = `${organisation}-${crypto.randomBytes(idSizeBytes).toString("hex")}`;
    const entry = { organisation, doubleSha1: mysqlserver.hashKey(key) };
    const edit = {
        id: crypto.randomUUID(),
        section: "keys" as const,
        change: (current: unknown) => ({ ...(current as object), [id]: entry }),
    };
    const applied = await withChannel(platform, channel => configstore.apply(channel, edit));
    return applied.map(revision => ({ id, key, revision }));
}

/** Withdraws a key, and returns the revision from which it is no longer valid. */
export async function withdrawKey(platform: string, id: string): Promise<Result<{ readonly revision: number }>> {
    return withChannel(platform, async channel => {
        const current = await configstore.read(channel);
        if (current.isErr()) {
            return neverthrow.err(current.error);
        }
        if (!Object.hasOwn(current.value.document.keys, id)) {
            const message = `Key ${id} does not exist.`;
            return neverthrow.err(failure.create(failure.Code.configurationInvalid, id, message));
        }
        const edit = {
            id: crypto.randomUUID(),
            section: "keys" as const,
            change: (keys: unknown) =>
                Object.fromEntries(Object.entries(keys as object).filter(([keyId]) => keyId !== id)),
        };
        const applied = await configstore.apply(channel, edit);
        return applied.map(revision => ({ revision }));
    });
}

function parseReply(reply: Result<{ readonly report: string }>): Result<unknown> {
    return reply.map(value => JSON.parse(value.report) as unknown);
}

/** Reads the status that a host reports. */
export function status(host: string): Promise<Result<unknown>> {
    return withChannel(host, async channel => parseReply(await channel.call(messages.peer.status, {}, callTimeoutMs)));
}

/** Asks a host how it would route a statement, without running it. */
export function explain(
    host: string,
    route: string,
    organisation: string,
    statement: string,
): Promise<Result<unknown>> {
    const request = { route, organisation, text: statement };
    return withChannel(
        host,
        async channel => parseReply(await channel.call(messages.peer.explain, request, callTimeoutMs)),
    );
}

/** Tells a host to stop gracefully. */
export function drain(host: string): Promise<Result<object>> {
    return withChannel(host, channel => channel.call(messages.peer.drain, {}, callTimeoutMs));
}
