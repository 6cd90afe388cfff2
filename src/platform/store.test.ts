import * as chai from "chai";
import * as server from "../../standins/groups/store.js";
import * as client from "./store.js";

describe("the client of the store", () => {
    let fakeStore: server.Store;
    let store: ReturnType<typeof client.createStore>;

    beforeEach(async () => {
        fakeStore = await server.start(() => true);
        store = client.createStore({ address: fakeStore.address, timeoutMs: 150 });
    });
    afterEach(async () => {
        store.close();
        await fakeStore.close();
    });

    it("reads all pages of a range", async () => {
        for (let index = 0; index < 120; index += 1) {
            fakeStore.put(`a/${String(index).padStart(3, "0")}`, "ä");
        }
        const range = (await store.range("a/"))._unsafeUnwrap();
        chai.expect(range.items).to.have.length(120);
        chai.expect(range.items[119]?.value).to.equal("ä");
    });

    it("makes a conditional change once and reports a conflict the second time", async () => {
        const change = { conditions: [{ key: "k", revision: 0 }], writes: [{ key: "k", value: "1" }], deletes: [] };
        chai.expect((await store.change(change)).isOk()).to.equal(true);
        chai.expect((await store.change(change))._unsafeUnwrapErr().kind).to.equal("conflict");
    });

    it("distinguishes a refused call from one without a response, which may have taken effect", async () => {
        fakeStore.fault("refusing");
        chai.expect((await store.read("k"))._unsafeUnwrapErr().kind).to.equal("refused");
        fakeStore.fault("silent");
        chai.expect((await store.read("k"))._unsafeUnwrapErr().kind).to.equal("unanswered");
        fakeStore.fault("lost");
        const change = { conditions: [], writes: [{ key: "k", value: "1" }], deletes: [] };
        chai.expect((await store.change(change))._unsafeUnwrapErr().kind).to.equal("unanswered");
        chai.expect(fakeStore.get("k")).to.equal("1");
    });

    it("opens a new connection after a call timed out", async () => {
        fakeStore.put("k", "1");
        fakeStore.fault("silent");
        await store.read("k");
        fakeStore.fault("none");
        chai.expect((await store.read("k"))._unsafeUnwrap().item.value).to.equal("1");
    });

    it("ends a watch on a change, and rejects one from a compacted revision", async () => {
        const before = fakeStore.put("op/config", "1");
        const watch = store.watch("op/config", before, 1_000);
        setTimeout(() => fakeStore.put("op/config", "2"), 20);
        chai.expect((await watch)._unsafeUnwrap().changed).to.equal(true);
        fakeStore.compact();
        chai.expect((await store.watch("op/config", before, 100))._unsafeUnwrapErr().kind).to.equal("missing");
    });

    it("deletes the keys of a lease when it is revoked", async () => {
        const { lease } = (await store.grant(1_000))._unsafeUnwrap();
        await store.change({ conditions: [], writes: [{ key: "mine", value: "1", lease }], deletes: [] });
        chai.expect((await store.renew(lease)).isOk()).to.equal(true);
        await store.revoke(lease);
        chai.expect(fakeStore.get("mine")).to.equal(undefined);
        chai.expect((await store.renew(lease))._unsafeUnwrapErr().kind).to.equal("missing");
    });
});
