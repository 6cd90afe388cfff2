import * as chai from "chai";
import * as fc from "fast-check";
import type * as simulatedEndpoints from "../../standins/simulatedendpoints.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";
import * as storeEra from "../core/storeera.js";
import * as registry from "./registry.js";

/** Endpoints that lead although an endpoint of a later term does too, and whose work a host would acknowledge. */
function staleAcknowledgers(fleet: simulatedFleets.Fleet): readonly string[] {
    const newestTerm = Math.max(...fleet.endpoints.filter(endpoint => endpoint.primary).map(entry => entry.term));
    const replaced = fleet.endpoints.filter(endpoint => endpoint.primary && endpoint.term < newestTerm);
    return fleet.hosts.flatMap((host, index) =>
        fleet.down.has(index) ? [] : replaced
            .filter(endpoint => host.leadership.mayAcknowledge(simulatedFleets.group, endpoint.id, fleet.clock.now()))
            .map(endpoint => `host-${index} acknowledges ${endpoint.id}`)
    );
}

/** Hosts that hold a proof in an era whose records have not been restored. */
function unsettledProofs(fleet: simulatedFleets.Fleet): readonly string[] {
    const era = fleet.store.era();
    if (fleet.store.get(registry.settledKey(era)) !== undefined) {
        return [];
    }
    return fleet.hosts.flatMap((host, index) =>
        !fleet.down.has(index) && host.era.current() === era && Number.isFinite(
                host.leadership.proofAgeMs(fleet.clock.now()),
            )
            ? [`host-${index} has a proof in era ${era}`]
            : []
    );
}

/** Checks that tokens only rise, and that no two holders use the same one. */
function checkTokens(promotions: readonly simulatedEndpoints.Promotion[]): void {
    promotions.forEach(({ token, holder }, index) => {
        const previous = promotions[index - 1];
        if (previous !== undefined) {
            chai.expect(token).to.be.at.least(previous.token);
            chai.expect(token === previous.token && holder !== previous.holder).to.equal(false);
        }
    });
}

function isSettled(fleet: simulatedFleets.Fleet): boolean {
    const nowMs = fleet.clock.now();
    const primaries = fleet.endpoints.filter(endpoint => endpoint.primary && endpoint.alive);
    const primary = primaries.sort((left, right) => right.term - left.term)[0];
    return fleet.hosts.every((host, index) => {
        const record = host.leadership.find(simulatedFleets.group);
        return fleet.down.has(index)
            || (host.leadership.isTrusted(nowMs) && host.leadership.proofAgeMs(nowMs) <= simulatedFleets.maxProofAgeMs
                && record?.changing === false && record.primary === primary?.id);
    });
}

/** Ends all failures of endpoints. */
function reconnect(fleet: simulatedFleets.Fleet): void {
    fleet.endpoints.forEach(endpoint => {
        endpoint.alive = true;
        endpoint.cutFrom.clear();
    });
}

async function waitUntil(fleet: simulatedFleets.Fleet, condition: () => boolean, timeoutMs: number): Promise<number> {
    const startMs = fleet.clock.now();
    while (!condition() && fleet.clock.now() - startMs < timeoutMs) {
        await fleet.clock.advance(5);
    }
    return fleet.clock.now() - startMs;
}

describe("a store that came back from an older copy", function() {
    this.timeout(300_000);
    let fleet: simulatedFleets.Fleet;

    beforeEach(() => {
        fleet = simulatedFleets.createFleet(4, simulatedFleets.createNumbers());
    });
    afterEach(() => fleet.close());

    /** Replaces the primary by crashing it; the crashed endpoint returns as a replica. */
    async function replacePrimary(): Promise<void> {
        const old = fleet.endpoints.find(endpoint => endpoint.primary);
        chai.expect(old).not.to.equal(undefined);
        if (old !== undefined) {
            old.alive = false;
            await waitUntil(fleet, () => fleet.endpoints.some(endpoint => endpoint.primary && endpoint !== old), 6_000);
            await fleet.clock.advance(1_000);
            reconnect(fleet);
            await waitUntil(fleet, () => !old.primary, 2_000);
        }
    }

    it("keeps a replaced primary replaced, and proves records again within 2 s", async () => {
        await fleet.clock.advance(5_000);
        chai.expect(isSettled(fleet)).to.equal(true);
        const copy = fleet.store.copy();
        await replacePrimary();
        chai.expect(fleet.promotions).to.have.length(1);
        fleet.store.restore(copy);
        await fleet.clock.advance(600);
        fleet.configure(1);
        const eventCount = fleet.events.length;
        const elapsedMs = await waitUntil(fleet, () => isSettled(fleet), 10_000);
        chai.expect(elapsedMs).to.be.below(2_000);
        chai.expect(staleAcknowledgers(fleet)).to.deep.equal([]);
        chai.expect(fleet.promotions).to.have.length(1);
        chai.expect(fleet.events.slice(eventCount).map(([, name]) => name)).not.to.include("primarySuspected");
    });

    it("gives a later token to the next promotion although revisions were given out again", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        await fleet.clock.advance(2_000);
        await replacePrimary();
        fleet.store.restore(copy);
        await waitUntil(fleet, () => isSettled(fleet), 10_000);
        await replacePrimary();
        chai.expect(fleet.promotions.length).to.be.at.least(2);
        chai.expect(fleet.events.map(([, name]) => name)).not.to.include("promotionFailed");
        checkTokens(fleet.promotions);
        chai.expect(fleet.promotions[fleet.promotions.length - 1]?.token).to.be.above(fleet.promotions[0]?.token ?? 0);
    });

    it("drops the proof of a host that is cut off from the store, through the digests of the others", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        fleet.cutFromStore.add(3);
        await fleet.clock.advance(2_000);
        fleet.store.restore(copy);
        await waitUntil(fleet, () => fleet.hosts[3]?.era.current() === 2, 3_000);
        chai.expect(fleet.hosts[3]?.era.current()).to.equal(2);
        await waitUntil(fleet, () => isSettled(fleet), 10_000);
        chai.expect(isSettled(fleet)).to.equal(true);
    });

    it("settles the era when the holder of the lock dies with the store, and when it comes back twice", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        const holder = fleet.events.findIndex(([, name]) => name === "dutyTaken");
        fleet.kill(fleet.events[holder]?.[0] ?? 0);
        fleet.store.restore(copy);
        await fleet.clock.advance(400);
        fleet.store.restore(copy);
        const elapsedMs = await waitUntil(fleet, () => isSettled(fleet), 20_000);
        chai.expect(elapsedMs).to.be.below(7_000);
        chai.expect(fleet.store.era()).to.equal(3);
    });

    it("finishes a change of primary that was between fence and promotion", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        const old = fleet.endpoints[0];
        chai.expect(old?.primary).to.equal(true);
        fleet.endpoints.slice(0, 1).forEach(endpoint => endpoint.cutFrom.add(0).add(1).add(2).add(3));
        await waitUntil(fleet, () => fleet.events.some(([, name]) => name === "primaryFenced"), 6_000);
        fleet.store.restore(copy);
        const violations: string[] = [];
        await fleet.clock.advance(8_000, () => violations.push(...staleAcknowledgers(fleet)));
        chai.expect(violations).to.deep.equal([]);
        checkTokens(fleet.promotions);
        chai.expect(fleet.hosts[1]?.leadership.find(simulatedFleets.group)?.primary).not.to.equal(old?.id);
    });

    it("stops a change of primary whose lock was lost, before its next call", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        fleet.endpoints[0]?.cutFrom.add(0).add(1).add(2).add(3);
        const record = (): string => fleet.store.get(registry.recordKey(1, simulatedFleets.group)) ?? "";
        await waitUntil(fleet, () => record().includes('"changing":true'), 6_000);
        fleet.store.restore(copy);
        const violations: string[] = [];
        await fleet.clock.advance(8_000, () => violations.push(...staleAcknowledgers(fleet)));
        chai.expect(violations).to.deep.equal([]);
        chai.expect(fleet.promotions.filter(({ token }) => token < storeEra.order(2, 0))).to.deep.equal([]);
        chai.expect(isSettled(fleet)).to.equal(true);
    });

    it("leaves the lock to nobody while its former holder may still act on it", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        const [holder = 0] = fleet.events.find(([, name]) => name === "dutyTaken") ?? [];
        fleet.cutFromStore.add(holder);
        fleet.cutFromPeers.add(holder);
        fleet.store.restore(copy);
        const taken = (): boolean => fleet.events.filter(([, name]) => name === "dutyTaken").length > 1;
        chai.expect(await waitUntil(fleet, taken, 10_000)).to.be.within(2_400, 5_000);
    });

    it("gives no proof before the records are restored, not even to a host that missed a promotion", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        const old = fleet.endpoints[0] as simulatedEndpoints.Endpoint;
        const [holder = 0] = fleet.events.find(([, name]) => name === "dutyTaken") ?? [];
        const apart = (holder + 1) % 4;
        fleet.cutFromStore.add(apart);
        fleet.cutFromPeers.add(apart);
        [0, 1, 2, 3].filter(host => host !== apart).forEach(host => old.cutFrom.add(host));
        await waitUntil(fleet, () => fleet.endpoints.some(endpoint => endpoint.primary && endpoint !== old), 8_000);
        await fleet.clock.advance(1_000);
        fleet.kill(holder);
        fleet.store.restore(copy);
        fleet.cutFromStore.delete(apart);
        const violations: string[] = [];
        await fleet.clock.advance(
            10_000,
            () => violations.push(...staleAcknowledgers(fleet), ...unsettledProofs(fleet)),
        );
        chai.expect(violations).to.deep.equal([]);
    });

    it("settles right after the start of the whole fleet, from a copy without any key", async () => {
        const copy = fleet.store.copy();
        await waitUntil(fleet, () => isSettled(fleet), 8_000);
        fleet.store.restore(copy);
        await fleet.clock.advance(300);
        fleet.kill(2);
        fleet.start(2);
        await waitUntil(fleet, () => isSettled(fleet), 10_000);
        chai.expect(isSettled(fleet)).to.equal(true);
    });

    it("learns of a promotion that nobody remembers from the endpoints, before anybody relies on the record", async () => {
        await fleet.clock.advance(5_000);
        const copy = fleet.store.copy();
        const old = fleet.endpoints[0] as simulatedEndpoints.Endpoint;
        [0, 1, 2, 3].forEach(host => old.cutFrom.add(host));
        await waitUntil(fleet, () => fleet.endpoints.some(endpoint => endpoint.primary && endpoint !== old), 6_000);
        [0, 1, 2, 3].forEach(host => fleet.kill(host));
        fleet.store.restore(copy);
        old.cutFrom.clear();
        old.primary = true;
        [0, 1, 2, 3].forEach(host => fleet.start(host));
        const violations: string[] = [];
        await fleet.clock.advance(12_000, () => violations.push(...staleAcknowledgers(fleet)));
        chai.expect(violations).to.deep.equal([]);
        chai.expect(fleet.hosts[0]?.leadership.find(simulatedFleets.group)?.primary).not.to.equal(old.id);
    });

    it("holds over random orders of drills, cuts, kills, writes and promotions", async () => {
        const action = fc.oneof(
            fc.record({ kind: fc.constant("drill" as const), copyAge: fc.nat(5) }),
            fc.record({ kind: fc.constant("cutStore" as const), host: fc.nat(3) }),
            fc.record({ kind: fc.constant("heal" as const) }),
            fc.record({ kind: fc.constant("killHost" as const), host: fc.nat(3) }),
            fc.record({ kind: fc.constant("crashPrimary" as const) }),
            fc.record({ kind: fc.constant("cutPrimary" as const), hosts: fc.subarray([0, 1, 2, 3], { minLength: 2 }) }),
            fc.record({ kind: fc.constant("configure" as const) }),
        );
        const step = fc.tuple(action, fc.integer({ min: 50, max: 2_500 }));
        const property = fc.asyncProperty(
            fc.array(step, { minLength: 3, maxLength: 10 }),
            fc.infiniteStream(fc.nat(1_000)),
            async (steps, numbers) => {
                const tested = simulatedFleets.createFleet(4, () => (numbers.next().value as number) / 1_001);
                const copies = [tested.store.copy()];
                const violations: string[] = [];
                const versions = new Map<number, number>();
                let version = 1;
                const check = (nowMs: number): void => {
                    violations.push(
                        ...staleAcknowledgers(tested),
                        ...unsettledProofs(tested),
                        ...simulatedFleets.rivalHolders(tested),
                    );
                    tested.hosts.forEach((host, index) => {
                        const inForce = host.storeSync.policy().version;
                        if (!tested.down.has(index) && inForce < (versions.get(index) ?? 0)) {
                            violations.push(`host-${index} went back to version ${inForce}`);
                        }
                        versions.set(index, tested.down.has(index) ? 0 : inForce);
                    });
                    if (nowMs % 1_000 === 0) {
                        copies.unshift(tested.store.copy());
                    }
                };
                const heal = (): void => {
                    tested.cutFromStore.clear();
                    [...tested.down].forEach(host => tested.start(host));
                    reconnect(tested);
                };
                await tested.clock.advance(4_000, check);
                for (const [next, pauseMs] of steps) {
                    const primary = tested.endpoints.find(endpoint => endpoint.primary && endpoint.alive);
                    if (next.kind === "drill") {
                        tested.store.restore(copies[Math.min(next.copyAge, copies.length - 1)] as never);
                        copies.length = 0;
                        copies.push(tested.store.copy());
                        const written = version;
                        tested.clock.after(700, () => tested.configure(written));
                    }
                    else if (next.kind === "cutStore") {
                        tested.cutFromStore.add(next.host);
                    }
                    else if (next.kind === "heal") {
                        heal();
                    }
                    else if (next.kind === "killHost" && !tested.down.has(next.host)) {
                        tested.kill(next.host);
                    }
                    else if (next.kind === "crashPrimary" && primary !== undefined) {
                        primary.alive = false;
                    }
                    else if (next.kind === "cutPrimary") {
                        next.hosts.forEach(host => primary?.cutFrom.add(host));
                    }
                    else if (next.kind === "configure") {
                        version += 1;
                        tested.configure(version);
                    }
                    await tested.clock.advance(pauseMs, check);
                }
                heal();
                await tested.clock.advance(9_000, check);
                chai.expect([...new Set(violations)]).to.deep.equal([]);
                checkTokens(tested.promotions);
                chai.expect(isSettled(tested), "settled at the end").to.equal(true);
                tested.close();
            },
        );
        await fc.assert(property, { numRuns: 25, seed: 20 });
    });
});
