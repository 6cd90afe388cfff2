import * as chai from "chai";
import * as documents from "./documents.js";

const entry = {
    service: "ledger",
    address: "10.128.0.9:8080",
    zone: "cluj-a",
    version: "v1",
    slots: 2,
    state: "ready",
    cold_remaining_ms: 1_500,
    db_role: "replica",
    sequence: 4,
    born: 17,
};

describe("platform documents", () => {
    it("parses an endpoint entry", () => {
        chai.expect(documents.parseEndpoint("servers/i-7", JSON.stringify(entry))._unsafeUnwrap()).to.deep.equal({
            id: "i-7",
            group: "ledger",
            address: "10.128.0.9:8080",
            failureDomain: "cluj-a",
            slots: 2,
            draining: false,
            primary: false,
            sequence: 4,
            born: 17,
            coldRemainingMs: 1_500,
        });
        const withoutCold = JSON.stringify({ ...entry, cold_remaining_ms: undefined });
        const parsed = documents.parseEndpoint("servers/i-7", withoutCold)._unsafeUnwrap();
        chai.expect(parsed).to.not.have.property("coldRemainingMs");
    });

    it("parses the bound on requests to cold endpoints; a rate of 0 is none", () => {
        const group = (cold: object) =>
            documents.parsePolicy(JSON.stringify({ version: 1, routes: [], services: [{ name: "ledger", ...cold }] }))
                ._unsafeUnwrap().groups.get("ledger");
        chai.expect(group({ cold_start_s: 8, cold_per_s: 20 })).to.deep.equal({
            name: "ledger",
            maxConnections: 16,
            syncReplicas: 0,
            coldStartMs: 8_000,
            coldPerSecond: 20,
        });
        chai.expect(group({ cold_start_s: 8, cold_per_s: 0 })).to.deep.equal({
            name: "ledger",
            maxConnections: 16,
            syncReplicas: 0,
        });
    });

    it("parses the number of synchronous replicas; none unless given", () => {
        const services = [{ name: "ledger", sync_replicas: 1 }, { name: "stock" }];
        const { groups } = documents.parsePolicy(JSON.stringify({ version: 1, routes: [], services }))._unsafeUnwrap();
        chai.expect([...groups.values()].map(group => group.syncReplicas)).to.deep.equal([1, 0]);
    });

    const invalidEntries: readonly string[] = [
        "",
        "null",
        "\ufffd\ufffd",
        "[]",
        JSON.stringify({ ...entry, state: "asleep" }),
        JSON.stringify({ ...entry, slots: "2" }),
        JSON.stringify({ ...entry, address: undefined }),
        JSON.stringify({ ...entry, address: "nowhere" }),
        JSON.stringify({ ...entry, address: "10.1.0.26:65536" }),
        JSON.stringify({ ...entry, address: "10.1.0.26:0" }),
        JSON.stringify({ ...entry, address: "10.1.0.260:8240" }),
        JSON.stringify({ ...entry, address: "10.1.26:8240" }),
        JSON.stringify({ ...entry, slots: 1e300 }),
        JSON.stringify({ ...entry, born: 1e300 }),
        JSON.stringify(entry).replace(/"slots":\d+/, '"slots":1e999'),
        JSON.stringify({ ...entry, slots: "deep" }).replace('"deep"', "[".repeat(100_000) + "]".repeat(100_000)),
        JSON.stringify({ ...entry, service: "ledger cluj" }),
    ];
    invalidEntries.forEach(text =>
        it(`rejects the invalid endpoint entry ${JSON.stringify(text.slice(0, 40))}`, () =>
            chai.expect(documents.parseEndpoint("servers/i-7", text).isErr()).to.equal(true))
    );

    // Guards against an id that would end the login line to the endpoint and begin another message.
    it("rejects an entry whose id isn't a single word", () => {
        ["servers/", "servers/i 7", "servers/i-7\r\nQUERY 1 WRITE a b"].forEach(key =>
            chai.expect(documents.parseEndpoint(key, JSON.stringify(entry)).isErr()).to.equal(true)
        );
    });

    it("parses a configuration and ignores unknown fields", () => {
        const policy = documents.parsePolicy(JSON.stringify({
            version: 7,
            news: true,
            routes: [{
                hostname: "stock",
                service: "ledger",
                kind: "read_your_writes",
                timeout_ms: 800,
                max_staleness_ms: 9,
            }],
            services: [{ name: "ledger", max_connections: 16 }],
            limits: { tx_idle_ms: 3_000 },
            tenants: [{ name: "cluj", api_keys: ["k1", "k2"], rate_per_s: 92, burst: 92 }],
        }))._unsafeUnwrap();
        chai.expect(policy.routes.get("stock")?.consistency).to.deep.equal({ kind: "session", maxAgeMs: 9 });
        chai.expect(policy.keys.get("k2")).to.equal("cluj");
        chai.expect(policy.transactionIdleMs).to.equal(3_000);
    });

    it("parses the homes of routes and organisations; none, or an empty list, stand for everywhere", () => {
        const route = { service: "ledger", kind: "primary", timeout_ms: 800 };
        const text = (regions: unknown): string =>
            JSON.stringify({
                version: 7,
                routes: [{ ...route, hostname: "a", allowed_regions: regions }, { ...route, hostname: "b" }],
                tenants: [{ name: "cluj", allowed_regions: regions }, { name: "iasi", allowed_regions: [] }],
            });
        const policy = documents.parsePolicy(text(["ro-nord"]))._unsafeUnwrap();
        chai.expect([...policy.routes.get("a")?.homes ?? []]).to.deep.equal(["ro-nord"]);
        chai.expect([...policy.organisations.get("cluj")?.homes ?? []]).to.deep.equal(["ro-nord"]);
        chai.expect([policy.routes.get("b")?.homes, policy.organisations.get("iasi")?.homes])
            .to.deep.equal([undefined, undefined]);
        chai.expect(documents.parsePolicy(text("ro-nord")).isErr()).to.equal(true);
    });

    it("rejects a configuration without a version", () => {
        chai.expect(documents.parsePolicy('{"routes":[]}').isErr()).to.equal(true);
    });
});
