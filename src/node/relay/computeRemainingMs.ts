import type { CallContext } from "./CallContext.js";

/** Time until the deadline of a call; negative after it. */
export function computeRemainingMs({ deadlineMs, dependencies }: CallContext): number {
    return deadlineMs - dependencies.scheduler.nowMs();
}
