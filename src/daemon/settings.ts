/** The settings of one host, read from a JSON file and checked. */
import type * as neverthrow from "neverthrow";
import * as z from "zod";
import * as settingsFile from "../adapters/settingsfile.js";
import type * as failure from "../core/failure.js";

const port = z.number().int().min(0).max(65_535);
const name = z.string().min(1).max(63);
const listener = z.strictObject({ host: z.string().default("127.0.0.1"), port }).readonly();

/** Schema of the settings file. */
export const schema = z.strictObject({
    id: name,
    region: name,
    failureDomain: name,
    callers: listener,
    peers: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port,
        /** Address that other hosts use, when it differs. */
        advertise: z.string().optional(),
    }).readonly(),
    operations: listener,
    platform: z.strictObject({ address: z.string(), region: name }).readonly(),
    /** Addresses of hosts to ask when the platform's list can't be had. */
    seeds: z.array(z.string()).readonly().default([]),
    account: z.strictObject({ user: z.string(), password: z.string() }).readonly(),
    quota: z.strictObject({
        slots: z.number().int().min(1).max(10_000).default(9),
        banks: z.number().int().min(1).max(64).default(9),
        loanMs: z.number().min(50).max(10_000).default(150),
    }).readonly().prefault({}),
    timing: z.strictObject({
        heartbeatMs: z.number().min(20).max(10_000).default(500),
        deadMs: z.number().min(100).max(60_000).default(2_500),
        freshMs: z.number().min(500).max(60_000).default(4_000),
        silenceMs: z.number().min(100).max(15_000).default(1_000),
        drainMs: z.number().min(0).max(120_000).default(10_000),
        transactionIdleMs: z.number().min(100).max(600_000).default(15_000),
    }).readonly().prefault({}),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).readonly();

/** Settings of one host. */
export type Settings = z.infer<typeof schema>;

/** Checks settings. `parse({ id: "h1", ... })` */
export function parse(input: unknown): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.parse(schema, input);
}

/** Reads and checks a settings file. */
export function load(file: string): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.load(schema, file);
}
