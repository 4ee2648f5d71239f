import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { isRepeatableRoute } from "./isRepeatableRoute.js";

/**
 * Whether a route allows another attempt of a call that may have run. `canContinue` is whether the caller can receive the response of
 * another attempt.
 */
export function mayRepeatCall(
    route: Pick<RelayRoute, "kind" | "isResumable" | "maxAttempts">,
    attempts: number,
    canContinue: boolean,
): boolean {
    return isRepeatableRoute(route) && canContinue && attempts < route.maxAttempts;
}
