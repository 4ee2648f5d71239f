import type { CallContext } from "./CallContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** For how long an upstream has sent nothing; one that is paused because the caller reads slowly is not silent. */
export function computeSilenceMs({ lastReceivedMs }: RunningAttempt, { request, dependencies }: CallContext): number {
    return request.outgoing.writableNeedDrain ? 0 : dependencies.scheduler.nowMs() - lastReceivedMs;
}
