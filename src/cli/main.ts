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

const platform = {
    type: "string",
    required: true,
    description: "Address of the platform service that stores the configuration, host:port",
} as const;
const host = {
    type: "string",
    required: true,
    description: "Address on which the host serves its peers, host:port",
} as const;
const json = { type: "boolean", default: false, description: "Print the result as one line of JSON" } as const;
const positional = (description: string) => ({ type: "positional", required: true, description }) as const;

const show = citty.defineCommand({
    meta: { name: "show", description: "Print the configuration in force, or one section of it" },
    args: { platform, json, section: { type: "positional", required: false, description: "Name of a section" } },
    async run({ args }) {
        const configuration = await operations.readConfiguration(args.platform);
        if (args.section === undefined) {
            output.printResult(configuration, args.json);
            return;
        }
        const section = operations.parseSection(args.section);
        output.printResult(configuration.andThen(value => section.map(name => value.document[name])), args.json);
    },
});

const check = citty.defineCommand({
    meta: { name: "check", description: "Validate a whole configuration document without applying it" },
    args: { json, file: positional("JSON file with the document") },
    run: ({ args }) => output.printResult(operations.check(args.file), args.json, () => "The document is valid."),
});

const apply = citty.defineCommand({
    meta: { name: "apply", description: "Replace one section of the configuration; the others stay unchanged" },
    args: {
        platform,
        json,
        section: positional("Name of the section"),
        file: positional("JSON file with the section's new content"),
        base: {
            type: "string",
            description: "Revision that the edit is based on; a later change to the section is reported as a conflict",
        },
    },
    async run({ args }) {
        const base = args.base === undefined ? undefined : Number(args.base);
        const applied = await operations.apply(args.platform, args.section, args.file, base);
        output.printResult(applied, args.json, value => `Revision ${value.revision} is accepted.`);
    },
});

const create = citty.defineCommand({
    meta: {
        name: "create",
        description: "Create a key for an organisation; the key is printed now and can't be read back later",
    },
    args: { platform, json, organisation: positional("Name of the organisation") },
    async run({ args }) {
        const created = await operations.createKey(args.platform, args.organisation);
        output.printResult(created, args.json, value => `Key ${value.id}: ${value.key}`);
    },
});

const withdraw = citty.defineCommand({
    meta: { name: "withdraw", description: "Withdraw a key; connections already open with it lose access too" },
    args: { platform, json, id: positional("Id of the key") },
    async run({ args }) {
        const withdrawn = await operations.withdrawKey(args.platform, args.id);
        output.printResult(withdrawn, args.json, value => `Key withdrawn in revision ${value.revision}.`);
    },
});

const explain = citty.defineCommand({
    meta: { name: "explain", description: "Print how a host would route a statement" },
    args: {
        host,
        json,
        route: positional("Name of the route"),
        statement: positional("SQL statement"),
        organisation: { type: "string", default: "", description: "Name of the organisation that sends the statement" },
    },
    async run({ args }) {
        output.printResult(
            await operations.explain(args.host, args.route, args.organisation, args.statement),
            args.json,
        );
    },
});

const status = citty.defineCommand({
    meta: { name: "status", description: "Print the status that a host reports" },
    args: { host, json },
    run: async ({ args }) => output.printResult(await operations.status(args.host), args.json),
});

const drain = citty.defineCommand({
    meta: { name: "drain", description: "Stop a host gracefully" },
    args: { host, json },
    run: async ({ args }) =>
        output.printResult(await operations.drain(args.host), args.json, () => "The host is draining."),
});

/** Reads the log lines of the files, or of standard input when there are none. */
async function readLogLines(
    files: readonly string[],
): Promise<neverthrow.Result<readonly tracing.LogLine[], failure.Failure>> {
    const missing = files.find(file => !fs.existsSync(file));
    if (missing !== undefined) {
        const message = `File ${missing} does not exist.`;
        return neverthrow.err(failure.create(failure.Code.statementInvalid, missing, message));
    }
    const inputs = files.length === 0 ? [process.stdin] : files.map(file => fs.createReadStream(file));
    return neverthrow.ok((await Promise.all(inputs.map(tracing.readLines))).flat());
}

const trace = citty.defineCommand({
    meta: {
        name: "trace",
        description: "Show what happened to one request, from log files or from standard input. "
            + "Example: hyssophatch trace 5c0e7a21d94b36f8 host-1.log host-2.log",
    },
    args: { json, request: positional("Id of the request") },
    async run({ args }) {
        const lines = await readLogLines(args._.slice(1));
        output.printResult(lines.andThen(found => tracing.build(found, args.request)), args.json, tracing.format);
    },
});

const report = citty.defineCommand({
    meta: {
        name: "report",
        description:
            "Compute the share of reads served by replicas, the duration of each change of primary, and the worst "
            + "served organisations, from log files or from standard input. Example: hyssophatch report host-*.log",
    },
    args: { json },
    async run({ args }) {
        const lines = await readLogLines(args._);
        output.printResult(lines.map(reporting.compute), args.json, reporting.format);
    },
});

const main = citty.defineCommand({
    meta: { name: "hyssophatch", description: "Operate a fleet of hyssophatchd hosts" },
    subCommands: {
        config: citty.defineCommand({
            meta: { name: "config", description: "Read, validate and change the configuration" },
            subCommands: { show, check, apply },
        }),
        key: citty.defineCommand({
            meta: { name: "key", description: "Create and withdraw the keys of organisations" },
            subCommands: { create, withdraw },
        }),
        route: citty.defineCommand({
            meta: { name: "route", description: "Inspect routes" },
            subCommands: { explain },
        }),
        status,
        drain,
        trace,
        report,
    },
});

void citty.runMain(main);
