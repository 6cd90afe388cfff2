/** Login of callers: checks the key and opens a session. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as access from "./access.js";
import * as sessions from "./session.js";
import type * as stoppingSessions from "./stoppingsession.js";

/** Options of the login, and of the sessions that it opens. */
export interface Options extends sessions.Options {
    readonly stoppingSessions: Pick<stoppingSessions.StoppingSessions, "refusesLogins" | "wrap">;
}

/** Creates the login of one host. Refused logins are logged as `loginRefused`. */
export function createLogin(options: Options): caller.Login {
    return {
        open(name, key) {
            const database = name ?? "";
            const authorised = options.stoppingSessions.refusesLogins()
                ? neverthrow.err(shuttingDown(database))
                : access.authorise(options.policy(), database, key);
            if (authorised.isErr()) {
                options.events.emit("loginRefused", { database, code: authorised.error.code });
                return neverthrow.err(authorised.error);
            }
            return neverthrow.ok(options.stoppingSessions.wrap(
                sessions.createSession(options, database, key),
                database,
            ));
        },
    };
}

function shuttingDown(subject: string): failure.Failure {
    return failure.create(failure.Code.draining, subject, "This host is shutting down; connect to another one.", 0);
}
