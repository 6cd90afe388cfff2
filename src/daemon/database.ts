/**
 * One database, on a host that owns it in its region: the state of its endpoints, the floors of its
 * sessions, its pools, and the running of reads and writes.
 */
import * as neverthrow from "neverthrow";
import * as failover from "../core/failover.js";
import * as failure from "../core/failure.js";
import * as floors from "../core/floors.js";
import * as positions from "../core/position.js";
import * as routing from "../core/routing.js";
import type * as endpoint from "../ports/endpoint.js";
import type * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import * as faults from "./faults.js";
import * as idempotent from "./idempotent.js";
import * as pools from "./pool.js";
import * as progresses from "./progress.js";
import * as promotion from "./promotion.js";

type Result<T> = neverthrow.Result<T, failure.Failure>;

/** Settings of an owned database. */
export interface Options {
    readonly group: messages.Group;
    readonly region: string;
    readonly clock: runtime.Clock;
    readonly log: runtime.Log;
    readonly measures: runtime.Metrics;
    readonly dialer: endpoint.Dialer;
    readonly platform: network.Channel;
    readonly silenceMs: number;
    readonly queueLength: number;
    weight(organisation: string): number;
    adopt(group: messages.Group): void;
    /** True while this host is the owner and so watches the primary. */
    watching(): boolean;
    /** Asks the owner beside the primary for a session's floor; undefined when this host is that owner. */
    askFloor(session: string, timeoutMs: number): Promise<positions.Position | undefined>;
}

/** One owned database. */
export interface Database {
    read(execution: messages.Execution): Promise<Result<messages.Answer>>;
    write(execution: messages.Execution): Promise<Result<messages.Answer>>;
    /** The primary's pool, for transactions. */
    primaryPool(): Result<pools.Pool>;
    /** Records a write and waits until a majority holds it. */
    settle(position: positions.Position, session: string | undefined, deadlineMs: number): Promise<Result<void>>;
    /** A floor that covers every write of the session acknowledged until now. */
    floor(session: string, timeoutMs: number): Promise<Result<positions.Position>>;
    /** Takes the platform's newer record of the group. */
    update(group: messages.Group): void;
    /** The endpoint believed to be primary. */
    primary(): string | undefined;
    explain(need: routing.ReadRequirement): routing.Decision;
    /** Statements running and waiting. */
    load(): number;
    /** Reports queues and links by endpoint. */
    gauge(): void;
    report(): object;
    close(): void;
}

const lookMs = 100;
const pauseThresholdMs = 500;
const minAttemptIntervalMs = 2_000;
const actGapMs = 250;
/** An owner away from the primary waits longer, so that the one beside it acts first. */
const remoteFactor = 2.5;
const settleMs = 50;
const retryMs = 100;
const reportAgeLimitMs = 1_500;

/** Starts to own a database. */
export function createDatabase(options: Options): Database {
    const { clock, log } = options;
    const sessions = floors.createFloors();
    const progress = progresses.createProgress({ ...options, behind, reported: prune });
    const { quorum } = progress;
    const name = options.group.database;
    const poolsById = new Map<string, pools.Pool>();
    const running = new Set<Promise<unknown>>();
    let written = positions.zero;
    let unconfirmed = 0;
    let promoting = false;
    let lostMs: number | undefined;
    /** The primary that writes went to last. */
    let serving: string | undefined;
    const watch = failover.createMonitor({ silenceTimeoutMs, pauseThresholdMs, minAttemptIntervalMs });

    function silenceTimeoutMs(): number {
        const primary = progress.find(progress.primary() ?? serving ?? "");
        const near = primary === undefined || primary.region === options.region;
        return options.silenceMs * (near ? 1 : remoteFactor);
    }

    function pool(target: messages.Endpoint): pools.Pool {
        const known = poolsById.get(target.id);
        if (known !== undefined) {
            return known;
        }
        const { clock: time, dialer, queueLength } = options;
        const weight = (organisation: string): number => options.weight(organisation);
        const created = pools.createPool({ target, dialer, clock: time, queueLength, weight });
        poolsById.set(target.id, created);
        return created;
    }

    function behind(): boolean {
        return progress.reports().some(report => positions.compare(report.applied, written) < 0);
    }

    /** Forgets the floors that every endpoint has passed. */
    function prune(): void {
        const [first, ...others] = progress.reports().map(report => report.applied);
        if (first !== undefined && sessions.sessionCount() > 0) {
            sessions.prune(others.reduce((least, next) => (positions.compare(next, least) < 0 ? next : least), first));
        }
    }

    function notePrimary(): void {
        const known = quorum.find(progress.primary() ?? "") !== undefined;
        if (known && lostMs !== undefined) {
            options.measures.failover(name, clock.now() - lostMs);
            lostMs = undefined;
        }
        else if (!known) {
            lostMs ??= clock.now();
        }
    }

    function isLeaving(id: string | undefined): boolean {
        return progress.find(id ?? "")?.leaving === true || quorum.find(id ?? "")?.draining === true;
    }

    /** Ends at once what still waits at a primary that has been replaced. */
    function noteReplacement(): void {
        const current = progress.primary();
        if (current === undefined || current === serving) {
            return;
        }
        if (serving !== undefined) {
            log.info({ database: name, replaced: serving, primary: current, reason: "newer term" }, "Primary changed.");
            poolsById.get(serving)?.abort();
        }
        serving = current;
    }

    function look(): void {
        progress.wake();
        noteReplacement();
        notePrimary();
        const reports = progress.reports();
        const due = watch.shouldReplace({
            nowMs: clock.now(),
            primary: progress.primary(),
            reports,
            groupSize: progress.group().endpoints.length,
            draining: isLeaving(progress.primary()) && progress.reports().some(report => !isLeaving(report.endpoint)),
            writesPending: unconfirmed > 0,
        });
        if (promoting || !options.watching()) {
            return;
        }
        if (due) {
            act(() => promotion.promote(step()));
        }
        else if (progress.group().primary === undefined && progress.primary() !== undefined) {
            act(() => promotion.record(step(), progress.primary() ?? ""));
        }
    }

    function step(): promotion.Options {
        const { platform, adopt } = options;
        return { group: progress.group(), term: quorum.term(), trackers: progress.trackers, platform, log, adopt };
    }

    /** Runs one step on the group at a time, with a rest after it. */
    function act(work: () => Promise<unknown>): void {
        promoting = true;
        void work().then(() => clock.sleep(actGapMs)).finally(() => {
            promoting = false;
        });
    }

    const noPrimary = (): failure.Failure => faults.noPrimary(name);
    const convert = (fault: endpoint.Fault, target: messages.Endpoint, kind: "read" | "write"): failure.Failure =>
        faults.explain(fault, { database: name, endpoint: target.id, kind });

    async function settle(
        position: positions.Position,
        session: string | undefined,
        deadlineMs: number,
    ): Promise<Result<void>> {
        written = positions.max(written, position);
        sessions.recordWrite(position, session);
        unconfirmed += 1;
        const held = await progress.until(() => quorum.holds(position) || quorum.term() > position.term, deadlineMs);
        unconfirmed -= 1;
        if (held && quorum.holds(position)) {
            return neverthrow.ok(undefined);
        }
        const message = `The write ran at ${positions.format(position)} and no majority confirmed it.`;
        return neverthrow.err(failure.create(failure.Code.outcomeUnknown, name, message));
    }

    function primaryTarget(): Result<messages.Endpoint> {
        const target = progress.find(progress.primary() ?? "");
        return target === undefined ? neverthrow.err(noPrimary()) : neverthrow.ok(target);
    }

    async function floor(session: string, timeoutMs: number): Promise<Result<positions.Position>> {
        const arrivedMs = clock.now();
        const fresh = (): boolean => (quorum.newestSample()?.requestedAtMs ?? -1) >= arrivedMs;
        if (!await progress.until(fresh, arrivedMs + timeoutMs)) {
            const message = `No majority of ${name}'s endpoints answered.`;
            return neverthrow.err(failure.create(failure.Code.readLost, name, message, retryMs));
        }
        const newest = quorum.newestSample()?.position ?? positions.zero;
        const limitMs = clock.now() + settleMs;
        while (!sessions.accountsForAll(newest) && running.size > 0 && clock.now() < limitMs) {
            await Promise.race([...running, clock.sleep(limitMs - clock.now())]);
        }
        if (!sessions.accountsForAll(newest)) {
            sessions.raiseAll(newest);
        }
        return neverthrow.ok(sessions.floor(session));
    }

    function candidates(): readonly routing.Candidate[] {
        const nowMs = clock.now();
        return progress.group().endpoints.map(entry => {
            const report = quorum.find(entry.id);
            return {
                endpoint: entry.id,
                primary: entry.id === progress.primary(),
                local: entry.region === options.region,
                reachable: report !== undefined && nowMs - report.requestedAtMs < reportAgeLimitMs,
                leaving: isLeaving(entry.id),
                applied: report?.applied,
                ageMs: quorum.stalenessMs(entry.id, nowMs),
                load: poolsById.get(entry.id)?.load() ?? 0,
            };
        });
    }

    async function need(execution: messages.Execution): Promise<Result<routing.ReadRequirement>> {
        const carried = execution.floor ?? positions.zero;
        if (execution.session === undefined) {
            const tolerated = execution.floor === undefined ? execution.maxAgeMs : undefined;
            return neverthrow.ok({ floor: carried, maxAgeMs: tolerated });
        }
        const asked = await options.askFloor(execution.session, execution.timeoutMs);
        const known = asked === undefined ? await floor(execution.session, execution.timeoutMs) : neverthrow.ok(asked);
        return known.map(value => ({ floor: positions.max(carried, value) }));
    }

    function decide(wanted: routing.ReadRequirement, execution: messages.Execution): Result<messages.Endpoint> {
        const decision = execution.onPrimary === true
            ? { endpoint: undefined, reason: "the primary was asked for", rejected: [] }
            : routing.choose(candidates(), wanted);
        const target = progress.find(decision.endpoint ?? progress.primary() ?? "");
        const { request, organisation } = execution;
        log.info({
            request,
            organisation,
            database: name,
            endpoint: target?.id,
            reason: decision.reason,
            rejected: decision.rejected,
            floor: positions.format(wanted.floor),
        }, "Read routed.");
        if (target === undefined) {
            return neverthrow.err(noPrimary());
        }
        if (decision.endpoint === undefined && target.region !== options.region && execution.onPrimary !== true) {
            const message = `No endpoint of ${name} in ${options.region} serves this read.`;
            return neverthrow.err(failure.create(failure.Code.notOwner, name, message));
        }
        const applied = quorum.find(target.id)?.applied ?? positions.zero;
        const behind = decision.endpoint === undefined && !positions.covers(applied, wanted.floor);
        return behind ? neverthrow.err(noPrimary()) : neverthrow.ok(target);
    }

    async function read(execution: messages.Execution): Promise<Result<messages.Answer>> {
        const deadlineMs = clock.now() + execution.timeoutMs;
        const wanted = await need(execution);
        const chosen = wanted.andThen(value => decide(value, execution));
        if (chosen.isErr()) {
            return neverthrow.err(chosen.error);
        }
        const target = chosen.value;
        const replica = target.id !== progress.primary();
        const outcome = await pool(target).run({ organisation: execution.organisation, deadlineMs }, async link => {
            const reply = await link.run(execution.text, deadlineMs - clock.now());
            return reply
                .mapErr(fault => convert(fault, target, "read"))
                .andThen(value => faults.bound(value, target.id));
        });
        return outcome.map(reply => {
            options.measures.read(execution.organisation, replica);
            return { ...reply, endpoint: target.id, replica };
        });
    }

    async function runWrite(
        execution: messages.Execution,
        target: messages.Endpoint,
        deadlineMs: number,
    ): Promise<Result<idempotent.Outcome>> {
        return pool(target).run<idempotent.Outcome>(
            { organisation: execution.organisation, deadlineMs },
            async link => {
                const leftMs = deadlineMs - clock.now();
                if (execution.idempotencyId === undefined) {
                    const written = await link.commit(execution.text, leftMs);
                    return written
                        .map(value => ({ kind: "ran" as const, written: value }))
                        .mapErr(fault => convert(fault, target, "write"));
                }
                const once = await idempotent.run(link, execution, leftMs);
                return once
                    .mapErr(fault => convert(fault, target, "write"))
                    .andThen(value => ("code" in value ? neverthrow.err(value) : neverthrow.ok(value)));
            },
        );
    }

    async function write(execution: messages.Execution): Promise<Result<messages.Answer>> {
        const deadlineMs = clock.now() + execution.timeoutMs;
        const found = primaryTarget();
        const { request, organisation, session } = execution;
        log.info({
            request,
            organisation,
            database: name,
            endpoint: found.isOk() ? found.value.id : undefined,
            term: progress.term(),
            reason: found.isOk() ? "primary of the newest term" : "no primary is known",
        }, "Write routed.");
        if (found.isErr()) {
            return neverthrow.err(found.error);
        }
        const target = found.value;
        const run = runWrite(execution, target, deadlineMs);
        running.add(run);
        const outcome = await run;
        running.delete(run);
        if (outcome.isErr()) {
            progress.poke(target.id);
            return neverthrow.err(outcome.error);
        }
        const { position, reply } = outcome.value.kind === "ran"
            ? outcome.value.written
            : { position: await newest(target), reply: outcome.value.reply };
        const settled = await settle(position, session, deadlineMs);
        return settled.map(() => ({ ...reply, position, endpoint: target.id, replica: false }));
    }

    /** A position of the target's log at or after everything it held when asked. */
    async function newest(target: messages.Endpoint): Promise<positions.Position> {
        const status = await progress.command(target.id, "SHOW GROUP STATUS");
        return status?.isOk() === true
            ? status.value.received
            : { term: quorum.term(), index: Number.MAX_SAFE_INTEGER };
    }

    const stop = clock.every(lookMs, look);
    return {
        read,
        write,
        settle,
        floor,
        primary: () => progress.primary(),
        primaryPool: () => primaryTarget().map(pool),
        update: next => progress.update(next),
        load: () => [...poolsById.values()].reduce((total, entry) => total + entry.load(), 0),
        gauge: () =>
            poolsById.forEach((entry, endpointId) => {
                options.measures.gauge("queue", endpointId, entry.load());
                options.measures.gauge("links", endpointId, entry.links());
            }),
        explain: wanted => routing.choose(candidates(), wanted),
        report: () => ({
            database: name,
            term: progress.term(),
            primary: progress.primary(),
            sessions: sessions.sessionCount(),
            endpoints: candidates(),
            links: Object.fromEntries([...poolsById].map(([id, entry]) => [id, entry.links()])),
            queued: Object.fromEntries([...poolsById].map(([id, entry]) => [id, entry.load()])),
        }),
        close() {
            stop();
            progress.close();
            poolsById.forEach(entry => entry.close());
        },
    };
}
