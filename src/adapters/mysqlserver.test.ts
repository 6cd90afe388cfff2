import * as chai from "chai";
import mysql from "mysql2/promise";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import * as statements from "../core/statement.js";
import * as mysqlserver from "./mysqlserver.js";

const result: mysqlserver.StatementResult = {
    columns: [{ name: "one", type: 253 }],
    rows: [["1"]],
    affectedRows: 0,
    insertId: 0,
};

/** Starts a listener that accepts every caller and counts the closed sessions. */
async function listen(): Promise<{ readonly listener: mysqlserver.Listener; readonly ended: () => number }> {
    let endedSessions = 0;
    const session: mysqlserver.Session = {
        query: async () => neverthrow.ok([result]),
        ended: () => {
            endedSessions += 1;
        },
    };
    const listener = await mysqlserver.listen({
        host: "127.0.0.1",
        port: 0,
        accept: async () => neverthrow.ok(session),
    });
    return { listener, ended: () => endedSessions };
}

function connect(port: number): Promise<mysql.Connection> {
    return mysql.createConnection({ host: "127.0.0.1", port, user: "u", password: "p", database: "d" });
}

describe("mysqlserver", () => {
    it("keeps serving after malformed packets and half-closed sockets", async () => {
        const { listener } = await listen();
        for (
            const bytes of [
                Buffer.from("GET / HTTP/1.1\r\n\r\n"),
                Buffer.from([0xff, 0xff, 0xff, 0x00, 0x01]),
                Buffer.alloc(0),
            ]
        ) {
            await new Promise<void>(resolve => {
                const socket = net.connect({ port: listener.port, host: "127.0.0.1", allowHalfOpen: true });
                socket.on("error", () => undefined);
                socket.on("close", () => resolve());
                socket.once("data", () => socket.end(bytes));
                socket.on("end", () => socket.destroy());
            });
        }
        const connection = await connect(listener.port);
        const [rows] = await connection.query("SELECT 1 AS one");
        chai.expect(rows).to.deep.equal([{ one: "1" }]);
        connection.destroy();
        listener.close();
    });

    it("sends an idle caller the reason before closing its connection", async () => {
        const { listener, ended } = await listen();
        const connection = await connect(listener.port);
        const received = new Promise<Error>(resolve => connection.on("error", resolve));
        await connection.query("SELECT 1 AS one");
        listener.shutDown({ errno: 1053, message: "HP1104: This host is stopping. Not run." });
        chai.expect((await received).message).to.contain("HP1104");
        chai.expect(ended()).to.be.at.most(1);
        listener.close();
    });

    it("rejects a prepared statement with a clear error and keeps serving", async () => {
        const { listener } = await listen();
        const connection = await connect(listener.port);
        const refused = await connection.execute("SELECT ?", [1]).then(() => "", (thrown: Error) => thrown.message);
        chai.expect(refused).to.contain("Prepared statements are not supported");
        const [rows] = await connection.query("SELECT 1 AS one");
        chai.expect(rows).to.have.length(1);
        connection.destroy();
        listener.close();
    });

    it("states the limit when it rejects an overlong statement", () => {
        const refused = statements.classify(`SELECT '${"x".repeat(statements.maxTextLength)}'`)._unsafeUnwrapErr();
        chai.expect(refused.message).to.contain(String(statements.maxTextLength));
    });
});
