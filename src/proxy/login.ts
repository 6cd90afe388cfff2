/** Where callers log in. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import type * as caller from "../ports/caller.js";
import * as access from "./access.js";
import * as sessions from "./session.js";

/** Settings of the entrance. */
export interface Options extends sessions.Options {
    /** True while the host stops and takes no new callers. */
    refusesLogins(): boolean;
}

/** Creates the entrance of one host. */
export function createLogin(options: Options): caller.Login {
    return {
        open(database, key) {
            const admitted = options.refusesLogins()
                ? neverthrow.err(stopping(database))
                : access.authorise(options.policy(), database, key);
            if (admitted.isErr()) {
                options.events.emit("loginRefused", { database, code: admitted.error.code });
                return neverthrow.err(admitted.error);
            }
            return neverthrow.ok(sessions.createSession(options, database, key));
        },
    };
}

function stopping(subject: string): failure.Failure {
    return failure.create(failure.Code.draining, subject, "The host stops; another one serves.", 0);
}
