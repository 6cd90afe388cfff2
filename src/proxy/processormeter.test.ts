import * as chai from "chai";
import * as neverthrow from "neverthrow";
import * as fixtures from "../../standins/minimalsettings.js";
import * as processorTimes from "../core/processortime.js";
import type * as network from "../ports/network.js";
import type * as store from "../ports/store.js";
import * as messages from "./messages.js";
import type * as platforms from "./platform.js";
import * as processorMeters from "./processormeter.js";
import * as settings from "./settings.js";

describe("the meter of processor time", () => {
    it("charges calls, results and what follows them to their activities", async () => {
        let processorMs = 0;
        const work = (ms: number): void => {
            processorMs += ms;
        };
        const turnEnds: (() => void)[] = [];
        const endTurn = (): void => turnEnds.splice(0).forEach(action => action());
        const time = processorTimes.create({
            usedMs: () => processorMs,
            atEndOfTurn: action => void turnEnds.push(action),
        });
        const meter = processorMeters.create(time);
        meter.endStart();

        let reply: () => void = () => undefined;
        const channel: network.Channel = {
            call: () => {
                work(2);
                return new Promise(resolve => {
                    reply = () => resolve(neverthrow.err({ code: 1301, subject: "", message: "" }));
                });
            },
            close: () => undefined,
        };
        const metered = meter.network({ openChannel: () => channel, close: () => undefined });
        chai.expect(metered.openChannel("a:1")).to.equal(metered.openChannel("a:1"));
        const called = metered.openChannel("a:1").call(messages.peer.news, { records: "", hosts: "" }, 100)
            .then(() => work(4));
        endTurn();
        work(8);
        reply();
        await called;
        endTurn();
        chai.expect(time.usedMs()).to.deep.equal({ start: 0, other: 8, news: 6 });

        const client = { renew: async () => neverthrow.ok(work(16)) } as unknown as store.Store;
        const platform = meter.platform({ store: client } as unknown as platforms.Platform);
        await platform.store.renew(1);
        work(32);
        endTurn();
        chai.expect(time.usedMs()).to.deep.equal({ start: 0, other: 8, news: 6, store: 48 });
    });

    it("leaves the ports as they are when it is off, which it is by default", () => {
        const channels: network.Network = { openChannel: () => chai.assert.fail(), close: () => undefined };
        chai.expect(processorMeters.none.network(channels)).to.equal(channels);
        chai.expect(processorMeters.none.usedMs()).to.equal(undefined);
        const parsed = settings.parse(fixtures.minimal)._unsafeUnwrap();
        chai.expect(parsed.measureProcessor).to.equal(false);
        chai.expect(settings.parse({ ...parsed, measureProcessor: "yes" }).isErr()).to.equal(true);
    });
});
