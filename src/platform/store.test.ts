import * as chai from "chai";
import * as stores from "../../standins/groups/store.js";
import * as client from "./store.js";

describe("the store's client", () => {
    let remote: stores.Store;
    let store: ReturnType<typeof client.createStore>;

    beforeEach(async () => {
        remote = await stores.start(() => true);
        store = client.createStore({ address: remote.address, timeoutMs: 150 });
    });
    afterEach(async () => {
        store.close();
        await remote.close();
    });

    it("reads pages to the end", async () => {
        for (let count = 0; count < 120; count += 1) {
            remote.put(`a/${String(count).padStart(3, "0")}`, "ä");
        }
        const range = (await store.range("a/"))._unsafeUnwrap();
        chai.expect(range.items).to.have.length(120);
        chai.expect(range.items[119]?.value).to.equal("ä");
    });

    it("changes under a condition, and tells a conflict", async () => {
        const change = { conditions: [{ key: "k", revision: 0 }], writes: [{ key: "k", value: "1" }], deletes: [] };
        chai.expect((await store.change(change)).isOk()).to.equal(true);
        chai.expect((await store.change(change))._unsafeUnwrapErr().kind).to.equal("conflict");
    });

    it("tells a call that was refused from one that got no answer", async () => {
        remote.fault("refusing");
        chai.expect((await store.read("k"))._unsafeUnwrapErr().kind).to.equal("refused");
        remote.fault("silent");
        chai.expect((await store.read("k"))._unsafeUnwrapErr().kind).to.equal("unanswered");
        remote.fault("lost");
        const change = { conditions: [], writes: [{ key: "k", value: "1" }], deletes: [] };
        chai.expect((await store.change(change))._unsafeUnwrapErr().kind).to.equal("unanswered");
        chai.expect(remote.get("k")).to.equal("1");
    });

    it("uses a fresh connection after one went silent", async () => {
        remote.put("k", "1");
        remote.fault("silent");
        await store.read("k");
        remote.fault("none");
        chai.expect((await store.read("k"))._unsafeUnwrap().item.value).to.equal("1");
    });

    it("wakes a watch on a change and ends one whose history is gone", async () => {
        const before = remote.put("op/config", "1");
        const waiting = store.watch("op/config", before, 1_000);
        setTimeout(() => remote.put("op/config", "2"), 20);
        chai.expect((await waiting)._unsafeUnwrap().changed).to.equal(true);
        remote.compact();
        chai.expect((await store.watch("op/config", before, 100))._unsafeUnwrapErr().kind).to.equal("missing");
    });

    it("removes what a lease holds when it ends", async () => {
        const { lease } = (await store.grant(1_000))._unsafeUnwrap();
        await store.change({ conditions: [], writes: [{ key: "mine", value: "1", lease }], deletes: [] });
        chai.expect((await store.renew(lease)).isOk()).to.equal(true);
        await store.revoke(lease);
        chai.expect(remote.get("mine")).to.equal(undefined);
        chai.expect((await store.renew(lease))._unsafeUnwrapErr().kind).to.equal("missing");
    });
});
