/**
 * Configuration and database groups as this host knows them. Two hosts of each failure domain watch the
 * store; the others learn from them. Revisions only move forward.
 */
import * as neverthrow from "neverthrow";
import * as configstore from "../adapters/configstore.js";
import * as configuration from "../core/configuration.js";
import * as failure from "../core/failure.js";
import * as freshness from "../core/freshness.js";
import type * as memberships from "../core/membership.js";
import * as rendezvous from "../core/rendezvous.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";

/** Settings of a feed. */
export interface Options {
    readonly self: memberships.Member;
    readonly platform: network.Channel;
    readonly storeRegion: string;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Measures;
    readonly freshMs: number;
    fleet(): fleets.Fleet;
    /** Told of each configuration that comes into force. */
    changed(configuration: configuration.Configuration): void;
    /** Told of groups that changed. */
    regrouped(groups: readonly messages.Group[]): void;
}

/** The newest configuration and groups. */
export interface Feed {
    configuration(): configuration.Configuration;
    group(database: string): messages.Group | undefined;
    groups(): messages.Groups;
    /** Takes a group that this host changed itself. */
    adopt(group: messages.Group): void;
    knowledge(): fleets.Knowledge;
    learned(digest: messages.Digest, askedMs: number): void;
    /** Whether statements may run on the configuration held. */
    judge(): freshness.Verdict;
    ready(): boolean;
    start(): void;
    close(): void;
}

const watchMs = 1_000;
const watchTimeoutMs = 2_500;
const pullTimeoutMs = 2_000;
const retryMs = 200;
const watchersPerDomain = 2;
const storeWordMs = 5_000;

/** Creates a feed that knows nothing. */
export function createFeed(options: Options): Feed {
    const { clock, log, platform } = options;
    let current: configuration.Configuration = { revision: 0, document: configuration.empty };
    let groups: messages.Groups = { revision: 0, groups: [] };
    let freshAtMs: number | undefined;
    let store: { readonly up: boolean; readonly atMs: number } | undefined;
    let corruptRevision = 0;
    let closed = false;
    let pulling = false;

    function force(next: configuration.Configuration, source: string): void {
        if (next.revision <= current.revision) {
            return;
        }
        current = next;
        options.measures.gauge("configurationRevision", "", next.revision);
        log.info({ revision: next.revision, source }, "Configuration in force.");
        options.changed(next);
        void options.fleet().kick();
    }

    function regroup(next: messages.Groups): void {
        if (next.revision <= groups.revision) {
            return;
        }
        const merged = next.groups.map(group => {
            const known = groups.groups.find(entry => entry.database === group.database);
            return known !== undefined && known.term > group.term ? known : group;
        });
        groups = { revision: next.revision, groups: merged };
        options.regrouped(merged);
    }

    function watches(): boolean {
        const peers = options.fleet().live().filter(member => member.failureDomain === options.self.failureDomain);
        const order = rendezvous.order("watch", peers.map(member => member.id));
        return order.slice(0, watchersPerDomain).includes(options.self.id) || order.length === 0;
    }

    function note(up: boolean, askedMs: number): void {
        if (store?.up !== up) {
            log.warn({ up }, up ? "The store answers." : "The store does not answer.");
        }
        store = { up, atMs: clock.now() };
        if (up) {
            freshAtMs = Math.max(freshAtMs ?? 0, askedMs);
        }
    }

    async function watchConfiguration(): Promise<void> {
        const askedMs = clock.now();
        const request = { key: configstore.indexKey, after: lastStored, waitMs: current.revision === 0 ? 0 : watchMs };
        const reply = await platform.call(messages.platform.watch, request, watchTimeoutMs);
        if (reply.isErr()) {
            note(false, askedMs);
            await clock.sleep(retryMs);
            return;
        }
        const index = configstore.readIndex(reply.value.value);
        const loaded = index.isErr() ? neverthrow.err(index.error) : await load(index.value);
        if (loaded.isErr()) {
            await alarm(loaded.error, reply.value.revision, askedMs);
            return;
        }
        lastStored = reply.value.revision;
        note(true, askedMs);
    }

    let lastStored = 0;

    async function load(index: configstore.Index): Promise<neverthrow.Result<void, failure.Failure>> {
        if (index.revision <= current.revision) {
            return neverthrow.ok(undefined);
        }
        const loaded = await configstore.load(platform, index);
        return loaded.map(next => force(next, "store"));
    }

    /** A corrupt value leaves the last good revision in force; it is no proof of freshness lost. */
    async function alarm(cause: failure.Failure, stored: number, askedMs: number): Promise<void> {
        if (cause.code !== failure.Code.sectionCorrupt) {
            note(false, askedMs);
            await clock.sleep(retryMs);
            return;
        }
        if (corruptRevision !== stored) {
            corruptRevision = stored;
            log.error(
                { cause, revision: current.revision, alarm: true },
                "The stored configuration is corrupt; the last good revision stays in force.",
            );
        }
        note(true, askedMs);
        await clock.sleep(retryMs);
    }

    async function watchGroups(): Promise<void> {
        const request = { after: groups.revision, waitMs: groups.revision === 0 ? 0 : watchMs };
        const reply = await platform.call(messages.platform.groups, request, watchTimeoutMs);
        if (reply.isErr()) {
            await clock.sleep(retryMs);
            return;
        }
        regroup(reply.value);
    }

    async function loop(step: () => Promise<void>): Promise<void> {
        while (!closed) {
            if (watches()) {
                await step();
            }
            else {
                await clock.sleep(retryMs);
            }
        }
    }

    async function pull(source: memberships.Member, digest: messages.Digest): Promise<void> {
        const channel = options.fleet().channel(source);
        if (digest.configurationRevision > current.revision) {
            const reply = await channel.call(messages.peer.configuration, {}, pullTimeoutMs);
            const checked = reply.isOk() ? configuration.check(JSON.parse(reply.value.document)) : undefined;
            if (reply.isOk() && checked?.isOk() === true) {
                force({ revision: reply.value.revision, document: checked.value }, source.id);
            }
        }
        if (digest.groupsRevision > groups.revision) {
            const reply = await channel.call(messages.peer.groups, {}, pullTimeoutMs);
            if (reply.isOk()) {
                regroup(reply.value);
            }
        }
    }

    function freshMs(): number {
        return freshAtMs === undefined ? Infinity : clock.now() - freshAtMs;
    }

    function storeUp(): boolean | undefined {
        return store === undefined || clock.now() - store.atMs > storeWordMs ? undefined : store.up;
    }

    return {
        configuration: () => current,
        group: database => groups.groups.find(entry => entry.database === database),
        groups: () => groups,
        adopt(group) {
            const others = groups.groups.filter(entry => entry.database !== group.database);
            const known = groups.groups.find(entry => entry.database === group.database);
            if (known === undefined || group.term >= known.term) {
                groups = { ...groups, groups: [...others, group] };
                options.regrouped([group]);
            }
        },
        knowledge: () => ({
            configurationRevision: current.revision,
            groupsRevision: groups.revision,
            freshMs: Number.isFinite(freshMs()) ? freshMs() : undefined,
            storeUp: storeUp(),
        }),
        learned(digest, askedMs) {
            const source = digest.members[0];
            if (source === undefined) {
                return;
            }
            if (digest.freshMs !== undefined && digest.configurationRevision <= current.revision) {
                freshAtMs = Math.max(freshAtMs ?? 0, askedMs - digest.freshMs);
            }
            const behind = digest.configurationRevision > current.revision || digest.groupsRevision > groups.revision;
            if (behind && !pulling) {
                pulling = true;
                void pull(source, digest).finally(() => {
                    pulling = false;
                });
            }
        },
        judge() {
            const near = options.fleet().known().filter(member => member.region === options.storeRegion);
            return freshness.judge({
                freshMs: freshMs(),
                limitMs: options.freshMs,
                witnesses: options.fleet().witnesses(),
                storeRegionHosts: near.map(member => member.id),
            });
        },
        ready: () => current.revision > 0 && groups.revision > 0,
        start() {
            void loop(watchConfiguration);
            void loop(watchGroups);
        },
        close() {
            closed = true;
        },
    };
}
