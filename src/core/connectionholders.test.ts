import * as chai from "chai";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as holders from "./connectionholders.js";

const domains = ["a", "b", "c", "d", "e", "f"];

function fleetOf(hostCount: number, capacity = 1): readonly holders.Host[] {
    return Array.from({ length: hostCount }, (_, number) => ({
        id: `host-${number}`,
        failureDomain: domains[number % domains.length] ?? "",
        capacity,
    }));
}

const hosts = fleetOf(70);
const situation: holders.Situation = { endpoint: "i-1", failureDomain: "a", maxConnections: 70, hosts };
const usable = (): undefined => undefined;

function request(self: string, organisation: string, more: Partial<holders.Request> = {}): holders.Request {
    return { self, organisation, homes: undefined, region: "north", reasonAgainst: usable, ...more };
}

/** Numbers in [0, 1). */
function generator(seed: number): () => number {
    const source = generators.xoroshiro128plus(seed);
    return () => uniform.uniformFloat64(source);
}

/** A cache of idle connections of one host, the least recently used of which is closed to make room. */
function createCache(limit: number): { use(organisation: string): boolean } {
    let idle: string[] = [];
    return {
        use(organisation) {
            const isHit = idle.includes(organisation);
            idle = [...idle.filter(entry => entry !== organisation), organisation].slice(-limit);
            return isHit;
        },
    };
}

/** New connections a statement of 70 hosts, 77 organisations and 18 endpoints of 70 connections. */
function newConnections(hasHolders: boolean): number {
    const endpoints = Array.from({ length: 18 }, (_, number) => ({
        ...situation,
        endpoint: `i-${number}`,
        failureDomain: domains[number % 3] ?? "",
    }));
    const decider = holders.createDecider();
    const caches = new Map<string, ReturnType<typeof createCache>>();
    const next = generator(20_261);
    const pick = (count: number): number => Math.floor(next() * count);
    const statements = 40_000;
    let opened = 0;
    for (let count = 0; count < statements; count += 1) {
        const place = endpoints[pick(endpoints.length)] ?? situation;
        const self = `host-${pick(hosts.length)}`;
        // The square makes a few organisations large and most of them small.
        const organisation = `o${Math.floor(next() ** 2 * 77)}`;
        const [target = self] = hasHolders ? decider.decide(place, request(self, organisation)).relayTo : [];
        const limit = hasHolders ? decider.guaranteed(place, target) : Math.floor(place.maxConnections / hosts.length);
        const key = `${target} ${place.endpoint}`;
        const cache = caches.get(key) ?? createCache(limit);
        caches.set(key, cache);
        opened += cache.use(organisation) ? 0 : 1;
    }
    return opened / statements;
}

describe("holders of connections", () => {
    it("are needed in a large fleet with fewer connections than one an organisation and host, and not in a small one", () => {
        const sizes = { maxConnections: 70, hostCount: 70, organisationCount: 77 };
        chai.expect(holders.areNeeded(sizes, 17)).to.equal(true);
        chai.expect(holders.areNeeded({ ...sizes, hostCount: 9 }, 17)).to.equal(false);
        chai.expect(holders.areNeeded({ ...sizes, organisationCount: 1 }, 17)).to.equal(false);
    });

    it("are hosts in the failure domain of the endpoint", () => {
        const decider = holders.createDecider();
        const chosen = decider.holders(situation);
        const domainOf = (id: string): string | undefined => hosts.find(host => host.id === id)?.failureDomain;
        chai.expect(chosen).to.have.length(12);
        chai.expect(new Set(chosen.map(domainOf))).to.deep.equal(new Set(["a"]));
        chai.expect(decider.holders({ ...situation, failureDomain: "without hosts" })).to.deep.equal([]);
    });

    it("are fewer where few connections are left for each", () => {
        chai.expect(holders.createDecider().holders({ ...situation, maxConnections: 24 })).to.have.length(6);
    });

    it("leaves out weak hosts, and none but a single one", () => {
        const weak = hosts.map(host => (host.id === "host-0" ? { ...host, capacity: 0.3 } : host));
        chai.expect(holders.createDecider().holders({ ...situation, hosts: weak })).to.not.include("host-0");
        const pair = [{ id: "x", failureDomain: "a", capacity: 1 }, { id: "y", failureDomain: "b", capacity: 1 }];
        chai.expect(holders.createDecider().holders({ ...situation, hosts: pair })).to.deep.equal([]);
    });

    it("are the same for an organisation at every host, and the holder itself asks nobody", () => {
        const decider = holders.createDecider();
        const first = decider.decide(situation, request("host-1", "o1")).relayTo;
        chai.expect(first).to.have.length(2);
        hosts.forEach(({ id }) => {
            const { relayTo, isHolder } = holders.createDecider().decide(situation, request(id, "o1"));
            chai.expect(isHolder).to.equal(id === first[0]);
            chai.expect(relayTo).to.deep.equal(id === first[0] ? [] : id === first[1] ? [first[0]] : first);
        });
    });

    it("are passed over, with the reason, while they are silent, slow or leaving", () => {
        const decider = holders.createDecider();
        const [first = "", second = ""] = decider.decide(situation, request("host-1", "o1")).relayTo;
        const decision = decider.decide(
            situation,
            request("host-1", "o1", { reasonAgainst: host => (host === first ? "silent" : undefined) }),
        );
        chai.expect(decision.relayTo[0]).to.equal(second);
        chai.expect(decision.passedOver).to.deep.equal([{ host: first, reason: "silent" }]);
    });

    it("get no statement that the homes keep from their region", () => {
        const decide = (homes: ReadonlySet<string>, region: string | undefined) =>
            holders.createDecider().decide(situation, request("host-1", "o1", { homes, region })).relayTo;
        chai.expect(decide(new Set(["north"]), "north")).to.have.length(2);
        chai.expect(decide(new Set(["south"]), "north")).to.deep.equal([]);
        chai.expect(decide(new Set(["south"]), undefined)).to.deep.equal([]);
    });

    it("share three quarters of the connections among them", () => {
        const decider = holders.createDecider();
        const parts = hosts.map(({ id }) => decider.guaranteed(situation, id));
        chai.expect(parts.reduce((sum, part) => sum + part, 0)).to.equal(52);
        chai.expect(parts.filter(part => part > 0)).to.have.length(12);
        chai.expect(Math.min(...parts.filter(part => part > 0))).to.equal(4);
    });

    it("move few organisations when one of them leaves", () => {
        const without = hosts.filter(host => host.id !== "host-0");
        const holderOf = (list: readonly holders.Host[], organisation: string): string | undefined =>
            holders.createDecider().decide({ ...situation, hosts: list }, request("host-1", organisation)).relayTo[0];
        const organisations = Array.from({ length: 77 }, (_, number) => `o${number}`);
        const moved = organisations.filter(name => holderOf(hosts, name) !== holderOf(without, name));
        chai.expect(moved.length).to.be.within(1, 20);
        chai.expect(moved.every(name => holderOf(hosts, name) === "host-0")).to.equal(true);
    });

    it("leave frequent statements to the host that they reach", () => {
        const frequencies = holders.createFrequencies();
        const at = (nowMs: number, organisation = "o1"): boolean => frequencies.note("i-1", organisation, nowMs);
        chai.expect([at(0), at(100, "o2"), at(1_000), at(1_500)]).to.deep.equal([false, false, true, true]);
        chai.expect([at(9_000), at(10_500), at(13_500)]).to.deep.equal([false, false, false]);
    });

    it("open less than half as many connections at 70 hosts, 77 organisations and 18 endpoints of 70 connections", () => {
        const [before, after] = [newConnections(false), newConnections(true)];
        if (process.env["LOG"] === "1") {
            console.log({ before, after });
        }
        chai.expect(before).to.be.above(0.9);
        chai.expect(after).to.be.below(0.45);
    });
});
