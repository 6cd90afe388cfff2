import * as chai from "chai";
import * as settings from "./settings.js";

const valid = {
    id: "h1",
    region: "north",
    failureDomain: "a",
    callers: { port: 0 },
    peers: { port: 0 },
    operations: { port: 0 },
    platform: { address: "127.0.0.1:1", region: "north" },
    account: { user: "u", password: "p" },
};

describe("settings", () => {
    it("fills defaults", () => chai.expect(settings.parse(valid)._unsafeUnwrap().timing.freshMs).to.equal(4_000));

    it("refuses unknown names and values past a limit, with their path", () => {
        const unknown = settings.parse({ ...valid, colour: "red" })._unsafeUnwrapErr();
        chai.expect(unknown.message).to.contain("colour");
        const large = settings.parse({ ...valid, timing: { silenceMs: 60_000 } })._unsafeUnwrapErr();
        chai.expect(large.subject).to.equal("timing.silenceMs");
    });

    it("says which file can't be read", () =>
        chai.expect(settings.load("/nowhere.json")._unsafeUnwrapErr().message).to.contain("/nowhere.json"));
});
