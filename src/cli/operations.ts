/** What the operator's commands do, apart from how they are typed and printed. */
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

/** A key, shown once; only its digest is stored. */
export interface Key {
    readonly id: string;
    readonly key: string;
    readonly revision: number;
}

const keyBytes = 24;
const idBytes = 6;
const callTimeoutMs = 5_000;

/** Calls one process and closes the connection after. */
export async function withChannel<T>(address: string, use: (channel: network.Channel) => Promise<T>): Promise<T> {
    const opened = grpc.createNetwork();
    const value = await use(opened.openChannel(address));
    opened.close();
    return value;
}

/** Reads a JSON file. */
export function readJson(file: string): Result<unknown> {
    try {
        return neverthrow.ok(JSON.parse(fs.readFileSync(file, "utf8")) as unknown);
    }
    catch (thrown) {
        const message = `The file ${file} can't be read as JSON: ${String(thrown)}.`;
        return neverthrow.err(failure.create(failure.Code.configurationInvalid, file, message));
    }
}

/** Names a section, or says which there are. */
export function section(name: string): Result<configuration.Section> {
    const found = configuration.sectionNames.find(known => known === name);
    const message = `Section ${name} does not exist; the sections are: ${configuration.sectionNames.join(", ")}.`;
    return found === undefined
        ? neverthrow.err(failure.create(failure.Code.configurationInvalid, name, message))
        : neverthrow.ok(found);
}

/** The configuration in force. */
export function show(platform: string): Promise<Result<configuration.Configuration>> {
    return withChannel(platform, channel => configstore.read(channel));
}

/** Checks a whole document without applying it. */
export function check(file: string): Result<{ readonly valid: true }> {
    return readJson(file).andThen(value =>
        configuration.validate(value).mapErr(configuration.toFailure).map(() => ({ valid: true as const }))
    );
}

/** Replaces one section. */
export async function apply(
    platform: string,
    name: string,
    file: string,
    base: number | undefined,
): Promise<Result<{ readonly revision: number }>> {
    const named = section(name);
    const body = readJson(file);
    if (named.isErr() || body.isErr()) {
        return neverthrow.err(named.isErr() ? named.error : body._unsafeUnwrapErr());
    }
    const edit = { id: crypto.randomUUID(), section: named.value, change: () => body.value, base };
    const applied = await withChannel(platform, channel => configstore.apply(channel, edit));
    return applied.map(revision => ({ revision }));
}

/** Creates a key for an organisation. */
export async function createKey(platform: string, organisation: string): Promise<Result<Key>> {
    const key = crypto.randomBytes(keyBytes).toString("base64url");
    const id = `${organisation}-${crypto.randomBytes(idBytes).toString("hex")}`;
    const entry = { organisation, doubleSha1: mysqlserver.digest(key) };
    const edit = {
        id: crypto.randomUUID(),
        section: "keys" as const,
        change: (current: unknown) => ({ ...(current as object), [id]: entry }),
    };
    const applied = await withChannel(platform, channel => configstore.apply(channel, edit));
    return applied.map(revision => ({ id, key, revision }));
}

/** Withdraws a key. */
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
                Object.fromEntries(Object.entries(keys as object).filter(([name]) => name !== id)),
        };
        const applied = await configstore.apply(channel, edit);
        return applied.map(revision => ({ revision }));
    });
}

function parseReport(reply: Result<{ readonly report: string }>): Result<unknown> {
    return reply.map(value => JSON.parse(value.report) as unknown);
}

/** What a host says of itself. */
export function status(host: string): Promise<Result<unknown>> {
    return withChannel(host, async channel => parseReport(await channel.call(messages.peer.status, {}, callTimeoutMs)));
}

/** How a host would route a statement. */
export function explain(host: string, route: string, organisation: string, text: string): Promise<Result<unknown>> {
    const request = { route, organisation, text };
    return withChannel(
        host,
        async channel => parseReport(await channel.call(messages.peer.explain, request, callTimeoutMs)),
    );
}

/** Tells a host to stop gracefully. */
export function drain(host: string): Promise<Result<object>> {
    return withChannel(host, channel => channel.call(messages.peer.drain, {}, callTimeoutMs));
}
