import type { RelayRoute } from "../../schema/relay/RelayRoute.js";

/**
 * Whether a route allows another attempt of a call that may have run. `canContinue` is whether the caller can receive the response of
 * another attempt.
 */
export function mayRepeatCall(
    { kind, isResumable, maxAttempts }: Pick<RelayRoute, "kind" | "isResumable" | "maxAttempts">,
    attempts: number,
    canContinue: boolean,
): boolean {
    const isRepeatable = kind === "repeatable" || kind === "stream" && isResumable;
    return isRepeatable && canContinue && attempts < maxAttempts;
}
