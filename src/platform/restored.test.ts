import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";
import * as registry from "../proxy/registry.js";

describe("a store that came back from an older copy, end to end", () => {
    let world: worlds.World;

    beforeEach(async () => {
        world = await worlds.start({ hosts: 3 });
    });
    afterEach(() => world.close());

    async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<number> {
        const startMs = performance.now();
        while (!condition() && performance.now() - startMs < timeoutMs) {
            await delay(20);
        }
        return performance.now() - startMs;
    }

    const isSettled = (): boolean => world.store.get(registry.settledKey(world.store.era())) !== undefined;

    it("serves through the next primary, which the copy doesn't know", async () => {
        const caller = (await world.connect(0, "orders"))._unsafeUnwrap();
        await caller.ask("WRITE saddle first");
        const copy = world.store.copy();
        const old = world.primary();
        await old.crash();
        world.store.remove(`servers/${old.id}`);
        await waitUntil(() => world.primary() !== old, 5_000);
        await waitUntil(() => world.store.get(registry.recordKey(1, worlds.group))?.includes(old.id) === false, 3_000);
        world.store.restore(copy);
        world.list();
        chai.expect(await waitUntil(isSettled, 6_000)).to.be.below(4_000);
        const record = world.store.get(registry.recordKey(world.store.era(), worlds.group)) ?? "";
        chai.expect(JSON.parse(record)).to.include({ primary: world.primary().id, changing: false });
        let written: readonly string[] = [];
        const deadlineMs = performance.now() + 3_000;
        while (written[0]?.startsWith("COMPLETE") !== true && performance.now() < deadlineMs) {
            written = await caller.ask("WRITE saddle second");
        }
        const reader = (await world.connect(2, "orders"))._unsafeUnwrap();
        chai.expect((await reader.ask("READ saddle"))[0]).to.equal("ROW second");
        chai.expect(world.promotions).to.have.length(1);
        caller.close();
        reader.close();
    });

    it("keeps a withdrawn key withdrawn until the operator's change is written again", async () => {
        const caller = (await world.connect(1, "orders", "key-of-iasi"))._unsafeUnwrap();
        const copy = world.store.copy();
        world.configure({ tenants: [{ name: "cluj", api_keys: [worlds.key], rate_per_s: 1_000, burst: 100 }] });
        await delay(600);
        chai.expect((await caller.ask("READ saddle"))[0]).to.match(/^ERROR UNAUTH /);
        world.store.restore(copy);
        for (let count = 0; count < 15; count += 1) {
            await delay(100);
            for (const host of [0, 1, 2]) {
                chai.expect((await world.connect(host, "orders", "key-of-iasi"))._unsafeUnwrapErr()).to.match(/UNAUTH/);
            }
        }
        world.list();
        caller.close();
    });

    it("starts with an empty store, and is ready within 6 s", async () => {
        const fresh = await worlds.start({ hosts: 2, emptyStore: true });
        const caller = (await fresh.connect(0, "orders"))._unsafeUnwrap();
        chai.expect((await caller.ask("WRITE saddle first"))[0]).to.match(/^COMPLETE /);
        chai.expect(fresh.store.keys(registry.rootPrefix).every(key => key.startsWith(registry.prefix(1)))).to.equal(
            true,
        );
        caller.close();
        await fresh.close();
    });

    it("lets the next host take the failover lock at once when its holder stops", async () => {
        const holder = (): string => JSON.parse(world.store.get(registry.failoverLockKey(1)) ?? "{}").holder ?? "";
        await waitUntil(() => holder() !== "", 3_000);
        const first = holder();
        const startMs = performance.now();
        await world.hosts[Number(first.slice(-1))]?.stop();
        chai.expect(world.store.keys(registry.hostKey(1, ""))).not.to.include(registry.hostKey(1, first));
        await waitUntil(() => holder() !== "" && holder() !== first, 5_000);
        chai.expect(holder()).not.to.equal(first);
        chai.expect(performance.now() - startMs).to.be.below(4_000);
    });
});
