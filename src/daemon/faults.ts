/** What a fault at an endpoint means for the caller's statement. */
import * as neverthrow from "neverthrow";
import * as failure from "../core/failure.js";
import * as endpoint from "../ports/endpoint.js";

/** The statement that met a fault. */
export interface Subject {
    readonly database: string;
    readonly endpoint: string;
    readonly kind: "read" | "write";
}

const retryMs = 100;

/** Longest answer to one statement, in characters. */
export const maxAnswerLength = 16_000_000;

/** The database has no primary that accepts writes. */
export function noPrimary(database: string): failure.Failure {
    const message = `Database ${database} has no primary that accepts writes now.`;
    return failure.create(failure.Code.noPrimary, database, message, retryMs);
}

/** Turns a fault into a failure; only a statement that was never sent, or was turned away whole, is "not run". */
export function explain(fault: endpoint.Fault, subject: Subject): failure.Failure {
    const at = subject.endpoint;
    if (fault.kind === "refused") {
        const closing = fault.errno === endpoint.readOnlyErrno || fault.errno === endpoint.shutdownErrno;
        const refused = failure.create(failure.Code.endpointError, at, fault.message);
        return closing ? noPrimary(subject.database) : { ...refused, endpointErrno: fault.errno };
    }
    if (fault.kind === "unsent") {
        const message = `Endpoint ${at} was not reached: ${fault.message}`;
        return failure.create(failure.Code.endpointUnreachable, at, message, retryMs);
    }
    return subject.kind === "read"
        ? failure.create(failure.Code.readLost, at, `Endpoint ${at} did not answer a read.`, retryMs)
        : failure.create(failure.Code.outcomeUnknown, at, `Endpoint ${at} did not confirm a write.`);
}

/** Refuses an answer past the limit; it is whole or not given. */
export function bound(reply: endpoint.Reply, at: string): neverthrow.Result<endpoint.Reply, failure.Failure> {
    const lengths = reply.rows.map(row => row.reduce((sum, cell) => sum + (cell?.length ?? 0), 0));
    const length = lengths.reduce((sum, next) => sum + next, 0);
    if (length <= maxAnswerLength) {
        return neverthrow.ok(reply);
    }
    const message = `The answer has ${length} characters; the limit is ${maxAnswerLength}.`;
    return neverthrow.err(failure.create(failure.Code.answerTooLarge, at, message));
}
