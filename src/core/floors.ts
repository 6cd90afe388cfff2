/**
 * Floors for read-your-writes: the floor of a session is the lowest log position that its next read must see.
 *
 * A host records the log positions of the writes that it sent to a database. Any other log entry may be a write of any
 * session, so the floors of all sessions are raised to cover it.
 */
import * as positions from "./position.js";

/** Floors of the sessions of one database, as known to one host. */
export interface Floors {
    /** Records a write of this host. It raises the floor of the session, if there is one. */
    recordWrite(position: positions.Position, session: string | undefined): void;
    /** True when every log entry up to the position is a recorded write or covered by the floor of all sessions. */
    accountsForAll(position: positions.Position): boolean;
    /** Raises the floors of all sessions to the position if any log entry up to it is unaccounted for. */
    raiseAll(position: positions.Position): void;
    /** The floor of the session. */
    floor(session: string): positions.Position;
    /** Removes floors that every serving replica has applied; the floor of all sessions then covers them. */
    prune(applied: positions.Position): void;
    /** Number of sessions with a floor of their own. */
    sessionCount(): number;
}

/** Creates floors without any recorded write. */
export function createFloors(): Floors {
    const sessions = new Map<string, positions.Position>();
    /** Indexes of recorded writes after the first log entry that is unaccounted for. */
    const recordedAhead = new Set<number>();
    /** All log entries up to this position are accounted for. */
    let accountedUpTo = positions.zero;
    /** Floor of all sessions, also of those without a floor of their own. */
    let commonFloor = positions.zero;

    function advanceAccounted(): void {
        while (recordedAhead.delete(accountedUpTo.index + 1)) {
            accountedUpTo = { term: accountedUpTo.term, index: accountedUpTo.index + 1 };
        }
    }

    function raiseAll(position: positions.Position): void {
        if (positions.compare(position, accountedUpTo) <= 0) {
            return;
        }
        if (position.term > accountedUpTo.term) {
            recordedAhead.clear();
        }
        commonFloor = positions.max(commonFloor, position);
        accountedUpTo = position;
        recordedAhead.forEach(index => {
            if (index <= position.index) {
                recordedAhead.delete(index);
            }
        });
        advanceAccounted();
    }

    return {
        raiseAll,
        recordWrite(position, session) {
            if (position.term > accountedUpTo.term) {
                raiseAll({ term: position.term, index: position.index - 1 });
            }
            if (session !== undefined) {
                sessions.set(session, positions.max(sessions.get(session) ?? positions.zero, position));
            }
            if (position.term === accountedUpTo.term && position.index > accountedUpTo.index) {
                recordedAhead.add(position.index);
                advanceAccounted();
            }
        },
        accountsForAll(position) {
            return positions.compare(position, accountedUpTo) <= 0;
        },
        floor(session) {
            return positions.max(commonFloor, sessions.get(session) ?? positions.zero);
        },
        prune(applied) {
            for (const [session, position] of sessions) {
                if (positions.covers(applied, position)) {
                    sessions.delete(session);
                    commonFloor = positions.max(commonFloor, position);
                }
            }
        },
        sessionCount() {
            return sessions.size;
        },
    };
}
