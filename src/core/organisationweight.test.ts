import * as chai from "chai";
import * as admissionQueues from "./admissionqueue.js";
import * as weights from "./organisationweight.js";
import * as policies from "./policy.js";

const organisation = (name: string, ratePerSecond: number): [string, policies.Organisation] => [
    name,
    { name, ratePerSecond, burst: ratePerSecond },
];

function policyOf(...entries: readonly [string, policies.Organisation][]): policies.Policy {
    return { ...policies.empty, organisations: new Map(entries) };
}

describe("weights of organisations", () => {
    it("are their rates, and the mean for callers that belong to none", () => {
        const weightOf = weights.createWeights(() => policyOf(organisation("large", 90), organisation("small", 10)));
        chai.expect(["large", "small", "-"].map(weightOf)).to.deep.equal([90, 10, 50]);
    });

    it("follow the policy, and are above 0 without rates", () => {
        let policy = policyOf(organisation("large", 0));
        const weightOf = weights.createWeights(() => policy);
        chai.expect(weightOf("large")).to.equal(1);
        policy = policyOf(organisation("large", 40));
        chai.expect(weightOf("large")).to.equal(40);
    });

    it("leave a large organisation that is within its rate its part of the room, beside nineteen small ones", () => {
        const small = Array.from({ length: 19 }, (_, number) => `small-${number}`);
        const policy = policyOf(organisation("large", 57), ...small.map(name => organisation(name, 3)));
        const servedPart = (weight: (name: string) => number): number => {
            const queue = admissionQueues.createAdmissionQueue<undefined>({ maxLength: 256, weight });
            const room = { concurrency: 1, underWay: 1, answerMs: 10, endpointWaitMs: 0 };
            const served: string[] = [];
            // Half of the statements are the large organisation's, as by the rates, and there is room for four fifths of all.
            for (let number = 0; number < 600; number += 1) {
                const nowMs = number * 20;
                for (const name of ["large", small[number % small.length] ?? ""]) {
                    const times = { targetMs: nowMs + 250, deadlineMs: nowMs + 500 };
                    queue.offer({ organisation: name, priority: 1, ...times, value: undefined }, nowMs, room);
                }
                for (let free = 0; free < (number % 5 < 2 ? 1 : 2); free += 1) {
                    served.push(queue.take(nowMs, room)?.organisation ?? "");
                    queue.recordHold(1, 12);
                }
                queue.removeHopeless(nowMs, room);
            }
            return served.filter(name => name === "large").length / served.length;
        };
        chai.expect(servedPart(weights.createWeights(() => policy))).to.be.within(0.45, 0.55);
        chai.expect(servedPart(() => 1)).to.be.below(0.45);
    });
});
