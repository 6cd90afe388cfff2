/** Faults on the links of hosts that run in this process: delays, cuts either way, answers late or doubled. */
import * as neverthrow from "neverthrow";
import * as failure from "../src/core/failure.js";
import type * as endpoint from "../src/ports/endpoint.js";
import type * as messages from "../src/ports/messages.js";
import type * as network from "../src/ports/network.js";

/** Which way a cut link still carries nothing. */
export type Direction = "request" | "reply" | "both";

/** Decides what happens on a link; names are host ids, endpoint ids and `platform`. */
export interface Faults {
    cut(from: string, to: string, direction: Direction): void;
    heal(from: string, to: string): void;
    /** Names an address. */
    name(address: string, name: string): void;
    /** One-way delay of a link, in milliseconds. */
    delay(rule: (from: string, to: string) => number): void;
    network(host: string, inner: network.Network): network.Network;
    dialer(host: string, inner: endpoint.Dialer): endpoint.Dialer;
    /** Called before each step that a host takes at an endpoint; false drops the request, `lost` its answer. */
    intercept(rule: ((host: string, endpoint: string, text: string) => "pass" | "drop" | "lost") | undefined): void;
    /** Bytes asked of peers and the platform, by host. */
    requests(): ReadonlyMap<string, number>;
}

const rest = (
    ms: number,
): Promise<void> => (ms <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, ms)));

/** Creates a network without faults. */
export function createFaults(): Faults {
    const cuts = new Map<string, Direction>();
    const names = new Map<string, string>();
    const requests = new Map<string, number>();
    let delayMs: (from: string, to: string) => number = () => 0;
    let rule: ((host: string, endpoint: string, text: string) => "pass" | "drop" | "lost") | undefined;

    const find = (from: string, to: string): Direction | undefined => cuts.get(`${from}>${to}`) ?? cuts.get(`*>${to}`);
    const loses = (found: Direction | undefined, way: "request" | "reply"): boolean =>
        found === way || found === "both";

    function silence(address: string): failure.Failure {
        return failure.create(failure.Code.peerUnreachable, address, `No answer came from ${address}.`);
    }

    function channel(host: string, address: string, inner: network.Channel): network.Channel {
        return {
            async call<Request, Reply>(method: messages.Method<Request, Reply>, request: Request, timeoutMs: number) {
                const to = names.get(address) ?? address;
                requests.set(host, (requests.get(host) ?? 0) + 1);
                if (loses(find(host, to), "request")) {
                    await rest(timeoutMs);
                    return neverthrow.err(silence(address));
                }
                await rest(delayMs(host, to));
                const reply = await inner.call(method, request, timeoutMs);
                await rest(delayMs(to, host));
                if (loses(find(host, to), "reply")) {
                    await rest(timeoutMs);
                    return neverthrow.err(silence(address));
                }
                return reply;
            },
            close: () => inner.close(),
        };
    }

    function wrap(host: string, target: string, inner: endpoint.Connection): endpoint.Connection {
        async function pass<T>(text: string, timeoutMs: number, act: () => endpoint.Outcome<T>): endpoint.Outcome<T> {
            const verdict = rule?.(host, target, text) ?? "pass";
            const found = find(host, target);
            if (verdict === "drop" || loses(found, "request")) {
                await rest(verdict === "drop" ? 0 : timeoutMs);
                inner.close();
                return neverthrow.err({ kind: "unanswered", message: "The link was cut." });
            }
            await rest(delayMs(host, target));
            const outcome = await act();
            await rest(delayMs(target, host));
            if (verdict === "lost" || loses(find(host, target), "reply")) {
                await rest(verdict === "lost" ? 0 : timeoutMs);
                inner.close();
                return neverthrow.err({ kind: "unanswered", message: "The answer was lost." });
            }
            return outcome;
        }
        return {
            run: (text, timeoutMs) => pass(text, timeoutMs, () => inner.run(text, timeoutMs)),
            commit: (text, timeoutMs) => pass(text, timeoutMs, () => inner.commit(text, timeoutMs)),
            isOpen: () => inner.isOpen(),
            close: () => inner.close(),
        };
    }

    return {
        cut(from, to, direction) {
            cuts.set(`${from}>${to}`, direction);
        },
        heal(from, to) {
            cuts.delete(`${from}>${to}`);
        },
        name(address, name) {
            names.set(address, name);
        },
        delay(next) {
            delayMs = next;
        },
        network: (host, inner) => ({
            openChannel: address => channel(host, address, inner.openChannel(address)),
            close: () => inner.close(),
        }),
        dialer: (host, inner) => ({
            async dial(target, timeoutMs) {
                if (loses(find(host, target.id), "request")) {
                    await rest(timeoutMs);
                    return neverthrow.err({ kind: "unsent", message: "The link is cut." });
                }
                const dialed = await inner.dial(target, timeoutMs);
                return dialed.map(link => wrap(host, target.id, link));
            },
        }),
        intercept(next) {
            rule = next;
        },
        requests: () => requests,
    };
}
