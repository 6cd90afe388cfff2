/** Parses the documents in the platform's store: the configuration and the list of endpoints. */
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import * as z from "zod";
import * as decode from "../core/decode.js";
import type * as directory from "../core/directory.js";
import * as homes from "../core/homes.js";
import type * as policies from "../core/policy.js";

/** Key of the operators' configuration. */
export const configurationKey = "op/config";
/** Prefix of the keys of endpoint entries; the rest of a key is the endpoint's id. */
export const endpointsPrefix = "servers/";
/** Prefix of the keys that evacuate a failure domain; the rest of a key is the name of the domain. */
export const evacuationsPrefix = "op/evacuate/";
/** Prefix of all keys that the operators write. */
export const operatorsPrefix = "op/";

const name = z.string().min(1);

const routeSchema = z.object({
    /** Name of the database that callers log in to; not a network name. */
    hostname: name,
    /** Database group. */
    service: name,
    kind: z.enum(["primary", "bounded_staleness", "read_your_writes"]),
    timeout_ms: z.number().positive(),
    target_latency_ms: z.number().positive().default(1_000),
    priority: z.number().default(0),
    max_staleness_ms: z.number().min(0).default(0),
    public: z.boolean().default(false),
    /** Regions in which the route's requests may be handled; none stands for all. */
    allowed_regions: z.array(name).default([]),
});

const configurationSchema = z.object({
    version: z.number().int().min(0),
    routes: z.array(routeSchema),
    services: z.array(z.object({
        name,
        max_connections: z.number().int().min(1).default(16),
        sync_replicas: z.number().int().min(0).default(0),
        cold_start_s: z.number().min(0).default(0),
        /** Requests a second; 0: no bound. */
        cold_per_s: z.number().min(0).default(0),
    })).default([]),
    limits: z.object({ tx_idle_ms: z.number().min(0).default(0) }).default({ tx_idle_ms: 0 }),
    tenants: z.array(z.object({
        name,
        api_keys: z.array(z.string()).default([]),
        rate_per_s: z.number().min(0).default(0),
        burst: z.number().min(0).default(0),
        allowed_regions: z.array(name).default([]),
    })).default([]),
});

function convertRoute(route: z.infer<typeof routeSchema>): policies.Route {
    const consistency: policies.Consistency = route.kind === "primary"
        ? { kind: "primary" }
        : {
            kind: route.kind === "bounded_staleness" ? "bounded" : "session",
            maxAgeMs: route.max_staleness_ms,
        };
    return {
        database: route.hostname,
        group: route.service,
        consistency,
        statementTimeoutMs: route.timeout_ms,
        latencyTargetMs: route.target_latency_ms,
        priority: route.priority,
        allowsAnonymous: route.public,
        homes: homes.of(route.allowed_regions),
    };
}

/**
 * Parses the operators' configuration; the error says what is invalid. Organisations whose names endpoints can't be told are
 * left out: their requests would run under another name, or end the message.
 */
export function parsePolicy(text: string): neverthrow.Result<policies.Policy, string> {
    return decode.json(configurationSchema, text).map(value => convertPolicy(value));
}

function convertPolicy(value: z.infer<typeof configurationSchema>): policies.Policy {
    const tenants = value.tenants.filter(tenant => isField(tenant.name));
    const leftOut = value.tenants.filter(tenant => !isField(tenant.name)).map(tenant => tenant.name);
    return {
        version: value.version,
        routes: new Map(value.routes.map(route => [route.hostname, convertRoute(route)])),
        groups: new Map(value.services.map(service => [
            service.name,
            {
                name: service.name,
                maxConnections: service.max_connections,
                syncReplicas: service.sync_replicas,
                ...service.cold_per_s > 0
                    ? { coldStartMs: service.cold_start_s * 1_000, coldPerSecond: service.cold_per_s }
                    : {},
            },
        ])),
        organisations: new Map(tenants.map(tenant => [
            tenant.name,
            {
                name: tenant.name,
                ratePerSecond: tenant.rate_per_s,
                burst: tenant.burst,
                homes: homes.of(tenant.allowed_regions),
            },
        ])),
        keys: new Map(tenants.flatMap(tenant => tenant.api_keys.map(key => [key, tenant.name] as const))),
        ...leftOut.length === 0 ? {} : { leftOut },
        transactionIdleMs: value.limits.tx_idle_ms,
    };
}

/**
 * True if the text can be a field of a message to an endpoint: it contains nothing that separates fields and messages, and no half
 * of a character, which would become the same bytes as any other.
 */
function isField(text: string): boolean {
    return /^[^\s\p{Cc}\p{Cs}]+$/u.test(text);
}

const word = z.string().refine(isField, "Not a field of a message.");
const maxPort = 65_535;

function isAddress(text: string): boolean {
    const colon = text.lastIndexOf(":");
    const port = text.slice(colon + 1);
    return net.isIPv4(text.slice(0, colon)) && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= maxPort;
}

const endpointSchema = z.object({
    service: word,
    address: z.string().refine(isAddress, "Not an IPv4 address with a port."),
    zone: z.string(),
    slots: z.number().int().min(1),
    state: z.enum(["ready", "draining"]),
    db_role: z.enum(["primary", "replica"]),
    cold_remaining_ms: z.number().optional(),
    born: z.number().int().default(0),
    sequence: z.number().default(0),
});

/** Parses an endpoint's entry, whose key ends in the endpoint's id; the error says what is invalid. */
export function parseEndpoint(key: string, text: string): neverthrow.Result<directory.Endpoint, string> {
    const id = word.safeParse(key.slice(endpointsPrefix.length));
    if (id.error !== undefined) {
        return neverthrow.err(id.error.message);
    }
    return decode.json(endpointSchema, text).map(value => ({
        id: id.data,
        group: value.service,
        address: value.address,
        failureDomain: value.zone,
        slots: value.slots,
        draining: value.state === "draining",
        primary: value.db_role === "primary",
        born: value.born,
        sequence: value.sequence,
        ...value.cold_remaining_ms === undefined ? {} : { coldRemainingMs: value.cold_remaining_ms },
    }));
}
