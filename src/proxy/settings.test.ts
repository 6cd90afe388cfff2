import * as chai from "chai";
import * as settings from "./settings.js";

const minimal = {
    id: "host-1",
    region: "north",
    failureDomain: "a",
    callers: "10.0.0.1:1",
    readiness: "10.0.0.1:2",
    peers: "10.0.0.1:3",
    store: "10.0.0.9:1",
    promotions: "10.0.0.9:2",
};

describe("the tolerances in the settings", () => {
    it("are those of the platform, and none where it states none", () => {
        const none = settings.parse(minimal)._unsafeUnwrap();
        chai.expect(settings.toleranceOf(none)).to.deep.equal({ windowMs: 5_000, overage: 0, slack: 0 });
        chai.expect(settings.coldToleranceOf(none)).to.equal(undefined);
        const stated = settings.parse({
            ...minimal,
            quotaWindowSeconds: 4,
            quotaOverage: 0.1,
            quotaSlack: 20,
            coldOverage: 1.5,
            coldSlack: 5,
        })._unsafeUnwrap();
        chai.expect(settings.toleranceOf(stated)).to.deep.equal({ windowMs: 4_000, overage: 0.1, slack: 20 });
        chai.expect(settings.coldToleranceOf(stated)).to.deep.equal({ overage: 1.5, slack: 5 });
    });
});
