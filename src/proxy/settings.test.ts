import * as chai from "chai";
import * as fixtures from "../../standins/minimalsettings.js";
import * as settings from "./settings.js";

describe("the tolerances in the settings", () => {
    it("are those of the platform, and none where it states none", () => {
        const none = settings.parse(fixtures.minimal)._unsafeUnwrap();
        chai.expect(settings.toleranceOf(none)).to.deep.equal({ windowMs: 5_000, overage: 0, slack: 0 });
        chai.expect(settings.coldToleranceOf(none)).to.equal(undefined);
        const stated = settings.parse({
            ...fixtures.minimal,
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
