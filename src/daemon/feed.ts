/**
 * What this host knows from the platform: configuration, slot table and database groups. Two hosts of each
 * failure domain watch the store; the others learn from them. Revisions only move forward.
 */
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
import * as registers from "./register.js";

/** Settings of a feed. */
export interface Options {
    readonly self: memberships.Member;
    readonly platform: network.Channel;
    readonly storeRegion: string;
    /** Key of the slot table. */
    readonly slotsKey: string;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Metrics;
    readonly freshMs: number;
    fleet(): fleets.Fleet;
    /** Told of each configuration that comes into force. */
    changed(configuration: configuration.Configuration): void;
    /** Told of each slot table. */
    assigned(value: string | undefined): void;
    /** Told of groups that changed. */
    regrouped(groups: readonly messages.Group[]): void;
}

/** The newest state of the platform, as far as it is known here. */
export interface Feed {
    configuration(): configuration.Configuration;
    readonly slots: registers.Register;
    /** The value followed under a key. */
    value(key: string): messages.Entry;
    group(database: string): messages.Group | undefined;
    groups(): messages.Groups;
    /** Takes a group that this host changed itself. */
    adopt(group: messages.Group): void;
    knowledge(): fleets.Knowledge;
    learned(digest: messages.Digest, askedMs: number): void;
    /** Whether statements may run on the configuration held. */
    judge(): freshness.Decision;
    /** Whether the slot table held may be relied on. */
    judgeSlots(): freshness.Decision;
    ready(): boolean;
    start(): void;
    close(): void;
}

const watchMs = 1_000;
const watchTimeoutMs = 2_500;
const pullTimeoutMs = 2_000;
const retryMs = 200;
const watchersPerDomain = 2;

/** Creates a feed that knows nothing. */
export function createFeed(options: Options): Feed {
    const { clock, log, platform } = options;
    let current: configuration.Configuration = { revision: 0, document: configuration.empty };
    let groups: messages.Groups = { revision: 0, groups: [] };
    let corruptRevision = 0;
    let closed = false;
    let regrouping = false;

    const common = {
        platform,
        clock,
        watches,
        channel: (member: memberships.Member) => options.fleet().channel(member),
        noted: (up: boolean) => options.fleet().note(up),
    };
    const index = registers.createRegister({ ...common, key: configstore.indexKey, changed: reload });
    const slots = registers.createRegister({
        ...common,
        key: options.slotsKey,
        async changed(entry) {
            options.assigned(entry.value);
            return true;
        },
    });
    const followed = [{ key: configstore.indexKey, register: index }, { key: options.slotsKey, register: slots }];

    function watches(): boolean {
        const peers = options.fleet().live().filter(member => member.failureDomain === options.self.failureDomain);
        const order = rendezvous.rank("watch", peers.map(member => member.id));
        return order.slice(0, watchersPerDomain).includes(options.self.id) || order.length === 0;
    }

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

    function reload(entry: messages.Entry, source: memberships.Member | undefined): Promise<boolean> {
        return source === undefined ? reloadFromStore(entry) : reloadFromPeer(entry, source);
    }

    async function reloadFromStore(entry: messages.Entry): Promise<boolean> {
        const read = configstore.readIndex(entry.value);
        if (read.isErr()) {
            return alarm(read.error, entry.revision);
        }
        const loaded = read.value.revision > current.revision
            ? await configstore.load(platform, read.value)
            : undefined;
        if (loaded?.isErr() === true) {
            return loaded.error.code === failure.Code.sectionCorrupt && alarm(loaded.error, entry.revision);
        }
        if (loaded?.isOk() === true) {
            force(loaded.value, "store");
        }
        return true;
    }

    async function reloadFromPeer(entry: messages.Entry, source: memberships.Member): Promise<boolean> {
        const reply = await options.fleet().channel(source).call(messages.peer.configuration, {}, pullTimeoutMs);
        const checked = reply.isOk() ? configuration.validate(JSON.parse(reply.value.document)) : undefined;
        if (reply.isErr() || checked?.isOk() !== true || reply.value.stored < entry.revision) {
            return false;
        }
        force({ revision: reply.value.revision, document: checked.value }, source.id);
        return true;
    }

    /** A corrupt value leaves the last good revision in force. */
    function alarm(cause: failure.Failure, stored: number): true {
        if (corruptRevision !== stored) {
            corruptRevision = stored;
            const text = "The stored configuration is corrupt; the last good revision stays in force.";
            log.error({ cause, revision: current.revision, alarm: true }, text);
        }
        return true;
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

    async function watchGroups(): Promise<void> {
        const request = { after: groups.revision, waitMs: groups.revision === 0 ? 0 : watchMs };
        const reply = await platform.call(messages.platform.groups, request, watchTimeoutMs);
        if (reply.isErr()) {
            await clock.sleep(retryMs);
            return;
        }
        regroup(reply.value);
    }

    async function loop(): Promise<void> {
        while (!closed) {
            await (watches() ? watchGroups() : clock.sleep(retryMs));
        }
    }

    async function pullGroups(source: memberships.Member): Promise<void> {
        const reply = await options.fleet().channel(source).call(messages.peer.groups, {}, pullTimeoutMs);
        if (reply.isOk()) {
            regroup(reply.value);
        }
    }

    function judge(register: registers.Register): freshness.Decision {
        const near = options.fleet().known().filter(member => member.region === options.storeRegion);
        return freshness.evaluate({
            ageMs: register.freshMs(),
            maxAgeMs: options.freshMs,
            behind: register.behind(),
            storeReports: options.fleet().words(),
            storeFailureDomains: [...new Set(near.map(member => member.failureDomain))],
        });
    }

    return {
        slots,
        configuration: () => current,
        value: key => followed.find(entry => entry.key === key)?.register.value() ?? { value: undefined, revision: 0 },
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
            groupsRevision: groups.revision,
            registers: followed.map(({ key, register }) => {
                const freshMs = register.freshMs();
                const { revision } = register.value();
                return { key, revision, freshMs: Number.isFinite(freshMs) ? freshMs : undefined };
            }),
        }),
        learned(digest, askedMs) {
            const source = digest.members[0];
            if (source === undefined) {
                return;
            }
            for (const { key, register } of followed) {
                const told = digest.registers.find(entry => entry.key === key);
                if (told !== undefined) {
                    register.learned(source, told.revision, told.freshMs, askedMs);
                }
            }
            if (digest.groupsRevision > groups.revision && !regrouping) {
                regrouping = true;
                void pullGroups(source).finally(() => {
                    regrouping = false;
                });
            }
        },
        judge: () => judge(index),
        judgeSlots: () => judge(slots),
        ready: () => current.revision > 0 && groups.revision > 0 && slots.value().revision > 0,
        start() {
            index.start();
            slots.start();
            void loop();
        },
        close() {
            closed = true;
            index.close();
            slots.close();
        },
    };
}
