import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import type * as endpoints from "../../standins/groups/endpoint.js";
import * as worlds from "../../standins/groups/world.js";

const evacuateMs = 3_000;
const regions = { "zone-0": "ro-nord", "zone-1": "ro-nord", "zone-2": "ro-nord" };

describe("evacuation of a failure domain, end to end", () => {
    let world: worlds.World;
    let writing = false;

    async function login(host: number, database: string): Promise<worlds.Caller> {
        return (await world.connect(host, database))._unsafeUnwrap();
    }

    async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<void> {
        for (const endMs = performance.now() + timeoutMs; !condition() && performance.now() < endMs;) {
            await delay(10);
        }
        chai.expect(condition()).to.equal(true);
    }

    /** Callers that write and read through every host until `writing` ends; resolves to the ids that were acknowledged. */
    async function load(readersPerHost = 1): Promise<readonly string[]> {
        const acknowledged: string[] = [];
        writing = true;
        await Promise.all([0, 1, 2].map(async host => {
            const writer = await login(host, "orders");
            const readers = await Promise.all(Array.from({ length: readersPerHost }, () => login(host, "catalogue")));
            for (let count = 0; writing; count += 1) {
                const id = `w-${host}-${count}`;
                if ((await writer.ask(`WRITE item-${host} v${count}`, id))[0]?.startsWith("COMPLETE") === true) {
                    acknowledged.push(id);
                }
                await Promise.all(readers.map(reader => reader.ask("READ item-0")));
                await delay(5);
            }
            writer.close();
            readers.forEach(reader => reader.close());
        }));
        return acknowledged;
    }

    const endpoint = (index: number): endpoints.Endpoint => world.endpoints[index] as never;

    beforeEach(async () => {
        world = await worlds.start({
            hosts: 3,
            endpointDomains: ["zone-0", "zone-1", "zone-2"],
            regions,
            evacuateMs,
            workMs: 8,
        });
    });
    afterEach(() => world.close());

    it("moves the primary out without losing a commit, and sends nothing more, not even probes, after the bound", async () => {
        const running = load();
        await delay(300);
        world.evacuate("zone-0");
        await delay(evacuateMs);
        const runs = endpoint(0).runs.length;
        const received = endpoint(0).received();
        chai.expect(endpoint(0).connections()).to.equal(0);
        chai.expect(world.primary().id).not.to.equal("i-1");
        await delay(1_500);
        writing = false;
        const acknowledged = await running;
        chai.expect([endpoint(0).runs.length, endpoint(0).received()]).to.deep.equal([runs, received]);
        const ids = world.primary().log().map(entry => entry.id);
        chai.expect(acknowledged.filter(id => !ids.includes(id))).to.deep.equal([]);
        chai.expect(acknowledged.length).to.be.above(50);
        chai.expect(world.promotions).to.have.length(1);
    });

    it("uses the endpoints again after it was taken back, and doesn't move the primary again", async () => {
        world.evacuate("zone-0");
        await waitUntil(() => world.primary().id !== "i-1" && world.primary().primary(), 2_500);
        await delay(evacuateMs);
        const before = endpoint(0).received();
        world.takeBack("zone-0");
        const running = load(12);
        await waitUntil(() => endpoint(0).received() > before, 3_000);
        writing = false;
        await running;
        chai.expect(world.promotions).to.have.length(1);
    });

    it("refuses at once, as not run, when two evacuations leave no endpoint, and serves when one is taken back", async () => {
        const caller = await login(0, "orders");
        chai.expect((await caller.ask("WRITE saddle red"))[0]).to.match(/^COMPLETE /);
        ["zone-0", "zone-1", "zone-2"].forEach(world.evacuate);
        await delay(evacuateMs / 2);
        for (const database of ["orders", "catalogue"]) {
            const other = await login(2, database);
            const startMs = performance.now();
            chai.expect((await other.ask("READ saddle"))[0]).to.match(/^ERROR BUSY HP1111 retry-after-ms=\d+ /);
            chai.expect(performance.now() - startMs).to.be.below(100);
            other.close();
        }
        chai.expect(world.promotions).to.have.length(0);
        world.takeBack("zone-1");
        await waitUntil(() => endpoint(1).primary(), 4_000);
        await delay(300);
        chai.expect((await caller.ask("READ saddle"))[0]).to.equal("ROW red");
        caller.close();
    });

    it("keeps the last replica of an evacuated domain from being promoted when the primary dies", async () => {
        world.evacuate("zone-1");
        world.evacuate("zone-2");
        await delay(500);
        const caller = await login(0, "orders");
        chai.expect((await caller.ask("WRITE saddle red"))[0]).to.match(/^COMPLETE /);
        await endpoint(0).crash();
        world.store.remove("servers/i-1");
        await delay(evacuateMs);
        // The platform may be asked to promote the dead primary itself, and refuses.
        chai.expect(world.promotions.filter(([, id]) => id !== "i-1")).to.deep.equal([]);
        chai.expect([endpoint(1), endpoint(2)].some(entry => entry.primary())).to.equal(false);
        world.takeBack("zone-2");
        await waitUntil(() => endpoint(2).primary(), 4_000);
        caller.close();
    });

    it("lets an open transaction at a replica go on, then rolls it back and says so", async () => {
        world.configure({ limits: { tx_idle_ms: 10_000 } });
        const caller = await login(1, "catalogue");
        await delay(300);
        await caller.ask("BEGIN READ");
        chai.expect((await caller.ask("READ saddle", "first"))[0]).to.match(/^ROW /);
        const used = world.endpoints.find(entry => entry.runs.some(run => run.id === "first"));
        world.evacuate(`zone-${world.endpoints.indexOf(used as never)}`);
        await delay(evacuateMs / 5);
        chai.expect((await caller.ask("READ saddle", "second"))[0]).to.match(/^ROW /);
        await delay(evacuateMs / 2);
        const lines = await caller.ask("READ saddle", "third");
        chai.expect(lines[0]).to.match(/^ERROR ABORTED HP1202 /);
        chai.expect(used?.runs.map(run => run.id)).to.include("second").and.not.include("third");
        await waitUntil(() => used?.open() === 0, 500);
        caller.close();
    });

    it("learns of evacuations at the start, before it is ready", async () => {
        world.evacuate("zone-0");
        await waitUntil(() => world.primary().id !== "i-1" && world.primary().primary(), 2_500);
        await delay(evacuateMs);
        await world.kill(2);
        const before = endpoint(0).received();
        await world.restart(2);
        await waitUntil(() => world.hosts[2]?.ready() === true, 3_000);
        const caller = await login(2, "catalogue");
        for (let count = 0; count < 20; count += 1) {
            chai.expect((await caller.ask("READ saddle"))[0]).to.match(/^ROW /);
        }
        chai.expect(endpoint(0).received()).to.equal(before);
        caller.close();
    });

    it("serves callers of hosts in the domain itself, at endpoints elsewhere", async () => {
        world.evacuate("zone-0");
        await waitUntil(() => world.primary().id !== "i-1" && world.primary().primary(), 2_500);
        const caller = await login(0, "orders");
        chai.expect((await caller.ask("WRITE saddle red"))[0]).to.match(/^COMPLETE i-[23]\./);
        caller.close();
    });
});
