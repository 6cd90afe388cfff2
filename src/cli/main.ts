#!/usr/bin/env node
/** The operator's command line `hyssophatch`. */
import * as citty from "citty";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import * as failure from "../core/failure.js";
import * as operations from "./operations.js";
import * as output from "./output.js";
import * as reporting from "./report.js";
import * as tracing from "./trace.js";

const platform = { type: "string", required: true, description: "Address of the platform, host:port" } as const;
const host = { type: "string", required: true, description: "Address of a host for its peers, host:port" } as const;
const json = { type: "boolean", default: false, description: "Print one line of JSON" } as const;
const positional = (description: string) => ({ type: "positional", required: true, description }) as const;

const show = citty.defineCommand({
    meta: { name: "show", description: "Print the configuration in force, or one section" },
    args: { platform, json, section: { type: "positional", required: false, description: "Section" } },
    async run({ args }) {
        const read = await operations.show(args.platform);
        if (args.section === undefined) {
            output.finish(read, args.json);
            return;
        }
        const named = operations.section(args.section);
        output.finish(read.andThen(value => named.map(name => value.document[name])), args.json);
    },
});

const check = citty.defineCommand({
    meta: { name: "check", description: "Check a whole document without applying it" },
    args: { json, file: positional("Document, JSON") },
    run: ({ args }) => output.finish(operations.check(args.file), args.json, () => "The document is valid."),
});

const apply = citty.defineCommand({
    meta: { name: "apply", description: "Replace one section; other sections stay as they are" },
    args: {
        platform,
        json,
        section: positional("Section"),
        file: positional("The section's new content, JSON"),
        base: {
            type: "string",
            description: "Revision the edit started from; a later edit of the section is a conflict",
        },
    },
    async run({ args }) {
        const base = args.base === undefined ? undefined : Number(args.base);
        const applied = await operations.apply(args.platform, args.section, args.file, base);
        output.finish(applied, args.json, value => `Revision ${value.revision} is accepted.`);
    },
});

const create = citty.defineCommand({
    meta: { name: "create", description: "Create a key for an organisation; it is printed once" },
    args: { platform, json, organisation: positional("Organisation") },
    async run({ args }) {
        const created = await operations.createKey(args.platform, args.organisation);
        output.finish(created, args.json, value => `Key ${value.id}: ${value.key}`);
    },
});

const withdraw = citty.defineCommand({
    meta: { name: "withdraw", description: "Withdraw a key, on open connections too" },
    args: { platform, json, id: positional("Key id") },
    async run({ args }) {
        const withdrawn = await operations.withdrawKey(args.platform, args.id);
        output.finish(withdrawn, args.json, value => `Withdrawn in revision ${value.revision}.`);
    },
});

const explain = citty.defineCommand({
    meta: { name: "explain", description: "Print how a host would route a statement" },
    args: {
        host,
        json,
        route: positional("Route"),
        statement: positional("Statement"),
        organisation: { type: "string", default: "", description: "Organisation" },
    },
    async run({ args }) {
        output.finish(await operations.explain(args.host, args.route, args.organisation, args.statement), args.json);
    },
});

const status = citty.defineCommand({
    meta: { name: "status", description: "Print what a host says of itself" },
    args: { host, json },
    run: async ({ args }) => output.finish(await operations.status(args.host), args.json),
});

const drain = citty.defineCommand({
    meta: { name: "drain", description: "Stop a host gracefully" },
    args: { host, json },
    run: async ({ args }) => output.finish(await operations.drain(args.host), args.json, () => "The host drains."),
});

/** Log lines of files, or of standard input when none is named. */
async function read(files: readonly string[]): Promise<neverthrow.Result<readonly tracing.Line[], failure.Failure>> {
    const missing = files.find(file => !fs.existsSync(file));
    if (missing !== undefined) {
        const message = `File ${missing} does not exist.`;
        return neverthrow.err(failure.create(failure.Code.statementInvalid, missing, message));
    }
    const inputs = files.length === 0 ? [process.stdin] : files.map(file => fs.createReadStream(file));
    return neverthrow.ok((await Promise.all(inputs.map(tracing.collect))).flat());
}

const trace = citty.defineCommand({
    meta: {
        name: "trace",
        description: "Tell the story of one request from log files, or from standard input. "
            + "Example: hyssophatch trace 5c0e7a21d94b36f8 host-1.log host-2.log",
    },
    args: { json, request: positional("Id of the request") },
    async run({ args }) {
        const lines = await read(args._.slice(1));
        output.finish(lines.andThen(found => tracing.tell(found, args.request)), args.json, tracing.print);
    },
});

const report = citty.defineCommand({
    meta: {
        name: "report",
        description: "Work out the replicas' share of reads, the gaps at changes of primary, and the worst served "
            + "organisations from log files, or from standard input. Example: hyssophatch report host-*.log",
    },
    args: { json },
    async run({ args }) {
        const lines = await read(args._);
        output.finish(lines.map(reporting.measure), args.json, reporting.print);
    },
});

const main = citty.defineCommand({
    meta: { name: "hyssophatch", description: "Operate a fleet of hyssophatchd hosts" },
    subCommands: {
        config: citty.defineCommand({
            meta: { name: "config", description: "The configuration document" },
            subCommands: { show, check, apply },
        }),
        key: citty.defineCommand({
            meta: { name: "key", description: "Keys of organisations" },
            subCommands: { create, withdraw },
        }),
        route: citty.defineCommand({ meta: { name: "route", description: "Routes" }, subCommands: { explain } }),
        status,
        drain,
        trace,
        report,
    },
});

void citty.runMain(main);
