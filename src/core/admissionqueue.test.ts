import * as chai from "chai";
import * as fc from "fast-check";
import * as admissionQueues from "./admissionqueue.js";
import * as queues from "./queue.js";

/** The load of a route: statements a second at a load of 1.0, work, and bounds of the answer. */
interface Route {
    readonly name: string;
    readonly priority: number;
    readonly perSecond: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
}

/** Three routes of a deployment; together they need as much work as four slots can do. */
const routes: readonly Route[] = [
    { name: "urgent", priority: 0, perSecond: 36.9, workMs: 4.5, targetMs: 252, deadlineMs: 800 },
    { name: "own writes", priority: 1, perSecond: 173, workMs: 14, targetMs: 502, deadlineMs: 800 },
    { name: "bounded", priority: 2, perSecond: 64.2, workMs: 22, targetMs: 1_202, deadlineMs: 1_500 },
];
const slots = 4;
const organisationCount = 20;
const hotOrganisation = "organisation 0";
const durationMs = 30_000;
/** Interval at which a queue gives up statements. */
const sweepMs = 20;

interface Arrival {
    readonly route: Route;
    readonly organisation: string;
    readonly atMs: number;
    readonly workMs: number;
}

/** What became of the statements of a route. */
interface Tally {
    arrived: number;
    inTime: number;
    late: number;
    refused: number;
    /** Longest time after which a statement was refused. */
    heldMs: number;
}

/** A queue under test. */
interface Discipline {
    offer(
        arrival: Arrival,
        nowMs: number,
        underWay: number,
    ): { readonly admitted: boolean; readonly gone: readonly Arrival[] };
    take(nowMs: number, underWay: number): Arrival | undefined;
    /** Statements that the queue gives up. */
    expire(nowMs: number, underWay: number): readonly Arrival[];
    record(arrival: Arrival, elapsedMs: number): void;
}

/** A generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
        return state / 4_294_967_296;
    };
}

/** Arrivals of all routes; the load is that with a usual organisation in place of the one that sends `hotFactor` times as much. */
function arrivals(load: number, hotFactor: number, seed: number): readonly Arrival[] {
    const random = createRandom(seed);
    const total = organisationCount - 1 + hotFactor;
    return routes.flatMap(route => {
        const entries: Arrival[] = [];
        const meanGapMs = 1_000 * organisationCount / (route.perSecond * load * total);
        for (let atMs = 0;;) {
            atMs += -Math.log(1 - random()) * meanGapMs;
            if (atMs > durationMs) {
                return entries;
            }
            const drawn = random() * total;
            const organisation = `organisation ${drawn < hotFactor ? 0 : 1 + Math.floor(drawn - hotFactor)}`;
            entries.push({ route, organisation, atMs, workMs: route.workMs * (0.5 + random()) });
        }
    }).sort((left, right) => left.atMs - right.atMs);
}

function present(): Discipline {
    const queue = queues.createQueue<Arrival>({ maxLength: 256, concurrency: slots, weight: () => 1 });
    return {
        offer(arrival, nowMs) {
            const deadlineMs = arrival.atMs + arrival.route.deadlineMs - 2 * arrival.route.workMs;
            const { organisation } = arrival;
            return { admitted: queue.offer({ organisation, deadlineMs, value: arrival }, nowMs).admitted, gone: [] };
        },
        take: () => queue.take()?.value,
        expire: nowMs => queue.removeExpired(nowMs).map(ticket => ticket.value),
        record: (_, elapsedMs) => queue.recordServiceTime(elapsedMs),
    };
}

function byPriority(): Discipline {
    const queue = admissionQueues.createAdmissionQueue<Arrival>({ maxLength: 256, weight: () => 1 });
    const room = (underWay: number): admissionQueues.Room => ({
        concurrency: slots,
        underWay,
        answerMs: 14,
        endpointWaitMs: 0,
    });
    return {
        offer(arrival, nowMs, underWay) {
            const { route, organisation, atMs } = arrival;
            const admission = queue.offer(
                {
                    organisation,
                    priority: route.priority,
                    targetMs: atMs + route.targetMs,
                    deadlineMs: atMs + route.deadlineMs - 2 * route.workMs,
                    value: arrival,
                },
                nowMs,
                room(underWay),
            );
            return {
                admitted: admission.admitted,
                gone: admission.admitted ? admission.displaced.map(ticket => ticket.value) : [],
            };
        },
        take: (nowMs, underWay) => queue.take(nowMs, room(underWay))?.value,
        expire: (nowMs, underWay) => queue.removeHopeless(nowMs, room(underWay)).map(ticket => ticket.value),
        record: (arrival, elapsedMs) => queue.recordHold(arrival.route.priority, elapsedMs),
    };
}

/** Plays the load through a queue before an endpoint; returns what became of it, the hot organisation apart. */
function play(
    discipline: Discipline,
    load: readonly Arrival[],
): { readonly byRoute: ReadonlyMap<string, Tally>; readonly others: Tally; readonly hot: Tally } {
    const stepMs = 1;
    const createTally = (): Tally => ({ arrived: 0, inTime: 0, late: 0, refused: 0, heldMs: 0 });
    const byRoute = new Map(routes.map(route => [route.name, createTally()]));
    const others = createTally();
    const hot = createTally();
    const tallies = ({ route, organisation }: Arrival): readonly Tally[] =>
        organisation === hotOrganisation ? [hot] : [byRoute.get(route.name) ?? createTally(), others];
    let underWay: { readonly arrival: Arrival; readonly startMs: number; readonly endMs: number }[] = [];
    let next = 0;
    const refuse = (arrival: Arrival, nowMs: number): void =>
        tallies(arrival).forEach(tally => {
            tally.refused += 1;
            tally.heldMs = Math.max(tally.heldMs, nowMs - arrival.atMs);
        });
    for (let nowMs = 0; nowMs < durationMs + 3_000; nowMs += stepMs) {
        const finished = underWay.filter(entry => entry.endMs <= nowMs);
        // A waiting statement starts when its slot becomes free, within the step.
        const freedMs = finished.map(entry => entry.endMs).sort((left, right) => left - right);
        finished.forEach(({ arrival, startMs, endMs }) => {
            discipline.record(arrival, endMs - startMs);
            tallies(arrival).forEach(tally => {
                tally[endMs - arrival.atMs <= arrival.route.targetMs ? "inTime" : "late"] += 1;
            });
        });
        underWay = underWay.filter(entry => entry.endMs > nowMs);
        if (nowMs % sweepMs === 0) {
            discipline.expire(nowMs, underWay.length).forEach(arrival => refuse(arrival, nowMs));
        }
        const start = (): void => {
            while (underWay.length < slots) {
                const arrival = discipline.take(nowMs, underWay.length);
                if (arrival === undefined) {
                    return;
                }
                const startMs = freedMs.shift() ?? nowMs;
                underWay.push({ arrival, startMs, endMs: startMs + arrival.workMs });
            }
        };
        start();
        freedMs.length = 0;
        for (let entry = load[next]; entry !== undefined && entry.atMs <= nowMs; entry = load[next]) {
            next += 1;
            tallies(entry).forEach(tally => tally.arrived += 1);
            const { admitted, gone } = discipline.offer(entry, nowMs, underWay.length);
            gone.forEach(arrival => refuse(arrival, nowMs));
            if (!admitted) {
                refuse(entry, nowMs);
            }
            start();
        }
    }
    return { byRoute, others, hot };
}

const part = (tally: Tally | undefined): number => (tally?.inTime ?? 0) / Math.max(1, tally?.arrived ?? 0);

describe("admission under load", function() {
    this.timeout(20_000);
    const seeds = [7, 20261, 20262];
    const results = (create: () => Discipline, load: number, hotFactor: number) =>
        seeds.map(seed => play(create(), arrivals(load, hotFactor, seed)));
    const parts = (entries: readonly ReturnType<typeof play>[], route: string): readonly number[] =>
        entries.map(entry => part(entry.byRoute.get(route)));
    const show = (name: string, entries: readonly ReturnType<typeof play>[]): string =>
        `${name}: ${
            routes.map(({ name: route }) =>
                `${route} ${parts(entries, route).map(value => value.toFixed(3)).join(" ")}`
            ).join("; ")
        }; others ${entries.map(entry => part(entry.others).toFixed(3)).join(" ")}; hot ${
            entries.map(entry => part(entry.hot).toFixed(3)).join(" ")
        }; served late ${entries.map(entry => `${entry.others.late}+${entry.hot.late}`).join(" ")}`;
    const compare = (load: number, hotFactor: number) => {
        const before = results(present, load, hotFactor);
        const after = results(byPriority, load, hotFactor);
        if (process.env["LOG"] === "1") {
            console.log(`load ${load}\n${show("present", before)}\n${show("by priority", after)}`);
        }
        return { before, after };
    };
    const checks = [
        { load: 1, urgent: 0.99, ownWrites: 0.97, urgentBefore: 0.9 },
        { load: 1.3, urgent: 0.95, ownWrites: 0.85, urgentBefore: 0.5 },
    ];
    checks.forEach(({ load, urgent, ownWrites, urgentBefore }) =>
        it(`answers the most urgent route in time at ${load} times the room, with one hot organisation`, () => {
            const { before, after } = compare(load, 8);
            parts(before, "urgent").forEach(value => chai.expect(value).to.be.below(urgentBefore));
            parts(after, "urgent").forEach(value => chai.expect(value).to.be.at.least(urgent));
            parts(after, "own writes").forEach(value => chai.expect(value).to.be.at.least(ownWrites));
        })
    );

    it("lets a hot organisation pay for itself", () => {
        const { before, after } = compare(0.95, 8);
        parts(before, "urgent").forEach(value => chai.expect(value).to.be.below(0.98));
        after.forEach(entry => chai.expect(part(entry.others)).to.be.at.least(0.99));
    });

    it("serves the least urgent route a part of the time under lasting overload", () => {
        results(byPriority, 2, 1).forEach(entry => {
            const tally = entry.byRoute.get("bounded");
            const served = (tally?.inTime ?? 0) + (tally?.late ?? 0);
            chai.expect(served * 22 / (slots * durationMs)).to.be.at.least(0.05);
        });
    });

    it("gives up what it can't serve before its deadline", () => {
        const heldMs = (entries: readonly ReturnType<typeof play>[], route: Route): number =>
            Math.max(...entries.map(entry => entry.byRoute.get(route.name)?.heldMs ?? 0));
        const lastMs = (route: Route): number => route.deadlineMs - 2 * route.workMs;
        const { before, after } = compare(1.3, 8);
        chai.expect(routes.some(route => heldMs(before, route) >= lastMs(route))).to.equal(true);
        routes.forEach(route => chai.expect(heldMs(after, route), route.name).to.be.below(lastMs(route) - sweepMs));
    });
});

describe("admission queue", () => {
    const workMs = 10;
    const room = (underWay: number): admissionQueues.Room => ({
        concurrency: 2,
        underWay,
        answerMs: workMs,
        endpointWaitMs: 0,
    });
    const statement = fc.record({
        organisation: fc.constantFrom("a", "b", "c", "d"),
        priority: fc.nat(2),
        gapMs: fc.nat(8),
        targetMs: fc.integer({ min: 20, max: 300 }),
        slackMs: fc.integer({ min: 0, max: 300 }),
    });
    const create = (maxLength = 64): admissionQueues.AdmissionQueue<number> => {
        const queue = admissionQueues.createAdmissionQueue<number>({ maxLength, weight: () => 1 });
        [0, 1, 2].forEach(priority => queue.recordHold(priority, workMs));
        return queue;
    };

    it("serves by the deadline all that it doesn't refuse, whatever comes later", () => {
        fc.assert(
            fc.property(fc.array(statement, { minLength: 20, maxLength: 120 }), statements => {
                const queue = create();
                let underWay: number[] = [];
                const pending = [...statements];
                let dueMs = 0;
                for (let nowMs = 0; nowMs < 5_000; nowMs += 1) {
                    underWay = underWay.filter(endMs => endMs > nowMs);
                    queue.removeHopeless(nowMs, room(underWay.length)).forEach(ticket =>
                        chai.expect(ticket.deadlineMs).to.be.at.least(nowMs)
                    );
                    for (
                        let entry = pending[0];
                        entry !== undefined && dueMs + entry.gapMs <= nowMs;
                        entry = pending[0]
                    ) {
                        pending.shift();
                        dueMs += entry.gapMs;
                        const { organisation, priority } = entry;
                        const targetMs = nowMs + entry.targetMs;
                        const deadlineMs = targetMs + entry.slackMs;
                        queue.offer(
                            { organisation, priority, targetMs, deadlineMs, value: 0 },
                            nowMs,
                            room(underWay.length),
                        );
                    }
                    while (underWay.length < 2) {
                        const ticket = queue.take(nowMs, room(underWay.length));
                        if (ticket === undefined) {
                            break;
                        }
                        chai.expect(ticket.deadlineMs).to.be.greaterThan(nowMs);
                        underWay.push(nowMs + workMs);
                    }
                }
                chai.expect(queue.length()).to.equal(0);
            }),
            { seed: 20_261, numRuns: 200 },
        );
    });

    it("admits what finds a free connection, and refuses only when it is full or too slow", () => {
        fc.assert(
            fc.property(fc.array(statement, { maxLength: 60 }), fc.nat(4), (statements, underWay) => {
                const queue = create(20);
                statements.forEach(({ organisation, priority, targetMs, slackMs }) => {
                    const waiting = queue.length();
                    const deadlineMs = targetMs + slackMs;
                    const admission = queue.offer(
                        { organisation, priority, targetMs, deadlineMs, value: 0 },
                        0,
                        room(underWay),
                    );
                    if (!admission.admitted) {
                        // The longest possible wait: everything that waits goes first.
                        const longestMs = (underWay < 2 ? 0 : workMs) + waiting * workMs / 2;
                        const isFull = waiting >= 5;
                        chai.expect(isFull || longestMs >= deadlineMs).to.equal(true);
                        chai.expect(admission.roomInMs).to.be.at.least(1);
                    }
                });
            }),
            { seed: 20_262, numRuns: 500 },
        );
    });

    it("starves no priority and no late statement", () => {
        fc.assert(
            fc.property(fc.integer({ min: 0, max: 2 }), fc.boolean(), (priority, late) => {
                const queue = create(200);
                const targetMs = late ? 0 : 1e6;
                const offer = (organisation: string, urgency: number, byMs: number, value: number) =>
                    queue.offer(
                        { organisation, priority: urgency, targetMs: byMs, deadlineMs: 1e6, value },
                        0,
                        room(2),
                    );
                offer("a", priority, targetMs, 1);
                // Each time one is taken, another urgent one comes.
                for (let count = 1; count <= 200; count += 1) {
                    offer(`other ${count % 7}`, 0, 1e6, 0);
                    offer(`other ${count % 7}`, 0, 1e6, 0);
                    if (queue.take(count, room(1))?.value === 1) {
                        return;
                    }
                }
                chai.assert.fail("never taken");
            }),
            { seed: 20_263, numRuns: 50 },
        );
    });

    it("lets a more urgent statement displace a less urgent one when it is full", () => {
        const queue = create(3);
        ["a", "b", "c"].forEach((organisation, value) =>
            queue.offer({ organisation, priority: 2, targetMs: 1e6, deadlineMs: 1e6, value }, 0, room(2))
        );
        const admission = queue.offer(
            { organisation: "d", priority: 0, targetMs: 1e6, deadlineMs: 1e6, value: 9 },
            0,
            room(2),
        );
        chai.expect(admission.admitted ? admission.displaced.map(ticket => ticket.value) : undefined).to.deep.equal([
            2,
        ]);
        chai.expect(queue.take(0, room(1))?.value).to.equal(9);
    });
});
