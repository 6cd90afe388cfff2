/** Settings file of one host, in JSON, for a platform whose database groups have terms (leadership epochs). */
import type * as neverthrow from "neverthrow";
import * as z from "zod";
import * as settingsFile from "../adapters/settingsfile.js";
import type * as failure from "../core/failure.js";
import type * as limits from "../core/limits.js";
import type * as permits from "../core/permits.js";
import type * as messages from "./messages.js";

const millisecondsPerSecond = 1_000;

const address = z.string().regex(/^[^\s:]+:\d+$/, "An address must have the form HOST:PORT.").transform(text => {
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
    /** Address on which the host listens for callers. */
    callers: address,
    /** Address of the readiness check that the platform calls. */
    readiness: address,
    /** Address on which the host listens for other hosts. */
    peers: address,
    /** Addresses of hosts to contact while the store is unavailable. */
    seeds: z.array(z.string()).readonly().default([]),
    /** Address of the platform's store. */
    store: z.string(),
    /** Address of the platform's promotion service. */
    promotions: z.string(),
    /** Processor capacity: a share of each core, and how many cores' speed the host has. Strong hosts carry the duties. */
    processor: z.object({ share: z.number().positive(), cores: z.number().positive() }).readonly()
        .default({ share: 1, cores: 1 }),
    /** Memory from which the process is ended, and capacity of the host's link in each direction. */
    memoryMegabytes: z.number().positive().optional(),
    linkMegabitsPerSecond: z.number().positive().optional(),
    /** When reads leave the failure domain or the region for endpoints elsewhere. */
    spillover: z.object({
        /** Part of the time until its route's latency target that a read may be expected to take before it leaves. */
        targetFraction: z.number().min(0).max(1).default(0.25),
        /** Largest part of the reads that may leave; 0 keeps all reads where an endpoint can serve them. */
        maxShare: z.number().min(0).max(1).default(1),
    }).readonly().default({ targetFraction: 0.25, maxShare: 1 }),
    /** Port of the metrics endpoint, on the same interface as `callers`. */
    metricsPort: z.number().int().min(0).max(65_535).default(9_464),
    /** Window in which the platform counts the operations of an organisation, in seconds. */
    quotaWindowSeconds: z.number().positive().default(5),
    /** Fraction by which an organisation may exceed its limit in a window. */
    quotaOverage: z.number().min(0).default(0),
    /** Operations beyond that by which it may exceed its limit in a window. */
    quotaSlack: z.number().min(0).default(0),
    /** Factor on the requests that the configuration allows a cold endpoint; without it there is no such bound. */
    coldOverage: z.number().min(0).optional(),
    /** Requests a second beyond that. */
    coldSlack: z.number().min(0).default(0),
    /** Time from a shutdown request to the end of the process, in milliseconds. */
    graceMs: z.number().min(100).default(6_000),
    /**
     * Time from the announcement of an endpoint's shutdown until it may be sent nothing new, in milliseconds; absent on a
     * platform without such a bound.
     */
    drainMs: z.number().min(0).optional(),
    /**
     * Time from the request to evacuate a failure domain to the moment from which its endpoints may be sent nothing, in
     * milliseconds; absent on a platform without evacuations.
     */
    evacuateMs: z.number().min(0).optional(),
    /** Whether a host measures its room, leaves rotation while it lacks room, and hands its duties to hosts that have some. */
    yieldWithoutRoom: z.boolean().default(false),
    /**
     * Whether and from how many hosts on some of them hold the connections for all, where there are fewer connections than
     * one an organisation and host.
     */
    connectionHolders: z.object({
        enabled: z.boolean().default(false),
        minHosts: z.number().int().min(2).default(17),
        /** Whether transactions run there too, each statement of which then takes a hop; otherwise they open a connection. */
        transactions: z.boolean().default(false),
        /** Whether hosts that are not holders open connections of their own for statements that come often. */
        ownConnections: z.boolean().default(true),
    }).readonly().default({ enabled: false, minHosts: 17, transactions: false, ownConnections: true }),
    /** Whether the host measures what its processor time is used for, in the metrics and each 5 s in the log. */
    measureProcessor: z.boolean().default(false),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).readonly();

/** Settings of one host. */
export type Settings = z.infer<typeof schema>;

/** The description that a host gives of itself to others. */
export function memberOf(settings: Settings, incarnation: string): messages.Member {
    return {
        id: settings.id,
        address: `${settings.peers.host}:${settings.peers.port}`,
        failureDomain: settings.failureDomain,
        incarnation,
        leaving: false,
        capacity: settings.processor.share * settings.processor.cores,
    };
}

/** By how much a window of an organisation's operations may exceed its limit. */
export function toleranceOf(settings: Settings): limits.Tolerance {
    return {
        windowMs: settings.quotaWindowSeconds * millisecondsPerSecond,
        overage: settings.quotaOverage,
        slack: settings.quotaSlack,
    };
}

/** By how much the requests to a cold endpoint may exceed the configured ones; undefined: there is no bound. */
export function coldToleranceOf(
    { coldOverage, coldSlack }: Settings,
): Pick<permits.Bound, "overage" | "slack"> | undefined {
    return coldOverage === undefined ? undefined : { overage: coldOverage, slack: coldSlack };
}

/** Validates settings. */
export function parse(input: unknown): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.parse(schema, input);
}

/** Reads and validates a settings file. */
export function load(file: string): neverthrow.Result<Settings, failure.Failure> {
    return settingsFile.load(schema, file);
}
