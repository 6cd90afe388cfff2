/**
 * A stand-in of an instance as PROTOCOL.md describes it, with slots and a queue before them. A commit at the primary is
 * acknowledged once one replica has received it (`sync_replicas` = 1).
 */
import * as net from "node:net";

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const networkMs = 2;
const handshakeMs = 12;
const statusMs = 1;

/** Starts an instance, as a replica with an empty log. `record` is told what it commits. */
export async function startInstance({ id, service, slots, maxConnections, workMs, lagMs, line }) {
    const sockets = new Set();
    const queue = [];
    let busy = 0;
    let term = 1;
    let leads = false;
    let log = [];
    let applied = 0;
    let replicas = [];
    let slowness = 1;
    let deaf = false;
    let dark = false;

    /** Runs work on a slot; waits for a free one. */
    async function onSlot(ms) {
        if (busy >= slots) {
            await new Promise(resolve => queue.push(resolve));
        }
        else {
            busy += 1;
        }
        await sleep(ms);
        const next = queue.shift();
        if (next === undefined) {
            busy -= 1;
        }
        else {
            next();
        }
    }

    const end = () => `${log[log.length - 1]?.term ?? 1}.${log.length}`;
    const shown = () => `${log[applied - 1]?.term ?? 1}.${applied}`;

    function holds(position) {
        const [wantedTerm, index] = position.split(".").map(Number);
        return index <= applied && wantedTerm <= term;
    }

    /** Resolves once a replica has received the commit. */
    async function commit(requestId, writes) {
        const entry = { term, requestId, writes };
        log.push(entry);
        applied = log.length;
        const upTo = [...log];
        await Promise.race(replicas.map(replica => replica.receive(upTo, term)));
        line(`commit ${term}.${upTo.length} ${requestId} at ${id}`);
    }

    async function run(session, requestId, text) {
        const words = text.split(" ");
        if (words[0] === "AFTER") {
            return holds(words[1]) ? run(session, requestId, words.slice(2).join(" ")) : ["ERROR LAGGING " + id];
        }
        switch (words[0]) {
            case "RESET":
            case "SET":
            case "PREPARE":
                return ["COMPLETE -"];
            case "STATUS":
            case "STEPDOWN":
                await onSlot(statusMs);
                leads = words[0] === "STEPDOWN" && term < Number(words[1]) ? false : leads;
                return [`ROW ${leads ? "primary" : "replica"} ${term} ${end()} ${term} ${lagMs} ${busy} ${sockets.size}`, "COMPLETE -"];
            case "BEGIN":
                if (words[1] !== "READ" && !leads) {
                    return [`ERROR READONLY ${id}`];
                }
                session.writes = [];
                return ["COMPLETE -"];
            case "ROLLBACK":
                session.writes = undefined;
                return ["COMPLETE -"];
            case "COMMIT":
                await onSlot(workMs * slowness);
                if (session.writes.length > 0) {
                    await commit(requestId, session.writes);
                }
                session.writes = undefined;
                return [`COMPLETE ${id}.${requestId}`];
            case "READ":
                await onSlot(workMs * slowness * (0.5 + Math.random()));
                return [`ROW ${words[1]}`, `COMPLETE ${id}.${requestId}`];
            case "WRITE":
                if (!leads) {
                    return [`ERROR READONLY ${id}`];
                }
                await onSlot(workMs * slowness);
                if (session.writes === undefined) {
                    await commit(requestId, [text]);
                }
                else {
                    session.writes.push(text);
                }
                return [`COMPLETE ${id}.${requestId}`];
            default:
                return [`ERROR MALFORMED ${id}`];
        }
    }

    function serve(socket) {
        const session = { writes: undefined };
        let greeted = false;
        let buffered = "";
        let order = Promise.resolve();
        sockets.add(socket);
        socket.setEncoding("latin1");
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        const send = text => {
            if (!dark && !socket.destroyed) {
                socket.write(text, "latin1");
            }
        };

        async function take(message) {
            if (dark) {
                return;
            }
            const [word, ...fields] = message.split(" ");
            if (word === "STARTUP") {
                if (fields[0] !== service || (fields[2] ?? id) !== id) {
                    socket.end(`ERROR MISROUTED ${id}\r\n`);
                }
                else if (sockets.size > maxConnections) {
                    socket.end(`ERROR TOOMANY ${id}\r\n`);
                }
                else {
                    await onSlot(handshakeMs);
                    greeted = true;
                    send(`READY I ${shown()}\r\n`);
                }
                return;
            }
            if (word !== "QUERY" || !greeted) {
                socket.destroy();
                return;
            }
            const answer = await run(session, fields[0], fields.slice(1).join(" "));
            send(`${answer.join("\r\n")}\r\nREADY ${session.writes === undefined ? "I" : "T"} ${shown()}\r\n`);
        }

        socket.on("data", chunk => {
            buffered += chunk;
            const lines = buffered.split("\r\n");
            buffered = lines.pop();
            for (const message of lines) {
                order = order.then(() => take(message));
            }
        });
    }

    const server = net.createServer(serve);
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        id,
        address: `127.0.0.1:${server.address().port}`,
        log: () => log,
        primary: () => leads,
        term: () => term,
        dark: () => dark,
        load: () => busy + queue.length,
        lead(next, others) {
            term = next;
            leads = true;
            applied = log.length;
            replicas = others;
            others.forEach(other => void other.receive([...log], next));
        },
        /** Takes the primary's log over the network, and applies it later; never resolves while nothing is received. */
        async receive(entries, ofTerm) {
            await sleep(networkMs);
            if (deaf || dark || ofTerm < term) {
                return new Promise(() => undefined);
            }
            term = ofTerm;
            leads = false;
            if (entries.length >= log.length || log[log.length - 1]?.term < ofTerm) {
                log = entries;
            }
            const length = log.length;
            setTimeout(() => {
                applied = Math.max(Math.min(applied, log.length), Math.min(length, log.length));
            }, lagMs);
            return undefined;
        },
        slow(factor) {
            slowness = factor;
        },
        deafen(value) {
            deaf = value;
        },
        /** Answers nothing from now on, on open connections and new ones. */
        goDark() {
            dark = true;
        },
        async crash() {
            dark = true;
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => server.close(resolve));
        },
    };
}
