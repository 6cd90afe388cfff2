/**
 * Encodes the rooms of hosts as numbers within the lists of a digest. They are added where hosts of older versions ignore
 * them, as those reject a digest with another number of elements.
 */
import type * as rooms from "../core/room.js";
import type * as messages from "./messages.js";

/** Index of the row of endpoint usage that holds the room of the sender. No endpoint has it. */
const ownRow = -1;
/** Width of a row of endpoint usage. */
const rowWidth = 3;
/** Encodes a host without a report. */
const absent = -1;
const percent = 100;
const strainedFlag = 1;
const inRotationFlag = 2;
/** Factor on the claim in percent, above the flags. */
const claimFactor = 4;
/** Factor on the flag of a strained host in the rooms of a cell, above the spare part in percent. */
const cellFactor = 128;

const toPercent = (part: number): number => Math.round(Math.max(0, Math.min(1, part)) * percent);

/** Encodes the room of a host as a row of endpoint usage. */
export function encodeReport(report: rooms.Report | undefined): readonly number[] {
    if (report === undefined) {
        return [];
    }
    const flags = (report.strained ? strainedFlag : 0) + (report.inRotation ? inRotationFlag : 0);
    const claim = report.claim === undefined ? 0 : Math.max(1, toPercent(report.claim));
    return [ownRow, toPercent(report.spare), flags + claimFactor * claim];
}

/** Finds the room of the sender in endpoint usage; undefined if it reports none. */
export function decodeReport(usage: readonly number[]): rooms.Report | undefined {
    const start = Array.from({ length: Math.floor(usage.length / rowWidth) }, (_, row) => row * rowWidth)
        .find(index => usage[index] === ownRow);
    if (start === undefined) {
        return undefined;
    }
    const [, spare = 0, state = 0] = usage.slice(start, start + rowWidth);
    const claim = Math.floor(state / claimFactor);
    return {
        spare: Math.max(0, Math.min(1, spare / percent)),
        strained: state % 2 >= strainedFlag,
        inRotation: state % claimFactor >= inRotationFlag,
        claim: claim <= 0 ? undefined : Math.min(1, claim / percent),
    };
}

/** Encodes the rooms of a cell as an addition to the numbers of its summary. */
export function encodeCellRooms(cellRooms: messages.CellRooms | undefined): readonly number[] {
    return cellRooms === undefined ? [] : [
        cellRooms.idsHash,
        ...cellRooms.reports.map(report =>
            report === undefined ? absent : toPercent(report.spare) + (report.strained ? cellFactor : 0)
        ),
    ];
}

/** Decodes the rooms of a cell; undefined if there are none. */
export function decodeCellRooms([idsHash, ...numbers]: readonly number[]): messages.CellRooms | undefined {
    return idsHash === undefined ? undefined : {
        idsHash,
        reports: numbers.map(value =>
            value < 0
                ? undefined
                : { spare: Math.min(1, value % cellFactor / percent), strained: value >= cellFactor }
        ),
    };
}
