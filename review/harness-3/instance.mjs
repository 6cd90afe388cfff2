/** A stand-in of an instance of a database service, by PROTOCOL.md: terms, positions, replication, transactions. */
import * as net from "node:net";

const encoding = "latin1";
/** The log is kept over a crash, as the pages say. */
export async function createInstance({ id, service, host, port, zone, maxConnections, workMs, lagMs, note, onChange }) {
    let log = [];
    let applied = 0;
    let term = 1;
    let leads = false;
    let up = false;
    let isDark = false;
    let server;
    let replicas = [];
    const sockets = new Set();
    const runs = [];
    let born = Date.now();
    let sequence = 0;

    const at = index => `${log[index - 1]?.term ?? Math.min(term, 1)}.${index}`;
    const end = () => at(log.length);
    const shown = () => at(applied);

    function commit(entries) {
        for (const entry of entries) {
            const next = { ...entry, term, index: log.length + 1 };
            log.push(next);
            applied = log.length;
            replicas.forEach(replica => setTimeout(() => replica.receive(next), 2));
        }
    }

    function holds(position) {
        const [wantedTerm, index] = position.split(".").map(Number);
        return wantedTerm <= term && index <= applied;
    }

    const value = item => log.slice(0, applied).filter(entry => entry.item === item).pop()?.data;

    function status() {
        const lag = log.length === applied ? 0 : lagMs;
        const role = leads ? "primary" : "replica";
        return { rows: [`${role} ${term} ${end()} ${term} ${lag} 0 ${sockets.size}`] };
    }

    function work(session, id, mode, [item = "", ...data]) {
        const { transaction } = session;
        runs.push({ id, mode, item, transaction: transaction !== undefined, log, end: applied, leads });
        if (mode === "READ") {
            const found = value(item);
            return { rows: found === undefined ? [] : [found], signed: true };
        }
        if (!leads || transaction?.readOnly === true) {
            return { error: "READONLY" };
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

    function run(session, id, text) {
        const [word, ...fields] = text.split(" ");
        if (session.failed && word !== "COMMIT" && word !== "ROLLBACK") {
            return { error: "MALFORMED" };
        }
        switch (word) {
            case "AFTER":
                return holds(fields[0]) ? run(session, id, fields.slice(1).join(" ")) : { error: "LAGGING" };
            case "RESET":
                session.values = new Map();
                session.prepared = new Map();
                return { rows: [] };
            case "SET":
                session.values.set(fields[0], fields.slice(1).join(" "));
                return { rows: [] };
            case "PREPARE":
                session.prepared.set(fields[0], fields[1]);
                return { rows: [] };
            case "BEGIN":
                if (fields[0] !== "READ" && !leads) {
                    return { error: "READONLY" };
                }
                session.transaction = { readOnly: fields[0] === "READ", writes: [] };
                return { rows: [] };
            case "ROLLBACK":
                session.transaction = undefined;
                session.failed = false;
                return { rows: [] };
            case "COMMIT": {
                const { transaction, failed } = session;
                session.transaction = undefined;
                session.failed = false;
                if (transaction === undefined || failed) {
                    return { error: "ABORTED" };
                }
                if (transaction.writes.length > 0 && !leads) {
                    return { error: "READONLY" };
                }
                commit(transaction.writes);
                runs.push({ id, mode: "COMMIT", writes: transaction.writes.length, leads });
                return { rows: [], signed: true };
            }
            case "STATUS":
                return status();
            case "STEPDOWN":
                if (leads && term < Number(fields[0])) {
                    leads = false;
                    note(`${id === "-" ? "" : id} ${options.id} steps down`);
                    report();
                }
                return status();
            case "EXECUTE": {
                const mode = session.prepared.get(fields[0]);
                return mode === undefined ? { error: "NOSTMT" } : work(session, id, mode, fields.slice(1));
            }
            case "READ":
            case "WRITE":
                return work(session, id, word, fields);
            default:
                return { error: "MALFORMED" };
        }
    }

    function serve(socket) {
        let session;
        let buffered = "";
        let queue = Promise.resolve();
        sockets.add(socket);
        socket.setEncoding(encoding);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));

        async function take(line) {
            if (isDark) {
                return;
            }
            if (socket.destroyed) {
                return;
            }
            const [word, ...fields] = line.split(" ");
            if (word === "STARTUP") {
                const [name, , expected] = fields;
                const error = name !== service || (expected !== undefined && expected !== options.id)
                    ? "MISROUTED"
                    : sockets.size > maxConnections
                    ? "TOOMANY"
                    : undefined;
                if (error !== undefined) {
                    socket.end(`ERROR ${error} ${options.id}\r\n`);
                    return;
                }
                session = { values: new Map(), prepared: new Map(), transaction: undefined, failed: false };
                socket.write(`READY I ${shown()}\r\n`);
                return;
            }
            if (word !== "QUERY" || session === undefined) {
                socket.destroy();
                return;
            }
            const [id, ...rest] = fields;
            const text = rest.join(" ");
            if (/^(AFTER \S+ )?(READ|WRITE|EXECUTE|COMMIT)/.test(text)) {
                await new Promise(resolve => setTimeout(resolve, workMs));
            }
            if (socket.destroyed) {
                return;
            }
            const reply = run(session, id, text);
            if (reply.error !== undefined && session.transaction !== undefined && reply.error !== "BUSY") {
                session.failed = true;
            }
            const state = session.failed ? "E" : session.transaction === undefined ? "I" : "T";
            const signature = reply.signed === true ? `${options.id}.${id}` : "-";
            const outcome = reply.error === undefined
                ? `${reply.rows.map(row => `ROW ${row}\r\n`).join("")}COMPLETE ${signature}\r\n`
                : `ERROR ${reply.error} ${options.id}\r\n`;
            socket.write(`${outcome}READY ${state} ${shown()}\r\n`, encoding);
        }

        socket.on("data", piece => {
            const lines = (buffered + piece).split("\r\n");
            buffered = lines.pop() ?? "";
            lines.forEach(line => {
                queue = queue.then(() => take(line));
            });
        });
    }

    function report() {
        sequence += 1;
        if (up) {
            onChange();
        }
    }

    const options = { id };
    const instance = {
        id,
        zone,
        runs,
        log: () => log,
        leads: () => leads,
        isUp: () => up,
        term: () => term,
        entry() {
            sequence += 1;
            return {
                service,
                address: `${host}:${port}`,
                zone,
                version: "v1",
                slots: 4,
                state: "ready",
                cold_remaining_ms: 0,
                db_role: leads ? "primary" : "replica",
                sequence,
                born,
            };
        },
        async start() {
            server = net.createServer(serve);
            await new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ host, port, backlog: 512 }, resolve);
            });
            up = true;
            report();
        },
        /** Ends the process: connections are reset, new ones refused. */
        crash() {
            up = false;
            server?.close();
            sockets.forEach(socket => socket.destroy());
        },
        /** The machine answers nothing and says nothing; afterwards its old connections are closed. */
        dark() {
            isDark = true;
            up = false;
        },
        back() {
            sockets.forEach(socket => socket.destroy());
            isDark = false;
            up = true;
            report();
        },
        lead(next, others) {
            term = next;
            leads = true;
            applied = log.length;
            replicas = others;
            others.forEach(other => other.follow(log, next, instance));
            report();
        },
        follow(next, at) {
            leads = false;
            term = at;
            replicas = [];
            log = [...next];
            applied = log.length;
            report();
        },
        receive(entry) {
            if (up && entry.term === term && entry.index === log.length + 1) {
                log.push(entry);
                setTimeout(() => {
                    applied = Math.max(applied, Math.min(entry.index, log.length));
                }, lagMs);
            }
        },
        /** Starts again under its id: the process holds and knows nothing of before, and its counts start anew. */
        async startAnew() {
            log = [];
            applied = 0;
            term = 0;
            leads = false;
            replicas = [];
            born = Date.now();
            sequence = 0;
            await instance.start();
        },
    };
    return instance;
}
