import * as chai from "chai";
import * as fc from "fast-check";
import * as neverthrow from "neverthrow";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as invariants from "../../standins/invariants.js";
import * as simulatedFleets from "../../standins/simulatedfleet.js";
import * as simulation from "../../standins/simulation.js";
import * as registrationLife from "../core/registrationlife.js";
import type * as store from "../ports/store.js";
import * as failoverLocks from "./failoverlock.js";
import * as registrations from "./registration.js";

const topology = { failureDomains: 6, regions: 2 };
/** Time after which all hosts have registrations of the life that fits the fleet. */
const settledMs = 15_000;

describe("the lease of the failover lock", () => {
    const create = (registrationTtlMs: number) => {
        const clock = simulation.createClock();
        const calls: string[] = [];
        const lock = failoverLocks.createHeldLock({
            clock,
            store: () => ({
                async grant(ttlMs) {
                    calls.push(`grant ${ttlMs}`);
                    return neverthrow.ok({ lease: 7, ttlMs });
                },
                async renew(lease) {
                    calls.push(`renew ${lease}`);
                    return neverthrow.ok(undefined);
                },
            }),
            storeSync: () => ({ leaseId: () => 3, leaseTtlMs: () => registrationTtlMs }),
        });
        return { clock, calls, lock };
    };

    it("is that of the registration while that one lives no longer than the lock may", async () => {
        const { calls, lock } = create(2_500);
        chai.expect(await lock.obtainLease()).to.equal(3);
        lock.set({ token: 1, lease: 3 });
        await lock.renew();
        chai.expect([calls, lock.fencingToken(), lock.isCarriedBy(3)]).to.deep.equal([[], 1, true]);
    });

    it("is a short one of its own beside a longer registration, renewed only while the lock is held", async () => {
        const { clock, calls, lock } = create(5_000);
        chai.expect(await lock.obtainLease()).to.equal(7);
        await lock.renew();
        lock.set({ token: 1, lease: 7 });
        await clock.advance(1_500);
        await lock.renew();
        chai.expect(calls).to.deep.equal(["grant 2500", "renew 7"]);
        await clock.advance(2_000);
        chai.expect(lock.fencingToken()).to.equal(1);
        await clock.advance(200);
        chai.expect(lock.fencingToken()).to.equal(undefined);
    });

    it("proves nothing after a clock jump until it is renewed, nor in a new era", async () => {
        const { lock } = create(5_000);
        lock.set({ token: 1, lease: await lock.obtainLease() ?? 0 });
        const renewal = lock.renew();
        lock.invalidate();
        await renewal;
        chai.expect(lock.fencingToken()).to.equal(undefined);
        await lock.renew();
        chai.expect(lock.fencingToken()).to.equal(1);
        lock.storeRestored();
        chai.expect(lock.fencingToken()).to.equal(undefined);
    });
});

describe("the registration of a host in a fleet that grows", () => {
    const fleetLife = registrationLife.lifeOf(24, 6);

    async function create(answerLost: () => boolean) {
        const clock = simulation.createClock();
        const simulated = simulation.createStore(clock);
        const era = { current: () => 1, observe: () => undefined };
        const client = simulated.connect(era, () => "up", () => Promise.resolve());
        const lossy: store.Store = {
            ...client,
            async change(requested) {
                const result = await client.change(requested);
                return answerLost() ? neverthrow.err({ kind: "unanswered", message: "lost" }) : result;
            },
        };
        let life = registrationLife.lifeOf(9, 1);
        const registration = registrations.createRegistration({
            self: () => ({ id: "h", address: "h", failureDomain: "z", incarnation: "1", leaving: false, capacity: 1 }),
            store: lossy,
            era,
            clock,
            events: { emit: () => undefined, reportOmitted: () => undefined },
            random: () => 0,
            life: () => life,
            carriesLock: () => false,
            tracked: result => result,
            onRegistered: () => Promise.resolve(),
        });
        void registration.renew();
        await clock.advance(100);
        const isStored = (): boolean => simulated.get("hyssophatch/1/hosts/h") !== undefined;
        return { clock, registration, isStored, setLife: (next: registrationLife.Life) => void (life = next) };
    }

    /** Renews as the host does, and returns whether the registration was stored all the while. */
    async function run(host: Awaited<ReturnType<typeof create>>, durationMs: number): Promise<boolean> {
        let stored = true;
        const endMs = host.clock.now() + durationMs;
        while (host.clock.now() < endMs) {
            void host.registration.renew();
            await host.clock.advance(host.registration.renewIntervalMs(), () => void (stored &&= host.isStored()));
        }
        return stored;
    }

    it("moves to a longer lease without a gap, also when the answer to the move is lost at first", async () => {
        let losses = 0;
        const host = await create(() => losses-- > 0);
        chai.expect(host.registration.leaseTtlMs()).to.equal(2_500);
        host.setLife(fleetLife);
        losses = 2;
        chai.expect(await run(host, 25_000)).to.equal(true);
        chai.expect(host.registration.leaseTtlMs()).to.equal(fleetLife.ttlMs);
        chai.expect(host.registration.renewIntervalMs()).to.equal(fleetLife.renewIntervalMs);
        host.setLife(registrationLife.lifeOf(9, 1));
        chai.expect(await run(host, 25_000)).to.equal(true);
        chai.expect(host.registration.leaseTtlMs()).to.equal(2_500);
    });

    it("is written again when a reading shows that it is missing", async () => {
        const host = await create(() => false);
        const lease = host.registration.leaseId();
        host.registration.observe(false, 1);
        chai.expect(host.registration.leaseId()).to.equal(lease);
        host.registration.observe(false, host.clock.now());
        await host.clock.advance(100);
        chai.expect(host.registration.leaseId()).not.to.equal(lease);
        chai.expect(host.isStored()).to.equal(true);
    });
});

describe("the failover lock in a fleet with long registrations", function() {
    this.timeout(300_000);

    function createFleet(seed: number): simulatedFleets.Fleet {
        const generator = generators.xoroshiro128plus(seed);
        return simulatedFleets.createFleet(18, () => uniform.uniformFloat64(generator), topology);
    }

    const holderOf = (fleet: simulatedFleets.Fleet): number =>
        fleet.hosts.findIndex((host, index) => !fleet.down.has(index) && host.fencingToken() !== undefined);

    it("passes on within 4 s when its holder dies, twice in a row, and its new holders replace primaries", async () => {
        const fleet = createFleet(1);
        await fleet.clock.advance(settledMs);
        for (let round = 0; round < 2; round += 1) {
            const holder = holderOf(fleet);
            fleet.kill(holder);
            await fleet.clock.advance(4_000);
            chai.expect(holderOf(fleet)).to.be.at.least(0).and.not.equal(holder);
            fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
                endpoint.alive = false;
            });
            await fleet.clock.advance(5_000);
            chai.expect(fleet.promotions).to.have.length(round + 1);
            fleet.endpoints.forEach(endpoint => {
                endpoint.alive = true;
            });
            await fleet.clock.advance(2_000);
        }
        fleet.close();
    });

    it("is never held by two, and its tokens only rise, over random deaths, cuts, freezes and drills", async () => {
        const kinds = ["down", "frozen", "cutFromStore", "cutFromPeers", "heal", "drill", "crashPrimary"] as const;
        const step = fc.tuple(fc.constantFrom(...kinds), fc.boolean(), fc.integer({ min: 100, max: 3_000 }));
        const property = fc.asyncProperty(
            fc.array(step, { minLength: 4, maxLength: 8 }),
            fc.nat(999),
            async (steps, seed) => {
                const fleet = createFleet(seed);
                await fleet.clock.advance(settledMs);
                const violations: string[] = [];
                const check = (): void =>
                    void violations.push(...invariants.rivalHolders(fleet), ...invariants.staleAcknowledgers(fleet));
                const heal = (): void => {
                    [fleet.frozen, fleet.cutFromStore, fleet.cutFromPeers].forEach(set => set.clear());
                    [...fleet.down].forEach(host => fleet.start(host));
                    fleet.endpoints.forEach(endpoint => {
                        endpoint.alive = true;
                    });
                };
                let copy = fleet.store.copy();
                for (const [kind, atHolder, pauseMs] of steps) {
                    const host = atHolder ? Math.max(0, holderOf(fleet)) : seed % 18;
                    if (kind === "heal") {
                        heal();
                    }
                    else if (kind === "drill") {
                        fleet.store.restore(copy);
                        fleet.configure(1);
                    }
                    else if (kind === "crashPrimary") {
                        fleet.endpoints.filter(endpoint => endpoint.primary).forEach(endpoint => {
                            endpoint.alive = false;
                        });
                    }
                    else if (kind === "down") {
                        fleet.kill(host);
                    }
                    else {
                        fleet[kind].add(host);
                    }
                    copy = kind === "drill" ? copy : fleet.store.copy();
                    await fleet.clock.advance(pauseMs, check);
                }
                heal();
                await fleet.clock.advance(9_000, check);
                const { promotions } = fleet;
                promotions.slice(1).forEach(({ token, holder }, index) => {
                    const previous = promotions[index];
                    chai.expect(token).to.be.at.least(previous?.token ?? 0);
                    chai.expect(token === previous?.token && holder !== previous.holder).to.equal(false);
                });
                chai.expect([...new Set(violations)]).to.deep.equal([]);
                chai.expect(holderOf(fleet)).to.be.at.least(0);
                fleet.close();
            },
        );
        await fc.assert(property, { numRuns: 6, seed: 20 });
    });
});
