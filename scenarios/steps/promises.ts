/** Steps that check what must always hold. */
import * as chai from "chai";
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as configstore from "../../src/adapters/configstore.js";
import * as grpc from "../../src/adapters/grpc.js";
import type * as configuration from "../../src/core/configuration.js";
import type * as failure from "../../src/core/failure.js";
import * as messages from "../../src/ports/messages.js";
import * as audits from "../../standins/audit.js";
import * as clusters from "../../standins/cluster.js";
import * as worlds from "../../standins/world.js";
import * as stages from "../stage.js";
import * as callers from "./callers.js";

const table = "orders";
const inForceMs = 5_000;
const pollMs = 20;
const recoveredMs = 17_000;
/** Acknowledged writes without which a check for lost and doubled ones means little. */
const minAcknowledged = 20;
/** Time that the load gets for them. */
const volumeTimeoutMs = 40_000;
/** Start of a second edit while a first, slowed by the store, is half done. */
const overlapMs = 400;
const accessCodes = /HP1001|HP1002/;

async function verify(stage: stages.Stage): Promise<void> {
    // On a busy machine the load is slow, and the check needs some writes, not some time.
    const hasVolume = (): boolean => (stage.load?.account().acknowledged.length ?? 0) > minAcknowledged;
    await clusters.eventually("writes are acknowledged", volumeTimeoutMs, hasVolume).catch(() => undefined);
    await stage.load?.stop();
    const account = stage.load?.account();
    const acknowledged = account?.acknowledged ?? [];
    const found = await audits.audit(stages.platformOf(stage), table, acknowledged);
    chai.expect(acknowledged.length, "acknowledged writes").to.be.greaterThan(minAcknowledged);
    chai.expect(found, "lost or doubled").to.deep.equal({ lost: 0, doubled: 0 });
    chai.expect(account?.stale, "stale reads").to.equal(0);
}

/** Statements that ran on the stand-in endpoint, its rows of the given id. */
async function rowsOf(stage: stages.Stage, id: string): Promise<number> {
    const group = stages.clusterOf(stage).world.groups[0];
    const primary = group?.members.filter(member => member.alive()).find(member => member.replica.isPrimary());
    const outcome = primary?.replica.database().run(`SELECT id FROM ${table} WHERE id = '${id}'`);
    return outcome?.isOk() === true ? outcome.value.rows.length : 0;
}

async function edit(
    stage: stages.Stage,
    section: configuration.Section,
    change: (current: unknown) => unknown,
    base?: number,
): Promise<{ readonly revision?: number; readonly failure?: failure.Failure }> {
    const network = grpc.createNetwork();
    const platform = network.openChannel(stages.platformOf(stage));
    const applied = await configstore.apply(platform, { id: crypto.randomUUID(), section, change, base });
    network.close();
    return applied.isOk() ? { revision: applied.value } : { failure: applied.error };
}

const withTolerance = (name: string) => (current: unknown): unknown => ({
    ...current as object,
    [name]: { maxAgeMs: 1_000 },
});
const withOrganisation = (name: string) => (current: unknown): unknown => ({
    ...current as object,
    [name]: { ratePerSecond: 10, burst: 10, weight: 1 },
});

async function revise(stage: stages.Stage, name: string): Promise<void> {
    const applied = await edit(stage, "tolerances", withTolerance(name));
    chai.expect(applied.failure, "edit").to.equal(undefined);
    stage.numbers.set("revision", applied.revision ?? 0);
}

async function inForce(stage: stages.Stage, boundMs: number): Promise<void> {
    const revision = stage.numbers.get("revision") ?? 0;
    await clusters.eventually(
        `revision ${revision} is in force everywhere`,
        boundMs,
        () => stages.clusterOf(stage).hosts.every(host => host.parts.feed.configuration().revision >= revision),
    );
}

/** Watches every host's revision until the scenario ends. */
function watchRevisions(stage: stages.Stage): void {
    const newest = new Map<object, number>();
    const timer = setInterval(() => {
        for (const host of stages.clusterOf(stage).hosts) {
            const { revision } = host.parts.feed.configuration();
            if (revision < (newest.get(host) ?? 0)) {
                stage.numbers.set("reverted", 1);
            }
            newest.set(host, revision);
        }
    }, pollMs);
    stage.closers.push(() => clearInterval(timer));
}

async function cutOff(stage: stages.Stage, name: string, boundMs: number): Promise<void> {
    await clusters.eventually(`${name} is cut off`, boundMs, async () => {
        const outcome = await callers.send(stage, name, "SELECT 1");
        return outcome.error !== undefined && (accessCodes.test(outcome.error) || !outcome.error.startsWith("HP"));
    });
}

interface Sent {
    readonly fromMs: number;
    readonly toMs: number;
}

/** Sends at a pace to hosts, the first ones more often, and counts what was admitted and refused. */
async function surge(stage: stages.Stage, organisation: string, perSecond: number, seconds: number): Promise<void> {
    const cluster = stages.clusterOf(stage);
    const connections = await Promise.all(cluster.hosts.map(host => cluster.connect(host, organisation, "orders")));
    const admitted: Sent[] = [];
    const running: Promise<void>[] = [];
    let refused = 0;
    const total = perSecond * seconds;
    const startMs = performance.now();
    const one = async (connection: typeof connections[number] | undefined): Promise<void> => {
        const fromMs = performance.now();
        const failed = await connection?.query("SELECT 1").then(() => undefined, (thrown: Error) => thrown.message);
        if (failed === undefined) {
            admitted.push({ fromMs, toMs: performance.now() });
        }
        refused += failed?.includes("HP1101") === true ? 1 : 0;
    };
    for (let sent = 0; sent < total;) {
        const due = Math.min(total, Math.floor((performance.now() - startMs) * perSecond / 1_000));
        for (; sent < due; sent += 1) {
            const skewed = Math.floor(connections.length * ((sent * 7_919 % 1_000) / 1_000) ** 2);
            running.push(one(connections[skewed]));
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await Promise.all(running);
    connections.forEach(connection => connection.destroy());
    stage.numbers.set("refused", refused);
    stage.numbers.set("admitted", admitted.length);
    stage.numbers.set("excess", excess(admitted, cluster.world.topology.ratePerSecond, cluster.world.topology.burst));
}

/** The most by which statements wholly inside any window pass the burst and the rate over that window. */
function excess(admitted: readonly Sent[], ratePerSecond: number, burst: number): number {
    const sorted = [...admitted].sort((left, right) => left.toMs - right.toMs);
    let worst = -Infinity;
    for (let first = 0; first < sorted.length; first += 7) {
        const startMs = sorted[first]?.fromMs ?? 0;
        let inside = 0;
        for (const entry of sorted) {
            if (entry.fromMs >= startMs) {
                inside += 1;
                worst = Math.max(worst, inside - burst - ratePerSecond * (entry.toMs - startMs) / 1_000);
            }
        }
    }
    return worst;
}

/** Writes once for each step of the path and each way to break it, and compares the answer with the table. */
async function breakEachStep(stage: stages.Stage, name: string, idempotent: boolean): Promise<void> {
    const { faults } = stages.clusterOf(stage);
    const steps = idempotent ? 6 : 2;
    for (const mode of ["drop", "lost"] as const) {
        for (let broken = 1; broken <= steps; broken += 1) {
            const id = `${name}-${mode}-${broken}-${idempotent}`;
            let count = 0;
            faults.intercept((_host, _endpoint, text) => {
                count += text === "SHOW GROUP STATUS" ? 0 : 1;
                return text !== "SHOW GROUP STATUS" && count === broken ? mode : "pass";
            });
            const hint = idempotent ? `/* hyssophatch request=${id} */ ` : "";
            const outcome = await callers.send(
                stage,
                name,
                `${hint}INSERT INTO ${table} (id, organisation) VALUES ('${id}', 'x')`,
            );
            faults.intercept(undefined);
            const rows = await rowsOf(stage, id);
            const expected = outcome.error === undefined ? [1] : outcome.error.includes("Not run.") ? [0] : [0, 1];
            chai.expect(expected, `rows of ${id} after ${outcome.error ?? "success"}`).to.include(rows);
        }
    }
}

async function findKeys(stage: stages.Stage): Promise<void> {
    const { world } = stages.clusterOf(stage);
    const heard = world.groups.flatMap(group => group.members).map(member => member.heard()).join("");
    chai.expect(heard.length).to.be.greaterThan(1_000);
    for (const organisation of world.topology.organisations) {
        const key = worlds.key(organisation);
        const once = crypto.createHash("sha1").update(key).digest();
        const twice = crypto.createHash("sha1").update(once).digest();
        const forms = [key, ...[once, twice].flatMap(digest => [digest.toString("latin1"), digest.toString("hex")])];
        forms.forEach(form => chai.expect(heard.includes(form), `a key of ${organisation}`).to.equal(false));
    }
}

async function echo(stage: stages.Stage, count: number): Promise<void> {
    const cluster = stages.clusterOf(stage);
    const organisations = cluster.world.topology.organisations;
    const mismatches: string[] = [];
    await Promise.all(Array.from({ length: count }, async (_, index) => {
        const host = cluster.hosts[index % cluster.hosts.length] ?? cluster.hosts[0];
        if (host === undefined) {
            return;
        }
        const connection = await cluster.connect(host, organisations[index % organisations.length] ?? "", "orders");
        for (let turn = 0; turn < 10; turn += 1) {
            const value = `answer-${index}-${turn}-${"x".repeat(index * turn)}`;
            const [rows] = await connection.query(`SELECT '${value}' AS value`);
            if ((rows as { value: string }[])[0]?.value !== value) {
                mismatches.push(value);
            }
        }
        connection.destroy();
    }));
    chai.expect(mismatches).to.deep.equal([]);
}

/** Runs the command line against the platform; returns its exit status. */
function command(stage: stages.Stage, line: string): number | null {
    const args = ["dist/src/cli/main.js", ...line.split(" "), "--platform", stages.platformOf(stage)];
    return childProcess.spawnSync(process.execPath, args, { stdio: "ignore" }).status;
}

/** The steps. */
export const steps: stages.Steps = {
    "no acknowledged write is lost or doubled and no read was stale": verify,
    "writes of {word} are acknowledged again within {int} s": async (stage, database: string, bound: number) => {
        const count = (): number =>
            stage.load?.account().acknowledged.filter(entry => entry.database === database).length ?? 0;
        const start = count();
        await clusters.eventually(`${database} takes writes again`, bound * 1_000, () => count() > start);
    },
    "the longest gap of {word} was at most {int} s": (stage, database: string, bound: number) => {
        const gap = audits.longestGapMs(database, stage.load?.account().acknowledged ?? []);
        chai.expect(gap).to.be.at.most(bound * 1_000);
    },
    "every refusal was true and no outcome is unknown": stage => {
        const account = stage.load?.account();
        const unexplained = [...account?.errors.keys() ?? []].filter(message => !message.includes("ECONNREFUSED"));
        chai.expect(account?.unknown, "unknown outcomes").to.equal(0);
        chai.expect(unexplained, "driver errors").to.deep.equal([]);
    },
    "no endpoint heard a key": findKeys,
    "{word}'s key is withdrawn": (stage, organisation: string) =>
        audits.withdraw(stages.platformOf(stage), organisation),
    "{word} is cut off within {int} s": (stage, name: string, bound: number) => cutOff(stage, name, bound * 1_000),
    "{word} stays served for {int} s": async (stage, name: string, seconds: number) => {
        const endMs = performance.now() + seconds * 1_000;
        while (performance.now() < endMs) {
            chai.expect((await callers.send(stage, name, "SELECT 1")).error).to.equal(undefined);
            await new Promise(resolve => setTimeout(resolve, pollMs * 5));
        }
    },
    "{word} sends {int} statements per second for {int} s, skewed over the hosts": surge,
    "{word} sends {int} statements per second for {int} s meanwhile": (
        stage,
        organisation: string,
        perSecond: number,
        seconds: number,
    ) => {
        stage.background.push(surge(stage, organisation, perSecond, seconds));
    },
    "no window held more than rate and burst": stage => {
        chai.expect(stage.numbers.get("admitted")).to.be.greaterThan(0);
        chai.expect(stage.numbers.get("excess")).to.be.at.most(0);
    },
    "none was refused": stage => chai.expect(stage.numbers.get("refused")).to.equal(0),
    "some were refused": stage => chai.expect(stage.numbers.get("refused")).to.be.greaterThan(0),
    "{word} writes while each step of the path breaks": (stage, name: string) => breakEachStep(stage, name, false),
    "{word} writes with ids while each step of the path breaks": (stage, name: string) =>
        breakEachStep(stage, name, true),
    "{int} callers each get their own answers": echo,
    "{word} holds {int} row(s) of {word}": async (stage, _database: string, rows: number, id: string) =>
        chai.expect(await rowsOf(stage, id)).to.equal(rows),
    "an operator adds tolerance {word}": revise,
    "the revision is in force everywhere within {int} s": (stage, bound: number) => inForce(stage, bound * 1_000),
    "revisions are watched": watchRevisions,
    "no revision reverted": stage => chai.expect(stage.numbers.get("reverted")).to.equal(undefined),
    "two operators edit two sections at once and both take effect": async stage => {
        const first = edit(stage, "tolerances", withTolerance("race"));
        await new Promise(resolve => setTimeout(resolve, overlapMs));
        const edits = await Promise.all([first, edit(stage, "organisations", withOrganisation("race"))]);
        edits.forEach(entry => chai.expect(entry.failure).to.equal(undefined));
        stage.numbers.set("revision", Math.max(...edits.map(entry => entry.revision ?? 0)));
        await inForce(stage, inForceMs);
        const document = stages.clusterOf(stage).hosts[0]?.parts.feed.configuration().document;
        chai.expect(document?.tolerances["race"] !== undefined && document.organisations["race"] !== undefined).to
            .equal(true);
    },
    "two operators edit one section from one revision and one conflicts": async stage => {
        const base = stages.clusterOf(stage).hosts[0]?.parts.feed.configuration().revision;
        const edits = await Promise.all([
            edit(stage, "tolerances", withTolerance("left"), base),
            edit(stage, "tolerances", withTolerance("right"), base),
        ]);
        const codes = edits.map(entry => entry.failure?.code ?? 0).sort((left, right) => left - right);
        chai.expect(codes).to.deep.equal([0, 1402]);
    },
    "the store's index is corrupt": stage =>
        stages.clusterOf(stage).world.platform.put(configstore.indexKey, "{broken"),
    "the command {string} succeeds": (stage, line: string) => chai.expect(command(stage, line)).to.equal(0),
    "the command {string} fails with {int}": (stage, line: string, status: number) =>
        chai.expect(command(stage, line)).to.equal(status),
    "endpoint {word} serves statements": async (stage, id: string) => {
        const member = stages.clusterOf(stage).world.groups.flatMap(group => group.members).find(entry =>
            entry.id === id
        );
        const before = member?.ran().length ?? 0;
        await clusters.eventually(`${id} serves`, inForceMs, () => (member?.ran().length ?? 0) > before + 10);
    },
    "endpoint {word} gets no new statement after {int} s": async (stage, id: string, seconds: number) => {
        const member = stages.clusterOf(stage).world.groups.flatMap(group => group.members).find(entry =>
            entry.id === id
        );
        await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
        const before = member?.ran().length;
        await new Promise(resolve => setTimeout(resolve, 2_000));
        chai.expect(member?.ran().length).to.equal(before);
    },
    "no endpoint had more connections than it allows": stage => {
        const { world } = stages.clusterOf(stage);
        world.groups.flatMap(group => group.members).forEach(member =>
            chai.expect(member.peakConnections(), member.id).to.be.at.most(world.topology.connections)
        );
    },
    "{word} is still in term {int}": async (stage, database: string, term: number) => {
        const network = grpc.createNetwork();
        const platform = network.openChannel(stages.platformOf(stage));
        const reply = await platform.call(messages.platform.groups, { after: 0, waitMs: 0 }, inForceMs);
        network.close();
        const groups = reply.isOk() ? reply.value.groups : [];
        chai.expect(groups.find(group => group.database === database)?.term).to.equal(term);
    },
    "{int} more writes are acknowledged within {int} s": async (stage, writes: number, bound: number) => {
        const count = (): number => stage.load?.account().acknowledged.length ?? 0;
        const start = count();
        await clusters.eventually("writes are acknowledged", bound * 1_000, () => count() >= start + writes);
    },
    "the load sends again and is answered within {int} s": async (stage, bound: number) => {
        const count = (): number => stage.load?.account().acknowledged.length ?? 0;
        const start = count();
        await clusters.eventually(
            "writes are acknowledged",
            Math.min(bound * 1_000, recoveredMs),
            () => count() > start + 5,
        );
    },
};
