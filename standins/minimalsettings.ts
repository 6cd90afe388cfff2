/** The settings of a host that have no default. */
export const minimal = {
    id: "host-1",
    region: "north",
    failureDomain: "a",
    callers: "10.0.0.1:1",
    readiness: "10.0.0.1:2",
    peers: "10.0.0.1:3",
    store: "10.0.0.9:1",
    promotions: "10.0.0.9:2",
} as const;
