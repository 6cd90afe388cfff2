/** The digest of this host: what it tells the others of itself and of what it knows. */
import type * as leaderships from "../core/leadership.js";
import type * as limiters from "../core/limiter.js";
import * as lookup from "../core/lookup.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as coldGates from "./coldgate.js";
import type * as evacuations from "./evacuations.js";
import type * as fleets from "./fleet.js";
import type * as databaseGroups from "./group.js";
import type * as messages from "./messages.js";
import type * as storeSyncs from "./storesync.js";

/** Parts of the host that the digest is read from. */
export interface Sources {
    readonly clock: runtime.HostClock;
    readonly era: store.Era;
    readonly leadership: leaderships.Leadership;
    readonly limiter: limiters.Limiter;
    readonly evacuations: evacuations.Evacuations;
    readonly coldGate: coldGates.ColdGate;
    readonly storeSync: storeSyncs.StoreSync;
    readonly groups: readonly databaseGroups.Group[];
}

/** Rounds an age up, so that nothing looks newer than it is; undefined if there is none. */
function wholeMs(ageMs: number | undefined): number | undefined {
    return ageMs === undefined || !Number.isFinite(ageMs) ? undefined : Math.ceil(ageMs);
}

/** Statements and connections of this host by endpoint; idle endpoints are left out. */
function endpointUsage(groups: readonly databaseGroups.Group[]): messages.Digest["endpointUsage"] {
    const usage = groups.flatMap(entry => {
        const load = entry.loadByEndpoint();
        return Object.entries(entry.connectionsByEndpoint()).map(([id, connections]) =>
            [id, [lookup.find(load, id) ?? 0, connections]] as const
        );
    });
    return Object.fromEntries(usage.filter(([, [load, connections]]) => load > 0 || connections > 0));
}

/** Reads the digest of this host. */
export function read(sources: Sources): fleets.LocalDigest {
    const { leadership, storeSync, groups } = sources;
    const nowMs = sources.clock.now();
    const proofAgeMs = leadership.proofAgeMs(nowMs);
    return {
        configurationVersion: storeSync.policy().version,
        storeEra: sources.era.current(),
        primaryRecords: leadership.all(),
        proofAgeMs: wholeMs(proofAgeMs),
        storeResponseAgeMs: wholeMs(storeSync.storeResponseAgeMs()),
        endpointListing: storeSync.endpointListing.summary(nowMs),
        positionSamples: groups.flatMap(entry => {
            const newest = entry.newestSample();
            return newest === undefined
                ? []
                : [{
                    group: entry.name,
                    position: newest.position,
                    ageMs: Math.ceil(nowMs - newest.requestedAtMs),
                }];
        }),
        primaryContacts: leadership.all().flatMap(record => {
            const { answerAgeMs, failingForMs } = groups.find(group => group.name === record.group)?.primaryContact()
                ?? {};
            return [{
                group: record.group,
                epoch: record.epoch,
                answerAgeMs: wholeMs(answerAgeMs),
                failingForMs: wholeMs(failingForMs),
            }];
        }),
        organisationUsage: sources.limiter.usage(nowMs),
        endpointUsage: endpointUsage(groups),
        endpointOutcomes: Object.assign({}, ...groups.map(entry => entry.choice.ownOutcomes())),
        evacuations: sources.evacuations.announced(),
        lockHolder: sources.coldGate.lockHolder(),
    };
}
