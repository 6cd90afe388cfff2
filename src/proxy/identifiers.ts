/** Identifiers under which the parts of a host are bound in its container. */

export const events = Symbol.for("events");
export const platform = Symbol.for("platform");
export const network = Symbol.for("network");
export const leadership = Symbol.for("leadership");
export const directory = Symbol.for("directory");
export const limiter = Symbol.for("limiter");
export const coldGate = Symbol.for("coldGate");
export const sharing = Symbol.for("sharing");
export const peers = Symbol.for("peers");
export const places = Symbol.for("places");
export const storeSync = Symbol.for("storeSync");
export const reading = Symbol.for("reading");
export const clusterView = Symbol.for("clusterView");
export const failoverLock = Symbol.for("failoverLock");
export const prober = Symbol.for("prober");
export const replacer = Symbol.for("replacer");
export const coordinator = Symbol.for("coordinator");
export const metrics = Symbol.for("metrics");
export const login = Symbol.for("login");
