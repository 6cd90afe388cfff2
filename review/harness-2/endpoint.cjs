/** A stand-in of one database instance on the platform's wire, as PROTOCOL.md describes it. */
"use strict";
const crypto = require("node:crypto");
const net = require("node:net");

/** Time for which an old primary goes on once it can reach the new one. */
const oldPrimaryMs = 1_000;
/** Time for a commit to reach a replica: one way between zones. */
const transitMs = 2;

/** Splits what arrives on a socket into lines; the encoding keeps every byte. */
function readLines(socket, take) {
    let rest = "";
    socket.setEncoding("latin1");
    socket.on("data", piece => {
        const lines = (rest + piece).split("\r\n");
        rest = lines.pop();
        lines.forEach(take);
    });
}

/**
 * Starts an instance as a replica. `rowsOf(item)` returns the rows of an item, as an iterable. `onRun` is called with each
 * statement that runs: `{ id, text, tenant, instance }`.
 */
async function start({ host, id, service, zone, slots, maxConnections, workMs, lagMs, syncReplicas, rowsOf, onRun }) {
    const sockets = new Set();
    let term = 1;
    let leads = false;
    let log = [];
    let applied = 0;
    let replicas = [];
    let busy = 0;
    let running = true;
    const queue = [];
    const pending = new Set();
    let deafUntilMs = 0;
    let draining = false;

    const position = () => `${log[log.length - 1]?.term ?? term}.${log.length}`;
    const holds = text => {
        const [, at = 0, number = 0] = /^(\d+)\.(\d+)$/.exec(text) ?? [];
        return Number(at) <= term && Number(number) <= applied;
    };

    async function slot() {
        if (busy >= slots) {
            await new Promise(resolve => queue.push(resolve));
        }
        busy += 1;
        return () => {
            busy -= 1;
            queue.shift()?.();
        };
    }

    /** Writes to the log; resolves once as many replicas as configured have received it, to false if none will. */
    async function commit(entries) {
        const received = [];
        for (const entry of entries) {
            const next = { ...entry, term, index: log.length + 1 };
            log.push(next);
            applied = log.length;
            received.push(new Promise(resolve => {
                pending.add(resolve);
                setTimeout(() => {
                    if (replicas.filter(replica => replica.receive(next)).length >= syncReplicas) {
                        resolve(true);
                    }
                }, transitMs);
                // Whoever comes back later has it from the log.
                next.confirm = () => resolve(true);
            }));
        }
        const all = await Promise.all(syncReplicas > 0 ? received : []);
        return all.every(Boolean) && running;
    }

    const status = () => `${leads ? "primary" : "replica"} ${term} ${position()} 0 0 ${busy} ${sockets.size}`;
    const signature = () => `${term}.${crypto.randomUUID()}`;

    /** Runs a request; resolves to rows, a signature or an error word. */
    async function run(session, request, text) {
        const [word = "", ...fields] = text.split(" ");
        const [first = "", ...others] = fields;
        if (session.failed && word !== "ROLLBACK" && word !== "COMMIT") {
            return { error: "MALFORMED" };
        }
        switch (word) {
            case "AFTER":
                return holds(first) ? run(session, request, others.join(" ")) : { error: "LAGGING" };
            case "RESET":
                session.values.clear();
                session.prepared.clear();
                return {};
            case "SET":
                session.values.set(first, others.join(" "));
                return {};
            case "PREPARE":
                session.prepared.set(first, others[0]);
                return {};
            case "DEALLOCATE":
                return session.prepared.delete(first) ? {} : { error: "NOSTMT" };
            case "STATUS":
                return { rows: [status()] };
            case "STEPDOWN":
                leads = leads && term >= Number(first);
                return { rows: [status()] };
            case "BEGIN":
                if (first !== "READ" && !leads) {
                    return { error: "READONLY" };
                }
                session.writes = [];
                return {};
            case "ROLLBACK":
                session.writes = undefined;
                session.failed = false;
                return {};
            case "COMMIT": {
                const { writes, failed } = session;
                session.writes = undefined;
                session.failed = false;
                if (writes === undefined || failed || (writes.length > 0 && !leads)) {
                    return { error: writes === undefined || failed ? "ABORTED" : "READONLY" };
                }
                return await commit(writes) ? { signature: signature() } : { lost: true };
            }
            case "EXECUTE":
                return session.prepared.has(first)
                    ? work(session, request, text, session.prepared.get(first), others)
                    : { error: "NOSTMT" };
            default:
                return work(session, request, text, word, fields);
        }
    }

    async function work(session, request, text, mode, [item = "", ...data]) {
        const release = await slot();
        await new Promise(resolve => setTimeout(resolve, workMs));
        release();
        if (mode === "WRITE" && !leads) {
            return { error: "READONLY" };
        }
        onRun({ id: request, text, tenant: session.tenant, instance: id });
        if (mode === "READ") {
            return { rows: rowsOf(item, log, applied), signature: signature() };
        }
        const entry = { item, data: data.join(" "), id: request };
        if (session.writes !== undefined) {
            session.writes.push(entry);
            return { signature: signature() };
        }
        return await commit([entry]) ? { signature: signature() } : { lost: true };
    }

    /** Writes a whole answer, and waits whenever the reader is slower. */
    async function respond(socket, session, reply) {
        const send = text =>
            new Promise(resolve => {
                if (socket.destroyed || socket.write(text, "latin1")) {
                    resolve();
                    return;
                }
                const done = () => {
                    socket.off("drain", done);
                    socket.off("close", done);
                    resolve();
                };
                socket.on("drain", done);
                socket.on("close", done);
            });
        if (reply.lost === true) {
            socket.destroy();
            return;
        }
        for (const row of reply.rows ?? []) {
            if (socket.destroyed) {
                return;
            }
            await send(`ROW ${row}\r\n`);
            // Other connections, and the probes on them, go on meanwhile.
            await new Promise(resolve => setImmediate(resolve));
        }
        if (reply.error !== undefined && session.writes !== undefined) {
            session.failed = true;
        }
        const state = session.failed ? "E" : session.writes === undefined ? "I" : "T";
        const outcome = reply.error === undefined ? `COMPLETE ${reply.signature ?? "-"}` : `ERROR ${reply.error} ${id}`;
        await send(`${outcome}\r\nREADY ${state} ${position()}\r\n`);
    }

    function serve(socket) {
        let session;
        let turn = Promise.resolve();
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        readLines(socket, line => {
            turn = turn.then(async () => {
                const [word, ...fields] = line.split(" ");
                if (word === "STARTUP") {
                    const [name, tenant, expected] = fields;
                    const error = name !== service || (expected !== undefined && expected !== id)
                        ? "MISROUTED"
                        : sockets.size > maxConnections
                        ? "TOOMANY"
                        : undefined;
                    if (error !== undefined) {
                        socket.end(`ERROR ${error} ${id}\r\n`);
                        return;
                    }
                    // Names are text of the configuration, which is UTF-8.
                    const who = Buffer.from(tenant ?? "", "latin1").toString("utf8");
                    session = { tenant: who, values: new Map(), prepared: new Map(), writes: undefined, failed: false };
                    socket.write(`READY I ${position()}\r\n`);
                    return;
                }
                if (word !== "QUERY" || session === undefined) {
                    socket.destroy();
                    return;
                }
                const [request = "", ...text] = fields;
                await respond(socket, session, await run(session, request, text.join(" ")));
            }).catch(() => socket.destroy());
        });
    }

    const server = net.createServer(serve);
    await new Promise(resolve => server.listen(0, host, resolve));
    let sequenceStart = Date.now();
    const { port } = server.address();
    const address = `${host}:${port}`;
    return {
        id,
        address,
        log: () => log,
        /** Says whether the instance reports that it shuts down. */
        drain(next) {
            draining = next;
        },
        applied: () => applied,
        primary: () => leads,
        term: () => term,
        entry: sequence => ({
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: draining ? "draining" : "ready",
            cold_remaining_ms: 0,
            db_role: leads ? "primary" : "replica",
            sequence,
            born: sequenceStart,
        }),
        /** Receives a commit over the network and applies it later; true if it has it now. */
        receive(entry) {
            if (!running || leads || performance.now() < deafUntilMs || entry.term !== term) {
                return false;
            }
            if (entry.index === log.length + 1) {
                log.push(entry);
                setTimeout(() => {
                    applied = Math.max(applied, Math.min(entry.index, log.length));
                }, lagMs);
            }
            return entry.index <= log.length;
        },
        /** Receives nothing for a while, and then what it lacks. */
        deaf(ms) {
            deafUntilMs = performance.now() + ms;
        },
        /** Leads the next term with what it has received; the others follow, an old primary a second later. */
        lead(next, others) {
            term = next;
            leads = true;
            applied = log.length;
            replicas = [];
            others.forEach(other => {
                const join = () => {
                    if (running && leads && term === next) {
                        other.follow(log, next);
                        replicas = [...replicas.filter(replica => replica !== other), other];
                    }
                };
                if (other.primary()) {
                    setTimeout(join, oldPrimaryMs);
                }
                else {
                    join();
                }
            });
        },
        follow(entries, next) {
            if (!running || next < term) {
                return;
            }
            term = next;
            leads = false;
            replicas = [];
            log = [...entries];
            applied = log.length;
        },
        running: () => running,
        /** Sends the replicas that lack something the rest of the log. */
        repair() {
            if (running && leads) {
                replicas.forEach(replica => {
                    for (const entry of log.slice(replica.log().length)) {
                        if (replica.receive(entry)) {
                            entry.confirm?.();
                        }
                    }
                });
            }
        },
        /** Ends at once. */
        crash() {
            running = false;
            pending.forEach(resolve => resolve(false));
            pending.clear();
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
        /** Comes back with its log: as a replica of the primary if another one was promoted meanwhile. */
        async restart(primary) {
            running = true;
            sequenceStart = Date.now();
            leads = leads && primary === undefined;
            await new Promise(resolve => server.listen(port, host, resolve));
            primary?.lead(primary.term(), primary.others(this));
        },
        others: added => [...new Set([...replicas, added])],
        close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

module.exports = { readLines, start };
