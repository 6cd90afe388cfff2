import * as chai from "chai";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as backoffs from "./backoff.js";

describe("backoff", () => {
    it("doubles up to the limit, and starts again after a success", () => {
        const backoff = backoffs.createBackoff({ firstMs: 100, maxMs: 500 });
        chai.expect([0, 0, 0, 0].map(() => backoff.fail(0.5))).to.deep.equal([100, 200, 400, 500]);
        chai.expect(backoff.failures()).to.equal(4);
        backoff.succeed();
        chai.expect(backoff.fail(0)).to.equal(50);
    });

    // Each call occupies the link for 40 ms even if its caller has given up, and fails when it waits for over 700 ms.
    it("lets 30 hosts through a link that repetition at a fixed interval keeps full", () => {
        const served = (firstMs: number, maxMs: number): number => {
            const generator = generators.xoroshiro128plus(3);
            const hosts = Array.from({ length: 30 }, () => ({
                nextMs: 0,
                backoff: backoffs.createBackoff({ firstMs, maxMs }),
                served: 0,
            }));
            let linkFreeMs = 3_000;
            for (let nowMs = 0; nowMs < 30_000; nowMs += 1) {
                for (const host of hosts.filter(entry => entry.nextMs <= nowMs)) {
                    linkFreeMs = Math.max(linkFreeMs, nowMs) + 40;
                    const inTime = linkFreeMs - nowMs <= 700;
                    if (inTime) {
                        host.backoff.succeed();
                        host.served += 1;
                    }
                    host.nextMs = inTime
                        ? linkFreeMs + 1_250
                        : nowMs + 700 + host.backoff.fail(uniform.uniformFloat64(generator));
                }
            }
            return hosts.filter(host => host.served > 0).length;
        };
        chai.expect(served(250, 250)).to.be.below(30);
        chai.expect(served(250, 1_000)).to.equal(30);
    });
});
