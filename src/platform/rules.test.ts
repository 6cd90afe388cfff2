import * as chai from "chai";
import { setTimeout as delay } from "node:timers/promises";
import * as worlds from "../../standins/groups/world.js";

/** Times of the users' sheets, in milliseconds. */
const drainMs = 7_000;
const recoveryMs = 12_000;

describe("rules of the users on the whole path", () => {
    let world: worlds.World;
    /** Texts sent, by the id of the request. */
    const sent = new Map<string, string>();
    let ids = 0;

    async function login(host: number, database: string, key?: string): Promise<worlds.Caller> {
        return (await world.connect(host, database, key))._unsafeUnwrap();
    }

    async function ask(caller: worlds.Caller, text: string): Promise<{ id: string; lines: readonly string[] }> {
        ids += 1;
        const id = `rule-${ids}`;
        sent.set(id, text);
        return { id, lines: await caller.ask(text, id) };
    }

    before(async () => {
        world = await worlds.start({ hosts: 3, workMs: 5, lagMs: 10 });
    });
    after(() => world.close());

    it("gives each caller the rows and the signature of its own statement, however many run at once", async () => {
        const items = Array.from({ length: 12 }, (_, number) => `item-${number}`);
        const writer = await login(0, "orders");
        for (const item of items) {
            await ask(writer, `WRITE ${item} of-${item}`);
        }
        await delay(300);
        await Promise.all(items.map(async (item, number) => {
            const caller = await login(number % 3, ["orders", "stock", "catalogue"][number % 3] ?? "");
            for (let count = 0; count < 15; count += 1) {
                const { id, lines } = await ask(caller, `READ ${item}`);
                chai.expect(lines[0]).to.equal(`ROW of-${item}`);
                const given = world.endpoints.flatMap(endpoint => endpoint.signatures.get(id) ?? []);
                chai.expect(given.map(signature => `COMPLETE ${signature}`)).to.include(lines[1]);
            }
            caller.close();
        }));
        writer.close();
    });

    it("lets endpoints run only what a caller sent, with its text, and commit only what was asked for", async () => {
        const caller = await login(1, "stock");
        await ask(caller, "BEGIN");
        const kept = await ask(caller, "WRITE unasked-1 kept");
        await ask(caller, "COMMIT");
        await ask(caller, "BEGIN");
        const dropped = await ask(caller, "WRITE unasked-2 dropped");
        await ask(caller, "ROLLBACK");
        caller.close();
        const left = await login(2, "orders");
        await ask(left, "BEGIN");
        const open = await ask(left, "WRITE unasked-3 open");
        left.close();
        await delay(200);
        const committed = world.primary().log().map(entry => entry.id);
        chai.expect(committed).to.include(kept.id).and.not.include(dropped.id).and.not.include(open.id);
        for (const { id, text, organisation } of world.endpoints.flatMap(endpoint => endpoint.runs)) {
            chai.expect(text.replace(/^AFTER \S+ /, "")).to.equal(sent.get(id));
            chai.expect([organisation, text]).to.deep.equal(["cluj", text.replaceAll(worlds.key, "")]);
        }
    });

    it("sends nothing new to an endpoint that drains, and serves on", async () => {
        const replica = world.endpoints.find(endpoint => !endpoint.primary());
        world.list({ [replica?.id ?? ""]: "draining" });
        const callers = await Promise.all([0, 1, 2].map(host => login(host, "catalogue")));
        const load = async (ms: number): Promise<void> => {
            for (const endMs = performance.now() + ms; performance.now() < endMs; await delay(20)) {
                for (const caller of callers) {
                    chai.expect((await ask(caller, "READ item-1")).lines[0]).to.equal("ROW of-item-1");
                }
            }
        };
        await load(drainMs / 2);
        const before = replica?.runs.length;
        await load(1_500);
        chai.expect(replica?.runs.length).to.equal(before);
        callers.forEach(caller => caller.close());
        world.list();
    });

    it("serves again soon after all hosts were lost at once", async () => {
        await Promise.all([0, 1, 2].map(host => world.kill(host)));
        await delay(500);
        const startMs = performance.now();
        await Promise.all([0, 1, 2].map(host => world.restart(host)));
        for (const host of [0, 1, 2]) {
            for (let served = false; !served; await delay(50)) {
                chai.expect(performance.now() - startMs).to.be.below(recoveryMs / 4);
                const caller = await world.connect(host, "orders");
                served = caller.isOk()
                    && (await caller.value.ask(`WRITE after-${host} back`))[0]?.startsWith("COMPLETE") === true;
                caller.map(open => open.close());
            }
        }
    });
});
