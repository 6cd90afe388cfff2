import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";

const drainMs = 2_500;
const hosts = [0, 1, 2];

describe("a primary that shuts down, end to end", () => {
    // Guards against new work for a draining endpoint whose replacement fails or takes too long: it was sent statements
    // beyond its drain time as long as it was the primary.
    it("is sent nothing new once its drain time is over, even if it can't be replaced", async () => {
        const world = await worlds.start({ hosts: hosts.length, drainMs });
        const old = world.primary();
        const callers = await Promise.all(
            hosts.map(async host => (await world.connect(host, "orders"))._unsafeUnwrap()),
        );
        let running = true;
        const load = Promise.all(callers.map(async (caller, host) => {
            for (let count = 0; running; count += 1) {
                await caller.ask(`WRITE item-${host} v`, `w-${host}-${count}`);
                await delay(10);
            }
        }));
        await delay(300);
        world.endpoints.filter(endpoint => endpoint !== old).forEach(endpoint => endpoint.silence(true));
        world.list({ [old.id]: "draining" });
        const countBefore = old.runs.length;
        await delay(drainMs);
        const countAtBound = old.runs.length;
        await delay(2_500);
        chai.expect(old.runs.length, "statements sent beyond the bound").to.equal(countAtBound);
        chai.expect(countAtBound, "statements served in time").to.be.above(countBefore);
        running = false;
        callers.forEach(caller => caller.close());
        await world.close();
        await load;
    });
});
