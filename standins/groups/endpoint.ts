/** A stand-in of an endpoint that speaks the platform's wire: terms, positions, lag, slots, transactions. */
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as wire from "../../src/platform/wire.js";

/** One committed write. */
export interface Commit {
    readonly term: number;
    readonly index: number;
    readonly item: string;
    readonly data: string;
    /** Id of the request that committed it. */
    readonly id: string;
}

/** A statement that ran. */
export interface Run {
    readonly id: string;
    readonly text: string;
    readonly organisation: string;
    readonly values: Readonly<Record<string, string>>;
    /** Number of the connection's transaction; 0 outside. */
    readonly transaction: number;
    readonly connection: number;
    /** Endpoint that the connection was opened for. */
    readonly expected: string | undefined;
}

/** Settings of an endpoint. */
export interface Options {
    readonly id: string;
    readonly group: string;
    readonly maxConnections: number;
    /** Time that a read or write takes, in milliseconds. */
    readonly workMs: number;
    readonly lagMs: number;
}

/** A running endpoint. */
export interface Endpoint {
    readonly id: string;
    readonly address: string;
    readonly runs: readonly Run[];
    /** Signatures given, by the id of the request. */
    readonly signatures: ReadonlyMap<string, string>;
    log(): readonly Commit[];
    applied(): number;
    primary(): boolean;
    term(): number;
    connections(): number;
    /** Lines received, whatever they ask for: logins, requests, probes and orders. */
    received(): number;
    /** Transactions open. */
    open(): number;
    /** Replicas receive from this endpoint from now on. */
    lead(term: number, replicas: readonly Endpoint[]): void;
    follow(log: readonly Commit[], term: number): void;
    receive(commit: Commit): void;
    lag(ms: number): void;
    /** Answers to STATUS come that late from now on. */
    delayStatus(ms: number): void;
    /** Runs the next request and keeps its answer back, closing the connection. */
    loseAnswer(): void;
    /** Answers nothing from now on, on open connections and new ones. */
    silence(silent: boolean): void;
    /** Closes all connections and refuses new ones. */
    crash(): Promise<void>;
}

interface Session {
    readonly number: number;
    organisation: string;
    readonly expected: string | undefined;
    values: Map<string, string>;
    prepared: Map<string, string>;
    transaction:
        | { readonly number: number; readonly readOnly: boolean; writes: Omit<Commit, "term" | "index">[] }
        | undefined;
    failed: boolean;
}

type Reply = { readonly rows: readonly string[]; readonly error?: string; readonly signed?: boolean };

/** Starts an endpoint, as a replica with an empty log. */
export async function start(options: Options): Promise<Endpoint> {
    const sockets = new Set<net.Socket>();
    const sessions = new Set<Session>();
    const runs: Run[] = [];
    const signatures = new Map<string, string>();
    let log: Commit[] = [];
    let applied = 0;
    let term = 1;
    let leads = false;
    let lagMs = options.lagMs;
    let statusDelayMs = 0;
    let replicas: readonly Endpoint[] = [];
    let losing = false;
    let silent = false;
    let connections = 0;
    let transactions = 0;
    let received = 0;

    const end = (): string => `${log[log.length - 1]?.term ?? term}.${log.length}`;
    const shown = (): string => `${leads ? term : log[applied - 1]?.term ?? term}.${applied}`;

    function commit(entries: readonly Omit<Commit, "term" | "index">[]): void {
        for (const entry of entries) {
            const next = { ...entry, term, index: log.length + 1 };
            log.push(next);
            applied = log.length;
            replicas.forEach(replica => replica.receive(next));
        }
    }

    function holds(position: string): boolean {
        const found = wire.parsePosition(position);
        return found !== undefined && found.term <= term && found.index <= applied;
    }

    function value(item: string): string {
        return log.slice(0, applied).filter(entry => entry.item === item).pop()?.data ?? "-";
    }

    function run(session: Session, id: string, text: string): Reply {
        const [word = "", ...fields] = text.split(" ");
        const [first = "", ...others] = fields;
        if (session.failed && word !== "ROLLBACK" && word !== "COMMIT") {
            return { rows: [], error: "MALFORMED" };
        }
        switch (word) {
            case "AFTER":
                return holds(first) ? run(session, id, others.join(" ")) : { rows: [], error: "LAGGING" };
            case "RESET":
                session.values = new Map();
                session.prepared = new Map();
                return { rows: [] };
            case "SET":
                session.values.set(first, others.join(" "));
                return { rows: [] };
            case "PREPARE":
                session.prepared.set(first, others[0] ?? "");
                return { rows: [] };
            case "BEGIN":
                return begin(session, first === "READ");
            case "ROLLBACK":
                session.transaction = undefined;
                session.failed = false;
                return { rows: [] };
            case "COMMIT":
                return end_(session);
            case "STATUS":
                return { rows: [status()] };
            case "STEPDOWN":
                leads = leads && term >= Number(first);
                return { rows: [status()] };
            case "EXECUTE":
                return session.prepared.has(first)
                    ? work(session, id, text, session.prepared.get(first) ?? "", others)
                    : { rows: [], error: "NOSTMT" };
            default:
                return work(session, id, text, word, fields);
        }
    }

    function begin(session: Session, readOnly: boolean): Reply {
        if (!readOnly && !leads) {
            return { rows: [], error: "READONLY" };
        }
        transactions += 1;
        session.transaction = { number: transactions, readOnly, writes: [] };
        return { rows: [] };
    }

    function end_(session: Session): Reply {
        const { transaction, failed } = session;
        session.transaction = undefined;
        session.failed = false;
        if (transaction === undefined || failed) {
            return { rows: [], error: "ABORTED" };
        }
        if (transaction.writes.length > 0 && !leads) {
            return { rows: [], error: "READONLY" };
        }
        commit(transaction.writes);
        return { rows: [], signed: true };
    }

    function work(session: Session, id: string, text: string, mode: string, fields: readonly string[]): Reply {
        const [item = "", ...data] = fields;
        const { transaction } = session;
        runs.push({
            id,
            text,
            organisation: session.organisation,
            values: Object.fromEntries(session.values),
            transaction: transaction?.number ?? 0,
            connection: session.number,
            expected: session.expected,
        });
        if (mode === "READ") {
            return { rows: [value(item)], signed: true };
        }
        if (mode !== "WRITE") {
            return { rows: [], error: "MALFORMED" };
        }
        if (!leads || transaction?.readOnly === true) {
            return { rows: [], error: "READONLY" };
        }
        const entry = { item, data: data.join(" "), id };
        if (transaction === undefined) {
            commit([entry]);
        }
        else {
            transaction.writes.push(entry);
        }
        return { rows: [], signed: true };
    }

    function status(): string {
        return `${leads ? "primary" : "replica"} ${term} ${end()} ${applied} ${lagMs} 0 ${connections}`;
    }

    function serve(socket: net.Socket): void {
        const splitter = wire.createSplitter();
        let session: Session | undefined;
        let queue = Promise.resolve();
        connections += 1;
        sockets.add(socket);
        socket.setEncoding(wire.encoding);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            sockets.delete(socket);
            connections -= 1;
            if (session !== undefined) {
                sessions.delete(session);
            }
        });

        async function take(line: string): Promise<void> {
            const [word, ...fields] = line.split(" ");
            received += 1;
            if (silent) {
                return;
            }
            if (word === "STARTUP") {
                // Names are UTF-8.
                const [group, organisation = "", expected] = fields.map(field =>
                    Buffer.from(field, wire.encoding).toString("utf8")
                );
                const error = group !== options.group || (expected !== undefined && expected !== options.id)
                    ? "MISROUTED"
                    : connections > options.maxConnections
                    ? "TOOMANY"
                    : undefined;
                if (error !== undefined) {
                    socket.end(`ERROR ${error} ${options.id}\r\n`);
                    return;
                }
                session = {
                    number: sockets.size,
                    organisation,
                    expected,
                    values: new Map(),
                    prepared: new Map(),
                    transaction: undefined,
                    failed: false,
                };
                sessions.add(session);
                socket.write(`READY I ${shown()}\r\n`);
                return;
            }
            if (word !== "QUERY" || session === undefined) {
                socket.destroy();
                return;
            }
            const [id = "", ...text] = fields;
            if (/^(READ|WRITE|EXECUTE|AFTER \S+ (READ|WRITE|EXECUTE))/.test(text.join(" "))) {
                await new Promise(resolve => setTimeout(resolve, options.workMs));
            }
            if (text[0] === "STATUS" && statusDelayMs > 0) {
                await new Promise(resolve => setTimeout(resolve, statusDelayMs));
            }
            const reply = run(session, id, text.join(" "));
            if (losing && reply.signed === true) {
                losing = false;
                socket.destroy();
                return;
            }
            if (reply.error !== undefined && session.transaction !== undefined) {
                session.failed = true;
            }
            const state = session.failed ? "E" : session.transaction === undefined ? "I" : "T";
            const signature = reply.signed === true ? `${options.id}.${crypto.randomUUID()}` : "-";
            if (reply.signed === true) {
                signatures.set(id, signature);
            }
            const outcome = reply.error === undefined
                ? `${reply.rows.map(row => `ROW ${row}\r\n`).join("")}COMPLETE ${signature}\r\n`
                : `ERROR ${reply.error} ${options.id}\r\n`;
            if (!silent && !socket.destroyed) {
                socket.write(`${outcome}READY ${state} ${shown()}\r\n`, wire.encoding);
            }
        }

        socket.on("data", (piece: string) => {
            splitter.push(piece).unwrapOr([]).forEach(line => {
                queue = queue.then(() => take(line));
            });
        });
    }

    const server = net.createServer(serve);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const listening = server.address();
    const port = typeof listening === "object" && listening !== null ? listening.port : 0;
    return {
        id: options.id,
        address: `127.0.0.1:${port}`,
        runs,
        signatures,
        log: () => log,
        applied: () => applied,
        primary: () => leads,
        term: () => term,
        connections: () => connections,
        received: () => received,
        open: () => [...sessions].filter(session => session.transaction !== undefined).length,
        lead(next, others) {
            term = next;
            leads = true;
            applied = log.length;
            replicas = others;
            others.forEach(other => other.follow(log, next));
        },
        follow(next, at) {
            leads = false;
            term = at;
            replicas = [];
            log = [...next];
            applied = Math.min(applied, log.length);
            setTimeout(() => {
                applied = Math.max(applied, Math.min(next.length, log.length));
            }, lagMs);
        },
        receive(entry) {
            if (entry.term !== term || entry.index !== log.length + 1) {
                return;
            }
            log.push(entry);
            setTimeout(() => {
                applied = Math.max(applied, Math.min(entry.index, log.length));
            }, lagMs);
        },
        lag(ms) {
            lagMs = ms;
        },
        delayStatus(ms) {
            statusDelayMs = ms;
        },
        loseAnswer() {
            losing = true;
        },
        silence(next) {
            silent = next;
        },
        async crash() {
            silent = true;
            leads = false;
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}
