/**
 * The rooms of the hosts as this host knows them: its own, those of its cell from their digests, and those of other cells
 * from the summaries of the cells.
 */
import * as crypto from "node:crypto";
import * as rooms from "../core/room.js";
import type * as rotation from "../core/rotation.js";
import type * as runtime from "../ports/runtime.js";
import type * as fleets from "./fleet.js";
import type * as messages from "./messages.js";

/** What the view is read from. */
export interface Sources {
    readonly self: messages.Member;
    readonly clock: runtime.Clock;
    readonly peers: ReadonlyMap<string, fleets.PeerState>;
    /** Room of this host; undefined if it doesn't measure it. */
    readonly ownRoom: () => rooms.Report | undefined;
    /** Name of a host's cell. */
    cellOf(id: string): string;
    /** Sorted ids of the hosts of a cell; the same array while unchanged. */
    idsOf(cell: string): readonly string[];
    /** The newest rooms of another cell, and their age. */
    remoteRooms(cell: string): { readonly rooms: messages.CellRooms; readonly ageMs: number } | undefined;
}

/** The rooms of the hosts. */
export interface RoomView {
    /**
     * Room of a host; undefined for a host that isn't known or has not been heard. A host that doesn't report its room
     * counts as one of average room.
     */
    roomOf(id: string): rooms.Room | undefined;
    /** True if the host says that it lacks room for duties. */
    isStrained(id: string): boolean;
    /** What decides whether a host may be handed a duty. */
    claimToDuties(id: string): { readonly strained: boolean; readonly spare: number };
    /** The other hosts of this host's cell and failure domain. */
    neighbours(): readonly rotation.Neighbour[];
    /** Rooms of the hosts of this host's cell, for the other cells; undefined if this host doesn't measure its own. */
    ownCell(): messages.CellRooms | undefined;
}

/** Number of hexadecimal digits of a hash that is sent, which make up 32 bits. */
const hashDigits = 8;
const hexadecimal = 16;

/** Age from which the digest of a host says nothing of its room to other cells. */
const maxReportAgeMs = 2_000;

/** Creates the view. */
export function createRoomView(sources: Sources): RoomView {
    const { self, clock, peers } = sources;
    const hashes = new WeakMap<readonly string[], number>();

    function hashOf(ids: readonly string[]): number {
        const hash = hashes.get(ids)
            ?? Number.parseInt(
                crypto.createHash("sha1").update(ids.join("\0")).digest("hex").slice(0, hashDigits),
                hexadecimal,
            );
        hashes.set(ids, hash);
        return hash;
    }

    function remoteRoom(id: string): { readonly room: messages.CellRoom; readonly ageMs: number } | undefined {
        const cell = sources.cellOf(id);
        const ids = sources.idsOf(cell);
        const remote = sources.remoteRooms(cell);
        const room = remote?.rooms.idsHash === hashOf(ids) ? remote.rooms.reports[ids.indexOf(id)] : undefined;
        return room === undefined || remote === undefined ? undefined : { room, ageMs: remote.ageMs };
    }

    const isOfOwnCell = (id: string): boolean => sources.cellOf(id) === sources.cellOf(self.id);

    function roomOf(id: string): rooms.Room | undefined {
        if (id === self.id) {
            const own = sources.ownRoom();
            return { spare: own?.spare ?? rooms.averageSpare, ageMs: 0, measured: own !== undefined };
        }
        const peer = peers.get(id);
        if (peer === undefined) {
            return undefined;
        }
        if (!isOfOwnCell(id)) {
            const remote = remoteRoom(id);
            return remote === undefined
                ? { spare: rooms.averageSpare, ageMs: Infinity, measured: false }
                : { spare: remote.room.spare, ageMs: remote.ageMs, measured: true };
        }
        const { digest, lastHeardMs } = peer;
        return digest === undefined ? undefined : {
            spare: digest.room?.spare ?? rooms.averageSpare,
            ageMs: clock.now() - lastHeardMs,
            measured: digest.room !== undefined,
        };
    }

    function isStrained(id: string): boolean {
        if (id === self.id) {
            return sources.ownRoom()?.strained ?? false;
        }
        const room = isOfOwnCell(id) ? peers.get(id)?.digest?.room : remoteRoom(id)?.room;
        return room?.strained ?? false;
    }

    return {
        roomOf,
        isStrained,
        claimToDuties: id => ({ strained: isStrained(id), spare: roomOf(id)?.spare ?? rooms.averageSpare }),
        neighbours() {
            const nowMs = clock.now();
            return sources.idsOf(sources.cellOf(self.id)).flatMap(id => {
                const peer = peers.get(id);
                const ageMs = peer?.digest === undefined ? Infinity : nowMs - peer.lastHeardMs;
                if (peer?.member.failureDomain !== self.failureDomain || (!peer.registered && ageMs > maxReportAgeMs)) {
                    return [];
                }
                const room = peer.digest?.room;
                return [{
                    id,
                    load: room === undefined ? undefined : 1 - room.spare,
                    claim: room?.claim,
                    inRotation: !peer.member.leaving && (room?.inRotation ?? true),
                    ageMs,
                }];
            });
        },
        ownCell() {
            const own = sources.ownRoom();
            const ids = sources.idsOf(sources.cellOf(self.id));
            return own === undefined ? undefined : {
                idsHash: hashOf(ids),
                reports: ids.map(id => {
                    const peer = peers.get(id);
                    const isKnown = peer !== undefined && clock.now() - peer.lastHeardMs <= maxReportAgeMs;
                    const room = id === self.id ? own : isKnown ? peer.digest?.room : undefined;
                    return room === undefined ? undefined : { spare: room.spare, strained: room.strained };
                }),
            };
        },
    };
}
