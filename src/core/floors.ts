/**
 * The lowest log position that a session's next read must see.
 *
 * A host accounts for the writes it sent to a database. Log entries that it can't account for may be any
 * session's writes, so every session's floor then rises to cover them.
 */
import * as positions from "./position.js";

/** Floors of all sessions of one database, as one host knows them. */
export interface Floors {
    /** Records a write of this host; without a session, only its place in the log. */
    recordWrite(position: positions.Position, session: string | undefined): void;
    /** True when every entry up to the position is accounted for. */
    accountsForAll(position: positions.Position): boolean;
    /** Gives up on entries not accounted for up to the position: they count as every session's. */
    raiseAll(position: positions.Position): void;
    /** The session's floor. */
    floor(session: string): positions.Position;
    /** Forgets floors that every serving replica has passed. */
    prune(passed: positions.Position): void;
    /** Number of sessions held. */
    sessionCount(): number;
}

/** Creates floors that account for nothing. */
export function createFloors(): Floors {
    const sessions = new Map<string, positions.Position>();
    const ahead = new Set<number>();
    let accounted = positions.zero;
    /** Floor of every session not in the map. */
    let common = positions.zero;

    function advance(): void {
        while (ahead.delete(accounted.index + 1)) {
            accounted = { term: accounted.term, index: accounted.index + 1 };
        }
    }

    function concede(position: positions.Position): void {
        if (positions.compare(position, accounted) <= 0) {
            return;
        }
        if (position.term > accounted.term) {
            ahead.clear();
        }
        common = positions.max(common, position);
        accounted = position;
        ahead.forEach(index => {
            if (index <= position.index) {
                ahead.delete(index);
            }
        });
        advance();
    }

    return {
        raiseAll: concede,
        recordWrite(position, session) {
            if (position.term > accounted.term) {
                concede({ term: position.term, index: position.index - 1 });
            }
            if (session !== undefined) {
                sessions.set(session, positions.max(sessions.get(session) ?? positions.zero, position));
            }
            if (position.term === accounted.term && position.index > accounted.index) {
                ahead.add(position.index);
                advance();
            }
        },
        accountsForAll(position) {
            return positions.compare(position, accounted) <= 0;
        },
        floor(session) {
            return positions.max(common, sessions.get(session) ?? positions.zero);
        },
        prune(passed) {
            for (const [session, position] of sessions) {
                if (positions.covers(passed, position)) {
                    sessions.delete(session);
                    common = positions.max(common, position);
                }
            }
        },
        sessionCount() {
            return sessions.size;
        },
    };
}
