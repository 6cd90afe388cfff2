/** Stand-ins and hosts as processes of their own, started, stopped, killed and frozen by pid. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";
import * as grpc from "../src/adapters/grpc.js";
import type * as network from "../src/ports/network.js";
import * as control from "./control.js";
import * as worlds from "./world.js";

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
const startTimeoutMs = 20_000;
const callTimeoutMs = 5_000;

/** Settings of a fleet of processes. */
export interface Options {
    readonly user: "roata" | "fraser";
    readonly topology: Partial<worlds.Topology>;
    /** Region and failure domain of each host. */
    readonly places: readonly { readonly region: string; readonly failureDomain: string }[];
    readonly settings?: object;
}

/** One host process. */
export interface Process {
    readonly id: string;
    readonly callersPort: number;
    readonly peers: string;
    readonly operationsPort: number;
    readonly pid: number;
    signal(name: NodeJS.Signals): void;
    exited(): boolean;
    ended(): Promise<number>;
}

/** The running processes. */
export interface Fleet {
    readonly platform: string;
    readonly topology: worlds.Topology;
    readonly hosts: Process[];
    /** Starts one more host, or one again under an earlier id. */
    add(index: number): Promise<Process>;
    set(request: control.Request): Promise<string>;
    stop(): Promise<void>;
}

interface Spawned {
    readonly child: childProcess.ChildProcess;
    readonly lines: readline.Interface;
    readonly ended: Promise<number>;
}

/** Processes that must not outlive this one. */
const children = new Set<childProcess.ChildProcess>();
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));

function spawn(script: string, args: readonly string[]): Spawned {
    const child = childProcess.spawn(process.execPath, [path.join(root, script), ...args], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const lines = readline.createInterface({ input: child.stdout as NodeJS.ReadableStream });
    children.add(child);
    child.once("exit", () => children.delete(child));
    const ended = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
    return { child, lines, ended };
}

function waitFor<T>(spawned: Spawned, pick: (line: string) => T | undefined): Promise<T> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error("A process did not start in time.")), startTimeoutMs);
        const read = (line: string): void => {
            const found = pick(line);
            if (found !== undefined) {
                clearTimeout(timer);
                spawned.lines.off("line", read);
                spawned.lines.on("line", () => undefined);
                resolve(found);
            }
        };
        spawned.lines.on("line", read);
        void spawned.ended.then(code => reject(new Error(`A process ended at its start with ${code}.`)));
    });
}

interface Started {
    readonly callers: number;
    readonly peers: number;
    readonly operations: number;
}

function pickStarted(line: string): Started | undefined {
    return (JSON.parse(line) as { started?: Started }).started;
}

/** Starts stand-ins and hosts, and waits until every host is ready. */
export async function createFleet(options: Options): Promise<Fleet> {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "hyssophatch-"));
    const standins = spawn("standins/main.js", [options.user, JSON.stringify(options.topology)]);
    const addresses = await waitFor(standins, line => JSON.parse(line) as { platform: string; control: string });
    const topology = { ...(options.user === "fraser" ? worlds.fraser : worlds.roata), ...options.topology };
    const calls = grpc.createNetwork();
    const switches: network.Channel = calls.openChannel(addresses.control);
    const hosts: Process[] = [];

    async function set(request: control.Request): Promise<string> {
        const reply = await switches.call(control.method, request, callTimeoutMs);
        if (reply.isErr()) {
            throw new Error(reply.error.message);
        }
        return reply.value.done;
    }

    async function list(): Promise<void> {
        const live = hosts.filter(host => !host.exited());
        const entries = live.map(host => ({ id: host.id, address: host.peers, leaving: false }));
        await set({ action: "list", value: 1, hosts: entries });
    }

    async function add(index: number): Promise<Process> {
        const place = options.places[index % options.places.length];
        const id = `host-${index}`;
        const file = path.join(directory, `${id}.json`);
        const settings = {
            id,
            ...place,
            callers: { port: 0 },
            peers: { port: 0 },
            operations: { port: 0 },
            platform: { address: addresses.platform, region: topology.storeRegion },
            account: worlds.account,
            seeds: hosts.filter(host => !host.exited()).map(host => host.peers),
            logLevel: "info",
            ...options.settings,
        };
        fs.writeFileSync(file, JSON.stringify(settings));
        const spawned = spawn("src/daemon/main.js", ["--settings", file]);
        const started = await waitFor(spawned, pickStarted);
        let exited = false;
        void spawned.ended.then(() => {
            exited = true;
        });
        const host: Process = {
            id,
            callersPort: started.callers,
            peers: `127.0.0.1:${started.peers}`,
            operationsPort: started.operations,
            pid: spawned.child.pid ?? 0,
            signal: name => void spawned.child.kill(name),
            exited: () => exited,
            ended: () => spawned.ended,
        };
        hosts.push(host);
        await list();
        await waitUntilReady(host);
        return host;
    }

    for (const index of options.places.keys()) {
        await add(index);
    }
    await waitForTokens(hosts);
    return {
        platform: addresses.platform,
        topology,
        hosts,
        add,
        set,
        async stop() {
            hosts.filter(host => !host.exited()).forEach(host => {
                host.signal("SIGCONT");
                host.signal("SIGTERM");
            });
            await Promise.all(hosts.map(host => host.ended()));
            calls.close();
            standins.child.kill("SIGTERM");
            await standins.ended;
            fs.rmSync(directory, { recursive: true, force: true });
        },
    };
}

const pollMs = 50;
/** Quota slots of a fleet with default settings; no more hosts than these hold tokens of their own. */
const quotaSlots = 9;

/** Waits until the quota slots are spread over the hosts and accrue. */
async function waitForTokens(hosts: readonly Process[]): Promise<void> {
    const deadline = Date.now() + startTimeoutMs;
    const wanted = Math.min(hosts.length, quotaSlots);
    for (let holding = 0; holding < wanted; await new Promise(resolve => setTimeout(resolve, pollMs * 4))) {
        const texts = await Promise.all(
            hosts.map(host => fetch(`http://127.0.0.1:${host.operationsPort}/metrics`).then(answer => answer.text())),
        );
        holding = texts.filter(text => /^hyssophatch_level\{name="tokens",label="[^"]+"\} [1-9]/m.test(text)).length;
        if (Date.now() > deadline) {
            throw new Error("The quota slots did not spread over the hosts.");
        }
    }
}

async function waitUntilReady(host: Process): Promise<void> {
    const deadline = Date.now() + startTimeoutMs;
    while (Date.now() < deadline) {
        const answer = await fetch(`http://127.0.0.1:${host.operationsPort}/ready`).catch(() => undefined);
        if (answer?.ok === true) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
    throw new Error(`Host ${host.id} did not become ready.`);
}
