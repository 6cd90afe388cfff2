import * as chai from "chai";
import * as fs from "node:fs";

describe("the tolerances and bounds of the platform", () => {
    it("are left out of the settings file where the platform has none", () => {
        // Each stands in a section of its own, as the platform fills in nothing for a missing value.
        const template = fs.readFileSync("deploy/settings.template.json", "utf8");
        for (
            const name of ["quota_window_s", "quota_overage", "quota_slack", "cold_overage", "cold_slack", "drain_ms"]
        ) {
            chai.expect(template).to.match(
                new RegExp(`\\{\\{#bounds\\.${name}\\}\\}"\\w+": \\{\\{\\.\\}\\},\\{\\{/bounds\\.${name}\\}\\}`),
            );
        }
    });
});
