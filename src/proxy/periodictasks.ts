/** What a host does at fixed intervals, apart from its gossip and its calls to the store. */
import type * as limiters from "../core/limiter.js";
import type * as runtime from "../ports/runtime.js";
import type * as activities from "./activity.js";
import type * as clusterViews from "./clusterview.js";
import type * as connectionSharing from "./connectionsharing.js";
import type * as evacuations from "./evacuations.js";
import type * as eventLogs from "./events.js";
import * as hostRooms from "./hostroom.js";
import type * as gossip from "./peers.js";
import type * as processorMeters from "./processormeter.js";
import type * as readinessStates from "./readinessstate.js";
import type * as storeNewsExchange from "./storenews.js";
import type * as storeSyncs from "./storesync.js";

/** Components that have periodic tasks. */
export interface Components {
    readonly clock: runtime.Clock;
    readonly events: eventLogs.EventLog;
    readonly activity: activities.ActivityCounter;
    readonly clusterView: clusterViews.ClusterView;
    readonly evacuations: evacuations.Evacuations;
    readonly hostRoom: hostRooms.HostRoom;
    readonly limiter: limiters.Limiter;
    readonly meter: processorMeters.Meter;
    readonly peers: gossip.Peers;
    readonly readiness: readinessStates.Readiness;
    readonly storeNews: storeNewsExchange.StoreNews;
    readonly storeSync: storeSyncs.StoreSync;
    readonly sharing: connectionSharing.ConnectionSharing;
}

const checkIntervalMs = 100;
/** Time after which a host that knows of no other assumes that it is the only one. */
const singleHostTimeoutMs = 2_000;
const activityReportIntervalMs = 5_000;
const peerRefreshIntervalMs = 1_000;
/** Interval of the leases of transactions on connections of other hosts. */
const leaseIntervalMs = 1_000;

/** Starts the tasks; the returned function ends them. */
export function start(components: Components): () => void {
    const { clock, clusterView, peers, limiter, events } = components;
    const startMs = clock.now();
    let reportedMs: Readonly<Record<string, number>> = {};

    function reportProcessorTime(): void {
        const usedMs = components.meter.usedMs();
        if (usedMs !== undefined) {
            const previousMs = reportedMs;
            reportedMs = usedMs;
            const sinceMs = Object.entries(usedMs).map(([name, ms]) =>
                [name, Math.round((ms - (previousMs[name] ?? 0)) * 10) / 10] as const
            );
            events.emit("processorMeasured", { usedMs: Object.fromEntries(sinceMs) });
        }
    }

    const stops = [
        clock.every(checkIntervalMs, () => {
            clusterView.checkSuspension();
            clusterView.evaluateProof();
            clusterView.groups().forEach(group => group.sweepPools());
            components.storeNews.check();
            components.evacuations.check();
            components.readiness.report();
            if (components.readiness.ready()) {
                components.meter.endStart();
            }
        }),
        clock.every(leaseIntervalMs, () => {
            components.sharing.renew();
            components.sharing.service.sweep();
        }),
        // The limiter's reports are applied with the measurement of the room, as each timer costs processor time.
        clock.every(hostRooms.checkIntervalMs, () => {
            components.hostRoom.check();
            if (peers.all().length > 0 || clock.now() - startMs > singleHostTimeoutMs) {
                limiter.applyReports(peers.usageReports(), clock.now());
            }
        }),
        clock.every(peerRefreshIntervalMs, () => clusterView.refreshFromPeer()),
        clock.every(activityReportIntervalMs, () => {
            events.reportOmitted();
            const report = components.activity.flush(components.storeSync.policy(), clock.now());
            if (report !== undefined) {
                events.emit("measured", { ...report, load: components.hostRoom.load() });
            }
            reportProcessorTime();
        }),
    ];
    return () => stops.forEach(stop => stop());
}
