/** A client of the platform's wire: one session, which sends one request at a time. */
"use strict";
const net = require("node:net");
const endpoints = require("./endpoint.cjs");

let requests = 0;

/** Longest part of a text that is recorded. */
const recordedLength = 60;

/** Opens a session; resolves to it, or to undefined if the proxy refused it or could not be reached. */
function connect({ host, port, database, key, note }) {
    return new Promise(resolve => {
        const socket = net.connect({ host, port, noDelay: true });
        let lines = [];
        let settle;
        let open = false;
        socket.on("connect", () => socket.write(`STARTUP ${database} ${key}\r\n`));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            open = false;
            resolve(undefined);
            settle?.({ outcome: "closed", rows: lines.length });
            settle = undefined;
        });
        endpoints.readLines(socket, line => {
            if (!open && settle === undefined) {
                open = line.startsWith("READY");
                resolve(open ? session : undefined);
                if (!open) {
                    socket.destroy();
                }
                return;
            }
            if (!line.startsWith("READY")) {
                lines.push(line);
                return;
            }
            const last = lines.pop() ?? "";
            const rows = lines;
            lines = [];
            settle?.({ outcome: last.startsWith("ERROR") ? last.split(" ")[1] : "ok", text: last, rows: rows.length, row: rows[0]?.slice(4) });
            settle = undefined;
        });
        const session = {
            socket,
            isOpen: () => open,
            /** Sends a request and resolves to its answer: `ok`, the word of an error, `closed`, or `deadline`. */
            ask(text, timeoutMs = 6_000) {
                requests += 1;
                const id = `c${requests.toString(16).padStart(8, "0")}`;
                if (!open) {
                    return Promise.resolve({ id, outcome: "closed", rows: 0 });
                }
                note(`sent ${id} ${text.slice(0, recordedLength)}`);
                return new Promise(settled => {
                    const done = answer => {
                        note(`answered ${id} ${answer.outcome}${answer.row === undefined ? "" : " with rows"}`);
                        settled(answer);
                    };
                    const timer = setTimeout(() => {
                        settle = undefined;
                        socket.destroy();
                        done({ id, outcome: "deadline", rows: lines.length });
                    }, timeoutMs);
                    settle = answer => {
                        clearTimeout(timer);
                        done({ id, ...answer });
                    };
                    socket.write(`QUERY ${id} ${text}\r\n`, "latin1");
                });
            },
            close() {
                if (!socket.destroyed) {
                    socket.end("TERMINATE\r\n");
                }
            },
        };
    });
}

module.exports = { connect };
