/** The settings of one host on a platform that has database groups with terms: a JSON file, checked. */
import type * as neverthrow from "neverthrow";
import * as z from "zod";
import * as settingsFile from "../adapters/settingsfile.js";
import type * as failure from "../core/failure.js";

const address = z.string().regex(/^[^\s:]+:\d+$/, "An address is HOST:PORT.").transform(text => {
    const separator = text.lastIndexOf(":");
    return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
});
const name = z.string().min(1).max(200);

/** Schema of the settings file. */
export const schema = z.strictObject({
    id: name,
    region: name,
    failureDomain: name,
    /** Region of each failure domain. */
    failureDomains: z.record(z.string(), z.string()).default({}),
    /** Where callers connect. */
    callers: address,
    /** Where the platform asks whether this host is ready. */
    readiness: address,
    /** Where other hosts connect. */
    peers: address,
    /** Addresses of hosts to ask while the store can't be had. */
    seeds: z.array(z.string()).readonly().default([]),
    store: z.string(),
    promotions: z.string(),
    /** Port of the metrics, on the address for callers. */
    metricsPort: z.number().int().min(0).max(65_535).default(9_464),
    /** Time between a request to stop and the end, in milliseconds. */
    graceMs: z.number().min(100).default(6_000),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).readonly();

/** Settings of one host. */
export type Settings = z.infer<typeof schema>;

/** Checks settings. */
export function parse(input: unknown): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.parse(schema, input);
}

/** Reads and checks a settings file. */
export function load(file: string): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.load(schema, file);
}
