import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";

/** Statements of one caller at each of four hosts in turn, with pauses in which own connections are closed. */
async function askEverywhere(world: worlds.World, rounds: number): Promise<readonly string[]> {
    const replies: string[] = [];
    for (let round = 0; round < rounds; round += 1) {
        for (const host of [0, 1, 2, 3]) {
            const caller = (await world.connect(host, "orders"))._unsafeUnwrap();
            replies.push((await caller.ask(`WRITE k${round}${host} v`))[0] ?? "");
            caller.close();
        }
        await delay(2_200);
    }
    return replies;
}

/** Connections on which the primary ran writes. */
const usedConnections = (world: worlds.World): number =>
    new Set(world.primary().runs.filter(run => run.text.startsWith("WRITE")).map(run => run.connection)).size;

/** Adds organisations, so that the 16 connections of an endpoint are fewer than one an organisation and host. */
async function addOrganisations(world: worlds.World): Promise<void> {
    const tenants = ["cluj", "iasi", "arad", "blaj", "deva"].map(name => ({
        name,
        api_keys: [name === "cluj" ? worlds.key : `key-of-${name}`],
        rate_per_s: 1_000,
        burst: 1_000,
    }));
    world.configure({ tenants });
    await delay(1_500);
}

describe("connections that hosts hold for each other, end to end", function() {
    this.timeout(30_000);

    it("serve statements that reach any host on one connection, and survive the death of their holder", async () => {
        const holders = { enabled: true, minHosts: 4, transactions: false };
        const regions = { "zone-0": "ro-nord", "zone-1": "ro-nord" };
        const world = await worlds.start({ hosts: 4, regions, connectionHolders: holders });
        try {
            await addOrganisations(world);
            const replies = await askEverywhere(world, 2);
            chai.expect(replies.filter(reply => !reply.startsWith("COMPLETE"))).to.deep.equal([]);
            chai.expect(usedConnections(world)).to.equal(1);
            const read = (await world.connect(1, "orders"))._unsafeUnwrap();
            chai.expect((await read.ask("READ k13"))[0]).to.equal("ROW v");
            read.close();
            // One of the two hosts in the primary's failure domain holds the connection.
            await world.kill(0);
            for (const host of [1, 2, 3]) {
                const caller = (await world.connect(host, "orders"))._unsafeUnwrap();
                chai.expect((await caller.ask("WRITE later v"))[0]).to.match(/^COMPLETE /);
                caller.close();
            }
        }
        finally {
            await world.close();
        }
    });

    it("are not in force in a small deployment", async () => {
        const holders = { enabled: true, minHosts: 17, transactions: false };
        const world = await worlds.start({ hosts: 4, connectionHolders: holders });
        try {
            await addOrganisations(world);
            await askEverywhere(world, 1);
            chai.expect(usedConnections(world)).to.equal(4);
        }
        finally {
            await world.close();
        }
    });
});
