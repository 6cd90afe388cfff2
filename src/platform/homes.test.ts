import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";

const route = (hostname: string, kind: string, allowedRegions: readonly string[]): object => ({
    name: hostname,
    hostname,
    kind,
    timeout_ms: 1_500,
    service: worlds.group,
    max_staleness_ms: 1_500,
    allowed_regions: allowedRegions,
});
const tenant = (name: string, key: string, allowedRegions: readonly string[]): object => ({
    name,
    api_keys: [key],
    rate_per_s: 10_000,
    burst: 10_000,
    allowed_regions: allowedRegions,
});

describe("homes of routes and organisations, end to end", () => {
    let world: worlds.World;

    async function login(host: number, database: string, key?: string): Promise<worlds.Caller> {
        return (await world.connect(host, database, key))._unsafeUnwrap();
    }

    const ranAt = (id: string): readonly string[] =>
        world.endpoints.filter(entry => entry.runs.some(run => run.id === id)).map(entry => entry.id);

    // i-1, the primary, and i-3 are in the north, i-2 in the south; hosts by turns.
    before(async () => {
        world = await worlds.start({ hosts: 2, regions: { "zone-0": "ro-nord", "zone-1": "ro-sud" } });
        world.configure({
            routes: [
                route("orders", "primary", []),
                route("south", "bounded_staleness", ["ro-sud"]),
                route("south-orders", "primary", ["ro-sud"]),
                route("catalogue", "bounded_staleness", []),
                route("nowhere", "bounded_staleness", ["ro-vest"]),
                route("north-orders", "primary", ["ro-nord"]),
                route("north-stock", "read_your_writes", ["ro-nord"]),
            ],
            tenants: [
                tenant("cluj", worlds.key, []),
                tenant("iasi", "key-of-iasi", ["ro-nord"]),
            ],
        });
        await delay(500);
        const writer = await login(0, "orders");
        await writer.ask("WRITE saddle red");
        writer.close();
        await delay(200);
    });
    after(() => world.close());

    it("runs the requests of a route only in its homes, whichever host the caller is connected to", async () => {
        const callers = await Promise.all([0, 1, 0, 1, 0, 1].map(host => login(host, "south")));
        await Promise.all(callers.map(async (caller, number) => {
            for (let count = 0; count < 10; count += 1) {
                chai.expect((await caller.ask("READ saddle", `s-${number}-${count}`))[0]).to.equal("ROW red");
            }
            caller.close();
        }));
        const used = new Set(callers.flatMap((_, number) => ranAt(`s-${number}-3`)));
        chai.expect([...used]).to.deep.equal(["i-2"]);
    });

    it("binds an organisation to its homes, and to those that the route shares", async () => {
        const caller = await login(1, "catalogue", "key-of-iasi");
        for (let count = 0; count < 20; count += 1) {
            await caller.ask("READ saddle", `o-${count}`);
            chai.expect(ranAt(`o-${count}`)).to.have.length(1).and.not.include("i-2");
        }
        const both = await login(1, "south", "key-of-iasi");
        chai.expect((await both.ask("READ saddle", "both"))[0]).to.match(/^ERROR BUSY HP1112 retry-after-ms=1000 /);
        chai.expect(ranAt("both")).to.deep.equal([]);
        caller.close();
        both.close();
    });

    it("refuses at once what only a primary outside the homes, or no endpoint, can run", async () => {
        for (const [database, text] of [["south-orders", "WRITE saddle blue"], ["nowhere", "READ saddle"]] as const) {
            const caller = await login(1, database);
            const startMs = performance.now();
            chai.expect((await caller.ask(text, `no-${database}`))[0]).to.match(/^ERROR BUSY HP1112 /);
            chai.expect(performance.now() - startMs).to.be.below(100);
            chai.expect(ranAt(`no-${database}`)).to.deep.equal([]);
            caller.close();
        }
    });

    it("applies changed homes from the next transaction on, and moves the primary home", async () => {
        const caller = await login(0, "orders");
        await caller.ask("BEGIN");
        await caller.ask("WRITE saddle green", "begun");
        const homes = ["ro-sud"];
        world.configure({
            routes: [route("orders", "primary", homes), route("south", "bounded_staleness", homes)],
            tenants: [tenant("cluj", worlds.key, [])],
        });
        await delay(60);
        const second = await login(1, "orders");
        chai.expect((await second.ask("WRITE saddle blue", "after"))[0]).to.match(/^(ERROR BUSY HP1112|COMPLETE i-2)/);
        for (const endMs = performance.now() + 4_000; !world.primary().primary() || world.primary().id !== "i-2";) {
            chai.expect(performance.now()).to.be.below(endMs);
            await delay(20);
        }
        await delay(300);
        chai.expect((await second.ask("WRITE saddle blue"))[0]).to.match(/^COMPLETE i-2\./);
        chai.expect(ranAt("after")).to.not.include("i-1");
        caller.close();
        second.close();
    });
});
