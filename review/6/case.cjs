/**
 * A service with `sync_replicas` 1: a replica falls behind, another one is lost for good, and the primary crashes and comes back
 * with its log.
 */
"use strict";
const { play, sleep } = require("../harness-2/world.cjs");

/** The replica receives nothing for that long; the site plays "deaf crash" for 6 s. */
const deafMs = 6_000;
/** The primary is down for that long; the site's longest time of `srv_crash` is 7.72 s. */
const downMs = 7_000;
const writers = 4;

play(__dirname, {
    hosts: 2,
    syncReplicas: 1,
    tenants: [{ name: "club-a", api_keys: ["key-a"], rate_per_s: 500, burst: 500 }],
    rowsOf: item => [`data-of-${item}`],
}, async (world, trouble) => {
    const [primary, other, behind] = world.instances;
    const acknowledged = [];
    let stopped = false;

    /** A caller that places one order after the other. */
    async function placeOrders(number) {
        let session;
        for (let order = 0; !stopped; order += 1) {
            session = session?.isOpen() === true ? session : await world.connect(number % 2, "orders", "key-a");
            const answer = await session?.ask(`WRITE order-${number}-${order} placed`, 3_000);
            if (answer?.outcome === "ok") {
                acknowledged.push({ id: answer.id, atMs: performance.now() });
            }
            await sleep(20);
        }
        session?.close();
    }

    const orders = Array.from({ length: writers }, (_, number) => placeOrders(number));
    await sleep(5_000);
    if (trouble) {
        world.note(`${behind.id} receives nothing for ${deafMs} ms`);
        behind.deaf(deafMs);
        await sleep(500);
        world.note(`${other.id} is lost for good`);
        other.crash();
        await sleep(deafMs - 1_000);
        world.note(`the primary ${primary.id} crashes, with ${primary.log().length} entries; ${behind.id} has ${behind.log().length}`);
        primary.crash();
        await sleep(downMs);
        await primary.restart(world.instances.find(instance => instance.running() && instance.primary()));
        world.note(`${primary.id} is back with its log`);
    }
    await sleep(5_000);
    stopped = true;
    await Promise.all(orders);

    let lost = 0;
    for (const { log, effectMs, id } of world.promotions.filter(call => call.effectMs !== undefined)) {
        const missing = acknowledged.filter(order => order.atMs < effectMs && !log.has(order.id));
        world.note(`${id} was promoted without ${missing.length} orders that had been acknowledged`);
        missing.slice(0, 5).forEach(order => world.note(`LOST: ${order.id}`));
        lost += missing.length;
    }
    world.note(`${acknowledged.length} orders acknowledged`);
    return lost > 0 ? 1 : acknowledged.length > 100 ? 0 : 2;
});
