interface PausedCall {
    readonly nowMs: number;
    /** When the first upstream of the service may be sent calls again. */
    readonly firstReturnMs: number;
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    readonly targetMs: number;
    /** 0 is the most urgent. */
    readonly tier: number;
    /** A number from 0 to 1. */
    readonly random: number;
}

type PausedCallDecision =
    | { readonly kind: "wait"; readonly untilMs: number; }
    | { readonly kind: "refuse"; readonly retryAfterMs: number; };

/** A call may wait for this share of its target, which leaves the rest for running it. */
const maxWaitTargetShare = 0.5;
/** Each tier waits this much longer than the one before it, so that the more urgent calls take the room first. */
const delayPerTierMs = 20;
const maxDelayedTiers = 5;
/** Refused callers come back within this share of the remaining pause after its end, and not all at its end. */
const maxRetryJitter = 0.5;

/**
 * Decides what becomes of a call when all upstreams of its service have asked for a pause, as they do under overload: it waits for the first
 * that returns if it can still be answered within its target, else it is refused at once, so that its caller can go elsewhere.
 */
export function decidePausedCall(call: PausedCall): PausedCallDecision {
    const untilMs = call.firstReturnMs + Math.min(maxDelayedTiers, call.tier) * delayPerTierMs;
    if (untilMs <= call.arrivedMs + call.targetMs * maxWaitTargetShare && untilMs < call.deadlineMs) {
        return { kind: "wait", untilMs: Math.max(call.nowMs, untilMs) };
    }
    return { kind: "refuse", retryAfterMs: (call.firstReturnMs - call.nowMs) * (1 + call.random * maxRetryJitter) };
}
