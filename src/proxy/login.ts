/** Login of callers: checks the key and opens a session. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as access from "./access.js";
import * as sessions from "./session.js";

/** Options of the login, and of the sessions that it opens. */
export interface Options extends sessions.Options {
    /** True once the host is shutting down and accepts no new sessions. */
    refusesLogins(): boolean;
}

/** Creates the login of one host. Refused logins are logged as `loginRefused`. */
export function createLogin(options: Options): caller.Login {
    return {
        open(database, key) {
            const authorised = options.refusesLogins()
                ? neverthrow.err(shuttingDown(database))
                : access.authorise(options.policy(), database, key);
            if (authorised.isErr()) {
                options.events.emit("loginRefused", { database, code: authorised.error.code });
                return neverthrow.err(authorised.error);
            }
            return neverthrow.ok(sessions.createSession(options, database, key));
        },
    };
}

function shuttingDown(subject: string): failure.Failure {
    return failure.create(failure.Code.draining, subject, "This host is shutting down; connect to another one.", 0);
}
