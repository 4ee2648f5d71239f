import type { RelayRoute } from "../../schema/relay/RelayRoute.js";

/** Whether calls of a route may run more than once. */
export function isRepeatableRoute({ kind, isResumable }: Pick<RelayRoute, "kind" | "isResumable">): boolean {
    return kind === "repeatable" || kind === "stream" && isResumable;
}
