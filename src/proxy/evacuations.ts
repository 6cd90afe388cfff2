/**
 * This host's knowledge of evacuated failure domains: read from the store, received from other hosts and passed on to
 * them. Reports each step of an evacuation when it is due.
 */
import * as evacuation from "../core/evacuation.js";
import * as storeEras from "../core/storeera.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as events from "./events.js";

/** Where operators write to the store. */
export interface Layout {
    readonly configurationKey: string;
    /** Prefix of the keys that evacuate a failure domain; its name is the rest of the key. */
    readonly evacuationsPrefix: string;
    /** Prefix of all keys that the operators write: the configuration and the evacuations. */
    readonly operatorsPrefix: string;
}

/** Settings of the evacuations. */
export interface Options {
    /**
     * Time from the store's acknowledgement of an evacuation to the moment from which nothing may be sent, in
     * milliseconds; undefined on a platform without evacuations.
     */
    readonly evacuateMs: number | undefined;
    readonly clock: runtime.HostClock;
    readonly era: store.Era;
    readonly events: events.EventLog;
    /** A random number in [0, 1). */
    random(): number;
    /** Sends this host's digest, which holds the set, to the hosts that it gossips with. */
    spread(): void;
    /** Called after the phase of a failure domain has changed. */
    onChange(): void;
}

/** Known evacuations of one host. */
export interface Evacuations {
    /** True once this host knows which domains are evacuated; it must serve no caller before. */
    known(): boolean;
    /** The set to announce to other hosts. */
    announced(): evacuation.EvacuationSet | undefined;
    /** Takes a set that another host announces, if it is newer. */
    offer(set: evacuation.EvacuationSet | undefined): void;
    /**
     * Reads the set from the store along with the configuration, which `readConfiguration` reads. A host that isn't going to
     * watch both reads the set only while it knows none, and else receives it from other hosts. Resolves to the revision from
     * which to watch, or to undefined when a reading failed.
     */
    readAlong(
        client: store.Store,
        layout: Layout,
        watches: boolean,
        readConfiguration: () => Promise<number | undefined>,
    ): Promise<number | undefined>;
    /** Prefix or key to watch for what the operators write. */
    watched(layout: Layout): string;
    /** Applies what a watch that began after the last reading has shown. */
    applyChanges(changes: store.Changes, layout: Layout): void;
    phase(failureDomain: string): evacuation.Phase;
    /** Share of its usual work that a domain may take after its evacuation was taken back. */
    returnShare(failureDomain: string): number;
    /** Failure domains that are evacuated. */
    evacuated(): readonly string[];
    /** Reports the phases that have changed since the last call; to be called at short intervals. */
    check(): void;
}

/** Longest delay before a host passes a changed set on. Delays are random, as all hosts of a cell learn at once. */
const maxSpreadDelayMs = 100;

/** Creates evacuations of which nothing is known. */
export function createEvacuations(options: Options): Evacuations {
    const { clock, events, era } = options;
    const enabled = options.evacuateMs !== undefined;
    const state = evacuation.createEvacuations({ boundMs: options.evacuateMs ?? 0 });
    /** The keys as last read and watched by this host, whatever other hosts have announced meanwhile. */
    let stored: { readonly era: number; readonly failureDomains: ReadonlySet<string> } | undefined;
    let phases = new Map<string, evacuation.Phase>();

    function offer(set: evacuation.EvacuationSet | undefined, source: "store" | "host"): void {
        if (!enabled || set === undefined || !state.offer(set, clock.now())) {
            return;
        }
        events.emit("evacuationsChanged", { source, ...set });
        clock.after(options.random() * maxSpreadDelayMs, options.spread);
        check();
    }

    function check(): void {
        const next = new Map(state.evacuated(clock.now()).map(domain => [domain, state.phase(domain, clock.now())]));
        const changed = [...new Set([...phases.keys(), ...next.keys()])]
            .filter(domain => phases.get(domain) !== next.get(domain));
        phases = next;
        changed.forEach(domain =>
            events.emit("evacuationPhase", { failureDomain: domain, phase: next.get(domain) ?? "open" })
        );
        if (changed.length > 0) {
            options.onChange();
        }
    }

    /** Reads the set from the store; resolves to the revision to watch from, or to undefined without a response. */
    async function read(client: store.Store, prefix: string): Promise<number | undefined> {
        const eraAtSend = era.current();
        const response = await client.range(prefix);
        const current = era.current();
        if (response.isErr() || current === undefined || (eraAtSend !== undefined && eraAtSend !== current)) {
            return undefined;
        }
        const domains = response.value.items.map(item => item.key.slice(prefix.length)).filter(name => name !== "");
        stored = { era: current, failureDomains: new Set(domains) };
        offer({ revision: storeEras.order(current, response.value.revision), failureDomains: domains }, "store");
        return response.value.revision;
    }

    return {
        check,
        known: () => !enabled || state.known(),
        announced: () => (enabled ? state.announced() : undefined),
        offer: set => offer(set, "host"),
        watched: layout => (enabled ? layout.operatorsPrefix : layout.configurationKey),
        async readAlong(client, layout, watches, readConfiguration) {
            if (!enabled || (!watches && state.known())) {
                return readConfiguration();
            }
            const [own, other] = await Promise.all([read(client, layout.evacuationsPrefix), readConfiguration()]);
            return own === undefined || other === undefined ? undefined : Math.min(own, other);
        },
        applyChanges({ items, removed }, { evacuationsPrefix: prefix }) {
            const steps = [
                ...items.map(item => ({ ...item, isRemoval: false })),
                ...removed.map(row => ({ ...row, isRemoval: true })),
            ].filter(step => step.key.startsWith(prefix) && step.key !== prefix);
            const last = steps.sort((left, right) => left.revision - right.revision)[steps.length - 1];
            if (stored === undefined || stored.era !== era.current() || last === undefined) {
                return;
            }
            const failureDomains = new Set(stored.failureDomains);
            steps.forEach(step => {
                const domain = step.key.slice(prefix.length);
                if (step.isRemoval) {
                    failureDomains.delete(domain);
                }
                else {
                    failureDomains.add(domain);
                }
            });
            stored = { era: stored.era, failureDomains };
            const revision = storeEras.order(stored.era, last.revision);
            offer({ revision, failureDomains: [...failureDomains] }, "store");
        },
        phase: failureDomain => (enabled ? state.phase(failureDomain, clock.now()) : "open"),
        returnShare: failureDomain => (enabled ? state.returnShare(failureDomain, clock.now()) : 1),
        evacuated: () => state.evacuated(clock.now()),
    };
}
