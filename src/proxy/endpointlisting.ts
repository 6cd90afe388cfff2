/** The newest endpoint listing of this host, read from the store or received from another host. */
import * as crypto from "node:crypto";
import type * as directory from "../core/directory.js";
import type * as events from "./events.js";
import type * as messages from "./messages.js";

/** Settings of a listing. */
export interface Options {
    readonly directory: directory.Directory;
    readonly events: events.EventLog;
    /** Called after the directory has changed. */
    onChange(): void;
}

/** The newest endpoint listing of this host. */
export interface EndpointListing {
    /** Applies a listing, requested from the store at the given time, if it is newer. */
    offer(endpoints: readonly directory.Endpoint[], requestedAtMs: number): void;
    /** Takes the known listing as read at that time if its hash is the given one; returns false for another hash. */
    confirm(hash: string, requestedAtMs: number): boolean;
    /** The endpoints as listed, without those that the directory keeps although they are missing. */
    endpoints(): readonly directory.Endpoint[];
    /** Time at which the listing was requested; undefined before the first one. */
    listedAtMs(): number | undefined;
    /** Hash and age of the listing; undefined before the first one. */
    summary(nowMs: number): messages.EndpointListing | undefined;
}

/** Length of the hash of a listing, in base64 characters. */
const hashLength = 10;

/** Text that is the same for equal listings, in whatever order. */
function serialise(endpoints: readonly directory.Endpoint[]): string {
    const rows = endpoints.map(entry =>
        JSON.stringify([entry.id, entry.address, entry.draining, entry.primary, entry.born])
    );
    return rows.sort().join();
}

/** Creates an empty listing. */
export function createEndpointListing(options: Options): EndpointListing {
    let listedAtMs: number | undefined;
    let endpoints: readonly directory.Endpoint[] = [];
    let text: string | undefined;
    let hash = "";

    function replace(next: readonly directory.Endpoint[], requestedAtMs: number): void {
        listedAtMs = requestedAtMs;
        endpoints = next;
        if (options.directory.replace(next, requestedAtMs)) {
            const listed = options.directory.all().map(({ id, group, draining, primary }) => ({
                id,
                group,
                draining,
                primary,
            }));
            options.events.emit("endpointsChanged", { endpoints: listed });
            options.onChange();
        }
    }

    const isNewer = (requestedAtMs: number): boolean => requestedAtMs > (listedAtMs ?? -Infinity);

    return {
        offer(next, requestedAtMs) {
            if (!isNewer(requestedAtMs)) {
                return;
            }
            const nextText = serialise(next);
            if (nextText !== text) {
                text = nextText;
                hash = crypto.createHash("sha1").update(nextText).digest("base64").slice(0, hashLength);
            }
            replace(next, requestedAtMs);
        },
        confirm(confirmedHash, requestedAtMs) {
            if (text === undefined || confirmedHash !== hash) {
                return false;
            }
            if (isNewer(requestedAtMs)) {
                replace(endpoints, requestedAtMs);
            }
            return true;
        },
        endpoints: () => endpoints,
        listedAtMs: () => listedAtMs,
        summary: nowMs => (listedAtMs === undefined ? undefined : { hash, ageMs: Math.ceil(nowMs - listedAtMs) }),
    };
}
