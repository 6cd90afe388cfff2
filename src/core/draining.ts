/**
 * Decides until when an endpoint that shuts down may be sent new work. The platform counts the time from the announcement,
 * which hosts learn of later. It came after the last listing in which the endpoint did not drain.
 */

/** An endpoint that has announced its shutdown. */
export interface Announcement {
    /** Request time of the last listing in which it did not drain; undefined if there was none. */
    readonly servingAtMs: number | undefined;
    /** Time from the announcement until the endpoint may be sent nothing new, in milliseconds; undefined without a bound. */
    readonly boundMs: number | undefined;
}

/** Time for a request on its way to the endpoint. */
const marginMs = 200;

/** True once the endpoint may be sent nothing new, whatever its role. Without a listing its announcement may be any age. */
export function isOver({ servingAtMs, boundMs }: Announcement, nowMs: number): boolean {
    return boundMs !== undefined && nowMs >= (servingAtMs ?? -Infinity) + boundMs - marginMs;
}
