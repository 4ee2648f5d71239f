import { callerLoadLimits as limits } from "./callerLoadLimits.js";

interface BodyProgress {
    readonly arrivedMs: number;
    /** Until then the call can still be served, however slowly its body arrives. */
    readonly deadlineMs: number;
    readonly lastBytesMs: number;
    readonly receivedBytes: number;
}

/** Whether the rest of a request body is no longer waited for. */
export function isBodyTooSlow({ arrivedMs, deadlineMs, lastBytesMs, receivedBytes }: BodyProgress, nowMs: number): boolean {
    if (nowMs <= deadlineMs) {
        return false;
    }
    const allowedMs = limits.bodyGraceMs + receivedBytes / limits.minBodyBytesPerMs;
    return nowMs - lastBytesMs > limits.bodyIdleMs || nowMs - arrivedMs > allowedMs;
}
