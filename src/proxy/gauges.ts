/** Reads the values of the gauges from the components of a host. */
import type * as leaderships from "../core/leadership.js";
import type * as runtime from "../ports/runtime.js";
import type * as store from "../ports/store.js";
import type * as clusterViews from "./clusterview.js";
import type * as evacuations from "./evacuations.js";
import type * as failoverLocks from "./failoverlock.js";
import type * as groups from "./group.js";
import type * as hostRooms from "./hostroom.js";
import type * as metrics from "./metrics.js";
import type * as processorMeters from "./processormeter.js";
import type * as storeNewsExchange from "./storenews.js";
import type * as storeSyncs from "./storesync.js";

/** Components whose state the gauges show. */
export interface Sources {
    readonly clock: runtime.Clock;
    readonly era: store.Era;
    readonly clusterView: clusterViews.ClusterView;
    readonly storeSync: storeSyncs.StoreSync;
    readonly leadership: leaderships.Leadership;
    readonly storeNews: storeNewsExchange.StoreNews;
    readonly failoverLock: failoverLocks.HeldLock;
    readonly evacuations: evacuations.Evacuations;
    readonly hostRoom: hostRooms.HostRoom;
    readonly meter: processorMeters.Meter;
    /** Open connections of callers. */
    readonly callers: number;
}

/** The present values of the gauges. */
export function read(sources: Sources): metrics.Gauges {
    const { clock, leadership } = sources;
    const merge = (values: (group: groups.Group) => Readonly<Record<string, number>>): Record<string, number> =>
        Object.assign({}, ...sources.clusterView.groups().map(values)) as Record<string, number>;
    return {
        loadByEndpoint: merge(group => group.loadByEndpoint()),
        connectionsByEndpoint: merge(group => group.connectionsByEndpoint()),
        spilloverShares: Object.fromEntries(
            sources.clusterView.groups().map(group => [group.name, group.choice.spilloverShares()]),
        ),
        callers: sources.callers,
        load: sources.hostRoom.load(),
        strained: sources.hostRoom.strained(),
        inRotation: sources.hostRoom.inRotation(),
        configurationVersion: sources.storeSync.policy().version,
        storeEra: sources.era.current(),
        proofAgeMs: leadership.proofAgeMs(clock.now()),
        holdsFailoverLock: sources.failoverLock.fencingToken() !== undefined,
        evacuatedFailureDomains: sources.evacuations.evacuated(),
        processorMs: sources.meter.usedMs() ?? {},
        ...sources.storeNews.gauges(),
    };
}
