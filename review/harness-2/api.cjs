/** The platform's call that names a primary, as a process of its own: it tells its parent of each call. */
"use strict";
const http = require("node:http");

const [, , host] = process.argv;
/** Connections that wait to be accepted. */
const backlog = 1;

const server = http.createServer((request, response) => {
    const pieces = [];
    request.on("data", piece => pieces.push(piece));
    request.on("end", () => {
        const body = JSON.parse(Buffer.concat(pieces).toString());
        const holder = request.headers["x-lease-holder"];
        const token = Number(request.headers["x-fencing-token"]);
        process.send({ service: body.service, id: body.id, holder, token });
        response.writeHead(200, { "content-type": "application/json" }).end("{}");
    });
});
server.listen({ host, port: 0, backlog }, () => process.send({ port: server.address().port }));
process.on("disconnect", () => process.exit(0));
