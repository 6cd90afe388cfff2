import * as chai from "chai";
import * as fc from "fast-check";
import * as failure from "../core/failure.js";
import * as wire from "./wire.js";

describe("the platform's wire protocol", () => {
    it("splits a stream into the same lines whatever its chunks", () => {
        const line = fc.stringMatching(/^[ -~]{0,40}$/);
        fc.assert(
            fc.property(fc.array(line, { maxLength: 8 }), fc.array(fc.nat(30), { maxLength: 40 }), (lines, sizes) => {
                const splitter = wire.createSplitter();
                let rest = lines.map(entry => `${entry}\r\n`).join("");
                const split: string[] = [];
                for (const size of [...sizes, rest.length]) {
                    split.push(...splitter.push(rest.slice(0, size + 1))._unsafeUnwrap());
                    rest = rest.slice(size + 1);
                }
                chai.expect(split).to.deep.equal(lines);
            }),
            { numRuns: 3_000, seed: 20_266 },
        );
    });

    it("accepts a message of 1 MiB and rejects one byte more, in one chunk or in several", () => {
        const longest = "x".repeat(wire.maxMessageBytes - 2);
        chai.expect(wire.createSplitter().push(`${longest}\r\n`).isOk()).to.equal(true);
        chai.expect(wire.createSplitter().push(`${longest}y\r\n`).isErr()).to.equal(true);
        const inChunks = wire.createSplitter();
        chai.expect(inChunks.push(longest).isOk()).to.equal(true);
        chai.expect(inChunks.push("\r").isOk()).to.equal(true);
        chai.expect(inChunks.push("\n")._unsafeUnwrap()).to.have.length(1);
        const oversized = wire.createSplitter();
        chai.expect(oversized.push(longest).isOk()).to.equal(true);
        chai.expect(oversized.push("y").isErr()).to.equal(true);
    });

    it("preserves bytes that are not valid UTF-8", () => {
        const bytes = Buffer.from([0x52, 0x45, 0xff, 0xfe, 0x80]).toString(wire.encoding);
        const message = wire.parseCallerMessage(`QUERY 1 READ ${bytes}`);
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
        it(`parses ${text}`, () =>
            chai.expect(wire.parseCallerMessage(`QUERY 7 ${text}`)).to.deep.equal({
                kind: "request",
                id: "7",
                request,
            }))
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
        it(`reports ${JSON.stringify(line)} as malformed`, () =>
            chai.expect(wire.parseCallerMessage(line).kind).to.equal("malformed"))
    );

    it("does not throw on any input from endpoints or callers", () => {
        fc.assert(
            fc.property(fc.string(), text => {
                wire.parseCallerMessage(text);
                wire.parseEndpointMessage(text);
                wire.parseStatus(text, undefined);
            }),
            { numRuns: 5_000, seed: 20_267 },
        );
    });

    it("formats an error with its retry time on one line", () => {
        const cause = failure.create(failure.Code.rateExceeded, "cluj", "Too\r\nmany.", 120.4);
        chai.expect(wire.formatError(cause)).to.equal("ERROR BUSY HP1101 retry-after-ms=121 Too many.\r\n");
    });

    it("uses error words that promise no effect only for requests that did not run", () => {
        const promisesNoEffect = /^ERROR (BUSY|ABORTED|LAGGING|READONLY|MISROUTED|TOOMANY) /;
        Object.values(failure.Code).forEach(code => {
            const line = wire.formatError(failure.create(code, "x", "x."));
            if (promisesNoEffect.test(line)) {
                chai.expect(failure.describe(code).outcome).to.equal("notRun");
            }
        });
    });

    it("rejects a status row whose term or connection count is no number", () => {
        chai.expect(wire.parseStatus("replica x 3.1209 0 12 2 17", undefined)).to.equal(undefined);
        chai.expect(wire.parseStatus("replica 3 3.1209 0 12 2 many", undefined)).to.equal(undefined);
    });

    it("parses a status row", () => {
        chai.expect(wire.parseStatus("replica 3 3.1209 0 12 2 17", { term: 3, index: 1_204 })).to.deep.equal({
            primary: false,
            term: 3,
            received: { term: 3, index: 1_209 },
            applied: { term: 3, index: 1_204 },
            connections: 17,
        });
        chai.expect(wire.parseStatus("replica 3", undefined)).to.equal(undefined);
    });
});
