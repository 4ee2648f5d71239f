/** Calls for a part are counted over this time. */
const windowMs = 5_000;
const maxParts = 4_096;

interface Use {
    /** Calls in the window that began at `sinceMs`, and in the one before it. */
    calls: number;
    callsBefore: number;
    sinceMs: number;
    /** When the part was last read away from its home, by engine. */
    readonly readMs: Map<string, number>;
}

/** An engine keeps a shared part at least this long after it was read there; engines have memory for several times as many parts. */
const keepMs = 15_000;

/** How often shared parts of prompts are called for, and where they were read away from their home. */
export class PromptPartUsage {
    /** By part; the one that was called for least recently comes first. */
    private readonly uses = new Map<string, Use>();

    /** A call for the part came. Returns how many came lately. */
    recordCall(part: string, nowMs: number): number {
        const use = this.uses.get(part) ?? { calls: 0, callsBefore: 0, sinceMs: nowMs, readMs: new Map<string, number>() };
        this.uses.delete(part);
        this.uses.set(part, use);
        if (this.uses.size > maxParts) {
            this.uses.delete(this.uses.keys().next().value as string);
        }
        if (nowMs - use.sinceMs >= windowMs) {
            use.callsBefore = nowMs - use.sinceMs < 2 * windowMs ? use.calls : 0;
            use.calls = 0;
            use.sinceMs = nowMs;
        }
        use.calls++;
        return Math.max(use.calls, use.callsBefore);
    }

    /** The part is read on an engine that is not its home. */
    recordPrefill(part: string, engineId: string, nowMs: number): void {
        this.uses.get(part)?.readMs.set(engineId, nowMs);
    }

    /** Whether an engine that is not its home still keeps the part. */
    isCached(part: string, engineId: string, nowMs: number): boolean {
        return nowMs - (this.uses.get(part)?.readMs.get(engineId) ?? -Infinity) <= keepMs;
    }
}
