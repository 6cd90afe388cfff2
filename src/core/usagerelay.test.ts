import * as chai from "chai";
import * as relaySchedules from "./relayschedule.js";
import * as usageRelays from "./usagerelay.js";

function reportOf(
    host: string,
    organisations: readonly string[],
    change: Partial<usageRelays.Report> = {},
): usageRelays.Report {
    const entry = { demandPerSecond: 2, admittedCount: 7, remaining: 3, recentCount: 5 };
    return {
        host,
        process: `${host} 1`,
        usage: Object.fromEntries(organisations.map(name => [name, entry])),
        transitMs: 10,
        wantsAll: false,
        ...change,
    };
}

describe("a relay of usage", () => {
    it("answers with the newest reports of other hosts, as far as they have organisations in common", () => {
        const relay = usageRelays.createRelay();
        relay.exchange(reportOf("a", ["cluj", "iasi"]), 1_000);
        relay.exchange(reportOf("b", ["arad"]), 1_000);
        const answer = relay.exchange(reportOf("c", ["cluj"]), 1_200);
        chai.expect(answer.map(({ host, usage, ageMs }) => [host, Object.keys(usage), ageMs])).to.deep.equal([
            ["a", ["cluj"], 210],
        ]);
    });

    it("names the processes of all hosts to one that has just started", () => {
        const relay = usageRelays.createRelay();
        relay.exchange(reportOf("a", ["iasi"]), 1_000);
        const answer = relay.exchange(reportOf("c", [], { wantsAll: true }), 1_100);
        chai.expect(answer.map(({ process, usage }) => [process, usage])).to.deep.equal([["a 1", {}]]);
    });

    it("forgets a host that reports no more, and takes a new process of a host for the only one", () => {
        const relay = usageRelays.createRelay();
        relay.exchange(reportOf("a", ["cluj"]), 1_000);
        relay.exchange(reportOf("a", ["cluj"], { process: "a 2" }), 2_000);
        const others = (nowMs: number): readonly string[] =>
            relay.exchange(reportOf("b", ["cluj"]), nowMs).map(({ process }) => process);
        chai.expect(others(2_100)).to.deep.equal(["a 2"]);
        chai.expect(others(2_000 + usageRelays.maxReportAgeMs + 20)).to.deep.equal([]);
    });
});

describe("the schedule of reports to relays", () => {
    const ranked = ["r1", "r2", "r3"];

    it("sends nothing without demand, once the host has introduced itself", () => {
        const schedule = relaySchedules.createSchedule(4_000, 0);
        chai.expect(schedule.next(ranked, 250, false, 100)).to.equal("r1");
        schedule.answered("r1");
        chai.expect(schedule.next(ranked, 250, false, 4_000)).to.equal(undefined);
        chai.expect(schedule.next(ranked, 250, true, 4_001)).to.equal("r2");
    });

    it("takes turns between two relays, and the next one while one of them does not answer", () => {
        const schedule = relaySchedules.createSchedule(0, 0);
        const sent = [0, 300, 600].map(nowMs => {
            const relay = schedule.next(ranked, 250, true, nowMs);
            schedule.answered(relay ?? "");
            return relay;
        });
        chai.expect(sent).to.deep.equal(["r1", "r2", "r1"]);
        schedule.failed("r1", 700);
        chai.expect(schedule.next(ranked, 250, true, 900)).to.equal("r2");
        chai.expect(schedule.next(ranked, 250, true, 1_200)).to.equal("r3");
        chai.expect(schedule.next(ranked, 250, true, 1_500)).to.equal(undefined);
        schedule.answered("r3");
        chai.expect(schedule.next(ranked, 250, true, 2_800)).to.equal("r1");
    });
});
