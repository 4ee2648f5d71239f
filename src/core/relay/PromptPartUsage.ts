/** Window over which the calls for a part are counted. */
const windowMs = 5_000;
const maxParts = 4_096;

interface PartUsage {
    /** Calls in the window that began at `windowStartMs`, and in the window before it. */
    callsInWindow: number;
    callsInPreviousWindow: number;
    windowStartMs: number;
    /** When engines other than the preferred one last prefilled the part, by engine id. */
    readonly prefilledAtMs: Map<string, number>;
}

/** An engine caches a shared part for at least this long after its prefill; its prefix cache has room for several times the parts of that time. */
const cacheRetentionMs = 15_000;

/**
 * Tracks how often shared parts of prompts are used, and which engines have prefilled them besides the preferred one, which is the first by
 * rendezvous hashing.
 */
export class PromptPartUsage {
    /** Usage by part, the least recently used first. */
    private readonly usageByPartId = new Map<string, PartUsage>();

    /** Counts a call that uses the part. Returns the calls of the current 5 s window or the one before, whichever are more. */
    recordCall(partId: string, nowMs: number): number {
        const usage = this.usageByPartId.get(partId) ??
            { callsInWindow: 0, callsInPreviousWindow: 0, windowStartMs: nowMs, prefilledAtMs: new Map<string, number>() };
        this.usageByPartId.delete(partId);
        this.usageByPartId.set(partId, usage);
        if (this.usageByPartId.size > maxParts) {
            this.usageByPartId.delete(this.usageByPartId.keys().next().value as string);
        }
        if (nowMs - usage.windowStartMs >= windowMs) {
            usage.callsInPreviousWindow = nowMs - usage.windowStartMs < 2 * windowMs ? usage.callsInWindow : 0;
            usage.callsInWindow = 0;
            usage.windowStartMs = nowMs;
        }
        usage.callsInWindow++;
        return Math.max(usage.callsInWindow, usage.callsInPreviousWindow);
    }

    /** Records that an engine prefills the part. */
    recordPrefill(partId: string, engineId: string, nowMs: number): void {
        this.usageByPartId.get(partId)?.prefilledAtMs.set(engineId, nowMs);
    }

    /** Whether an engine still caches the part after a recorded prefill. */
    isCached(partId: string, engineId: string, nowMs: number): boolean {
        return nowMs - (this.usageByPartId.get(partId)?.prefilledAtMs.get(engineId) ?? -Infinity) <= cacheRetentionMs;
    }
}
