import * as chai from "chai";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";

describe("endpoints that have just started, end to end", function() {
    this.timeout(40_000);

    it("get no more requests in any second than the configuration allows, and callers hear when to come back", async () => {
        const world = await worlds.start({ hosts: 3, cold: { perSecond: 20, overage: 1.5, slack: 5 } });
        const samples: { readonly atMs: number; readonly count: number }[] = [];
        const replies: string[] = [];
        const primary = world.primary();
        let stopped = false;
        try {
            // Until the holder of the failover lock issues permits and the hosts have parts of their own.
            await delay(6_000);
            world.list({}, { born: 2, sequence: 1, cold_remaining_ms: 9_000 });
            await delay(2_500);
            const sampler = setInterval(
                () => samples.push({ atMs: performance.now(), count: primary.runs.length }),
                10,
            );
            const callers = [0, 1, 2, 0, 1, 2].map(async host => {
                const session = (await world.connect(host, "orders"))._unsafeUnwrap();
                while (!stopped) {
                    replies.push((await session.ask("WRITE saddle red"))[0] ?? "");
                    await delay(5);
                }
                session.close();
            });
            await delay(4_000);
            stopped = true;
            await Promise.all(callers);
            clearInterval(sampler);
        }
        finally {
            await world.close();
        }
        const perSecond = samples.map(first =>
            (samples.filter(last => last.atMs < first.atMs + 1_000).pop()?.count ?? first.count) - first.count
        );
        // Six callers would otherwise write several hundred times a second.
        chai.expect(Math.max(...perSecond)).to.be.at.most(20 * 1.5 + 5);
        chai.expect(replies.filter(reply => reply.startsWith("COMPLETE")).length).to.be.at.least(20);
        const refused = replies.filter(reply => reply.includes("HP1113"));
        chai.expect(refused.length).to.be.above(0);
        refused.forEach(reply => chai.expect(reply).to.match(/^ERROR BUSY HP1113 retry-after-ms=\d+/));
    });
});
