/** The log of one endpoint: what it promised, received and applied. */
import type * as sqljs from "sql.js";
import type * as positions from "../src/core/position.js";
import * as database from "./database.js";

/** One committed transaction. */
export interface Entry {
    readonly term: number;
    readonly statements: readonly string[];
}

/** The replicated state of one endpoint. */
export interface Replica {
    /** Identity of this start of the endpoint. */
    readonly boot: () => string;
    promised(): number;
    isPrimary(): boolean;
    received(): positions.Position;
    applied(): positions.Position;
    entries(): readonly Entry[];
    database(): database.Database;
    /** Promises a term; false when it, or a higher one, was promised before. */
    fence(term: number): boolean;
    /** Becomes the primary of a promised term, which an empty entry opens. */
    promote(term: number): boolean;
    /** Adds a transaction that the database already holds; undefined when this is not the primary. */
    append(statements: readonly string[]): positions.Position | undefined;
    /** Takes the first entries of a primary's log; false when a higher term was promised. */
    follow(term: number, log: readonly Entry[], length: number): boolean;
    /** Applies one more received entry; false when there is none. */
    apply(): boolean;
    /** Loses all that is not on disk: the boot, the role and open transactions. */
    restart(): void;
}

/** Creates a replica with an empty log. */
export function createReplica(loaded: sqljs.SqlJsStatic, id: string): Replica {
    let boots = 1;
    let term = 0;
    let primary = false;
    const log: Entry[] = [];
    let appliedIndex = 0;
    /** Term of the primary last followed: a shorter log from it is an old message, not a truncation. */
    let heard = 0;
    let store = database.open(loaded);

    function place(index: number): positions.Position {
        return { term: log[index - 1]?.term ?? 0, index };
    }

    function replay(entry: Entry): void {
        store.run("BEGIN");
        entry.statements.forEach(statement => store.run(statement));
        store.run("COMMIT");
    }

    function rebuild(length: number): void {
        store.close();
        store = database.open(loaded);
        log.slice(0, length).forEach(replay);
        appliedIndex = length;
    }

    function apply(): boolean {
        const entry = log[appliedIndex];
        if (entry === undefined) {
            return false;
        }
        replay(entry);
        appliedIndex += 1;
        return true;
    }

    function divergence(other: readonly Entry[], end: number): number {
        let index = Math.min(log.length, end);
        while (index > 0 && log[index - 1] !== other[index - 1]) {
            index -= 1;
        }
        return index;
    }

    return {
        apply,
        boot: () => `${id}-${boots}`,
        promised: () => term,
        isPrimary: () => primary,
        received: () => place(log.length),
        applied: () => place(appliedIndex),
        entries: () => log,
        database: () => store,
        fence(next) {
            if (next <= term) {
                return false;
            }
            term = next;
            primary = false;
            return true;
        },
        promote(next) {
            if (next !== term) {
                return false;
            }
            while (apply()) {
                continue;
            }
            primary = true;
            log.push({ term, statements: [] });
            appliedIndex = log.length;
            return true;
        },
        append(statements) {
            if (!primary) {
                return undefined;
            }
            log.push({ term, statements });
            appliedIndex = log.length;
            return place(log.length);
        },
        follow(next, other, length) {
            if (next < term) {
                return false;
            }
            term = next;
            primary = false;
            const end = Math.min(length, other.length);
            const common = divergence(other, end);
            const late = next === heard && end <= common;
            heard = next;
            if (late) {
                return true;
            }
            log.splice(common, log.length, ...other.slice(common, end));
            if (appliedIndex > common) {
                rebuild(common);
            }
            return true;
        },
        restart() {
            boots += 1;
            rebuild(log.length);
        },
    };
}
