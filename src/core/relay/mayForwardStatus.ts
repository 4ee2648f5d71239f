import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { isRepeatableRoute } from "./isRepeatableRoute.js";

/** Callers that get one of these send the call again, as it says that the call has not run: 408, 421, 429 and 503. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a caller may get this status from an upstream that has run its call: not if that made it repeat a call that may run only once. */
export function mayForwardStatus(status: number, route: Pick<RelayRoute, "kind" | "isResumable">): boolean {
    return isRepeatableRoute(route) || !notRunStatuses.has(status);
}
