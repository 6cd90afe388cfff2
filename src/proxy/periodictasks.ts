/** What a host does at fixed intervals, apart from its gossip and its calls to the store. */
import type * as runtime from "../ports/runtime.js";
import type * as activities from "./activity.js";
import type * as clusterViews from "./clusterview.js";
import type * as evacuations from "./evacuations.js";
import type * as eventLogs from "./events.js";
import type * as gossip from "./peers.js";
import type * as readinessStates from "./readinessstate.js";
import type * as storeNewsExchange from "./storenews.js";
import type * as storeSyncs from "./storesync.js";
import type * as usageExchanges from "./usageexchange.js";

/** Components that have periodic tasks. */
export interface Components {
    readonly clock: runtime.Clock;
    readonly events: eventLogs.EventLog;
    readonly activity: activities.ActivityCounter;
    readonly clusterView: clusterViews.ClusterView;
    readonly evacuations: evacuations.Evacuations;
    readonly peers: gossip.Peers;
    readonly readiness: readinessStates.Readiness;
    readonly storeNews: storeNewsExchange.StoreNews;
    readonly storeSync: storeSyncs.StoreSync;
    readonly usageExchange: usageExchanges.UsageExchange;
}

const checkIntervalMs = 100;
const usageReportIntervalMs = 250;
/** Time after which a host that knows of no other assumes that it is the only one. */
const singleHostTimeoutMs = 2_000;
const activityReportIntervalMs = 5_000;
const peerRefreshIntervalMs = 1_000;

/** Starts the tasks; the returned function ends them. */
export function start(components: Components): () => void {
    const { clock, clusterView, peers, events } = components;
    const startMs = clock.now();
    const stops = [
        clock.every(checkIntervalMs, () => {
            clusterView.checkSuspension();
            clusterView.evaluateProof();
            clusterView.groups().forEach(group => group.sweepPools());
            components.storeNews.check();
            components.evacuations.check();
            components.readiness.report();
        }),
        clock.every(usageReportIntervalMs, () => {
            if (peers.all().length > 0 || clock.now() - startMs > singleHostTimeoutMs) {
                components.usageExchange.applyReports();
            }
        }),
        clock.every(peerRefreshIntervalMs, () => clusterView.refreshFromPeer()),
        clock.every(activityReportIntervalMs, () => {
            events.reportOmitted();
            const report = components.activity.flush(components.storeSync.policy(), clock.now());
            if (report !== undefined) {
                events.emit("measured", { ...report });
            }
        }),
    ];
    return () => stops.forEach(stop => stop());
}
