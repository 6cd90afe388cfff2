import * as chai from "chai";
import * as fc from "fast-check";
import * as failure from "../core/failure.js";
import * as wire from "./wire.js";

describe("the platform's wire", () => {
    it("cuts the same lines however the stream is split", () => {
        const line = fc.stringMatching(/^[ -~]{0,40}$/);
        fc.assert(
            fc.property(fc.array(line, { maxLength: 8 }), fc.array(fc.nat(30), { maxLength: 40 }), (lines, sizes) => {
                const splitter = wire.createSplitter();
                let rest = lines.map(entry => `${entry}\r\n`).join("");
                const found: string[] = [];
                for (const size of [...sizes, rest.length]) {
                    found.push(...splitter.push(rest.slice(0, size + 1))._unsafeUnwrap());
                    rest = rest.slice(size + 1);
                }
                chai.expect(found).to.deep.equal(lines);
            }),
            { numRuns: 3_000, seed: 20_266 },
        );
    });

    it("takes a message of 1 MiB and refuses one byte more, whole or in pieces", () => {
        const whole = "x".repeat(wire.maxMessageBytes - 2);
        chai.expect(wire.createSplitter().push(`${whole}\r\n`).isOk()).to.equal(true);
        chai.expect(wire.createSplitter().push(`${whole}y\r\n`).isErr()).to.equal(true);
        const pieces = wire.createSplitter();
        chai.expect(pieces.push(whole).isOk()).to.equal(true);
        chai.expect(pieces.push("\r").isOk()).to.equal(true);
        chai.expect(pieces.push("\n")._unsafeUnwrap()).to.have.length(1);
        const long = wire.createSplitter();
        chai.expect(long.push(whole).isOk()).to.equal(true);
        chai.expect(long.push("y").isErr()).to.equal(true);
    });

    it("keeps bytes that are no UTF-8", () => {
        const bytes = Buffer.from([0x52, 0x45, 0xff, 0xfe, 0x80]).toString(wire.encoding);
        const message = wire.readCaller(`QUERY 1 READ ${bytes}`);
        chai.expect(message).to.deep.equal({
            kind: "request",
            id: "1",
            request: { kind: "statement", mode: "read", text: `READ ${bytes}` },
        });
    });

    const requests: readonly (readonly [string, unknown])[] = [
        ["BEGIN", { kind: "begin", readOnly: false }],
        ["BEGIN READ", { kind: "begin", readOnly: true }],
        ["COMMIT", { kind: "commit" }],
        ["ROLLBACK", { kind: "rollback" }],
        ["WRITE a b c", { kind: "statement", mode: "write", text: "WRITE a b c" }],
        ["SET v0 c06", { kind: "set", name: "v0", value: "c06" }],
        ["PREPARE s1 WRITE q2c", { kind: "prepare", name: "s1", mode: "write", template: "q2c" }],
        ["EXECUTE s1 1a4 xkq", { kind: "execute", name: "s1", parameters: "1a4 xkq" }],
        ["DEALLOCATE s1", { kind: "deallocate", name: "s1" }],
    ];
    requests.forEach(([text, request]) =>
        it(`reads ${text}`, () =>
            chai.expect(wire.readCaller(`QUERY 7 ${text}`)).to.deep.equal({ kind: "request", id: "7", request }))
    );

    const malformed = [
        "",
        "HELLO",
        "QUERY",
        "QUERY 1",
        "QUERY - READ a",
        "QUERY 1 BEGIN WRITE",
        "QUERY 1 PREPARE s1 EDIT q1",
        "QUERY 1 PREPARE s1 constructor q1",
        "QUERY 1 AFTER 1.1 READ a",
        "QUERY 1 READ",
    ];
    malformed.forEach(line =>
        it(`calls ${JSON.stringify(line)} malformed`, () =>
            chai.expect(wire.readCaller(line).kind).to.equal("malformed"))
    );

    it("never throws on what an endpoint or a caller sends", () => {
        fc.assert(
            fc.property(fc.string(), text => {
                wire.readCaller(text);
                wire.readEndpoint(text);
                wire.readStatus(text, undefined);
            }),
            { numRuns: 5_000, seed: 20_267 },
        );
    });

    it("tells refused callers when to come back, in one line", () => {
        const cause = failure.create(failure.Code.rateExceeded, "cluj", "Too\r\nmany.", 120.4);
        chai.expect(wire.printError(cause)).to.equal("ERROR BUSY HP1101 retry-after-ms=121 Too many.\r\n");
    });

    it("uses words that promise no effect only for failures that did not run", () => {
        const promises = /^ERROR (BUSY|ABORTED|LAGGING|READONLY|MISROUTED|TOOMANY) /;
        Object.values(failure.Code).forEach(code => {
            const line = wire.printError(failure.create(code, "x", "x."));
            if (promises.test(line)) {
                chai.expect(failure.describe(code).outcome).to.equal("notRun");
            }
        });
    });

    it("reads a status row", () => {
        chai.expect(wire.readStatus("replica 3 3.1209 0 12 2 17", { term: 3, index: 1_204 })).to.deep.equal({
            primary: false,
            term: 3,
            received: { term: 3, index: 1_209 },
            applied: { term: 3, index: 1_204 },
            connections: 17,
        });
        chai.expect(wire.readStatus("replica 3", undefined)).to.equal(undefined);
    });
});
