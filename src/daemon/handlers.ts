/** The calls that a host answers for other hosts and for operators. */
import * as neverthrow from "neverthrow";
import * as configstore from "../adapters/configstore.js";
import * as grpc from "../adapters/grpc.js";
import * as failure from "../core/failure.js";
import * as statements from "../core/statement.js";
import * as messages from "../ports/messages.js";
import type * as network from "../ports/network.js";
import type * as runtime from "../ports/runtime.js";
import type * as dispatches from "./dispatch.js";
import type * as feeds from "./feed.js";
import type * as fleets from "./fleet.js";
import type * as owners from "./owner.js";
import type * as settingsFile from "./settings.js";
import type * as tokensPart from "./tokens.js";

/** The parts of a host that its own handlers and tests reach. */
export interface Parts {
    readonly feed: feeds.Feed;
    readonly fleet: fleets.Fleet;
    readonly owner: owners.Owner;
    readonly dispatch: dispatches.Dispatch;
    readonly tokens: tokensPart.Tokens;
    readonly measures: runtime.Metrics;
}

type Reply<T> = Promise<neverthrow.Result<T, failure.Failure>>;

/** Handlers look the parts up when called: the parts need the port that the handlers are bound to. */
export function createHandlers(
    parts: () => Parts,
    settings: settingsFile.Settings,
    drain: () => void,
): readonly network.Handler[] {
    const accept = <T>(value: T): Reply<T> => Promise.resolve(neverthrow.ok(value));
    return [
        grpc.handle(messages.peer.exchange, request => accept(parts().fleet.answer(request))),
        grpc.handle(messages.peer.configuration, () => {
            const { revision, document } = parts().feed.configuration();
            const stored = parts().feed.value(configstore.indexKey).revision;
            return accept({ revision, stored, document: JSON.stringify(document) });
        }),
        grpc.handle(messages.peer.value, request => accept(parts().feed.value(request.key))),
        grpc.handle(messages.peer.groups, () => accept(parts().feed.groups())),
        grpc.handle(messages.peer.execute, request => parts().owner.execute(request)),
        grpc.handle(messages.peer.begin, request => parts().owner.begin(request)),
        grpc.handle(messages.peer.commit, request => parts().owner.commit(request)),
        grpc.handle(messages.peer.rollback, request => parts().owner.rollback(request)),
        grpc.handle(messages.peer.floor, async request => {
            const found = await parts().owner.floor(request.database, request.session, request.timeoutMs);
            return found.map(floor => ({ floor }));
        }),
        grpc.handle(
            messages.peer.lend,
            request => accept(parts().tokens.lend(request.organisation, request.wanted)),
        ),
        grpc.handle(messages.peer.status, () => accept({ report: JSON.stringify(report(parts(), settings)) })),
        grpc.handle(messages.peer.explain, async request => explain(parts(), settings, request)),
        grpc.handle(messages.peer.drain, () => {
            setImmediate(drain);
            return accept({});
        }),
    ];
}

function report(parts: Parts, settings: settingsFile.Settings): object {
    const { feed, fleet, owner, tokens, dispatch } = parts;
    return {
        host: settings.id,
        region: settings.region,
        failureDomain: settings.failureDomain,
        leaving: fleet.self().leaving,
        configurationRevision: feed.configuration().revision,
        verdict: feed.judge(),
        hosts: fleet.live().map(member => member.id),
        quotaSlots: tokens.slots(),
        amplification: dispatch.amplification(),
        databases: owner.report(),
    };
}

function explain(
    parts: Parts,
    settings: settingsFile.Settings,
    request: { readonly route: string; readonly organisation: string; readonly text: string },
): neverthrow.Result<{ readonly report: string }, failure.Failure> {
    const { document } = parts.feed.configuration();
    const route = Object.hasOwn(document.routes, request.route) ? document.routes[request.route] : undefined;
    if (route === undefined) {
        return neverthrow.err(
            failure.create(failure.Code.routeUnknown, request.route, `Route ${request.route} does not exist.`),
        );
    }
    return statements.classify(request.text).map(statement => {
        const { owner, fleet } = parts;
        const region = statement.kind === "read"
            ? settings.region
            : owner.primaryRegion(route.database) ?? settings.region;
        const maxAgeMs = document.tolerances[route.tolerance ?? ""]?.maxAgeMs;
        const permitted = route.open || route.organisations.includes(request.organisation);
        const decision = owner.find(route.database)?.explain({ floor: { term: 0, index: 0 }, maxAgeMs });
        const primary = owner.find(route.database)?.primary();
        const home = fleet.home(route.database, region)?.id;
        return {
            report: JSON.stringify({ route, kind: statement.kind, permitted, home, primary, maxAgeMs, read: decision }),
        };
    });
}
