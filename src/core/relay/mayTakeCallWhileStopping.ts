import type { RelayRoute } from "../../schema/relay/RelayRoute.js";

/**
 * Whether a VM that exits at `exitMs` passes on a call that may last until `deadlineMs`. Streams are passed on: they end long before their
 * deadline as a rule, and one that is cut can be told from a complete one. Another call is refused if it might be cut, as its caller could
 * not tell whether it has run.
 */
export function mayTakeCallWhileStopping(kind: RelayRoute["kind"], deadlineMs: number, exitMs: number): boolean {
    return kind === "stream" || deadlineMs <= exitMs;
}
