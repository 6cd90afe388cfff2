import * as chai from "chai";
import type * as runtime from "../ports/runtime.js";
import * as fleets from "./fleet.js";
import type * as messages from "./messages.js";

describe("usage reports", () => {
    // Guards against limits that are exceeded while hosts stop in turn: a leaving host still admits operations, and the
    // others shared out its part too.
    it("include a host that is leaving, until it is silent", () => {
        let nowMs = 0;
        const member = (id: string, leaving: boolean): messages.Member => ({
            id,
            address: `${id}:1`,
            failureDomain: "cluj-a",
            incarnation: "a",
            leaving,
            capacity: 1,
        });
        const organisationUsage = { cluj: { demandPerSecond: 40, admittedCount: 7, remaining: 3 } };
        const peers = new Map<string, fleets.PeerState>([["host-1", {
            member: member("host-1", true),
            digest: { organisationUsage } as unknown as messages.Digest,
            lastHeardMs: 0,
            lastPolledMs: 0,
            lastFailedMs: -Infinity,
            registered: false,
            lastMentionedMs: 0,
            lastVouchedMs: -Infinity,
            unreachable: false,
            channel: undefined,
            header: undefined,
            acknowledgedHeader: undefined,
        }]]);
        const clock = { now: () => nowMs } as unknown as runtime.HostClock;
        const fleet = fleets.createFleet({ self: member("host-0", false), clock, peers, baselineId: 1 });
        chai.expect(fleet.usageReports().reports.map(report => report.usage)).to.deep.equal([organisationUsage]);
        nowMs = 2_500;
        chai.expect(fleet.usageReports()).to.deep.equal({ reports: [], suspectedHosts: 0 });
    });
});
