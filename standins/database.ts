/** A small SQL database in memory, by SQLite compiled to WebAssembly. */
import * as neverthrow from "neverthrow";
import initialise from "sql.js";
import type * as sqljs from "sql.js";
import type * as mysqlserver from "../src/adapters/mysqlserver.js";

const textType = 253;
const duplicateErrno = 1062;
const missingTableErrno = 1146;
const existsErrno = 1050;
const syntaxErrno = 1064;
const otherErrno = 1105;

const errors: readonly (readonly [RegExp, number])[] = [
    [/UNIQUE constraint failed/, duplicateErrno],
    [/no such table/, missingTableErrno],
    [/already exists/, existsErrno],
    [/syntax error|incomplete input|unrecognized token/, syntaxErrno],
];

/** Result of one statement. */
export type Outcome = neverthrow.Result<mysqlserver.StatementResult, mysqlserver.Refusal>;

/** A database that one statement at a time runs on. */
export interface Database {
    run(sql: string): Outcome;
    close(): void;
}

let library: Promise<sqljs.SqlJsStatic> | undefined;

/** Loads the library; needed once before `open`. */
export async function load(): Promise<sqljs.SqlJsStatic> {
    library ??= (initialise as unknown as () => Promise<sqljs.SqlJsStatic>)();
    return library;
}

function refuse(thrown: unknown): Outcome {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    const known = errors.find(([pattern]) => pattern.test(message));
    return neverthrow.err({ errno: known?.[1] ?? otherErrno, message });
}

function print(value: sqljs.SqlValue): string | null {
    return value === null ? null : String(value);
}

/** Opens an empty database. */
export function open(loaded: sqljs.SqlJsStatic): Database {
    const database = new loaded.Database();

    function query(sql: string): mysqlserver.StatementResult {
        const statement = database.prepare(sql);
        const rows: (string | null)[][] = [];
        while (statement.step()) {
            rows.push(statement.get().map(print));
        }
        const columns = statement.getColumnNames().map(name => ({ name, type: textType }));
        statement.free();
        const affectedRows = columns.length === 0 ? database.getRowsModified() : 0;
        return { columns, rows, affectedRows, insertId: 0 };
    }

    return {
        run(sql) {
            try {
                return neverthrow.ok(query(sql));
            }
            catch (thrown) {
                return refuse(thrown);
            }
        },
        close() {
            database.close();
        },
    };
}
